// A client request while it is being served or attempts of it are still in flight, and the interface to its
// client.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "common/http.hpp"
#include "control/config_versions.hpp"
#include "ochregrade/balancer.hpp"
#include "proxy/rule_guard.hpp"

namespace ochregrade::sidecar {

/// The client connection on which a request arrived and to which its final response is sent.
class Client {
public:
    virtual ~Client() = default;
    /// Sends the final response. Called exactly once for each request, unless the client has disconnected.
    virtual void send_response(HttpResponse response) = 0;
    /// Reads what has arrived on the connection. If the client has disconnected unnoticed, this is reported
    /// at once (BalancerDriver::client_disconnected); if too much has arrived to find out, the request is
    /// failed.
    virtual void check_disconnected() = 0;
};

struct PendingRequest {
    std::string correlation_id;
    RequestPtr message;
    std::weak_ptr<Client> client;
    ConfigSnapshotPtr snapshot;   // the configuration in force at the request's last byte
    std::uint32_t in_flight = 0;  // attempts
    bool ended = false;           // the final response was sent, or the client has disconnected
    RequestFacts facts;
    std::optional<Outcome> last_outcome;  // of the attempt that ended last
};

}  // namespace ochregrade::sidecar
