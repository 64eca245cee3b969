// Connections to servers: the pool, attempts and probes. It carries out what it is told, once, and says truly
// how it ended; above all whether the server may have run it. It never sends anything again.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "common/clock.hpp"
#include "common/http.hpp"
#include "ochregrade/balancer.hpp"
#include "proxy/close_reason.hpp"

namespace ochregrade::sidecar {

struct AttemptKey {
    RequestId id = 0;
    std::uint32_t attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
};

// Must outlive the running of the loop.
class UpstreamPool {
public:
    struct Limits {
        Millis connect_timeout = 1000;
        Millis idle_timeout = 15000;  // servers close what has been idle this long
        std::size_t connections = 400;
        Millis settle_time = 2;  // an answer's connection is not used again sooner
    };
    // May be called from within send(), cancel() and the like: they only note what happened.
    struct Handlers {
        std::function<void(AttemptKey, Outcome, HttpResponse*)> attempt_ended;
        std::function<void(EndpointId, Outcome, Millis)> probe_ended;
        // Asked whenever a connection has come up, and again before each further part of a request that the
        // kernel did not take at once (`begun`). False: nothing more of it is written.
        std::function<bool(AttemptKey, bool begun)> may_write{};
    };

    UpstreamPool(asio::io_context& io, const Clock& clock, Limits limits, Handlers handlers);
    ~UpstreamPool();

    // write_until: it goes out whole before this or not at all. No connect_timeout: that of the limits.
    void send(AttemptKey key, EndpointId server, const tcp::endpoint& to, RequestPtr request, Millis until,
              Millis write_until, std::optional<Millis> connect_timeout = {});
    // Its time is up: overdue, or no connection if its last byte has not gone out (then it never ran).
    void expire(AttemptKey key);
    // Not wanted any more: recalled, or superseded if its last byte has not gone out.
    void cancel(AttemptKey key);
    // Those of a request that have not been written whole never will be.
    void withdraw_request(RequestId id);
    // Those to a server that have not begun to be written never will be: for a server that drains a request
    // begins with its first byte. No connection to it is used again either, now or when what is out on it has
    // ended.
    void withdraw_endpoint(EndpointId server);
    void probe(EndpointId server, const tcp::endpoint& to);
    void close_idle(EndpointId server);
    // As withdrawn, but for what is still connecting.
    void retire(EndpointId server);

    // Lowered below what is in use, nothing is cut: idle connections go, and no new ones come up.
    void set_limits(const Limits& limits);

    std::size_t open() const { return open_; }
    std::size_t in_flight() const { return attempts_.size(); }
    std::size_t pools() const { return pools_.size(); }
    const CloseCounts& closes() const { return closes_; }

private:
    struct Link;
    using LinkPtr = std::shared_ptr<Link>;
    struct Pool;
    struct Job;

    void start(std::unique_ptr<Job> job, EndpointId server, const tcp::endpoint& to);
    void make_room();
    LinkPtr take_idle(EndpointId server, const tcp::endpoint& to);
    void connect(const LinkPtr& link);
    void dial(const LinkPtr& link);
    void dial_again(const LinkPtr& link);
    void connected(const LinkPtr& link, error_code error);
    bool may_write(const LinkPtr& link, bool begun);
    Millis time_to_tell(const Job& job) const;
    void write(const LinkPtr& link);
    void write_on(const LinkPtr& link);
    void read(const LinkPtr& link);
    void parse(const LinkPtr& link);
    void receive(const LinkPtr& link);
    void answered(const LinkPtr& link);
    void park(const LinkPtr& link);
    Millis idle_until(const Link& link) const;
    void close_in_time(const LinkPtr& link);
    void drop(const LinkPtr& link, CloseReason reason);
    void end(const LinkPtr& link, Outcome outcome, HttpResponse* response, bool keep);
    void report(std::unique_ptr<Job> job, EndpointId server, Outcome outcome, HttpResponse* response);
    void stop(AttemptKey key, Outcome unwritten, Outcome other);

    asio::io_context& io_;
    const Clock& clock_;
    Limits limits_;
    Handlers handlers_;
    std::map<AttemptKey, LinkPtr> attempts_;
    std::unordered_map<EndpointId, std::shared_ptr<Pool>> pools_;  // only those with connections
    std::size_t open_ = 0;
    CloseCounts closes_{};
};

}  // namespace ochregrade::sidecar
