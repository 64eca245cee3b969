#include "proxy/upstream_pool.hpp"

#include <algorithm>
#include <vector>

#include "common/trace.hpp"

namespace ochregrade::sidecar {

namespace {

// An idle connection is closed kIdleMargin milliseconds before its endpoint would close it, but at most
// 1/kIdleMarginDivisor of the idle timeout before.
constexpr Millis kIdleMargin = 1000;
constexpr Millis kIdleMarginDivisor = 4;

CloseReason close_reason_for(Outcome outcome) {
    switch (outcome) {
        case Outcome::success:
        case Outcome::server_error:
        case Outcome::overloaded:
            return CloseReason::answered;
        case Outcome::timeout:
            return CloseReason::timeout;
        case Outcome::connect_failure:
            return CloseReason::connect_failed;
        case Outcome::connection_reset:
            return CloseReason::peer_closed;
        case Outcome::cancelled:
        case Outcome::not_sent:
            break;
    }
    return CloseReason::cancelled;
}

}  // namespace

UpstreamPool::UpstreamPool(asio::io_context& io, const Clock& clock, Limits limits, Handlers handlers)
    : io_(io),
      clock_(clock),
      limits_(limits),
      handlers_(std::move(handlers)),
      response_memory_(std::make_shared<MemoryBudget>(limits.response_memory)) {
    response_memory_->on_release = [this] { on_memory_released(); };
}

UpstreamPool::~UpstreamPool() {
    response_memory_->on_release = nullptr;  // client sessions may release memory later
    // Breaks the reference cycle: an idle connection and its group own each other.
    for (const auto& [id, group] : groups_) group->idle.clear();
}

// ---- Attempts and probes

void UpstreamPool::send(AttemptKey key, EndpointId endpoint, const tcp::endpoint& address, RequestPtr request,
                        Millis deadline, Millis write_deadline, std::optional<Millis> connect_timeout) {
    auto exchange = std::make_unique<Exchange>();
    exchange->key = key;
    exchange->request = std::move(request);
    exchange->started_at = clock_.now();
    exchange->deadline = deadline;
    exchange->write_deadline = write_deadline;
    exchange->connect_timeout = connect_timeout.value_or(limits_.connect_timeout);
    start(std::move(exchange), endpoint, address);
}

void UpstreamPool::probe(EndpointId endpoint, const tcp::endpoint& address) {
    auto request = std::make_shared<HttpRequest>(http::verb::get, "/healthz", 11);
    request->set(http::field::host, address.address().to_string());
    auto exchange = std::make_unique<Exchange>();
    exchange->is_probe = true;
    exchange->request = std::move(request);
    exchange->started_at = clock_.now();
    exchange->deadline = exchange->started_at + limits_.connect_timeout;  // a slower endpoint is unhealthy
    start(std::move(exchange), endpoint, address);
}

void UpstreamPool::start(std::unique_ptr<Exchange> exchange, EndpointId endpoint,
                         const tcp::endpoint& address) {
    ConnectionPtr connection = take_idle(endpoint, address);
    const bool reused = connection != nullptr;
    if (!reused) connection = add_connection(endpoint, address);
    if (!exchange->is_probe) attempts_[exchange->key] = connection;
    if (reused && tracing()) trace_reuse(*connection, *exchange);
    connection->set_exchange(std::move(exchange));
    if (reused) return connection->write_request();
    // At the connection limit, no further descriptor may be used, so the request is not sent. The outcome
    // `not_sent` counts nothing against the endpoint.
    if (open_ > limits_.connections) return end_without_response(connection, Outcome::not_sent);
    connection->connect();
}

void UpstreamPool::trace_reuse(const Connection& connection, const Exchange& exchange) const {
    trace_event("upstream_reused", {{"request", std::string((*exchange.request)["X-Correlation-Id"])},
                                    {"port", connection.local_port()},
                                    {"idle_ms", clock_.now() - connection.idle_since()}});
}

void UpstreamPool::trace_close(const Connection& connection, CloseReason reason) const {
    if (connection.state() != Connection::State::idle) return;
    trace_event("upstream_idle_closed", {{"port", connection.local_port()},
                                         {"idle_ms", clock_.now() - connection.idle_since()},
                                         {"reason", to_string(reason)}});
}

bool UpstreamPool::may_write(const ConnectionPtr& connection, bool partly_written) {
    if (!handlers_.may_write) return true;
    const bool allowed = handlers_.may_write(connection->exchange()->key, partly_written);
    if (connection->state() == Connection::State::closed) return false;  // withdrawn by the handler
    if (!allowed) end_without_response(connection, Outcome::not_sent);
    return allowed;
}

void UpstreamPool::end_exchange(const ConnectionPtr& connection, Outcome outcome, HttpResponse* response,
                                bool reusable) {
    const bool keep = reusable && !connection->group().withdrawn;
    const std::unique_ptr<Exchange> exchange = connection->release_exchange();
    // The connection is closed or returned to the pool before the outcome is reported, so that a retry does
    // not overlap with this attempt.
    if (keep && open_ <= limits_.connections)  // the limit may have been lowered
        return_to_pool(connection);
    else
        close_connection(connection, close_reason_for(outcome));
    if (exchange->is_probe)
        return handlers_.probe_ended(connection->endpoint(), outcome, clock_.now() - exchange->started_at);
    attempts_.erase(exchange->key);
    handlers_.attempt_ended(exchange->key, outcome, response);
}

void UpstreamPool::end_without_response(const ConnectionPtr& connection, Outcome outcome) {
    end_exchange(connection, outcome, nullptr, false);
}

void UpstreamPool::stop(AttemptKey key, Outcome if_not_written, Outcome if_written) {
    const auto at = attempts_.find(key);
    if (at == attempts_.end()) return;
    const ConnectionPtr connection = at->second;
    // An endpoint starts a request when its last byte has arrived.
    const bool written = connection->state() == Connection::State::reading;
    end_without_response(connection, written ? if_written : if_not_written);
}

void UpstreamPool::expire(AttemptKey key) { stop(key, Outcome::connect_failure, Outcome::timeout); }
void UpstreamPool::cancel(AttemptKey key) { stop(key, Outcome::not_sent, Outcome::cancelled); }

void UpstreamPool::withdraw_request(RequestId id) {
    std::vector<ConnectionPtr> not_written;
    for (auto at = attempts_.lower_bound({id, 0}); at != attempts_.end() && at->first.id == id; ++at)
        if (at->second->state() != Connection::State::reading) not_written.push_back(at->second);
    for (const ConnectionPtr& connection : not_written) end_without_response(connection, Outcome::not_sent);
}

void UpstreamPool::withdraw_endpoint(EndpointId endpoint) {
    std::vector<ConnectionPtr> connecting;
    for (const auto& [key, connection] : attempts_)
        if (connection->endpoint() == endpoint && connection->state() == Connection::State::connecting)
            connecting.push_back(connection);
    for (const ConnectionPtr& connection : connecting) end_without_response(connection, Outcome::not_sent);
    retire(endpoint);
}

// ---- Connections

UpstreamPool::ConnectionPtr UpstreamPool::add_connection(EndpointId endpoint, const tcp::endpoint& address) {
    if (open_ >= limits_.connections) evict_idle();
    GroupPtr& group = groups_[endpoint];
    if (!group) group = std::make_shared<ConnectionGroup>();
    ++group->connections;
    ++open_;
    Connection::Owner& owner = *this;
    return std::make_shared<Connection>(io_, clock_, owner, endpoint, address, group, response_memory_);
}

// Takes the most recently used connection, so that older ones reach their idle limit and are closed. A
// connection that the endpoint has closed or that has received unexpected bytes is closed without trying to
// write to it: after a failed write, the request would have to be sent twice. A connection whose last
// response was acknowledged less than the quiet period ago is skipped, because further bytes behind that
// response would be taken for the next response.
UpstreamPool::ConnectionPtr UpstreamPool::take_idle(EndpointId endpoint, const tcp::endpoint& address) {
    const auto at = groups_.find(endpoint);
    if (at == groups_.end()) return nullptr;
    const GroupPtr group = at->second;  // removed from groups_ with its last connection
    const Millis now = clock_.now();
    const Millis quiet_since = now - limits_.quiet_period;
    for (std::size_t i = group->idle.size(); i-- > 0;) {
        ConnectionPtr connection = group->idle[i];
        if (const auto reason = reason_to_close(*connection, address, now)) {
            close_connection(connection, *reason);
            continue;
        }
        if (connection->acknowledged_at() > quiet_since) continue;
        group->idle.erase(group->idle.begin() + static_cast<std::ptrdiff_t>(i));
        connection->stop_idle_timer();
        return connection;
    }
    return nullptr;
}

// Why an idle connection must not be used for a request to `address`; nothing if it may be used.
std::optional<CloseReason> UpstreamPool::reason_to_close(Connection& connection, const tcp::endpoint& address,
                                                         Millis now) const {
    if (now >= idle_deadline(connection)) return CloseReason::idle;
    if (connection.address() != address) return CloseReason::peer_closed;
    const SocketState state = connection.socket_state();
    if (state == SocketState::no_data) return {};
    return close_reason_for_idle(state);
}

void UpstreamPool::return_to_pool(const ConnectionPtr& connection) {
    connection->become_idle();
    connection->group().idle.push_back(connection);
    connection->close_idle_at(idle_deadline(*connection));
}

// When an idle connection is closed, Clock milliseconds. This is well before the endpoint closes the
// connection, because a request written to a closed connection is lost.
Millis UpstreamPool::idle_deadline(const Connection& connection) const {
    return connection.idle_since() + limits_.idle_timeout -
           std::min(kIdleMargin, limits_.idle_timeout / kIdleMarginDivisor);
}

void UpstreamPool::close_connection(const ConnectionPtr& connection, CloseReason reason) {
    if (connection->state() == Connection::State::closed) return;
    if (tracing()) trace_close(*connection, reason);
    ++closes_[static_cast<std::size_t>(reason)];
    ConnectionGroup& group = connection->group();
    if (connection->state() == Connection::State::idle) std::erase(group.idle, connection);
    connection->close();
    --open_;
    const auto at = groups_.find(connection->endpoint());
    if (--group.connections == 0 && at != groups_.end() && connection->is_in(at->second)) groups_.erase(at);
}

// ---- Memory for responses

void UpstreamPool::wait_for_memory(const ConnectionPtr& connection) {
    waiting_for_memory_.push_back(connection);
}

void UpstreamPool::on_memory_released() {
    if (waiting_for_memory_.empty() || std::exchange(resume_posted_, true)) return;
    asio::post(io_, [this] { resume_waiting(); });
}

void UpstreamPool::resume_waiting() {
    resume_posted_ = false;
    while (!waiting_for_memory_.empty()) {
        const ConnectionPtr connection = waiting_for_memory_.front().lock();
        waiting_for_memory_.pop_front();
        if (!connection) continue;
        connection->resume_reading();
        if (!connection->waits_for_memory()) continue;
        waiting_for_memory_.pop_back();  // it was added again as the last one
        return waiting_for_memory_.push_front(connection);
    }
}

// ---- Limits

// Closes the connection that has been idle longest, if any is idle.
void UpstreamPool::evict_idle() {
    ConnectionPtr oldest;
    for (const auto& [id, group] : groups_)
        if (!group->idle.empty() && (!oldest || group->idle.front()->idle_since() < oldest->idle_since()))
            oldest = group->idle.front();
    if (oldest) close_connection(oldest, CloseReason::evicted);
}

void UpstreamPool::close_idle(EndpointId endpoint) {
    const auto at = groups_.find(endpoint);
    if (at == groups_.end()) return;
    const std::vector<ConnectionPtr> connections = at->second->idle;
    for (const ConnectionPtr& connection : connections) close_connection(connection, CloseReason::retired);
}

void UpstreamPool::retire(EndpointId endpoint) {
    close_idle(endpoint);
    const auto at = groups_.find(endpoint);
    if (at == groups_.end()) return;
    at->second->withdrawn = true;
    groups_.erase(at);
}

void UpstreamPool::set_limits(const Limits& limits) {
    limits_ = limits;
    response_memory_->set_limit(limits.response_memory);
    on_memory_released();
    for (std::size_t before = open_ + 1; open_ > limits_.connections && open_ < before;) {
        before = open_;
        evict_idle();
    }
    for (const auto& [id, group] : groups_)
        for (const ConnectionPtr& connection : group->idle)
            connection->close_idle_at(idle_deadline(*connection));
}

}  // namespace ochregrade::sidecar
