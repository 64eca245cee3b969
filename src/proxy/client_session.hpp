// One client connection: reads requests (HTTP/1.1, also pipelined), validates them, passes them to the
// balancer driver and writes the responses, one request at a time, until the connection closes.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>

#include "common/http.hpp"
#include "common/socket_io.hpp"
#include "proxy/balancer_driver.hpp"
#include "proxy/listener_context.hpp"
#include "proxy/pipelined_requests.hpp"

namespace ochregrade::sidecar {

// Receive buffer of a client connection, bytes. Unread bytes in the kernel count towards the process's
// memory, and a client that sends at full speed fills the buffer.
constexpr int kClientReceiveBuffer = 64 * 1024;
// Bytes read at a time (pipelined bytes that are discarded: kDiscardSize). An idle session keeps no larger
// input buffer.
constexpr std::size_t kClientReadSize = 4096;
constexpr std::size_t kDiscardSize = 64 * 1024;
using InputChunk = std::array<char, kDiscardSize>;

class ClientSession : public Client, public std::enable_shared_from_this<ClientSession> {
public:
    enum class State { idle, reading, waiting, writing, lingering, closed };
    /// The order in which sessions are closed for a new connection at the connection limit, first to last.
    /// `silent`: idle, and no valid request yet; `slow`: reading, and no valid request yet. A session of rank
    /// `never` is not closed.
    enum class EvictionRank { silent, lingering, slow, idle, never };

    /// `waited`: upper bound of the time for which the connection's first bytes had been unread in the kernel
    /// when the connection was accepted, milliseconds.
    ClientSession(ListenerContext& context, tcp::socket socket, Millis waited);

    /// Adds `session` to the context's list and starts reading.
    static void start(ListenerContext& context, const std::shared_ptr<ClientSession>& session);

    State state() const { return state_; }
    EvictionRank eviction_rank(Millis now) const;
    /// Whether unread bytes are in the kernel: closing the connection now could lose a complete request.
    bool has_unread_bytes() { return peek(socket_) == SocketState::readable; }
    /// Whether the session is idle, has bytes neither in its input buffer nor unread in the kernel, and is
    /// not so new that its first request is about to arrive (kFirstRequestGrace).
    bool is_quiet();

    void send_response(HttpResponse response) override;
    void check_disconnected() override;
    void close(CloseReason reason);

    bool is_due(Millis now) const { return deadline_ > 0 && now >= deadline_; }
    void on_deadline();
    /// Allows another kMaxDiscardedBytes of pipelined bytes to be discarded, and continues reading if a
    /// request is waiting for its response. Called at each deadline check, unless the session's deadline has
    /// passed.
    void resume_reading();

private:
    void become_idle();
    void receive();
    void read_available_bytes(error_code wait_result);
    Transfer read_chunk(InputChunk& chunk);
    void handle_input(error_code ec, asio::const_buffer bytes);
    void on_received(error_code ec, asio::const_buffer bytes);
    void on_read_error(error_code ec);
    void on_lingering_bytes(error_code ec, std::size_t size);
    void discard_pipelined(std::size_t size);
    void on_pipelined_bytes();

    bool reserve_input(std::size_t additional);
    void shrink_input();
    void drop_pipelined();
    Millis deadline_for_pipelined() const;

    void start_reading_request();
    void parse();
    bool accept_head();
    bool reserve_request(std::size_t body_size);
    bool is_health_check() const;
    void handle_request();
    void respond_to_health_check();
    void forward(std::shared_ptr<HttpRequest> request);
    Millis time_left(const HttpRequest& request) const;

    void reject(http::status status) { write(HttpResponse(status, 11), false); }
    void write(HttpResponse response, bool keep_alive);
    void on_written(error_code ec, bool keep_alive);
    void linger();
    void release_request();
    void remember_departed(State before);
    void trace_close(State before, CloseReason reason) const;

    ListenerContext& context_;
    tcp::socket socket_;
    SessionList::iterator position_{};  // in the context's list
    State state_ = State::idle;
    bool receiving_ = false;     // a wait for the socket to become readable is pending
    bool first_request_ = true;  // no request with a valid head has arrived completely yet
    bool disconnected_ = false;  // the client disconnected while its response was being written
    bool head_checked_ = false;
    bool keep_alive_ = true;

    beast::flat_buffer input_;
    std::optional<RequestParser> parser_;
    std::string output_;          // the response being written
    ConfigSnapshotPtr snapshot_;  // the configuration of the request being read
    RequestId request_id_ = 0;
    std::string open_request_id_;  // its X-Correlation-Id while it is in open_request_ids
    bool idempotent_ = false;      // of the request being served
    // X-Correlation-Id of the request answered last, if it must not run again and no later request shows that
    // the client has read the response.
    std::string unconfirmed_id_;
    bool response_unread_ = false;  // the client has left without reading that response
    std::size_t head_bytes_ = 0;
    MemoryReservation request_memory_;           // of the request being read
    MemoryReservation input_memory_;             // of input_
    MemoryReservation output_memory_;            // of output_
    std::size_t discarded_bytes_ = 0;            // while lingering
    std::size_t discarded_pipelined_bytes_ = 0;  // since the last resume_reading()

    Millis waited_;  // see the constructor; 0 once the first request has started
    PipelinedRequests pipelined_;
    std::optional<Millis> pipelined_since_;  // arrival of the first pipelined byte, Clock milliseconds
    // When the session was accepted, last became idle or started to linger (the latest of the three), Clock
    // milliseconds.
    Millis state_since_;
    Millis request_started_at_ = 0;
    Millis deadline_ = 0;  // of the current state, Clock milliseconds; 0: none
};

}  // namespace ochregrade::sidecar
