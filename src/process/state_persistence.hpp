// Decides when state is written to the state store: the configuration after each change, and the endpoints at
// least once a second if they changed. The confirmation that the run is not part of a crash loop is written
// after the stable uptime and at the end of a graceful shutdown.
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "common/clock.hpp"
#include "discovery/discovery_client.hpp"
#include "proxy/balancer_driver.hpp"
#include "recovery/state_store.hpp"

namespace ochregrade::sidecar {

class StatePersistence {
public:
    /// `store` null: nothing is persisted. The referenced objects must outlive the StatePersistence.
    StatePersistence(asio::io_context& io, const Clock& clock, std::unique_ptr<StateStore> store,
                     const BalancerDriver& driver, const DiscoveryClient& discovery);

    /// Starts the timer that saves the endpoint list periodically (once discovery has sent one) and, at the
    /// first tick after `stable_uptime` ms, confirms the run as stable. Does nothing without a store.
    void start(Millis stable_uptime);
    void persist_config(const ConfigVersions& versions, const std::string& file_document);
    /// Writes the endpoints and confirms the run; called at the end of a graceful shutdown.
    void finish();

    /// Null if no state folder is configured.
    StateStore* store() const { return store_.get(); }

private:
    void schedule();
    void persist_endpoints();

    const Clock& clock_;
    std::unique_ptr<StateStore> store_;
    const BalancerDriver& driver_;
    const DiscoveryClient& discovery_;
    asio::steady_timer timer_;
    Millis started_at_;
    Millis stable_uptime_ = 0;
    bool uptime_confirmed_ = false;
};

}  // namespace ochregrade::sidecar
