// When state is written to the state store: the configuration with each change of it, the endpoints once a
// second if there is something new, and the confirmation that this run was no part of a crash loop.
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
    /// `store` null: nothing is persisted. The other parts must outlive it.
    StatePersistence(asio::io_context& io, const Clock& clock, std::unique_ptr<StateStore> store,
                     const BalancerDriver& driver, const DiscoveryClient& discovery);

    /// `stable_uptime`: after so long the run is confirmed.
    void start(Millis stable_uptime);
    void persist_config(const ConfigVersions& versions, const std::string& file_document);
    /// A planned end.
    void finish();

    /// Null: no folder is configured.
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
