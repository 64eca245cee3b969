#include "proxy/client_session.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "common/log.hpp"
#include "common/socket_io.hpp"
#include "common/trace.hpp"
#include "proxy/request_validation.hpp"

namespace ochregrade::sidecar {

namespace {

// Timeouts in milliseconds. The protocol requires a response or a close within 3 s, however little a client
// sends.
// A whole request must arrive within kReadTimeout: a connection's first request from the connection's start,
// each later request from its first byte. If that time started long before the connection was accepted or the
// first byte was read, the client still has kMinReadTimeout from then.
constexpr Millis kReadTimeout = 2500;
constexpr Millis kMinReadTimeout = 200;
constexpr Millis kWriteTimeout = 5000;  // for writing a whole response, which a client may not read
constexpr Millis kLingerTimeout = 500;  // for the client to read the last response
// Milliseconds that a new connection may take to send its first request before a drain closes it.
constexpr Millis kFirstRequestGrace = 200;
// Milliseconds from state_since_ after which a session may be evicted: a session that lingers, or that is
// idle and has had no valid request yet (kSilentGrace); one that reads a request and has had no valid request
// yet (kSlowGrace); and an idle one that has had a valid request, because its client may still rely on the
// connection (kIdleGrace).
constexpr Millis kSilentGrace = 20;
constexpr Millis kSlowGrace = 150;
constexpr Millis kIdleGrace = 2000;
// Milliseconds subtracted from the client's time left, so that the response arrives by the client's deadline.
constexpr Millis kResponseMargin = 5;
// Bytes of a request, and of an input buffer, that do not count towards the memory for requests: nearly all
// requests are smaller, and bad clients cannot use up this part.
constexpr std::size_t kFreeRequestBytes = 4096;
constexpr std::size_t kFreeInputBytes = kClientReadSize;
// Bytes of a response being written that do not count towards the memory for responses.
constexpr std::size_t kFreeOutputBytes = 4096;

/// A request together with the memory reserved for it, which is released with the last reference to it: an
/// attempt may still be in flight when the client has disconnected.
struct ReservedRequest {
    ReservedRequest(HttpRequest request, MemoryReservation& reserved)
        : message(std::move(request)), memory(reserved.hand_over()) {}
    HttpRequest message;
    MemoryReservation memory;
};

http::status status_for(error_code ec) {
    if (ec == http::error::body_limit) return http::status::payload_too_large;
    if (ec == http::error::header_limit) return http::status::request_header_fields_too_large;
    return http::status::bad_request;
}

// The name of the state in the trace.
std::string_view to_string(ClientSession::State state) {
    constexpr std::array<std::string_view, 6> kNames = {"idle",    "reading",   "waiting",
                                                        "writing", "lingering", "closed"};
    return kNames.at(static_cast<std::size_t>(state));
}

}  // namespace

// ---- Lifetime

ClientSession::ClientSession(ListenerContext& context, tcp::socket socket, Millis waited)
    : context_(context),
      socket_(std::move(socket)),
      request_memory_(context.request_memory, kFreeRequestBytes),
      input_memory_(context.request_memory, kFreeInputBytes),
      output_memory_(context.driver.response_memory(), kFreeOutputBytes),
      waited_(waited),
      state_since_(context.clock.now()) {}

void ClientSession::start(ListenerContext& context, const std::shared_ptr<ClientSession>& session) {
    session->position_ = context.sessions.insert(context.sessions.end(), session);
    error_code ec;
    session->socket_.set_option(tcp::no_delay(true), ec);
    session->socket_.non_blocking(true, ec);
    // The timeout counts from `waited_` milliseconds before now, because the client may have connected and
    // sent long before the connection was accepted.
    session->deadline_ = session->state_since_ + std::max(kReadTimeout - session->waited_, kMinReadTimeout);
    session->receive();
}

bool ClientSession::is_quiet() {
    // A client that opens a connection is expected to send a request on it at once.
    const bool is_new = first_request_ && context_.clock.now() < state_since_ + kFirstRequestGrace;
    return state_ == State::idle && input_.size() == 0 && !is_new && !has_unread_bytes();
}

ClientSession::EvictionRank ClientSession::eviction_rank(Millis now) const {
    const Millis age = now - state_since_;
    if (state_ == State::idle && first_request_ && age >= kSilentGrace) return EvictionRank::silent;
    if (state_ == State::lingering && age >= kSilentGrace) return EvictionRank::lingering;
    if (state_ == State::reading && first_request_ && age >= kSlowGrace) return EvictionRank::slow;
    if (state_ == State::idle && !first_request_ && age >= kIdleGrace) return EvictionRank::idle;
    return EvictionRank::never;
}

void ClientSession::close(CloseReason reason) {
    if (state_ == State::closed) return;
    const State before = state_;
    context_.driver.rule_guard().check_close(before == State::waiting, reason == CloseReason::peer_closed);
    ++context_.closes[static_cast<std::size_t>(reason)];
    if (tracing()) trace_close(before, reason);
    state_ = State::closed;
    error_code ignored;
    socket_.close(ignored);
    remember_departed(before);
    release_request();
    drop_pipelined();
    context_.remove(position_);
}

// Notes the request whose client has left without its response. If the client comes again with the same id,
// the request must not run twice.
void ClientSession::remember_departed(State before) {
    const bool unread = before == State::writing || response_unread_;
    if (before == State::waiting && context_.driver.client_disconnected(request_id_))
        unconfirmed_id_ = open_request_id_;
    else if (!unread)
        return;
    if (!unconfirmed_id_.empty()) context_.departed_requests.add(unconfirmed_id_, context_.clock.now());
}

void ClientSession::trace_close(State before, CloseReason reason) const {
    trace_event("client_connection_closed",
                {{"id", open_request_id_}, {"state", to_string(before)}, {"reason", to_string(reason)}});
}

void ClientSession::on_deadline() {
    if (state_ == State::waiting) return context_.driver.fail_for_pipelined(request_id_);
    if (state_ == State::reading) return reject(http::status::request_timeout);
    if (state_ == State::idle && has_unread_bytes()) return;  // about to be read
    close(state_ == State::lingering ? CloseReason::answered : CloseReason::timeout);
}

void ClientSession::resume_reading() {
    discarded_pipelined_bytes_ = 0;
    if (state_ == State::waiting) receive();
}

void ClientSession::become_idle() {
    state_ = State::idle;
    deadline_ = 0;
    state_since_ = context_.clock.now();
    if (context_.draining && is_quiet()) return close(CloseReason::draining);
    context_.sessions.splice(context_.sessions.end(), context_.sessions, position_);
    if (input_.size() > 0) return start_reading_request();
    if (input_.capacity() > kClientReadSize) shrink_input();
    receive();
    context_.accept_next();  // this session may now be evicted
}

// ---- Requests

void ClientSession::start_reading_request() {
    state_ = State::reading;
    pipelined_.remove_first();
    const Millis now = context_.clock.now();
    // The request's time runs from its arrival, which may be earlier than now: the request may have been
    // pipelined, or unread while the process was paused or could not accept connections.
    request_started_at_ =
        pipelined_since_.value_or(now - std::max(std::exchange(waited_, 0), context_.loop_waited()));
    pipelined_since_.reset();
    if (deadline_ == 0) deadline_ = std::max(request_started_at_ + kReadTimeout, now + kMinReadTimeout);
    parser_.emplace();
    parser_->header_limit(kMaxHeader);
    parser_->body_limit(kMaxBody);
    parser_->eager(false);
    head_checked_ = false;
    head_bytes_ = 0;
    parse();
}

void ClientSession::parse() {
    while (!parser_->is_done()) {
        const error_code ec = parse_buffered(*parser_, input_, head_bytes_);
        if (!head_checked_ && !reserve_request(0)) return reject(http::status::service_unavailable);
        if (ec == http::error::need_more) return receive();
        if (ec) return reject(status_for(ec));
        if (parser_->is_header_done() && !head_checked_) {
            head_checked_ = true;
            if (!accept_head()) return;
        }
    }
    handle_request();
}

bool ClientSession::is_health_check() const {
    const auto& head = parser_->get();
    return head.target() == "/healthz" && head.method() == http::verb::get;
}

// Reserves memory for the request as far as it has been parsed, with a body of `body_size` bytes.
bool ClientSession::reserve_request(std::size_t body_size) {
    return request_memory_.resize(parser_->field_memory() + parser_->get().target().size() + body_size);
}

// Validates the head and reserves memory for the body before the body is read. Returns false if the request
// has been rejected.
bool ClientSession::accept_head() {
    snapshot_ = context_.driver.snapshot();
    const HttpRequest& head = parser_->get();
    auto error = framing_error(head);
    const bool framing_valid = !error;
    if (!error && !is_health_check()) {
        error = request_error(head, snapshot_->config);
        if (error) context_.report_invalid_request(snapshot_, head);
    }
    const std::size_t length = parser_->chunked() ? kMaxBody : parser_->content_length().value_or(0);
    if (error) {
        keep_alive_ = framing_valid && length == 0 && head.keep_alive();
        write(HttpResponse(*error, 11), keep_alive_);
        return false;
    }
    if (reserve_request(length)) return true;
    reject(http::status::service_unavailable);
    return false;
}

void ClientSession::handle_request() {
    const bool chunked = parser_->chunked();
    const bool health_check = is_health_check();
    // A chunked request may be smaller than was reserved for it, and its trailers are in memory too.
    if (chunked && !reserve_request(parser_->get().body().size()))
        return reject(http::status::service_unavailable);
    const auto reserved = std::make_shared<ReservedRequest>(parser_->release(), request_memory_);
    auto request = std::shared_ptr<HttpRequest>(reserved, &reserved->message);
    parser_.reset();
    if (input_.size() > 0) pipelined_since_ = request_started_at_;  // earliest arrival of the next request
    keep_alive_ = request->keep_alive();
    first_request_ = false;
    unconfirmed_id_.clear();
    if (health_check) return respond_to_health_check();
    // The configuration in force at a request's last byte applies to the request, and the trailers of a
    // chunked request may have added headers. In both cases the request is validated again.
    const bool config_changed = snapshot_ != context_.driver.snapshot();
    snapshot_ = context_.driver.snapshot();
    if (chunked && framing_error(*request)) return reject(http::status::bad_request);
    if (chunked || config_changed) {
        if (const auto error = request_error(*request, snapshot_->config)) {
            if (config_changed) context_.report_invalid_request(snapshot_, *request);
            return write(HttpResponse(*error, 11), keep_alive_ && !chunked);
        }
    }
    std::string id((*request)["X-Correlation-Id"]);
    idempotent_ = request->method() == http::verb::get;  // request_error() has compared both
    const bool is_repeat = !idempotent_ && context_.departed_requests.contains(id, context_.clock.now());
    if (is_repeat || !context_.open_request_ids.insert(id).second) {
        if (tracing()) trace_event("id_rejected", {{"id", id}, {"client_had_left", is_repeat}});
        return write(HttpResponse(http::status::conflict, 11), keep_alive_);
    }
    open_request_id_ = std::move(id);
    forward(std::move(request));
}

void ClientSession::respond_to_health_check() {
    const bool ready = context_.ready();
    if (ready) context_.driver.rule_guard().check_ready(context_.driver.has_endpoints());
    write(HttpResponse(ready ? http::status::ok : http::status::service_unavailable, 11), keep_alive_);
}

// The request's time left in milliseconds, from its arrival. While draining, the time left is at most the
// time from now to the drain's deadline.
Millis ClientSession::time_left(const HttpRequest& request) const {
    // No client waits longer than the longest deadline of any request class.
    const Millis left =
        std::min(*parse_time_left(request["X-Time-Left"]), snapshot_->config.longest_deadline);
    return context_.draining ? std::min(left, context_.drain_deadline - context_.clock.now()) : left;
}

void ClientSession::forward(std::shared_ptr<HttpRequest> request) {
    const Millis spent = context_.clock.now() - request_started_at_;
    const Millis left = time_left(*request);
    strip_hop_by_hop(*request);
    request->prepare_payload();
    state_ = State::waiting;
    pipelined_.update(input_.data(), request_started_at_);
    deadline_ = deadline_for_pipelined();
    request_id_ =
        context_.driver.request_arrived(std::move(request), std::max(0.0, left - spent - kResponseMargin),
                                        weak_from_this(), std::move(snapshot_));
    receive();
}

// Releases the memory and the correlation id that the session holds for its request.
void ClientSession::release_request() {
    request_memory_.release();
    if (!open_request_id_.empty()) context_.open_request_ids.erase(open_request_id_);
    open_request_id_.clear();
}

// ---- Responses

void ClientSession::send_response(HttpResponse response) {
    if (state_ != State::waiting) return;  // the client has disconnected
    // A rejection shows that the request has not run.
    const bool rejected = response.result() == http::status::service_unavailable;
    if (!idempotent_ && !rejected) unconfirmed_id_ = open_request_id_;
    response_unread_ = !idempotent_ && peek(socket_) == SocketState::closed;
    release_request();
    write(std::move(response), keep_alive_);
}

void ClientSession::write(HttpResponse response, bool keep_alive) {
    state_ = State::writing;
    release_request();
    parser_.reset();
    snapshot_.reset();
    deadline_ = context_.clock.now() + kWriteTimeout;
    response.version(11);
    // Near the connection limit, an idle connection could prevent the next one from being accepted.
    keep_alive = keep_alive && !context_.draining && !context_.nearly_full();
    response.keep_alive(keep_alive);
    response.prepare_payload();
    output_ = serialize_message(response);
    output_memory_.take(output_.capacity());
    async_write_all(
        socket_, asio::buffer(output_),
        [this, self = shared_from_this(), keep_alive](error_code ec) { on_written(ec, keep_alive); });
}

void ClientSession::on_written(error_code ec, bool keep_alive) {
    if (state_ != State::writing) return;
    free_string(output_);
    output_memory_.take(output_.capacity());
    if (ec || disconnected_) return close(CloseReason::peer_closed);
    if (keep_alive && keep_alive_) return become_idle();
    linger();
}

// Waits for the client to close first, for at most kLingerTimeout and kMaxLingerBytes: if the socket were
// closed with unread bytes, the kernel would reset the connection and discard the response.
void ClientSession::linger() {
    state_ = State::lingering;
    state_since_ = context_.clock.now();
    deadline_ = state_since_ + kLingerTimeout;
    error_code ec;
    socket_.shutdown(tcp::socket::shutdown_send, ec);
    drop_pipelined();
    receive();
}

}  // namespace ochregrade::sidecar
