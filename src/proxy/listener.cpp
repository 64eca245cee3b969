#include "proxy/listener.hpp"

#include <netinet/tcp.h>

#include "common/log.hpp"
#include "common/open_with_retry.hpp"
#include "common/socket_io.hpp"
#include "common/trace.hpp"
#include "proxy/pipelined_requests.hpp"
#include "proxy/request_validation.hpp"

namespace ochregrade::sidecar {

namespace {

// A client is owed an answer or an end within 3 s, however little it sends.
constexpr Millis kReadTime = 2500;      // for a whole request, from the connection's start or its first byte
constexpr Millis kLeastReadTime = 200;  // for the rest of one whose first bytes came long before its turn
// A request that others have been sent behind is answered so long after the first of their times is over:
// they are owed their answers 0.5 s after it, and it takes a sweep to notice and a moment to answer them.
constexpr Millis kBehindGrace = RuleGuard::kAnswerGrace - 150;
constexpr Millis kWriteTime = 5000;  // for an answer that the client does not read
constexpr Millis kLingerTime = 500;  // for the client to read the last answer
constexpr std::size_t kLingerBytes = 256 * 1024;
constexpr std::chrono::milliseconds kAcceptRetry{20}, kSweep{50};
// A sweep that is later than this tells that the loop has not turned.
constexpr Millis kLateSweep = 20;
// Connections that the kernel holds until they are accepted.
constexpr int kBacklog = 1024;
// Which connections may go for another: silent ones never used, those long in sending their first request,
// and idle ones that a client may still count on, but not within 2 s.
// How long a connection that has just come up is left to its first request in a drain.
constexpr Millis kFirstRequestGrace = 200;
constexpr Millis kSilentGrace = 20, kSlowGrace = 150, kIdleGrace = 2000;
// Taken off the client's time: the answer has to be there before it gives up, not on its way.
constexpr Millis kAnswerMargin = 5;
// What comes ahead of its turn is held up to the first of these, within the memory for bodies up to the
// second: one whole request. More is thrown away and the connection closed after the answer under way: left
// unread it would hide that the client leaves. So much at most is thrown away from one sweep to the next: of
// the 4 MB that a kernel holds for a sender all in 0.2 s.
constexpr std::size_t kReadSize = 4096, kAhead = kMaxHeader, kMostAhead = kMaxHeader + kMaxBody,
                      kThrownAway = 1024 * 1024, kThrowSize = 64 * 1024;
// What the kernel holds unread counts as memory too, and a sender at full speed fills it.
constexpr int kKernelBuffer = 64 * 1024;

http::status status_for(error_code ec) {
    if (ec == http::error::body_limit) return http::status::payload_too_large;
    if (ec == http::error::header_limit) return http::status::request_header_fields_too_large;
    return http::status::bad_request;
}

// What Linux reports of a connection that its other side has ended or that the network has broken.
bool is_departure(error_code ec) {
    return ec == asio::error::eof || ec == asio::error::connection_reset || ec == asio::error::broken_pipe ||
           ec == asio::error::timed_out || ec == asio::error::host_unreachable ||
           ec == asio::error::network_unreachable || ec == asio::error::connection_aborted ||
           ec == asio::error::network_down;
}

}  // namespace

// One connection: idle, reading a request, waiting for its answer, writing that, and so on until it closes.
class Listener::Session : public Client, public std::enable_shared_from_this<Session> {
public:
    enum class State { idle, reading, waiting, writing, lingering, closed };

    // `waited`: how long its first bytes may have been in the kernel when it was accepted.
    Session(Listener& owner, tcp::socket socket, Millis waited)
        : owner_(owner), socket_(std::move(socket)), waited_(waited), since_(owner.clock_.now()) {}

    State state() const { return state_; }
    // Something has come that was not read yet; closing then may take a whole request away.
    bool unread() { return peek(socket_) == Quiet::bytes; }
    // An idle one that has nothing in the kernel either, and is not just about to: whoever opens a connection
    // sends on it at once.
    bool quiet() {
        const bool just_opened = new_ && owner_.clock_.now() < since_ + kFirstRequestGrace;
        return state_ == State::idle && in_.size() == 0 && !just_opened && !unread();
    }

    // Which go first to make room for another, the least first; kStays: it does not go.
    static constexpr int kStays = 4;
    int rank(Millis now) const {
        const Millis age = now - since_;
        if (state_ == State::idle && new_ && age >= kSilentGrace) return 0;
        if (state_ == State::lingering && age >= kSilentGrace) return 1;
        if (state_ == State::reading && new_ && age >= kSlowGrace) return 2;
        if (state_ == State::idle && !new_ && age >= kIdleGrace) return 3;
        return kStays;
    }

    void start() {
        error_code ec;
        socket_.set_option(tcp::no_delay(true), ec);
        socket_.non_blocking(true, ec);
        // From the start, whatever comes when, and from before that where it could not be accepted at once.
        until_ = since_ + std::max(kReadTime - waited_, kLeastReadTime);
        receive();
    }

    void answer(HttpResponse response) override {
        if (state_ != State::waiting) return;  // the client has left
        release();
        write(std::move(response), keep_);
    }

    void close(CloseReason reason) {
        if (state_ == State::closed) return;
        const State before = state_;
        owner_.sidecar_.rule_guard().check_close(before == State::waiting,
                                                 reason == CloseReason::peer_closed);
        ++owner_.closes_[static_cast<std::size_t>(reason)];
        if (tracing()) trace_close(before, reason);
        state_ = State::closed;
        error_code ignored;
        socket_.close(ignored);
        release();
        claim_ahead(0);
        if (before == State::waiting) owner_.sidecar_.client_disconnected(id_);
        owner_.closed(*this);
    }

    void check_disconnected() override {
        if (state_ == State::waiting && peek(socket_) == Quiet::ended) close(CloseReason::peer_closed);
    }

    bool is_due(Millis now) const { return until_ > 0 && now >= until_; }
    void time_is_up() {
        if (state_ == State::waiting) return owner_.sidecar_.fail_for_pipelined(id_);
        if (state_ == State::reading) return reject(http::status::request_timeout);
        if (state_ == State::idle && unread()) return;  // it is about to be read
        close(state_ == State::lingering ? CloseReason::answered : CloseReason::timeout);
    }
    void read_on() {
        thrown_ = 0;
        if (state_ == State::waiting) receive();
    }

    Sessions::iterator place;

private:
    void idle() {
        state_ = State::idle;
        until_ = 0;
        since_ = owner_.clock_.now();
        if (owner_.draining_ && quiet()) return close(CloseReason::draining);
        owner_.sessions_.splice(owner_.sessions_.end(), owner_.sessions_, place);
        if (in_.size() > 0) return begin();
        if (in_.capacity() > kReadSize) in_.shrink_to_fit();
        receive();
        owner_.accept();  // one that waits may now find room
    }

    // Waited for in whichever state: it notices the client's leaving too. What has come stays in the kernel
    // until it is handled here. A read under way would take it out of there some turns earlier, and whoever
    // closes quiet connections meanwhile would close one whose request has come.
    void receive() {
        if (receiving_ || state_ == State::closed) return;
        receiving_ = true;
        socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code ec) {
            receiving_ = false;
            if (state_ == State::closed) return;
            std::array<char, kThrowSize> chunk;
            const std::size_t wanted = state_ == State::waiting && !keep_ ? kThrowSize : kReadSize;
            Transfer transfer{0, ec};
            if (!ec) transfer = read_available(socket_, asio::buffer(chunk.data(), wanted));
            if (!transfer.error && transfer.bytes == 0) return receive();
            try {
                received(transfer.error, asio::buffer(chunk, transfer.bytes));
            } catch (const std::exception& error) {
                // Of one connection: what goes wrong with it must not touch the others.
                log_line(std::string("a connection failed: ") + error.what());
                close(CloseReason::error);
            }
        });
    }

    void received(error_code ec, asio::const_buffer came) {
        const std::size_t n = came.size();
        if (state_ == State::lingering) {
            discarded_ += n;
            if (ec || discarded_ > kLingerBytes) return close(CloseReason::answered);
            return receive();
        }
        if (ec) {
            if (state_ != State::writing)
                return close(is_departure(ec) ? CloseReason::peer_closed : CloseReason::error);
            left_ = true;
            return;
        }
        const bool ahead = state_ == State::waiting || state_ == State::writing;
        if (ahead && (!keep_ || !hold_ahead(n))) {
            keep_ = false;  // what was to follow is not whole any more
            forget_ahead();
            thrown_ += n;
            if (thrown_ < kThrownAway) receive();
            return;
        }
        if (ahead && !ahead_since_) ahead_since_ = owner_.clock_.now() - owner_.waited_for_loop();
        in_.commit(asio::buffer_copy(in_.prepare(n), came));
        if (state_ == State::idle) return begin();
        if (state_ == State::reading) return parse();
        behind_.update(in_.data(), owner_.clock_.now() - owner_.waited_for_loop());
        if (state_ == State::waiting) until_ = time_for_those_behind();
        // The next request, ahead of this one's answer. It is read when its turn comes; the reading goes on
        // for the client's leaving.
        receive();
    }

    bool hold_ahead(std::size_t more) {
        const std::size_t all = in_.size() + more;
        const std::size_t others = owner_.body_bytes_ - ahead_claimed_;
        if (all > kMostAhead || (all > kAhead && others + all - kAhead > owner_.limits_.body_bytes))
            return false;
        claim_ahead(all);
        return true;
    }
    void claim_ahead(std::size_t bytes) {
        owner_.body_bytes_ -= ahead_claimed_;
        ahead_claimed_ = bytes > kAhead ? bytes - kAhead : 0;
        owner_.body_bytes_ += ahead_claimed_;
    }
    void forget_ahead() {
        in_.clear();
        in_.shrink_to_fit();
        ahead_since_.reset();
        behind_.clear();
        claim_ahead(0);
    }
    // When the request under way has to be over for them; 0 where nobody waits behind it.
    Millis time_for_those_behind() const {
        const auto deadline = keep_ ? behind_.first_deadline() : std::nullopt;
        return deadline ? *deadline + kBehindGrace : 0;
    }

    void begin() {
        state_ = State::reading;
        behind_.begin_next();
        const Millis now = owner_.clock_.now();
        // Its time runs from its arrival: ahead of its turn, or while nobody read.
        began_ = ahead_since_.value_or(now - std::max(std::exchange(waited_, 0), owner_.waited_for_loop()));
        ahead_since_.reset();
        claim_ahead(0);  // its body is claimed by its head
        if (until_ == 0) until_ = std::max(began_ + kReadTime, now + kLeastReadTime);
        parser_.emplace();
        parser_->header_limit(kMaxHeader);
        parser_->body_limit(kMaxBody);
        parser_->eager(false);
        head_seen_ = false;
        head_bytes_ = 0;
        parse();
    }

    void parse() {
        while (!parser_->is_done()) {
            const error_code ec = feed(*parser_, in_, head_bytes_);
            if (ec == http::error::need_more) return receive();
            if (ec) return reject(status_for(ec));
            if (parser_->is_header_done() && !head_seen_) {
                head_seen_ = true;
                if (!look_at_head()) return;
            }
        }
        handle();
    }

    bool is_health() const {
        const auto& head = parser_->get();
        return head.target() == "/healthz" && head.method() == http::verb::get;
    }

    // No body is read before its head is found good and there is room for it. False: it was turned away.
    bool look_at_head() {
        snapshot_ = owner_.sidecar_.snapshot();
        const HttpRequest& head = parser_->get();
        auto fault = framing_fault(head);
        const bool framed = !fault;
        if (!fault && !is_health()) {
            fault = form_fault(head, snapshot_->config);
            if (fault && owner_.on_invalid_request) owner_.on_invalid_request(snapshot_, head);
        }
        const std::size_t length = parser_->chunked() ? kMaxBody : parser_->content_length().value_or(0);
        if (fault) {
            keep_ = framed && length == 0 && head.keep_alive();
            write(HttpResponse(*fault, 11), keep_);
            return false;
        }
        if (owner_.body_bytes_ + length > owner_.limits_.body_bytes) {
            reject(http::status::service_unavailable);
            return false;
        }
        claimed_ = length;
        owner_.body_bytes_ += length;
        return true;
    }

    void handle() {
        const bool chunked = parser_->chunked();
        const bool health = is_health();
        auto request = std::make_shared<HttpRequest>(parser_->release());
        parser_.reset();
        claim_ahead(in_.size());
        if (in_.size() > 0) ahead_since_ = began_;  // what follows came with it
        keep_ = request->keep_alive();
        new_ = false;
        if (health) {
            const bool ready = owner_.ready();
            if (ready) owner_.sidecar_.rule_guard().check_ready(owner_.sidecar_.has_endpoints());
            return write(HttpResponse(ready ? http::status::ok : http::status::service_unavailable, 11),
                         keep_);
        }
        // A request comes with its last byte. What follows the chunks may add to the head.
        const bool changed = snapshot_ != owner_.sidecar_.snapshot();
        snapshot_ = owner_.sidecar_.snapshot();
        if (chunked && framing_fault(*request)) return reject(http::status::bad_request);
        if (const auto fault = chunked || changed ? form_fault(*request, snapshot_->config) : std::nullopt) {
            if (changed && owner_.on_invalid_request) owner_.on_invalid_request(snapshot_, *request);
            return write(HttpResponse(*fault, 11), keep_ && !chunked);
        }
        std::string name((*request)["X-Correlation-Id"]);
        if (!owner_.open_.insert(name).second) return write(HttpResponse(http::status::conflict, 11), keep_);
        open_name_ = std::move(name);
        const Millis spent = owner_.clock_.now() - began_;
        // Longer than any class waits, no client does.
        Millis left =
            std::min(*parse_time_left((*request)["X-Time-Left"]), snapshot_->config.longest_deadline);
        if (owner_.draining_) left = std::min(left, owner_.latest_ - owner_.clock_.now());
        strip_hop_by_hop(*request);
        request->prepare_payload();
        state_ = State::waiting;
        behind_.update(in_.data(), began_);
        until_ = time_for_those_behind();
        id_ = owner_.sidecar_.request_arrived(std::move(request), std::max(0.0, left - spent - kAnswerMargin),
                                              weak_from_this(), std::move(snapshot_));
        receive();
    }

    void trace_close(State before, CloseReason reason) const {
        constexpr std::array<std::string_view, 6> kStates = {"idle",    "reading",   "waiting",
                                                             "writing", "lingering", "closed"};
        trace_event("client_connection_closed", {{"id", open_name_},
                                                 {"state", kStates.at(static_cast<std::size_t>(before))},
                                                 {"reason", to_string(reason)}});
    }

    void release() {
        owner_.body_bytes_ -= std::exchange(claimed_, 0);
        if (!open_name_.empty()) owner_.open_.erase(open_name_);
        open_name_.clear();
    }

    void reject(http::status status) { write(HttpResponse(status, 11), false); }

    void write(HttpResponse response, bool keep) {
        state_ = State::writing;
        release();
        parser_.reset();
        snapshot_.reset();
        until_ = owner_.clock_.now() + kWriteTime;
        response.version(11);
        // In a house nearly full, one that asks once and stays would keep the next from being taken at all.
        keep = keep && !owner_.draining_ && !owner_.crowded();
        response.keep_alive(keep);
        response.prepare_payload();
        out_ = text_of_message(response);
        async_write_all(socket_, asio::buffer(out_), [this, self = shared_from_this(), keep](error_code ec) {
            if (state_ != State::writing) return;
            out_ = std::string();
            if (ec || left_) return close(CloseReason::peer_closed);
            if (keep && keep_) return idle();
            linger();
        });
    }

    // Closed with bytes unread, the kernel would reset the connection and the answer with it.
    void linger() {
        state_ = State::lingering;
        since_ = owner_.clock_.now();
        until_ = since_ + kLingerTime;
        error_code ec;
        socket_.shutdown(tcp::socket::shutdown_send, ec);
        forget_ahead();
        receive();
    }

    Listener& owner_;
    tcp::socket socket_;
    State state_ = State::idle;
    bool receiving_ = false;
    bool new_ = true;    // no request has come whole and good yet
    bool left_ = false;  // the client has, while its answer was written
    bool head_seen_ = false;
    bool keep_ = true;
    beast::flat_buffer in_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::string out_;             // the answer being written
    ConfigSnapshotPtr snapshot_;  // that the request being read began with
    RequestId id_ = 0;
    std::string open_name_;
    std::size_t head_bytes_ = 0, claimed_ = 0, discarded_ = 0, ahead_claimed_ = 0, thrown_ = 0;
    Millis waited_;  // see the constructor; until its first request
    PipelinedRequests behind_;
    std::optional<Millis> ahead_since_;         // when the first of what was sent ahead was read
    Millis since_ = 0, began_ = 0, until_ = 0;  // in this state; its request; closed or told off after
};

Listener::Listener(asio::io_context& io, const Clock& clock, BalancerDriver& sidecar, Limits limits)
    : io_(io), clock_(clock), sidecar_(sidecar), limits_(limits), acceptor_(io), retry_(io), sweep_(io) {}
Listener::~Listener() = default;

void Listener::listen(const tcp::endpoint& at) {
    listen_with_retry("listen", at, [&] { open_acceptor(at); });
    // Asio would take a connection that its client has given up (ECONNABORTED, EPROTO) for an empty queue,
    // and wait for an edge that does not come for those behind it; its blocking call would wait in poll.
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
    accept();
    sweep();
}

void Listener::open_acceptor(const tcp::endpoint& at) {
    error_code ignored;
    acceptor_.close(ignored);  // of a try that failed half way
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    // Passed on to what it takes.
    acceptor_.set_option(asio::socket_base::receive_buffer_size(kKernelBuffer));
    acceptor_.bind(at);
    acceptor_.listen(kBacklog);
    acceptor_.non_blocking(true);
}

void Listener::accept() {
    if (accepting_ || paused_ || stopped_) return;
    // One over the limit is taken and another goes for it. With all others busy the next waits in the kernel
    // until one is idle or closes.
    if (sessions_.size() > limits_.connections && !make_room()) return accept_backlog_.blocked(clock_.now());
    accept_backlog_.resumed(clock_.now());
    accepting_ = true;
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        accepting_ = false;
        if (stopped_) return;
        if (!ec) admit(std::move(socket));
        if (is_shortage(ec)) {
            // The connection stays in the kernel, and asking again at once would spin.
            log_line("accept: " + ec.message());
            accept_backlog_.blocked(clock_.now());
            paused_ = true;
            retry_.expires_after(kAcceptRetry);
            retry_.async_wait([this](error_code stop) {
                paused_ = false;
                if (!stop) accept();
            });
            return;
        }
        accept();
    });
}

bool Listener::make_room() {
    const Millis now = clock_.now();
    std::shared_ptr<Session> first;
    int rank = Session::kStays;
    for (const auto& session : sessions_) {  // those quiet longest come first
        const int own = session->rank(now);
        if (own >= rank || (session->state() != Session::State::lingering && session->unread())) continue;
        first = session, rank = own;
        if (rank == 0) break;
    }
    if (!first) return false;
    accepting_ = true;  // not from within its closing
    first->close(CloseReason::made_room);
    accepting_ = false;
    return true;
}

void Listener::admit(tcp::socket socket) {
    const Millis waited = waited_for_accept(socket);
    auto session = std::make_shared<Session>(*this, std::move(socket), waited);
    session->place = sessions_.insert(sessions_.end(), session);
    session->start();
}

// How long the first bytes of a connection that is accepted now have been there. The kernel tells it where it
// is TCP's own; the time for which nothing could be accepted is the most it can be.
Millis Listener::waited_for_accept(tcp::socket& socket) {
    const Millis most = accept_backlog_.waited(clock_.now());
    if (most <= 0) return 0;
    tcp_info info{};
    socklen_t length = sizeof info;
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) != 0) return most;
    return std::min<Millis>(most, info.tcpi_last_data_recv);
}

// How long what is read now may have been there because the loop did not turn.
Millis Listener::waited_for_loop() {
    const Millis now = clock_.now();
    const Millis late = now - sweep_due_;
    return std::max(loop_backlog_.waited(now), late > kLateSweep ? late : 0);
}

void Listener::closed(Session& session) {
    sessions_.erase(session.place);
    accept();
}

// One timer for all connections' time limits: none is exact, and one each would cost more than the requests.
void Listener::sweep() {
    sweep_due_ = clock_.now() + std::chrono::duration<Millis, std::milli>(kSweep).count();
    sweep_.expires_after(kSweep);
    sweep_.async_wait([this](error_code ec) {
        if (ec) return;
        if (const Millis now = clock_.now(); now > sweep_due_ + kLateSweep) {
            loop_backlog_.blocked(sweep_due_);
            loop_backlog_.resumed(now);
        }
        check_deadlines();
        sweep();
    });
}

void Listener::check_deadlines() {
    const Millis now = clock_.now();
    std::vector<std::shared_ptr<Session>> due;
    for (const auto& session : sessions_)
        if (session->is_due(now))
            due.push_back(session);
        else
            session->read_on();
    for (const auto& session : due) session->time_is_up();
    // A limit lowered while more were open.
    while (sessions_.size() > limits_.connections + 1 && make_room()) {
    }
    accept();
}

void Listener::drain(Millis latest) {
    draining_ = true;
    latest_ = latest;
    close_idle();
}

void Listener::reject_incomplete() {
    const Sessions all = sessions_;
    for (const auto& session : all)
        if (session->state() == Session::State::reading) session->time_is_up();
}

void Listener::close_idle() {
    const Sessions all = sessions_;
    for (const auto& session : all)
        if (session->quiet()) session->close(CloseReason::draining);
}

bool Listener::stop_accepting() {
    if (stopped_) return true;
    if (!empty_queue()) return false;
    stopped_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    close_idle();
    return true;
}

// Of accept's errors only one says that the queue is empty. The others are of one connection in it, or of a
// call that was interrupted, and there may be more behind it. Not without end: it is asked again soon.
bool Listener::empty_queue() {
    for (int failures = 0; failures < kBacklog;) {
        error_code ec;
        tcp::socket socket(io_);
        acceptor_.accept(socket, ec);
        if (!ec) {
            admit(std::move(socket));
        } else if (ec == asio::error::would_block || ec == asio::error::try_again) {
            return true;
        } else if (is_shortage(ec)) {
            return false;
        } else {
            ++failures;
        }
    }
    return false;
}

bool Listener::reading() const {
    return std::any_of(sessions_.begin(), sessions_.end(),
                       [](const auto& s) { return s->state() == Session::State::reading; });
}

bool Listener::busy() const { return !sessions_.empty(); }

}  // namespace ochregrade::sidecar
