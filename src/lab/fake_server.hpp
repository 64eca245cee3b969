// Stand-ins for what the sidecars serve and ask, written from the platform's protocol page: guide servers and
// discovery with its watch. All of them run as coroutines on the lab's one io_context, on loopback ports that
// the kernel chooses.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lab/experiment.hpp"
#include "lab/record.hpp"

namespace ochregrade::lab {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

asio::awaitable<void> sleep_until(std::chrono::steady_clock::time_point at);

// Slots that each become free at a time: a request takes the earliest and is done `work` after it frees.
// A queue in virtual time, so that waiting costs no coroutine and no timer but the request's own.
class SlotQueue {
public:
    using Clock = std::chrono::steady_clock;
    explicit SlotQueue(int slots)
        : free_at_(static_cast<std::size_t>(std::max(1, slots)), Clock::time_point{}) {}
    // When a piece of work given now would be done, or nothing if it would start later than `longest_wait`.
    std::optional<Clock::time_point> take(Clock::duration work, Clock::duration longest_wait);
    std::size_t waiting(Clock::time_point now) const;  // slots busy at `now`

private:
    std::vector<Clock::time_point> free_at_;
};

// One guide server: answers /healthz, /load and requests with a correlation id, at its speed, with a stated
// connection limit, and cold after each start. Faults change its mode while it runs.
class GuideServer : public std::enable_shared_from_this<GuideServer> {
public:
    GuideServer(asio::io_context& io, int index, double speed, const Experiment& experiment,
                Recorder& recorder);

    void start();  // listens on a port of the kernel's; later starts reuse it, cold
    void stop();   // refuses connections and breaks those it holds, as a vanished machine's
    // Another one has this number now: what it still does counts, whether it is up does not.
    void replaced() { counted_live_ = false; }
    void set_mode(ServerMode mode);
    ServerMode mode() const { return mode_; }
    bool up() const { return up_; }
    std::uint16_t port() const { return port_; }
    int index() const { return index_; }
    double speed() const { return speed_; }

private:
    asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor);
    asio::awaitable<void> serve(std::shared_ptr<beast::tcp_stream> stream);
    double warmth() const;  // share of its capacity, cold_from just after a start, 1 after warm_ms

    asio::io_context& io_;
    const int index_;
    const double speed_;
    const Experiment& experiment_;
    Recorder& recorder_;
    SlotQueue queue_;
    ServerMode mode_ = ServerMode::ok;
    bool up_ = false, counted_live_ = true;
    std::uint16_t port_ = 0;
    std::uint64_t connections_ = 0;  // served so far, for each one's seed
    std::chrono::steady_clock::time_point started_{};
    std::shared_ptr<tcp::acceptor> acceptor_;
    std::set<std::shared_ptr<beast::tcp_stream>> open_;
};

// Discovery: the whole list, and watches (`after`, `wait_ms`) that hold until a change or their wait ends.
// Calls are handled in turn with a fixed cost, so that too many callers are turned away with 503.
class Discovery {
public:
    Discovery(asio::io_context& io, Recorder& recorder);

    // A socket for each sidecar, so that what one of them is told may differ.
    void start(int sidecars);
    std::uint16_t port(int sidecar) const {
        return acceptors_[static_cast<std::size_t>(sidecar)]->local_endpoint().port();
    }
    // Watches of these hear of nothing new, however often they are opened; whole lists are told as they are.
    // None: all are told again.
    void stall(const std::vector<int>& sidecars);
    // The watches that these have open get nothing any more, as on a connection cut off in silence.
    void silence(const std::vector<int>& sidecars);
    // As a new process: connections end, and numbers start from a lower one.
    void count_anew();
    std::int64_t seq() const { return seq_; }
    // A new list, told to every watch at once as the whole list.
    void publish(nlohmann::json hosts);
    void set_down(bool down) { down_ = down; }
    const nlohmann::json& hosts() const { return hosts_; }

private:
    asio::awaitable<void> accept(int sidecar);
    asio::awaitable<void> serve(std::shared_ptr<beast::tcp_stream> stream, int sidecar);

    asio::io_context& io_;
    Recorder& recorder_;
    std::vector<std::unique_ptr<tcp::acceptor>> acceptors_;
    std::set<int> stalled_;
    std::set<std::shared_ptr<beast::tcp_stream>> open_;
    std::int64_t seq_ = 41;
    nlohmann::json hosts_ = nlohmann::json::array();
    bool down_ = false;
    SlotQueue queue_{1};
    struct Watch {
        int sidecar = 0;
        bool silent = false;
    };
    std::map<std::shared_ptr<asio::steady_timer>, Watch> watches_;
};

}  // namespace ochregrade::lab
