// The reading half of a client session: bytes of the current request, pipelined bytes, and the client's
// disconnect.
#include <algorithm>
#include <array>

#include "common/log.hpp"
#include "common/socket_io.hpp"
#include "proxy/client_session.hpp"

namespace ochregrade::sidecar {

namespace {

// Milliseconds after the earliest deadline of the pipelined requests at which the current request is failed.
// The response to a pipelined request is due 0.5 s (kResponseGrace) after that request's deadline. Of this
// time, 150 ms are kept for one deadline check, which detects the timeout, and for sending the responses.
constexpr Millis kPipelinedGrace = RuleGuard::kResponseGrace - 150;
// Bytes that a lingering session reads and discards before it closes the connection.
constexpr std::size_t kMaxLingerBytes = 256 * 1024;

// Bytes are buffered up to kMaxPipelinedBytes (one whole request) while there is memory for requests. Further
// pipelined bytes are read and discarded, because unread bytes would hide a disconnect; the connection is
// then closed after the response to the current request. Between two deadline checks (50 ms), reading stops
// once kMaxDiscardedBytes are discarded. This bounds the rate: the 4 MB that a kernel holds for a sender take
// 0.2 s.
constexpr std::size_t kMaxPipelinedBytes = kMaxHeader + kMaxBody;
constexpr std::size_t kMaxDiscardedBytes = 1024 * 1024;
// Bytes that check_disconnected() reads in search of the connection's end. This is more than the kernels of
// both sides usually hold for a connection (4 MB and kClientReceiveBuffer).
constexpr std::size_t kMaxUnreadBytes = 8 * 1024 * 1024;

// Whether the error is one that Linux reports when the peer has closed the connection or the network has
// failed.
bool is_disconnect(error_code ec) {
    return ec == asio::error::eof || ec == asio::error::connection_reset || ec == asio::error::broken_pipe ||
           ec == asio::error::timed_out || ec == asio::error::host_unreachable ||
           ec == asio::error::network_unreachable || ec == asio::error::connection_aborted ||
           ec == asio::error::network_down;
}

}  // namespace

// ---- Receiving

// Waits for the socket to become readable, also while a request is being served, because the wait detects a
// disconnect of the client. Bytes stay in the kernel until the handler runs. A pending read would take the
// bytes out of the kernel some turns of the event loop before its handler runs; in between, close_idle()
// could close a connection whose request has arrived.
void ClientSession::receive() {
    if (receiving_ || state_ == State::closed) return;
    receiving_ = true;
    socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code ec) {
        receiving_ = false;
        if (state_ == State::closed) return;
        read_available_bytes(ec);
    });
}

Transfer ClientSession::read_chunk(InputChunk& chunk) {
    const std::size_t max_size = state_ == State::waiting && !keep_alive_ ? kDiscardSize : kClientReadSize;
    return read_available(socket_, asio::buffer(chunk.data(), max_size));
}

void ClientSession::read_available_bytes(error_code wait_result) {
    InputChunk chunk;
    Transfer transfer{0, wait_result};
    if (!wait_result) transfer = read_chunk(chunk);
    if (!transfer.error && transfer.bytes == 0) return receive();
    handle_input(transfer.error, asio::buffer(chunk, transfer.bytes));
}

// An error of one connection must not affect other connections.
void ClientSession::handle_input(error_code ec, asio::const_buffer bytes) {
    try {
        on_received(ec, bytes);
    } catch (const std::exception& error) {
        log_line(std::string("client connection failed: ") + error.what());
        close(CloseReason::error);
    }
}

// Reads all bytes that the kernel has, since the end of the connection is behind them. A client that goes on
// sending for longer than it takes to read kMaxUnreadBytes may have left unnoticed, so its request is failed.
void ClientSession::check_disconnected() {
    InputChunk chunk;
    for (std::size_t total = 0; state_ == State::waiting;) {
        const Transfer transfer = read_chunk(chunk);
        if (!transfer.error && transfer.bytes == 0) return;
        total += transfer.bytes;
        if (total > kMaxUnreadBytes) return context_.driver.fail_for_pipelined(request_id_);
        handle_input(transfer.error, asio::buffer(chunk, transfer.bytes));
    }
}

void ClientSession::on_received(error_code ec, asio::const_buffer bytes) {
    // A connection that is closed with unread bytes is reset.
    if (ec == asio::error::connection_reset) response_unread_ = true;
    if (state_ == State::lingering) return on_lingering_bytes(ec, bytes.size());
    if (ec) return on_read_error(ec);
    const bool pipelined = state_ == State::waiting || state_ == State::writing;
    if (pipelined && !keep_alive_) return discard_pipelined(bytes.size());
    if (!reserve_input(bytes.size()))
        return pipelined ? discard_pipelined(bytes.size()) : reject(http::status::service_unavailable);
    if (pipelined && !pipelined_since_) pipelined_since_ = context_.clock.now() - context_.loop_waited();
    input_.commit(asio::buffer_copy(input_.prepare(bytes.size()), bytes));
    if (state_ == State::idle) return start_reading_request();
    if (state_ == State::reading) return parse();
    on_pipelined_bytes();
}

void ClientSession::on_lingering_bytes(error_code ec, std::size_t size) {
    discarded_bytes_ += size;
    if (ec || discarded_bytes_ > kMaxLingerBytes) return close(CloseReason::answered);
    receive();
}

void ClientSession::on_read_error(error_code ec) {
    if (state_ != State::writing)
        return close(is_disconnect(ec) ? CloseReason::peer_closed : CloseReason::error);
    disconnected_ = true;
}

// The next request is parsed after the response to the current one; reading continues in order to detect a
// disconnect.
void ClientSession::on_pipelined_bytes() {
    pipelined_.update(input_.data(), context_.clock.now() - context_.loop_waited());
    if (!input_memory_.resize(input_.capacity() + pipelined_.memory())) return discard_pipelined(0);
    if (state_ == State::waiting) deadline_ = deadline_for_pipelined();
    receive();
}

void ClientSession::discard_pipelined(std::size_t size) {
    keep_alive_ = false;  // the pipelined requests are incomplete from here on
    drop_pipelined();
    discarded_pipelined_bytes_ += size;
    if (discarded_pipelined_bytes_ < kMaxDiscardedBytes) receive();
}

// ---- Pipelined requests

// Makes room in the input buffer for `additional` bytes. The buffer grows by kClientReadSize at a time, since
// a buffer that doubles would occupy up to twice the memory of the bytes in it.
bool ClientSession::reserve_input(std::size_t additional) {
    const std::size_t total = input_.size() + additional;
    if (total > kMaxPipelinedBytes) return false;
    if (total <= input_.capacity()) return true;
    const std::size_t capacity = (total + kClientReadSize - 1) / kClientReadSize * kClientReadSize;
    if (!input_memory_.resize(capacity + pipelined_.memory())) return false;
    input_.max_size(capacity);
    return true;
}

void ClientSession::shrink_input() {
    input_.shrink_to_fit();
    input_memory_.resize(input_.capacity() + pipelined_.memory());
}

void ClientSession::drop_pipelined() {
    input_.clear();
    pipelined_since_.reset();
    pipelined_.clear();
    shrink_input();
}

// The time at which the current request is failed so that the responses to pipelined requests are in time:
// kPipelinedGrace after the earliest deadline of a pipelined request, Clock milliseconds. 0 if no pipelined
// request has a deadline, or if the connection will be closed after the current response, because the
// pipelined requests then get no response.
Millis ClientSession::deadline_for_pipelined() const {
    const auto first = keep_alive_ ? pipelined_.first_deadline() : std::nullopt;
    return first ? *first + kPipelinedGrace : 0;
}

}  // namespace ochregrade::sidecar
