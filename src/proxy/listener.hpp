// Accepts clients' connections, bounds their number, and enforces the deadlines of their sessions
// (client_session.hpp). Keeps new connections in the kernel's queue while there is no place or descriptor.
#pragma once

#include <functional>
#include <memory>

#include "common/http.hpp"
#include "proxy/balancer_driver.hpp"
#include "proxy/close_reason.hpp"
#include "proxy/listener_context.hpp"
#include "proxy/unread_time.hpp"

namespace ochregrade::sidecar {

class Listener {
public:
    using Limits = ListenerLimits;
    Listener(asio::io_context& io, const Clock& clock, BalancerDriver& driver, Limits limits);
    ~Listener();

    /// Throws ConfigError if the address is taken, boost::system::system_error on other errors.
    void listen(const tcp::endpoint& address);
    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    /// From now on /healthz answers 200 while there is an endpoint list.
    void open_for_use() { context_.ready_for_use = true; }

    /// Limits below what is in use end no request: idle connections are closed and no new ones are accepted.
    void set_limits(const Limits& limits) {
        context_.limits = limits;
        accept();
    }
    /// Called with a request that is invalid by the configuration that it began with.
    std::function<void(const ConfigSnapshotPtr&, const HttpRequest&)> on_invalid_request;

    /// From now on each response closes its connection, and idle connections are closed; new ones are still
    /// accepted. Requests that arrive from now on end by `deadline` (Clock milliseconds).
    void drain(Millis deadline);
    /// Answers requests that have not arrived completely with 408.
    void reject_incomplete();
    /// Closes the connections that have no request, neither here nor in the kernel.
    void close_idle();
    /// Accepts what waits in the kernel's queue, then closes the listening socket. False if connections are
    /// left in the queue, for want of a descriptor; to be called again then.
    bool stop_accepting();
    /// Whether there are connections.
    bool busy() const { return !context_.sessions.empty(); }
    std::size_t connections() const { return context_.sessions.size(); }
    const CloseCounts& closes() const { return context_.closes; }
    /// Whether a request has arrived in part.
    bool reading() const;
    /// Applies all sessions' deadlines; also runs by itself every 50 ms.
    void check_deadlines();

private:
    void open_acceptor(const tcp::endpoint& address);
    void accept();
    void on_accepted(error_code ec, tcp::socket socket);
    void pause_accepting(error_code shortage);
    void admit(tcp::socket socket);
    bool evict_session();
    bool drain_accept_queue();
    Millis waited_for_accept(tcp::socket& socket);
    void schedule_deadline_check();

    asio::io_context& io_;
    ListenerContext context_;
    tcp::acceptor acceptor_;
    asio::steady_timer accept_retry_timer_;
    asio::steady_timer deadline_timer_;
    UnreadTime accept_delay_;
    bool accepting_ = false;  // an accept is pending, or must not be started now
    bool paused_ = false;     // for want of descriptors
    bool stopped_ = false;
};

}  // namespace ochregrade::sidecar
