// Connections to upstream endpoints: reuses idle ones, bounds their number, and executes attempts and probes
// on them, each exactly once.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "common/clock.hpp"
#include "common/http.hpp"
#include "ochregrade/balancer.hpp"
#include "proxy/close_reason.hpp"
#include "proxy/upstream_connection.hpp"

namespace ochregrade::sidecar {

/// Must outlive the running of the event loop.
class UpstreamPool : private UpstreamConnection::Owner {
public:
    struct Limits {
        Millis connect_timeout = 1000;
        Millis idle_timeout = 15000;  // endpoints close connections that have been idle this long
        std::size_t connections = 400;
        Millis quiet_period = 2;  // a connection is not used again sooner after its last response
    };
    /// May be called from within send(), cancel() and the like: they must only record what happened.
    struct Handlers {
        /// The response is null unless the endpoint has sent one.
        std::function<void(AttemptKey, Outcome, HttpResponse*)> attempt_ended;
        std::function<void(EndpointId, Outcome, Millis duration)> probe_ended;
        /// See UpstreamConnection::Owner::may_write.
        std::function<bool(AttemptKey, bool partly_written)> may_write{};
    };

    UpstreamPool(asio::io_context& io, const Clock& clock, Limits limits, Handlers handlers);
    ~UpstreamPool() override;

    /// Writes the request completely before `write_deadline` or not at all. Without `connect_timeout` that of
    /// the limits holds. The caller ends the attempt at `deadline` (expire()).
    void send(AttemptKey key, EndpointId endpoint, const tcp::endpoint& address, RequestPtr request,
              Millis deadline, Millis write_deadline, std::optional<Millis> connect_timeout = {});
    /// Its deadline has passed: a timeout, or a connect failure if its last byte has not been written (then
    /// it never ran).
    void expire(AttemptKey key);
    /// Ends an attempt: cancelled, or not sent if its last byte has not been written.
    void cancel(AttemptKey key);
    /// Ends the attempts of a request that have not been written completely.
    void withdraw_request(RequestId id);
    /// Ends the attempts to an endpoint that are still connecting (for an endpoint that drains, a request
    /// begins with its first byte), and uses no connection to it again.
    void withdraw_endpoint(EndpointId endpoint);
    /// GET /healthz, within the connect timeout.
    void probe(EndpointId endpoint, const tcp::endpoint& address);
    void close_idle(EndpointId endpoint);
    /// Closes idle connections to the endpoint, and each other one when its exchange has ended.
    void retire(EndpointId endpoint);

    /// Limits below what is in use end no exchange: idle connections are closed and no new ones opened.
    void set_limits(const Limits& limits);

    std::size_t open() const { return open_; }
    std::size_t in_flight() const { return attempts_.size(); }
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

    void start(std::unique_ptr<Exchange> exchange, EndpointId endpoint, const tcp::endpoint& address);
    ConnectionPtr take_idle(EndpointId endpoint, const tcp::endpoint& address);
    ConnectionPtr add_connection(EndpointId endpoint, const tcp::endpoint& address);
    void return_to_pool(const ConnectionPtr& connection);
    void evict_idle();
    Millis idle_deadline(const Connection& connection) const;
    void end_unanswered(const ConnectionPtr& connection, Outcome outcome);
    void stop(AttemptKey key, Outcome if_not_written, Outcome if_written);

    asio::io_context& io_;
    const Clock& clock_;
    Limits limits_;
    Handlers handlers_;
    std::map<AttemptKey, ConnectionPtr> attempts_;
    std::unordered_map<EndpointId, GroupPtr> groups_;  // only of endpoints with connections
    std::size_t open_ = 0;
    CloseCounts closes_{};
};

}  // namespace ochregrade::sidecar
