// The connections to upstream endpoints: reuses idle connections, bounds the number of all connections, and
// sends the request of each attempt and probe at most once. Each attempt and probe ends with one outcome.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "common/clock.hpp"
#include "common/http.hpp"
#include "ochregrade/balancer.hpp"
#include "proxy/close_reason.hpp"
#include "proxy/memory_budget.hpp"
#include "proxy/upstream_connection.hpp"

namespace ochregrade::sidecar {

/// The pool must exist until the event loop has stopped.
class UpstreamPool : private UpstreamConnection::Owner {
public:
    struct Limits {
        Millis connect_timeout = 1000;
        Millis idle_timeout = 15000;  // endpoints close connections that have been idle this long
        std::size_t connections = 400;
        // A connection is not reused within this time after its last response was acknowledged.
        Millis quiet_period = 2;
        std::size_t response_memory = 16 << 20;  // bytes, for responses until clients have received them
    };
    /// Handlers may be called from within send(), cancel() and other functions of the pool. They record what
    /// happened, may withdraw attempts, and must not start attempts or probes.
    struct Handlers {
        /// The response is null unless the endpoint has sent a complete one.
        std::function<void(AttemptKey, Outcome, HttpResponse*)> attempt_ended;
        std::function<void(EndpointId, Outcome, Millis duration)> probe_ended;
        /// See UpstreamConnection::Owner::may_write.
        std::function<bool(AttemptKey, bool partly_written)> may_write{};
    };

    UpstreamPool(asio::io_context& io, const Clock& clock, Limits limits, Handlers handlers);
    ~UpstreamPool() override;

    /// Starts an attempt. The request's last byte is written before `write_deadline` or never. Without
    /// `connect_timeout`, the connect timeout of the limits applies. The caller must end the attempt at
    /// `deadline` with expire(). `deadline` and `write_deadline` are Clock milliseconds.
    void send(AttemptKey key, EndpointId endpoint, const tcp::endpoint& address, RequestPtr request,
              Millis deadline, Millis write_deadline, std::optional<Millis> connect_timeout = {});
    /// Ends an attempt whose deadline has passed. The outcome is a timeout, or a connect failure if the
    /// request's last byte has not been written (the request then never ran).
    void expire(AttemptKey key);
    /// Ends an attempt. The outcome is `cancelled`, or `not_sent` if the request's last byte has not been
    /// written.
    void cancel(AttemptKey key);
    /// Ends those attempts of a request that have not been written completely.
    void withdraw_request(RequestId id);
    /// Ends the attempts to an endpoint that are still connecting, and retires its connections (retire()).
    /// Attempts that are already being written or read continue: a draining endpoint may complete them.
    void withdraw_endpoint(EndpointId endpoint);
    /// Sends GET /healthz. The response must arrive within the connect timeout of the limits.
    void probe(EndpointId endpoint, const tcp::endpoint& address);
    void close_idle(EndpointId endpoint);
    /// Closes idle connections to the endpoint now, and each other connection when its exchange has ended.
    void retire(EndpointId endpoint);

    /// Lowering a limit below the current use ends no exchange: idle connections are closed and no new
    /// connections are opened.
    void set_limits(const Limits& limits);

    /// The memory for responses. While it is used up, further responses of more than a few KB stay in the
    /// kernel, and wait in the order in which they began.
    const std::shared_ptr<MemoryBudget>& response_memory() const { return response_memory_; }
    std::size_t open() const { return open_; }
    std::size_t in_flight() const { return attempts_.size(); }
    /// Whether any attempt of the request is in flight.
    bool has_attempts(RequestId id) const {
        const auto first = attempts_.lower_bound({id, 0});
        return first != attempts_.end() && first->first.id == id;
    }
    std::size_t pools() const { return groups_.size(); }
    const CloseCounts& closes() const { return closes_; }

private:
    using Connection = UpstreamConnection;
    using ConnectionPtr = UpstreamConnectionPtr;
    using GroupPtr = std::shared_ptr<ConnectionGroup>;

    bool may_write(const ConnectionPtr& connection, bool partly_written) override;
    void end_exchange(const ConnectionPtr& connection, Outcome outcome, HttpResponse* response,
                      bool reusable) override;
    void close_connection(const ConnectionPtr& connection, CloseReason reason) override;
    void wait_for_memory(const ConnectionPtr& connection) override;

    void on_memory_released();
    void resume_waiting();
    void start(std::unique_ptr<Exchange> exchange, EndpointId endpoint, const tcp::endpoint& address);
    ConnectionPtr take_idle(EndpointId endpoint, const tcp::endpoint& address);
    ConnectionPtr add_connection(EndpointId endpoint, const tcp::endpoint& address);
    std::optional<CloseReason> reason_to_close(Connection& connection, const tcp::endpoint& address,
                                               Millis now) const;
    void return_to_pool(const ConnectionPtr& connection);
    void evict_idle();
    Millis idle_deadline(const Connection& connection) const;
    void end_without_response(const ConnectionPtr& connection, Outcome outcome);
    void stop(AttemptKey key, Outcome if_not_written, Outcome if_written);
    void trace_reuse(const Connection& connection, const Exchange& exchange) const;
    void trace_close(const Connection& connection, CloseReason reason) const;

    asio::io_context& io_;
    const Clock& clock_;
    Limits limits_;
    Handlers handlers_;
    std::map<AttemptKey, ConnectionPtr> attempts_;
    std::unordered_map<EndpointId, GroupPtr> groups_;  // without retired and empty groups
    std::shared_ptr<MemoryBudget> response_memory_;
    std::deque<std::weak_ptr<Connection>> waiting_for_memory_;  // the first one is resumed first
    bool resume_posted_ = false;
    std::size_t open_ = 0;
    CloseCounts closes_{};
};

}  // namespace ochregrade::sidecar
