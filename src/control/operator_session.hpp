// One connection of an operator: reads requests one after the other and writes the responses. Each request is
// limited in time and size.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "common/http.hpp"

namespace ochregrade::sidecar {

class Node;

/// The handlers of the connection share the ownership of the session, so it exists as long as its connection.
/// `node` must exist until the event loop has stopped.
class OperatorSession : public std::enable_shared_from_this<OperatorSession> {
public:
    OperatorSession(Node& node, tcp::socket socket);

    /// Starts to read the next request.
    void read();
    void close();

private:
    void read_body();
    void respond();
    void read_failed(error_code ec);
    void write(HttpResponse response, bool keep_alive);
    void written(error_code ec, bool keep_alive);

    static constexpr std::uint64_t kMaxBodyBytes = 1 << 20;

    Node& node_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_{kMaxHeader + kMaxBodyBytes};
    std::optional<RequestParser> parser_;
    std::string response_;
    asio::steady_timer write_timeout_;
    bool first_request_ = true;
};

}  // namespace ochregrade::sidecar
