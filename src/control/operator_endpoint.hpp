// The operators' endpoint: HTTP on loopback, off unless the configuration names an address. It decides
// nothing and holds nothing of its own; what it may take of the process is bounded.
#pragma once

#include <list>
#include <memory>

#include "common/http.hpp"
#include "process/node.hpp"

namespace ochregrade::sidecar {

class OperatorEndpoint {
public:
    OperatorEndpoint(asio::io_context& io, Node& node, const tcp::endpoint& at);  // throws if it can't listen
    ~OperatorEndpoint();
    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

    // One call, answered: what the sockets carry, and what can be tested without them.
    static HttpResponse handle(Node& node, const HttpRequest& request);

private:
    class Session;
    void accept();

    Node& node_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    std::list<std::weak_ptr<Session>> sessions_;
};

}  // namespace ochregrade::sidecar
