// Clients' connections: reads requests, hands them to the sidecar and writes the answers.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_set>

#include "common/http.hpp"
#include "proxy/balancer_driver.hpp"
#include "proxy/close_reason.hpp"
#include "proxy/unread_time.hpp"

namespace ochregrade::sidecar {

class Listener {
public:
    struct Limits {
        std::size_t connections = 400;
        std::size_t body_bytes = 16 << 20;  // of all requests held at a time
    };
    Listener(asio::io_context& io, const Clock& clock, BalancerDriver& sidecar, Limits limits);
    ~Listener();

    void listen(const tcp::endpoint& at);  // throws if it can't
    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    void open_for_use() { ready_ = true; }  // /healthz answers 200 from here on, once a list is held

    // Lowered below what is in use, nothing is cut: idle connections go, and no new ones are taken.
    void set_limits(const Limits& limits) { limits_ = limits, accept(); }
    // A request that does not fit the configuration it began with.
    std::function<void(const ConfigSnapshotPtr&, const HttpRequest&)> on_invalid_request;

    // From now on each answer closes its connection, and idle ones are closed; new ones are still taken.
    // What comes has until then at the longest.
    void drain(Millis latest);
    // Requests that have not come whole are answered so: the end is near.
    void reject_incomplete();
    // Connections with nothing on them: no request here, none in the kernel.
    void close_idle();
    // No new ones either. What waits in the kernel is taken first; false: there was no descriptor for it, and
    // it is to be asked again.
    bool stop_accepting();
    // Connections with a request being read, served or answered.
    bool busy() const;
    std::size_t connections() const { return sessions_.size(); }
    const CloseCounts& closes() const { return closes_; }
    bool reading() const;    // part of a request has come
    void check_deadlines();  // at all time limits, as it does of itself every 50 ms

private:
    class Session;
    using Sessions = std::list<std::shared_ptr<Session>>;

    void open_acceptor(const tcp::endpoint& at);
    void accept();
    bool make_room();
    Millis waited_for_accept(tcp::socket& socket);
    Millis waited_for_loop();
    void admit(tcp::socket socket);
    bool empty_queue();  // into sessions; false: there is or may be more in it
    void closed(Session& session);
    void sweep();
    bool crowded() const { return sessions_.size() * 8 > limits_.connections * 7; }
    bool ready() const { return ready_ && !draining_ && sidecar_.has_endpoints(); }

    asio::io_context& io_;
    const Clock& clock_;
    BalancerDriver& sidecar_;
    Limits limits_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_, sweep_;
    Sessions sessions_;                     // those quiet longest come first
    std::unordered_set<std::string> open_;  // ids of the requests that await their answer
    CloseCounts closes_{};
    std::size_t body_bytes_ = 0;  // claimed by requests held
    UnreadTime loop_backlog_, accept_backlog_;
    Millis sweep_due_ = 0;
    Millis latest_ = 0;
    bool ready_ = false;
    bool draining_ = false;
    bool accepting_ = false;
    bool paused_ = false;  // out of descriptors
    bool stopped_ = false;
};

}  // namespace ochregrade::sidecar
