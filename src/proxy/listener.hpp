// Accepts clients' connections, bounds their number, and enforces the deadlines of their sessions
// (client_session.hpp). Leaves new connections in the kernel's accept queue while the connection limit is
// reached or no descriptor is free.
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

    /// Throws ConfigError if the address is in use, boost::system::system_error on other errors.
    void listen(const tcp::endpoint& address);
    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    /// From now on the response to /healthz is 200 while there is an endpoint list, until the drain starts.
    void mark_ready() { context_.ready_for_use = true; }

    /// Lowering a limit below the current use ends no request that has arrived completely: connections that
    /// may be evicted (ClientSession::EvictionRank) are closed, and no new connections are accepted.
    void set_limits(const Limits& limits) {
        context_.limits = limits;
        context_.request_memory->set_limit(limits.request_memory);
        accept();
    }
    /// Called with each request that is invalid under its configuration, and with that configuration.
    std::function<void(const ConfigSnapshotPtr&, const HttpRequest&)> on_invalid_request;

    /// Starts the drain: closes idle connections, and from now on each connection after its response. New
    /// connections are still accepted. Requests that arrive from now on end by `deadline` (Clock
    /// milliseconds).
    void drain(Millis deadline);
    /// Rejects requests that have not arrived completely, with 408.
    void reject_incomplete();
    /// Closes idle connections without unread bytes in the kernel, except new ones (is_quiet()).
    void close_idle();
    /// Accepts the connections in the kernel's accept queue, then closes the listening socket and idle
    /// connections. Returns false if connections may be left in the queue, above all because no descriptor is
    /// free; nothing is closed then, and the caller has to call stop_accepting() again.
    bool stop_accepting();
    /// Whether there are client connections.
    bool has_connections() const { return !context_.sessions.empty(); }
    std::size_t connections() const { return context_.sessions.size(); }
    const CloseCounts& closes() const { return context_.closes; }
    /// Whether any request has arrived only in part.
    bool reading() const;
    /// Enforces the deadlines of all sessions; a timer also calls it every 50 ms.
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
    bool paused_ = false;     // after a shortage of descriptors or memory
    bool stopped_ = false;
};

}  // namespace ochregrade::sidecar
