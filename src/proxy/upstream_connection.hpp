// One connection to an upstream endpoint: connects, writes a request, reads its response, one exchange at a
// time. The connection reports how each exchange ended, above all whether the endpoint may have run the
// request, and never sends a request twice.
#pragma once

#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.hpp"
#include "common/http.hpp"
#include "ochregrade/balancer.hpp"
#include "proxy/close_reason.hpp"
#include "proxy/memory_budget.hpp"

namespace ochregrade::sidecar {

struct AttemptKey {
    RequestId id = 0;
    std::uint32_t attempt = 0;
    // clang-tidy mistakes the 0 in the generated comparison for a null pointer.
    auto operator<=>(const AttemptKey&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// A request to be written to an endpoint, and its time limits (Clock milliseconds).
struct Exchange {
    AttemptKey key;  // attempts only
    bool is_probe = false;
    RequestPtr request;
    Millis started_at = 0;
    Millis deadline = 0;                                              // for the whole response
    Millis write_deadline = std::numeric_limits<Millis>::infinity();  // for the request's last byte
    Millis connect_timeout = 0;                                       // milliseconds; attempts only
};

class UpstreamConnection;
using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

/// The connections to one endpoint while its address and process stay the same.
struct ConnectionGroup {
    std::vector<UpstreamConnectionPtr> idle;  // the most recently used last
    std::size_t connections = 0;              // all connections of the group
    bool withdrawn = false;                   // each connection is closed after its exchange
};

/// Why an idle connection whose socket is not in the state `no_data` is closed.
constexpr CloseReason close_reason_for_idle(SocketState state) {
    return state == SocketState::readable ? CloseReason::unexpected_data : CloseReason::peer_closed;
}

class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
public:
    enum class State { connecting, writing, reading, idle, closed };

    /// Decides about the connection. The owner must exist until the event loop has stopped, because pending
    /// handlers of a connection refer to the owner.
    class Owner {
    public:
        virtual ~Owner() = default;
        /// Called for attempts, not for probes: when a new connection is established, and before each further
        /// part of a request that the kernel did not accept at once (`partly_written`). Returns false if no
        /// more of the request may be written; the owner has then ended the exchange.
        virtual bool may_write(const UpstreamConnectionPtr& connection, bool partly_written) = 0;
        /// Ends the current exchange. `response`: null unless the endpoint has sent a complete one.
        /// `reusable`: the connection may be used for another exchange.
        virtual void end_exchange(const UpstreamConnectionPtr& connection, Outcome outcome,
                                  HttpResponse* response, bool reusable) = 0;
        /// The response being read does not fit into the memory for responses now. The owner calls
        /// resume_reading() when memory has been released.
        virtual void wait_for_memory(const UpstreamConnectionPtr& connection) = 0;
        /// Closes an idle connection that cannot or should not be reused.
        virtual void close_connection(const UpstreamConnectionPtr& connection, CloseReason reason) = 0;
    };

    UpstreamConnection(asio::io_context& io, const Clock& clock, Owner& owner, EndpointId endpoint,
                       const tcp::endpoint& address, std::shared_ptr<ConnectionGroup> group,
                       std::shared_ptr<MemoryBudget> response_memory);

    EndpointId endpoint() const { return endpoint_; }
    const tcp::endpoint& address() const { return address_; }
    ConnectionGroup& group() const { return *group_; }
    bool is_in(const std::shared_ptr<ConnectionGroup>& group) const { return group_ == group; }
    State state() const { return state_; }
    Millis idle_since() const { return idle_since_; }
    /// From when (Clock milliseconds) the endpoint's kernel has no reason to hold back bytes that the
    /// endpoint has written behind its last response.
    Millis acknowledged_at() const { return acknowledged_at_; }
    /// The current exchange; null while idle or closed.
    const Exchange* exchange() const { return exchange_.get(); }
    /// What the kernel has for the reader of the connection. An idle connection is usable while it has no
    /// data, which also results if a lack of memory prevents the check.
    SocketState socket_state() { return peek(socket_); }
    /// The local port, which identifies the connection in the trace; 0 if it is not open.
    std::uint16_t local_port() const;

    void set_exchange(std::unique_ptr<Exchange> exchange);
    std::unique_ptr<Exchange> release_exchange();
    void connect();
    void write_request();
    /// Continues reading the response if there is memory for it now. Has no effect unless it waits for
    /// memory.
    void resume_reading();
    bool waits_for_memory() const { return state_ == State::reading && waits_for_memory_; }

    void become_idle();
    /// Closes the connection at `at` (Clock milliseconds) unless it is used before.
    void close_idle_at(Millis at);
    void stop_idle_timer() { timer_.cancel(); }
    void close();

private:
    void start_probe_timer();
    void start_connect_timer();
    void open_socket();
    void retry_connect();
    void on_connected(error_code ec);
    Millis propagated_time_left() const;
    void write_available_bytes();
    void on_writable();
    void start_reading_response();
    void parse();
    void parse_input();
    bool reserve_response();
    void receive();
    void on_received(error_code ec, std::size_t size);
    void on_response();
    void end(Outcome outcome) { owner_.end_exchange(shared_from_this(), outcome, nullptr, false); }

    const Clock& clock_;
    Owner& owner_;
    EndpointId endpoint_;
    tcp::endpoint address_;
    std::shared_ptr<ConnectionGroup> group_;
    tcp::socket socket_;
    asio::steady_timer timer_;  // for connecting, probes and idle time; the driver has the timers of attempts
    asio::steady_timer connect_retry_timer_;
    int connect_retries_ = 0;
    State state_ = State::connecting;
    std::unique_ptr<Exchange> exchange_;

    std::string output_;
    std::size_t written_bytes_ = 0;
    beast::flat_buffer input_;
    std::size_t head_bytes_ = 0;
    int interim_responses_ = 0;  // 1xx
    std::optional<ResponseParser> parser_;
    MemoryReservation response_memory_;
    bool response_reserved_ = false;  // memory for the whole response, once its head is complete
    bool waits_for_memory_ = false;
    Millis idle_since_ = 0;
    Millis acknowledged_at_ = 0;
};

}  // namespace ochregrade::sidecar
