// Calls on stream sockets as Linux documents them: any of them may be interrupted (EINTR), take only a part
// though there is room for more, or lack memory for a moment. Asio takes a short write for a full buffer and
// waits for an edge that then does not come, and leaves EINTR of its non-blocking calls to the caller; so
// writes go through here.
#pragma once

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "common/http.hpp"

namespace ochregrade::sidecar {

// No error and fewer bytes than asked for: no more for now.
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

// As much as the kernel takes now.
inline Transfer write_available(tcp::socket& socket, asio::const_buffer bytes) {
    Transfer done;
    while (bytes.size() > 0) {
        const ssize_t n =
            ::send(socket.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n >= 0) {
            done.bytes += static_cast<std::size_t>(n);
            bytes += static_cast<std::size_t>(n);
        } else if (errno != EINTR) {
            if (!detail::would_block(errno)) done.error = detail::system_error(errno);
            break;
        }
    }
    return done;
}

// What one call gives; the other side's end is asio::error::eof.
inline Transfer read_available(tcp::socket& socket, asio::mutable_buffer bytes) {
    for (;;) {
        const ssize_t n = ::recv(socket.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (n > 0) return {static_cast<std::size_t>(n)};
        if (n == 0) return {0, asio::error::eof};
        if (errno == EINTR) continue;
        return {0, detail::would_block(errno) ? error_code() : detail::system_error(errno)};
    }
}

// Writes all of `bytes`, which must live as long as `done` does, and calls done(error) from the loop. Waiting
// anew asks the kernel for its state anew, so that no edge is missed.
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

// The text of a message on the wire.
template <bool is_request>
std::string text_of_message(http::message<is_request, http::string_body>& message) {
    std::string text;
    http::serializer<is_request, http::string_body> serializer(message);
    error_code wrong;
    while (!wrong && !serializer.is_done())
        serializer.next(wrong, [&](error_code&, const auto& buffers) {
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
