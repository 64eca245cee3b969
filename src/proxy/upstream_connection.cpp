#include "proxy/upstream_connection.hpp"

#include <algorithm>

#include "common/log.hpp"
#include "common/socket_io.hpp"

namespace ochregrade::sidecar {

namespace {

constexpr std::size_t kReadSize = 4096;
constexpr int kMaxInterimResponses = 16;
// Receive buffer of an upstream connection, bytes. Unread bytes in the kernel count towards the process's
// memory, and an endless response fills the buffer at once.
constexpr int kUpstreamReceiveBuffer = 64 * 1024;
// Bytes of a response that do not count towards the memory for responses: most responses are smaller, and
// never wait for memory.
constexpr std::size_t kFreeResponseBytes = 4096;

// How long Linux may delay an acknowledgement, milliseconds (TCP_DELACK_MAX).
constexpr Millis kMaxAcknowledgementDelay = 200;

// The time left that is sent to an endpoint is reduced by kDeadlineMargin (milliseconds), but at most by
// kDeadlineMarginShare of the time left.
constexpr Millis kDeadlineMargin = 25;
constexpr double kDeadlineMarginShare = 0.1;

// How often connecting is retried after a local error (is_local_error()): for 0.1 s.
constexpr int kMaxConnectRetries = 10;
constexpr std::chrono::milliseconds kConnectRetryInterval{10};

// Whether connect() or socket() failed because of this machine: no port, buffer, descriptor or route, a local
// firewall, or a signal.
bool is_local_error(error_code ec) {
    constexpr int kLocalErrors[] = {EADDRNOTAVAIL, EADDRINUSE,  EAGAIN,   ENOBUFS, ENOMEM, EMFILE,
                                    ENFILE,        ENETUNREACH, ENETDOWN, EPERM,   EACCES, EINTR};
    return ec.category() == boost::system::system_category() &&
           std::find(std::begin(kLocalErrors), std::end(kLocalErrors), ec.value()) != std::end(kLocalErrors);
}

Outcome outcome_of(const HttpResponse& response) {
    const unsigned status = response.result_int();
    if (status == 200) return Outcome::success;
    const bool not_processed = response["X-Unprocessed"] == "1";
    return (status == 503 || status == 504) && not_processed ? Outcome::overloaded : Outcome::server_error;
}

}  // namespace

UpstreamConnection::UpstreamConnection(asio::io_context& io, const Clock& clock, Owner& owner,
                                       EndpointId endpoint, const tcp::endpoint& address,
                                       std::shared_ptr<ConnectionGroup> group,
                                       std::shared_ptr<MemoryBudget> response_memory)
    : clock_(clock),
      owner_(owner),
      endpoint_(endpoint),
      address_(address),
      group_(std::move(group)),
      socket_(io),
      timer_(io),
      connect_retry_timer_(io),
      response_memory_(std::move(response_memory), kFreeResponseBytes) {}

void UpstreamConnection::set_exchange(std::unique_ptr<Exchange> exchange) {
    exchange_ = std::move(exchange);
    if (exchange_->is_probe) start_probe_timer();
}

std::unique_ptr<Exchange> UpstreamConnection::release_exchange() {
    std::unique_ptr<Exchange> exchange = std::move(exchange_);
    timer_.cancel();
    return exchange;
}

void UpstreamConnection::start_probe_timer() {
    timer_.expires_at(clock_.point(exchange_->deadline));
    timer_.async_wait([this, self = shared_from_this()](error_code ec) {
        if (ec || !exchange_ || !exchange_->is_probe || state_ == State::closed) return;
        end(state_ == State::connecting ? Outcome::connect_failure : Outcome::timeout);
    });
}

// ---- Connecting

void UpstreamConnection::connect() {
    if (!exchange_->is_probe) start_connect_timer();
    open_socket();
}

void UpstreamConnection::start_connect_timer() {
    const Millis connect_deadline = std::min(clock_.now() + exchange_->connect_timeout, exchange_->deadline);
    // A connect that ends at the write deadline had less time than the connect timeout and shows nothing
    // about the endpoint. At the attempt's deadline, an unfinished connect counts as a connect failure.
    const Outcome outcome =
        exchange_->write_deadline < connect_deadline ? Outcome::not_sent : Outcome::connect_failure;
    timer_.expires_at(clock_.point(std::min(connect_deadline, exchange_->write_deadline)));
    timer_.async_wait([this, self = shared_from_this(), outcome](error_code ec) {
        if (ec || state_ != State::connecting) return;
        end(connect_retries_ > 0 ? Outcome::not_sent : outcome);
    });
}

void UpstreamConnection::open_socket() {
    error_code ec;
    socket_.open(address_.protocol(), ec);
    if (!ec) socket_.set_option(tcp::no_delay(true), ec);
    if (!ec) socket_.non_blocking(true, ec);
    if (!ec) socket_.set_option(asio::socket_base::receive_buffer_size(kUpstreamReceiveBuffer), ec);
    if (ec) return retry_connect();  // above all because no descriptor is free
    socket_.async_connect(
        address_, [this, self = shared_from_this()](error_code connect_ec) { on_connected(connect_ec); });
}

// A local error shows nothing about the endpoint and often ends soon, so the connect is retried.
void UpstreamConnection::retry_connect() {
    if (++connect_retries_ > kMaxConnectRetries) return end(Outcome::not_sent);
    error_code ignored;
    socket_.close(ignored);
    connect_retry_timer_.expires_after(kConnectRetryInterval);
    connect_retry_timer_.async_wait([this, self = shared_from_this()](error_code ec) {
        if (!ec && state_ == State::connecting) open_socket();
    });
}

void UpstreamConnection::on_connected(error_code ec) {
    if (state_ != State::connecting) return;
    if (is_local_error(ec)) return retry_connect();
    if (ec) return end(Outcome::connect_failure);
    if (!exchange_->is_probe) {
        if (!owner_.may_write(shared_from_this(), false)) return;
        timer_.cancel();
    }
    write_request();
}

// ---- Writing

// The time left now in milliseconds, less a margin for the network. The margin is needed because a delay of
// this process between this computation and the write may use up the whole slack that the protocol allows
// (RuleGuard::kDeadlineSlack).
Millis UpstreamConnection::propagated_time_left() const {
    const Millis left = std::max(0.0, exchange_->deadline - clock_.now());
    return left - std::min(kDeadlineMargin, left * kDeadlineMarginShare);
}

void UpstreamConnection::write_request() {
    if (clock_.now() >= exchange_->write_deadline) return end(Outcome::not_sent);
    state_ = State::writing;
    HttpRequest& message = *exchange_->request;
    if (!exchange_->is_probe) {
        // In whole milliseconds, a short time left would be rounded to 0.
        const auto microseconds = static_cast<long long>(propagated_time_left() * 1000);
        message.set("X-Time-Left", std::to_string(microseconds) + "u");
    }
    output_ = serialize_message(message);
    written_bytes_ = 0;
    write_available_bytes();
}

// Writes synchronously: nearly every request fits into the kernel's buffer, and the number of bytes written
// is known at once.
void UpstreamConnection::write_available_bytes() {
    const Transfer transfer = write_available(socket_, asio::buffer(output_) + written_bytes_);
    written_bytes_ += transfer.bytes;
    // An endpoint starts a request when the request's last byte has arrived. That byte was not written, so
    // the request never ran.
    if (transfer.error) return end(Outcome::connect_failure);
    if (written_bytes_ == output_.size()) return start_reading_response();
    socket_.async_wait(tcp::socket::wait_write,
                       [this, self = shared_from_this()](error_code) { on_writable(); });
}

void UpstreamConnection::on_writable() {
    if (state_ != State::writing) return;
    if (!exchange_->is_probe && !owner_.may_write(shared_from_this(), true)) return;
    if (clock_.now() >= exchange_->write_deadline) return end(Outcome::not_sent);
    write_available_bytes();
}

// ---- Reading

void UpstreamConnection::start_reading_response() {
    state_ = State::reading;
    parser_.emplace();
    parser_->header_limit(kMaxHeader);
    parser_->body_limit(kMaxBody);
    parser_->eager(false);
    head_bytes_ = 0;
    response_reserved_ = false;
    parse();
}

void UpstreamConnection::parse() {
    while (!parser_->is_done()) {
        if (parser_->is_header_done() && !reserve_response())
            return owner_.wait_for_memory(shared_from_this());
        const error_code ec = parse_buffered(*parser_, input_, head_bytes_);
        if (ec == http::error::need_more) return receive();
        if (ec) return end(Outcome::connection_reset);
    }
    const unsigned status = parser_->get().result_int();
    if (status / 100 != 1) return on_response();
    // An interim (1xx) response is followed by another response. The number of interim responses is bounded.
    if (status == 101 || ++interim_responses_ > kMaxInterimResponses) return end(Outcome::connection_reset);
    start_reading_response();
}

// Reserves memory for the whole response, so that responses that are read do not wait for each other. Returns
// false if there is not enough now.
bool UpstreamConnection::reserve_response() {
    if (response_reserved_) return true;
    const std::uint64_t body = parser_->content_length().value_or(kMaxBody);
    response_reserved_ = response_memory_.resize(parser_->field_memory() + std::min(body, kMaxBody));
    waits_for_memory_ = !response_reserved_;
    return response_reserved_;
}

void UpstreamConnection::resume_reading() {
    if (waits_for_memory()) parse_input();
}

void UpstreamConnection::receive() {
    socket_.async_read_some(
        input_.prepare(kReadSize),
        [this, self = shared_from_this()](error_code ec, std::size_t size) { on_received(ec, size); });
}

void UpstreamConnection::on_received(error_code ec, std::size_t size) {
    if (state_ != State::reading) return;
    // A response without a length is complete when its endpoint closes the connection. After a reset, the
    // response may be incomplete.
    if (ec == asio::error::eof && parser_->is_header_done() && parser_->need_eof()) parser_->put_eof(ec);
    if (ec) return end(Outcome::connection_reset);
    input_.commit(size);
    parse_input();
}

void UpstreamConnection::parse_input() {
    try {
        parse();
    } catch (const std::exception& error) {
        // An error of one response must not affect other responses.
        log_line(std::string("upstream response failed: ") + error.what());
        if (exchange_) end(Outcome::connection_reset);
    }
}

void UpstreamConnection::on_response() {
    // Bytes behind the response belong to no request, so such a connection is not reused.
    const bool reusable = parser_->keep_alive() && input_.size() == 0;
    const MemoryReservation memory = response_memory_.hand_over();  // until the response is passed on
    HttpResponse response = parser_->release();
    parser_.reset();
    owner_.end_exchange(shared_from_this(), outcome_of(response), &response, reusable);
}

// ---- Idle time

// While the acknowledgement of the response is delayed, the endpoint's kernel may hold back bytes that the
// endpoint wrote behind the response. The next request would carry the acknowledgement, and the bytes that it
// releases would be taken for the response to that request.
void UpstreamConnection::become_idle() {
    state_ = State::idle;
    const bool acknowledged = acknowledge_now(socket_);
    idle_since_ = clock_.now();
    acknowledged_at_ = idle_since_ + (acknowledged ? 0 : kMaxAcknowledgementDelay);
    if (output_.capacity() > kReadSize) free_string(output_);
    interim_responses_ = 0;
    if (input_.capacity() > kReadSize) input_.shrink_to_fit();
    socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code) {
        // The connection cannot be reused if the endpoint has closed it or has sent unexpected bytes.
        if (state_ != State::idle) return;
        const SocketState socket_state = peek(socket_);
        if (socket_state != SocketState::no_data)
            owner_.close_connection(self, close_reason_for_idle(socket_state));
    });
}

void UpstreamConnection::close_idle_at(Millis at) {
    timer_.expires_at(clock_.point(at));
    timer_.async_wait([this, self = shared_from_this()](error_code ec) {
        if (!ec && state_ == State::idle) owner_.close_connection(self, CloseReason::idle);
    });
}

std::uint16_t UpstreamConnection::local_port() const {
    error_code ec;
    const tcp::endpoint local = socket_.local_endpoint(ec);
    return ec ? 0 : local.port();
}

void UpstreamConnection::close() {
    state_ = State::closed;
    response_memory_.release();
    timer_.cancel();
    connect_retry_timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
}

}  // namespace ochregrade::sidecar
