/// @file
/// A fake upstream server, written from the platform's protocol page. It runs as coroutines on the lab's one
/// io_context, on a loopback port that the kernel chooses.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "lab/experiment.hpp"
#include "lab/recorder.hpp"
#include "lab/slot_queue.hpp"
#include "lab/timing.hpp"

namespace ochregrade::lab {

/// Answers /healthz, /load and requests with a correlation id, at its speed and up to a connection limit;
/// slow at first after each start. Its mode may change while it runs.
class FakeServer : public std::enable_shared_from_this<FakeServer> {
public:
    /// `speed`: its capacity against a server of speed 1. The references must outlive it.
    FakeServer(boost::asio::io_context& io, int index, double speed, const Experiment& experiment,
               Recorder& recorder);

    /// Listens on a port that the kernel chooses; later starts use the same port, and are slow starts. Throws
    /// boost::system::system_error where the port can't be bound.
    void start();
    /// Refuses new connections and breaks open ones, as a vanished machine does.
    void stop();
    /// Another server has this index now: what this one still does counts, whether it is up does not.
    void mark_replaced() { records_liveness_ = false; }
    void set_mode(ServerMode mode);

    std::uint16_t port() const { return port_; }
    int index() const { return index_; }
    double speed() const { return speed_; }

private:
    using Stream = boost::beast::tcp_stream;
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;
    /// What becomes of a connection after work on a request.
    enum class Completion { answer, close };

    boost::asio::awaitable<void> accept_connections(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor);
    boost::asio::awaitable<void> serve(std::shared_ptr<Stream> stream);
    /// Works on one request and fills in the response. `draw_work_ms`: the next work time of the connection.
    boost::asio::awaitable<Completion> handle(const Request& request,
                                              const std::function<double()>& draw_work_ms, Stream& stream,
                                              Response& response);
    boost::asio::awaitable<Completion> work(const Request& request, double work_ms, Stream& stream,
                                            Response& response);
    boost::asio::awaitable<void> work_normally(const Request& request, double work_ms, Response& response);
    void answer_health(const Request& request, Response& response) const;
    std::mt19937_64 next_connection_random();
    double slow_start_share() const;  // of its capacity, now
    std::string load_report() const;

    boost::asio::io_context& io_;
    int index_;
    double speed_;
    const Experiment& experiment_;
    Recorder& recorder_;
    SlotQueue queue_;
    ServerMode mode_ = ServerMode::ok;
    bool up_ = false;
    bool records_liveness_ = true;
    std::uint16_t port_ = 0;
    std::uint64_t connections_ = 0;  // served so far, for each one's seed
    Clock::time_point started_{};
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
    std::set<std::shared_ptr<Stream>> open_;
};

}  // namespace ochregrade::lab
