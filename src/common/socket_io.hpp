// Reads from and writes to stream sockets in the way that Linux documents: any call may be interrupted
// (EINTR), may transfer fewer bytes than possible, or may fail for a moment for lack of memory. Asio treats a
// short write as a sign of a full buffer and then waits for an edge-triggered event that never arrives; it
// also leaves EINTR of its non-blocking calls to the caller. The sidecar therefore reads and writes through
// these functions.
#pragma once

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <string>
#include <utility>

#include "common/http.hpp"

namespace ochregrade::sidecar {

/// The result of write_available() or read_available(). Without an error, fewer bytes than requested mean for
/// a write that the kernel accepts no more now; for a read only 0 bytes mean that there are no more now.
struct Transfer {
    std::size_t bytes = 0;
    error_code error{};
};

namespace detail {

inline bool would_block(int error) {
    return error == EAGAIN || error == EWOULDBLOCK || error == ENOBUFS || error == ENOMEM;
}
inline error_code system_error(int error) { return {error, boost::system::system_category()}; }

}  // namespace detail

/// Writes as many bytes as the kernel accepts now.
inline Transfer write_available(tcp::socket& socket, asio::const_buffer bytes) {
    Transfer done;
    while (bytes.size() > 0) {
        const ssize_t sent =
            ::send(socket.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent >= 0) {
            done.bytes += static_cast<std::size_t>(sent);
            bytes += static_cast<std::size_t>(sent);
        } else if (errno != EINTR) {
            if (!detail::would_block(errno)) done.error = detail::system_error(errno);
            break;
        }
    }
    return done;
}

/// Reads the bytes that one call returns. The error is asio::error::eof if the remote side has closed the
/// connection.
inline Transfer read_available(tcp::socket& socket, asio::mutable_buffer bytes) {
    for (;;) {
        const ssize_t received = ::recv(socket.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (received > 0) return {static_cast<std::size_t>(received)};
        if (received == 0) return {0, asio::error::eof};
        if (errno == EINTR) continue;
        return {0, detail::would_block(errno) ? error_code() : detail::system_error(errno)};
    }
}

/// Sends the acknowledgement of the bytes that have been read, which Linux otherwise delays for up to 200 ms
/// (TCP_QUICKACK in tcp(7)). The peer's kernel may hold back a small write until the acknowledgement of the
/// bytes before it arrives (Nagle's algorithm, RFC 1122, 4.2.3.4). Returns false if the call fails; the
/// acknowledgement may then be delayed.
inline bool acknowledge_now(tcp::socket& socket) {
    const int enabled = 1;
    return ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_QUICKACK, &enabled, sizeof enabled) == 0;
}

/// Writes all of `bytes` and then calls done(error) from the event loop. The socket and the memory of `bytes`
/// must stay valid until then. Each wait queries the kernel's state again, so that no edge-triggered event is
/// missed.
template <class Done>
void async_write_all(tcp::socket& socket, asio::const_buffer bytes, Done done) {
    const Transfer transfer = write_available(socket, bytes);
    bytes += transfer.bytes;
    if (transfer.error || bytes.size() == 0) {
        asio::post(socket.get_executor(),
                   [done = std::move(done), error = transfer.error]() mutable { done(error); });
        return;
    }
    socket.async_wait(tcp::socket::wait_write,
                      [&socket, bytes, done = std::move(done)](error_code ec) mutable {
                          if (ec) return done(ec);
                          async_write_all(socket, bytes, std::move(done));
                      });
}

/// Empties the string and frees its memory. Assigning an empty string would keep the memory: libstdc++ copies
/// a string that is short enough for the object itself.
inline void free_string(std::string& text) { std::string().swap(text); }

/// Serializes the message as it is sent on the connection.
template <bool is_request>
std::string serialize_message(http::message<is_request, http::string_body>& message) {
    std::string text;
    http::serializer<is_request, http::string_body> serializer(message);
    error_code ec;
    while (!ec && !serializer.is_done())
        serializer.next(ec, [&](error_code&, const auto& buffers) {
            for (auto at = asio::buffer_sequence_begin(buffers); at != asio::buffer_sequence_end(buffers);
                 ++at) {
                const asio::const_buffer part = *at;
                text.append(static_cast<const char*>(part.data()), part.size());
            }
            serializer.consume(asio::buffer_size(buffers));
        });
    return text;
}

}  // namespace ochregrade::sidecar
