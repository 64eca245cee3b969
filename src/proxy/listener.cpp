#include "proxy/listener.hpp"

#include <netinet/tcp.h>

#include <algorithm>
#include <vector>

#include "common/log.hpp"
#include "common/open_with_retry.hpp"
#include "control/listen_with_retry.hpp"
#include "proxy/client_session.hpp"

namespace ochregrade::sidecar {

namespace {

constexpr std::chrono::milliseconds kAcceptRetryInterval{20};
constexpr std::chrono::milliseconds kDeadlineCheckInterval{50};
// Connections that the kernel holds until they are accepted.
constexpr int kAcceptQueueLength = 1024;

}  // namespace

Listener::Listener(asio::io_context& io, const Clock& clock, BalancerDriver& driver, Limits limits)
    : io_(io),
      context_{clock, driver, limits, [this] { accept(); },
               [this](const ConfigSnapshotPtr& snapshot, const HttpRequest& request) {
                   if (on_invalid_request) on_invalid_request(snapshot, request);
               }},
      acceptor_(io),
      accept_retry_timer_(io),
      deadline_timer_(io) {}
Listener::~Listener() = default;

void Listener::listen(const tcp::endpoint& address) {
    listen_with_retry("listen", address, [&] { open_acceptor(address); });
    // Without this option, Asio treats a connection that its client has aborted (ECONNABORTED, EPROTO) like
    // an empty accept queue. An asynchronous accept then waits for an edge-triggered event, which does not
    // come for the connections that are already in the queue; a synchronous accept blocks in poll().
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
    accept();
    schedule_deadline_check();
}

void Listener::open_acceptor(const tcp::endpoint& address) {
    error_code ignored;
    acceptor_.close(ignored);  // open if an earlier call has failed
    acceptor_.open(address.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    // Accepted sockets inherit this buffer size.
    acceptor_.set_option(asio::socket_base::receive_buffer_size(kClientReceiveBuffer));
    acceptor_.bind(address);
    acceptor_.listen(kAcceptQueueLength);
    acceptor_.non_blocking(true);
}

// ---- Accepting

void Listener::accept() {
    if (accepting_ || paused_ || stopped_) return;
    // One connection over the limit is accepted. Then a session is evicted for it before the next accept.
    // While no session may be evicted, for example because all are busy, the next connection waits in the
    // accept queue until a session is closed or may be evicted.
    if (context_.sessions.size() > context_.limits.connections && !evict_session())
        return accept_delay_.blocked(context_.clock.now());
    accept_delay_.resumed(context_.clock.now());
    accepting_ = true;
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) { on_accepted(ec, std::move(socket)); });
}

void Listener::on_accepted(error_code ec, tcp::socket socket) {
    accepting_ = false;
    if (stopped_) return;
    if (!ec) admit(std::move(socket));
    if (is_resource_shortage(ec)) return pause_accepting(ec);
    accept();
}

// The connection stays in the accept queue, so accepting again at once would fail in a busy loop.
void Listener::pause_accepting(error_code shortage) {
    log_line("accept failed: " + shortage.message());
    accept_delay_.blocked(context_.clock.now());
    paused_ = true;
    accept_retry_timer_.expires_after(kAcceptRetryInterval);
    accept_retry_timer_.async_wait([this](error_code ec) {
        paused_ = false;
        if (!ec) accept();
    });
}

bool Listener::evict_session() {
    using Rank = ClientSession::EvictionRank;
    const Millis now = context_.clock.now();
    std::shared_ptr<ClientSession> first;
    Rank first_rank = Rank::never;
    for (const auto& session : context_.sessions) {  // least recently used first
        const Rank rank = session->eviction_rank(now);
        if (rank >= first_rank) continue;
        if (session->state() != ClientSession::State::lingering && session->has_unread_bytes()) continue;
        first = session;
        first_rank = rank;
        if (rank == Rank::silent) break;
    }
    if (!first) return false;
    accepting_ = true;  // closing must not start an accept
    first->close(CloseReason::evicted);
    accepting_ = false;
    return true;
}

void Listener::admit(tcp::socket socket) {
    const Millis waited = waited_for_accept(socket);
    ClientSession::start(context_, std::make_shared<ClientSession>(context_, std::move(socket), waited));
}

// How long the first bytes of a connection that is accepted now have been in the kernel, in milliseconds: the
// time since the last data as TCP reports it, but at most the time for which no connection could be accepted.
// That maximum is returned if TCP reports nothing.
Millis Listener::waited_for_accept(tcp::socket& socket) {
    const Millis max_wait = accept_delay_.waited(context_.clock.now());
    if (max_wait <= 0) return 0;
    tcp_info info{};
    socklen_t length = sizeof info;
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) != 0) return max_wait;
    return std::min<Millis>(max_wait, info.tcpi_last_data_recv);
}

// ---- Deadlines

// One timer serves all connections: their timeouts need not be exact, and one timer per connection would cost
// more than the requests themselves.
void Listener::schedule_deadline_check() {
    context_.loop_delay.expect_check(
        context_.clock.now() + std::chrono::duration<Millis, std::milli>(kDeadlineCheckInterval).count());
    deadline_timer_.expires_after(kDeadlineCheckInterval);
    deadline_timer_.async_wait([this](error_code ec) {
        if (ec) return;
        context_.loop_delay.check_ran(context_.clock.now());
        check_deadlines();
        schedule_deadline_check();
    });
}

void Listener::check_deadlines() {
    const Millis now = context_.clock.now();
    std::vector<std::shared_ptr<ClientSession>> due;
    for (const auto& session : context_.sessions) {
        if (session->is_due(now))
            due.push_back(session);
        else
            session->resume_reading();
    }
    for (const auto& session : due) session->on_deadline();
    // The limit may have been lowered below the number of connections.
    while (context_.sessions.size() > context_.limits.connections + 1 && evict_session()) {
    }
    accept();
}

// ---- Drain

void Listener::drain(Millis deadline) {
    context_.draining = true;
    context_.drain_deadline = deadline;
    close_idle();
}

void Listener::reject_incomplete() {
    const SessionList sessions = context_.sessions;
    for (const auto& session : sessions)
        if (session->state() == ClientSession::State::reading) session->on_deadline();
}

void Listener::close_idle() {
    const SessionList sessions = context_.sessions;
    for (const auto& session : sessions)
        if (session->is_quiet()) session->close(CloseReason::draining);
}

bool Listener::stop_accepting() {
    if (stopped_) return true;
    if (!drain_accept_queue()) return false;
    stopped_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    close_idle();
    return true;
}

// Returns false if connections may be left in the queue. Only EAGAIN/EWOULDBLOCK means that the queue is
// empty. Any other error concerns one connection in the queue or an interrupted call, and further connections
// may be behind it. One call stops after kAcceptQueueLength such errors; the caller calls again soon.
bool Listener::drain_accept_queue() {
    for (int failures = 0; failures < kAcceptQueueLength;) {
        error_code ec;
        tcp::socket socket(io_);
        acceptor_.accept(socket, ec);
        if (!ec) {
            admit(std::move(socket));
        } else if (ec == asio::error::would_block || ec == asio::error::try_again) {
            return true;
        } else if (is_resource_shortage(ec)) {
            return false;
        } else {
            ++failures;
        }
    }
    return false;
}

bool Listener::reading() const {
    return std::any_of(context_.sessions.begin(), context_.sessions.end(),
                       [](const auto& session) { return session->state() == ClientSession::State::reading; });
}

}  // namespace ochregrade::sidecar
