#include "control/operator_session.hpp"

#include <nlohmann/json.hpp>

#include "common/socket_io.hpp"
#include "control/operator_requests.hpp"

namespace ochregrade::sidecar {

namespace {

constexpr std::chrono::seconds kCallTimeout{5};
constexpr std::chrono::seconds kIdleTimeout{60};

http::status status_of_parse_error(error_code ec) {
    if (ec == http::error::body_limit) return http::status::payload_too_large;
    if (ec == http::error::header_limit) return http::status::request_header_fields_too_large;
    return http::status::bad_request;
}

}  // namespace

OperatorSession::OperatorSession(Node& node, tcp::socket socket)
    : node_(node), stream_(std::move(socket)), write_timeout_(stream_.get_executor()) {}

void OperatorSession::read() {
    parser_.emplace();
    parser_->header_limit(kMaxHeader);
    parser_->body_limit(kMaxBodyBytes);
    // One timeout covers the wait for the request and its complete header: a slow sender can't extend it.
    stream_.expires_after(first_request_ ? kCallTimeout : kIdleTimeout);
    http::async_read_header(stream_, buffer_, *parser_,
                            [this, self = shared_from_this()](error_code ec, std::size_t) {
                                if (ec) return read_failed(ec);
                                stream_.expires_after(kCallTimeout);
                                read_body();
                            });
}

void OperatorSession::close() {
    error_code ignored;
    stream_.socket().close(ignored);
}

void OperatorSession::read_body() {
    http::async_read(stream_, buffer_, *parser_,
                     [this, self = shared_from_this()](error_code ec, std::size_t) {
                         if (ec) return read_failed(ec);
                         respond();
                     });
}

void OperatorSession::respond() {
    const HttpRequest request = parser_->release();
    write(handle_operator_request(node_, request), request.keep_alive());
}

void OperatorSession::read_failed(error_code ec) {
    const bool parse_error = ec.category() == error_code(http::error::bad_method).category();
    if (ec == http::error::end_of_stream || !parse_error) return close();
    write(json_response(status_of_parse_error(ec), {{"error", ec.message()}}), false);
}

void OperatorSession::write(HttpResponse response, bool keep_alive) {
    first_request_ = false;
    response.version(11);
    response.keep_alive(keep_alive);
    response.prepare_payload();
    response_ = serialize_message(response);
    write_timeout_.expires_after(kCallTimeout);
    write_timeout_.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec) self->close();
    });
    async_write_all(
        stream_.socket(), asio::buffer(response_),
        [this, self = shared_from_this(), keep_alive](error_code ec) { written(ec, keep_alive); });
}

void OperatorSession::written(error_code ec, bool keep_alive) {
    write_timeout_.cancel();
    if (ec) return close();
    if (keep_alive) return read();
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    close();
}

}  // namespace ochregrade::sidecar
