#include "control/operator_endpoint.hpp"

#include "common/log.hpp"
#include "control/operator_session.hpp"

namespace ochregrade::sidecar {

namespace {

constexpr std::size_t kMaxSessions = 8;
constexpr int kBacklog = 64;
constexpr std::chrono::milliseconds kAcceptRetry{100};

}  // namespace

OperatorEndpoint::OperatorEndpoint(asio::io_context& io, Node& node, const tcp::endpoint& address)
    : node_(node), acceptor_(io), retry_(io) {
    acceptor_.open(address.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(address);
    acceptor_.listen(kBacklog);
    acceptor_.non_blocking(true);
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));  // see Listener::listen
    accept();
}

OperatorEndpoint::~OperatorEndpoint() = default;

void OperatorEndpoint::accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted) return;
        std::erase_if(sessions_, [](const auto& session) { return session.expired(); });
        if (!ec) {
            start_session(std::move(socket));
            return accept();
        }
        // The usual cause is a lack of descriptors or memory: accepting again at once would be a busy loop.
        log_line("operator endpoint: accept failed: " + ec.message());
        retry_.expires_after(kAcceptRetry);
        retry_.async_wait([this](error_code cancelled) {
            if (!cancelled) accept();
        });
    });
}

void OperatorEndpoint::start_session(tcp::socket socket) {
    // At the limit, a new session replaces the oldest one, so that idle sessions can't lock operators out.
    if (sessions_.size() >= kMaxSessions) {
        if (const auto oldest = sessions_.front().lock()) oldest->close();
        sessions_.pop_front();
    }
    const auto session = std::make_shared<OperatorSession>(node_, std::move(socket));
    sessions_.push_back(session);
    session->read();
}

}  // namespace ochregrade::sidecar
