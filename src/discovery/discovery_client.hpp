// The client of discovery (docs/DISCOVERY.md). It requests changes of the endpoint list by a series of long
// polls (watch()) and fetches a single complete list on request (fetch()). Responses that are invalid or
// older than the current list are ignored, except that an older list is accepted after discovery has
// restarted its sequence.
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
        /// Called with each accepted list or set of changes. An empty set of changes is passed on only if
        /// lists are polled.
        std::function<void(const EndpointList&)> on_endpoints;
        /// Called after a failed call, but only if lists are polled. The client then makes no call until
        /// watch(), fetch(), poll_now() or set_address() starts one. After a timeout, on_failed is not
        /// called, and the client itself retries.
        std::function<void()> on_failed;
    };
    /// known_seq: sequence number of the list that the sidecar starts with, if it has one. polled: see
    /// Settings::polled_discovery. seed: for the random parts of waits and pauses. Objects that the handlers
    /// use must outlive the event loop `io`.
    DiscoveryClient(asio::io_context& io, const tcp::endpoint& address,
                    std::optional<std::uint64_t> known_seq, bool polled, std::uint64_t seed,
                    Handlers handlers);

    /// Starts or stops the series of long polls. A call in flight is not cancelled.
    void watch(bool active);
    /// Fetches the complete list once, after the call in flight if there is one.
    void fetch();
    /// Sequence number of the current list; 0 if there is none, and after a change of discovery's address
    /// until the first list arrives.
    std::uint64_t seq() const { return seq_; }
    /// Incarnation of discovery's sequence: starts at 1 and grows by 1 whenever this client finds that
    /// discovery has restarted its sequence. If other sidecars use a higher incarnation (poll_now()), the
    /// client adopts it. Incarnation and sequence number together identify a list of one discovery address.
    std::uint32_t incarnation() const { return incarnation_; }
    /// Cancels a call in flight and fetches the complete list at once, because other sidecars have a newer
    /// list with this incarnation and sequence number.
    void poll_now(std::uint32_t incarnation, std::uint64_t seq);
    void set_polled(bool polled) { polled_ = polled; }
    /// Cancels a call in flight and sends all further calls to `address`. The first of them requests the
    /// complete list.
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
    bool discard_call(const CallPtr& call, const std::string& reason);
    void handle_call_failure(const CallPtr& call, const std::string& reason);
    void response_invalid(const CallPtr& call, const std::string& reason);
    void call_timed_out(const CallPtr& call, const std::string& reason);
    void retry_soon();

    asio::io_context& io_;
    Random random_;
    tcp::endpoint address_;
    Handlers handlers_;
    CallPtr call_;                                   // in flight
    std::unique_ptr<beast::tcp_stream> connection_;  // idle connection for the next call
    asio::steady_timer retry_timer_;
    std::uint64_t seq_ = 0;
    std::uint32_t incarnation_ = 1;
    // Incarnation and sequence number of the newer list that other sidecars use; set by poll_now().
    std::uint32_t claimed_incarnation_ = 0;
    std::uint64_t claimed_seq_ = 0;
    // A series of complete lists with lower sequence numbers than the current list: the arrival of its first
    // list and the number of its latest list. A number lower than the one before starts a new series.
    std::optional<std::chrono::steady_clock::time_point> lower_since_;
    std::uint64_t lower_seq_ = 0;
    bool polled_;
    bool active_ = false;
    bool complete_list_needed_ = false;  // the client may have missed changes
    bool fetch_requested_ = false;
};

}  // namespace ochregrade::sidecar
