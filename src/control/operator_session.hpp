// One connection of an operator: reads requests one after the other and writes their answers. Bounded in
// time and in size.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "common/http.hpp"

namespace ochregrade::sidecar {

class Node;

/// Lives as long as its connection: its handlers share its ownership. `node` must outlive the loop's run.
class OperatorSession : public std::enable_shared_from_this<OperatorSession> {
public:
    OperatorSession(Node& node, tcp::socket socket);

    /// Waits for the next request.
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
    std::optional<http::request_parser<http::string_body>> parser_;
    std::string response_;
    asio::steady_timer write_timeout_;
    bool first_request_ = true;
};

}  // namespace ochregrade::sidecar
