// The operators' endpoint: an HTTP listener on loopback, disabled unless the configuration contains an
// address for it. The endpoint forwards each request to the Node and has no state except its connections. The
// number of connections and the time and size of each request are limited.
#pragma once

#include <list>
#include <memory>
#include <utility>

#include "common/http.hpp"

namespace ochregrade::sidecar {

class Node;
class OperatorSession;

class OperatorEndpoint {
public:
    /// Throws boost::system::system_error if it can't listen. `node` must outlive the OperatorEndpoint.
    OperatorEndpoint(asio::io_context& io, Node& node, const tcp::endpoint& address);
    ~OperatorEndpoint();
    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

private:
    void accept();
    void start_session(tcp::socket socket);

    Node& node_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    std::list<std::weak_ptr<OperatorSession>> sessions_;  // oldest first
};

}  // namespace ochregrade::sidecar
