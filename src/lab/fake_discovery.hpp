/// @file
/// A fake discovery service, written from the platform's protocol page: the whole endpoint list, and watches
/// (`after`, `wait_ms`) that wait for a change. It runs as coroutines on the lab's one io_context.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <vector>

#include "lab/recorder.hpp"
#include "lab/slot_queue.hpp"

namespace ochregrade::lab {

/// Calls are handled in turn at a fixed cost, so that too many callers get 503.
class FakeDiscovery {
public:
    FakeDiscovery(boost::asio::io_context& io, Recorder& recorder) : io_(io), recorder_(recorder) {}

    /// A listening socket for each sidecar, so that what one of them is answered may differ.
    void start(int sidecars);
    std::uint16_t port(int sidecar) const {
        return acceptors_[static_cast<std::size_t>(sidecar)]->local_endpoint().port();
    }
    std::int64_t sequence() const { return sequence_; }  ///< of the current list
    const nlohmann::json& hosts() const { return hosts_; }

    /// Makes `hosts` the current list, under the next sequence number, and answers the watches with it.
    void publish(nlohmann::json hosts);

    // Faults.
    /// Watches of just these sidecars see no new list, however often they are opened; calls without `after`
    /// get the current one.
    void stall(const std::vector<int>& sidecars);
    /// Watches that these sidecars have open now get no answer any more, as on a connection cut off silently.
    void silence(const std::vector<int>& sidecars);
    /// As a new process: connections end, and the next list has sequence number 1.
    void restart();
    void set_down(bool down) { down_ = down; }

private:
    using Stream = boost::beast::tcp_stream;
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;
    enum class WatchResult { answer, silent };
    struct Watch {
        int sidecar = 0;
        bool silent = false;
    };

    boost::asio::awaitable<void> accept_connections(int sidecar);
    boost::asio::awaitable<void> serve(std::shared_ptr<Stream> stream, int sidecar);
    boost::asio::awaitable<WatchResult> answer_list(std::string_view target, int sidecar, Response& response);
    boost::asio::awaitable<WatchResult> wait_for_change(int sidecar, std::int64_t wait_ms);
    bool is_stalled(int sidecar) const { return stalled_.count(sidecar) > 0; }

    boost::asio::io_context& io_;
    Recorder& recorder_;
    std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> acceptors_;
    std::set<int> stalled_;
    std::set<std::shared_ptr<Stream>> open_;
    std::int64_t sequence_ = 41;  // as of a service that has run for a while
    nlohmann::json hosts_ = nlohmann::json::array();
    bool down_ = false;
    SlotQueue queue_{1};
    std::map<std::shared_ptr<boost::asio::steady_timer>, Watch> watches_;
};

}  // namespace ochregrade::lab
