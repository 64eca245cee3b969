// The client of discovery (docs/DISCOVERY.md): long polls for changes of the endpoint list, or single calls
// where lists are polled. Answers that can't be read or are older than the current list change nothing.
#pragma once

#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "common/http.hpp"
#include "common/random.hpp"
#include "control/config.hpp"

namespace ochregrade::sidecar {

class DiscoveryClient {
public:
    struct Handlers {
        std::function<void(const EndpointList&)> on_endpoints;
        /// Only if polled: a call failed, and the client is inactive until watch() or fetch() is called. A
        /// call that timed out is retried by the client itself.
        std::function<void()> on_failed;
    };
    /// known_seq: sequence number of the list at the start, if there is one. polled: see
    /// Settings::polled_discovery. seed: of the random parts of waits and pauses. What the handlers use must
    /// outlive the client's loop.
    DiscoveryClient(asio::io_context& io, const tcp::endpoint& address,
                    std::optional<std::uint64_t> known_seq, bool polled, std::uint64_t seed,
                    Handlers handlers);

    /// Whether calls for changes follow one another.
    void watch(bool active);
    /// Fetches the complete list once.
    void fetch();
    /// Sequence number of the current list.
    std::uint64_t seq() const { return seq_; }
    /// Counts from 1 how often discovery restarted its sequence; a list is identified by this and its number.
    std::uint32_t incarnation() const { return incarnation_; }
    /// Fetches the complete list now, whatever is under way: other sidecars have a newer one, with this
    /// incarnation and number.
    void poll_now(std::uint32_t incarnation, std::uint64_t seq);
    void set_polled(bool polled) { polled_ = polled; }
    /// Calls go to another address from now on, first for the complete list; a call under way is dropped.
    void set_address(const tcp::endpoint& address);

private:
    struct Call;
    using CallPtr = std::shared_ptr<Call>;
    void start_next_call();
    void start_call(bool complete);
    std::string request_text(bool complete, std::chrono::milliseconds wait) const;
    void exchange(const CallPtr& call);
    bool still_current(const CallPtr& call, error_code ec);
    void response_received(const CallPtr& call);
    std::optional<EndpointList> parse_response(const CallPtr& call);
    void accept_list(const CallPtr& call, const EndpointList& list);
    bool sequence_restarted(const EndpointList& list);
    bool claimed_by_others(const EndpointList& list) const;
    void cancel_call();
    bool drop_failed(const CallPtr& call, const std::string& reason);
    void handle_call_failure(const CallPtr& call, const std::string& reason);
    void response_invalid(const CallPtr& call, const std::string& reason);
    void call_timed_out(const CallPtr& call, const std::string& reason);
    void retry_soon();

    asio::io_context& io_;
    Random random_;
    tcp::endpoint address_;
    Handlers handlers_;
    CallPtr call_;                                   // under way
    std::unique_ptr<beast::tcp_stream> connection_;  // idle, for the next call
    asio::steady_timer retry_timer_;
    std::uint64_t seq_ = 0;
    std::uint32_t incarnation_ = 1;
    std::uint32_t claimed_incarnation_ = 0;  // highest that other sidecars act on
    std::uint64_t claimed_seq_ = 0;
    // Since when complete lists have lower numbers than the current one, and the last one's number.
    std::optional<std::chrono::steady_clock::time_point> lower_since_;
    std::uint64_t lower_seq_ = 0;
    bool polled_;
    bool active_ = false;
    bool complete_list_needed_ = false;  // changes may have been missed
    bool fetch_requested_ = false;
};

}  // namespace ochregrade::sidecar
