// HTTP types, limits and parsing that the client side and the upstream side of the sidecar share.
#pragma once

#include <sys/socket.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <string>
#include <vector>

namespace ochregrade::sidecar {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;
using RequestPtr = std::shared_ptr<HttpRequest>;

// Limits of a message in bytes. The protocol sets the same limits for requests and responses.
constexpr std::uint32_t kMaxHeader = 16 * 1024;
constexpr std::uint64_t kMaxBody = 64 * 1024;
// What the parsed header and trailer fields of a message may occupy in memory, bytes. A head of kMaxHeader
// bytes with 100 fields fits.
constexpr std::size_t kMaxFieldMemory = 24 * 1024;

/// A parser that bounds the memory of the parsed header and trailer fields. The limit on the bytes of a head
/// alone does not bound it, because each field has a fixed cost: 16 KiB of fields without a value occupy
/// 20 times as much once they are parsed. Fails with header_limit beyond kMaxFieldMemory.
template <bool is_request, class Body>
class BoundedParser : public http::parser<is_request, Body> {
public:
    /// What the fields parsed so far occupy, bytes.
    std::size_t field_memory() const { return field_memory_; }

private:
    void on_field_impl(http::field name, beast::string_view name_text, beast::string_view value,
                       error_code& ec) override {
        field_memory_ += kFieldOverhead + name_text.size() + value.size();
        if (field_memory_ > kMaxFieldMemory)
            ec = http::error::header_limit;
        else
            this->get().insert(name, name_text, value);
    }

    // The list node, the separators that are stored with the text, and the allocator's rounding.
    static constexpr std::size_t kFieldOverhead = sizeof(http::fields::value_type) + 20;
    std::size_t field_memory_ = 0;
};

using RequestParser = BoundedParser<true, http::string_body>;
using ResponseParser = BoundedParser<false, http::string_body>;

/// Removes the hop-by-hop fields (RFC 9110, 7.6.1), which are the standard ones and those that Connection
/// names, and also Expect and Content-Length.
template <class Fields>
void strip_hop_by_hop(Fields& fields) {
    std::vector<std::string> names;
    for (const auto& name : http::token_list(fields[http::field::connection])) names.emplace_back(name);
    // Endpoints recognise a repeated request by these two fields, so Connection must not remove them.
    for (const auto& name : names)
        if (!beast::iequals(name, "Idempotency-Key") && !beast::iequals(name, "X-Correlation-Id"))
            fields.erase(name);
    for (const char* name : {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
                             "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"})
        fields.erase(name);
}

/// Passes the buffered bytes to a parser that is not eager. Returns need_more when the parser has consumed
/// all bytes that it can use. `head_bytes` counts the bytes of the message's head that the parser has
/// consumed so far. Returns header_limit if the head is longer than kMaxHeader, or if the parser needs more
/// although the unconsumed bytes (together with `head_bytes`, while the head is being parsed) reach
/// kMaxHeader. This function enforces the limit on heads itself, because the parser consumes complete lines
/// and compares its limit only with the bytes that remain: a head that arrives line by line could otherwise
/// grow without bound.
template <class Parser>
error_code parse_buffered(Parser& parser, beast::flat_buffer& in, std::size_t& head_bytes) {
    error_code ec = http::error::need_more;
    if (in.size() == 0) return ec;
    const bool in_head = !parser.is_header_done();
    const std::size_t used = parser.put(in.data(), ec);
    in.consume(used);
    if (in_head) head_bytes += used;
    const bool unbounded =
        ec == http::error::need_more && in.size() + (in_head ? head_bytes : 0) >= kMaxHeader;
    if (unbounded || head_bytes > kMaxHeader) return http::error::header_limit;
    return ec;
}

/// What the kernel has for the reader of a socket: no bytes, unread bytes, or the end of the connection
/// (which includes errors). A lack of kernel memory counts as no bytes.
enum class SocketState { no_data, readable, closed };
/// Returns the socket's state without consuming bytes and without blocking.
inline SocketState peek(tcp::socket& socket) {
    char byte = 0;
    ssize_t received = 0;
    do received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    while (received < 0 && errno == EINTR);
    if (received > 0) return SocketState::readable;
    const bool no_memory = errno == ENOBUFS || errno == ENOMEM;
    const bool no_bytes = errno == EAGAIN || errno == EWOULDBLOCK || no_memory;
    return received < 0 && no_bytes ? SocketState::no_data : SocketState::closed;
}

}  // namespace ochregrade::sidecar
