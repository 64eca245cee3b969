// One client request while it is being served, or while attempts of it are still in flight.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "common/http.hpp"
#include "control/config_versions.hpp"
#include "ochregrade/balancer.hpp"
#include "proxy/rule_guard.hpp"

namespace ochregrade::sidecar {

/// The connection on which a request arrived and that awaits its response.
class Client {
public:
    virtual ~Client() = default;
    /// Called exactly once for each request, unless the client has disconnected.
    virtual void answer(HttpResponse response) = 0;
    /// Reports the disconnect (BalancerDriver::client_disconnected) at once if the client has left and that
    /// has not been noticed yet.
    virtual void check_disconnected() = 0;
};

struct PendingRequest {
    std::string correlation_id;
    RequestPtr message;
    std::weak_ptr<Client> client;
    ConfigSnapshotPtr snapshot;   // the configuration that the request began with
    std::uint32_t in_flight = 0;  // attempts
    bool ended = false;           // answered, or its client has disconnected
    RequestFacts facts;
    std::optional<Outcome> last_outcome;  // of the attempt that ended last
};

}  // namespace ochregrade::sidecar
