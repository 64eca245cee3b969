#include "process/state_persistence.hpp"

#include <algorithm>
#include <sstream>

namespace ochregrade::sidecar {

namespace {

constexpr Millis kPersistInterval = 1000;

}  // namespace

StatePersistence::StatePersistence(asio::io_context& io, const Clock& clock,
                                   std::unique_ptr<StateStore> store, const BalancerDriver& driver,
                                   const DiscoveryClient& discovery)
    : clock_(clock),
      store_(std::move(store)),
      driver_(driver),
      discovery_(discovery),
      timer_(io),
      started_at_(clock.now()) {}

void StatePersistence::start(Millis stable_uptime) {
    stable_uptime_ = stable_uptime;
    if (store_) schedule();
}

void StatePersistence::schedule() {
    const Millis wait = uptime_confirmed_ ? kPersistInterval : std::min(kPersistInterval, stable_uptime_);
    timer_.expires_at(clock_.point(clock_.now() + wait));
    timer_.async_wait([this](error_code ec) {
        if (ec) return;
        if (!uptime_confirmed_ && clock_.now() >= started_at_ + stable_uptime_) {
            uptime_confirmed_ = true;
            store_->confirm_stable_uptime();
        }
        persist_endpoints();
        schedule();
    });
}

void StatePersistence::persist_config(const ConfigVersions& versions, const std::string& file_document) {
    if (store_) store_->save_config(versions, file_document);
}

void StatePersistence::persist_endpoints() {
    if (discovery_.seq() == 0) return;  // there is no endpoint list yet
    EndpointList list = driver_.endpoints();
    list.seq = discovery_.seq();
    std::ostringstream address;
    address << driver_.snapshot()->config.discovery_address;
    store_->save_endpoints(list, address.str(), driver_.endpoint_snapshots());
}

void StatePersistence::finish() {
    if (!store_) return;
    persist_endpoints();
    store_->confirm_stable_uptime();
}

}  // namespace ochregrade::sidecar
