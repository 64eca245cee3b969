#include "process/replication_link.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>

#include "common/log.hpp"

namespace ochregrade::sidecar {

ReplicationLink::ReplicationLink(Parts parts, std::function<void()> reload)
    : parts_(parts), reload_(std::move(reload)) {}

void ReplicationLink::configure(const Config& config) {
    if (driver_ && driver_->matches(config)) return;
    // The sidecar's index in the fleet may change here. leave() ends the incarnation under the old index, and
    // the other members then drop the state that was published under it.
    leave();
    driver_.reset();
    if (!config.joins_replication() || !parts_.peers.transport()) return;
    driver_ = std::make_unique<ReplicationDriver>(parts_.io, parts_.clock, config, handlers());
    driver_->start();
    publish_versions();
}

// The handlers may use `this`, because only the driver calls them and this object owns the driver.
ReplicationDriver::Handlers ReplicationLink::handlers() {
    return {[this](std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes) {
                if (GossipTransport* transport = parts_.peers.transport()) transport->send(to, bytes);
            },
            [this] { parts_.balancer_driver.evidence_received(driver_->replica().evidence()); },
            [this](const replication::VersionId& claimed) {
                parts_.discovery.poll_now(claimed.major, claimed.minor);
            },
            [this](const replication::VersionId&) { reload_(); }};
}

void ReplicationLink::leave() {
    if (driver_) driver_->leave();
}

void ReplicationLink::receive(std::uint32_t from, const std::vector<std::uint8_t>& bytes) {
    if (driver_) driver_->receive(from, bytes);
}

void ReplicationLink::publish(replication::EndpointKey endpoint, const replication::Evidence& evidence) {
    if (driver_) driver_->publish(endpoint, evidence);
}

replication::Versions ReplicationLink::current_versions() const {
    const ConfigSnapshot& snapshot = *parts_.balancer_driver.snapshot();
    const std::uint32_t hash = snapshot.epoch != 0 ? snapshot.config.settings_hash : 0;
    const std::uint64_t max_seq = std::numeric_limits<std::uint32_t>::max();
    const auto seq = static_cast<std::uint32_t>(std::min(parts_.discovery.seq(), max_seq));
    return {snapshot.epoch, hash, parts_.discovery.incarnation(), seq};
}

void ReplicationLink::publish_versions() {
    if (!driver_) return;
    const replication::Versions versions = current_versions();
    if (versions != published_) {
        // The lab measures the agreement of the fleet by the times of these log lines.
        std::array<char, 96> line{};
        std::snprintf(line.data(), line.size(), "acts on settings %u.%08x list %u.%u", versions.epoch,
                      versions.hash, versions.list_incarnation, versions.list_seq);
        log_line(line.data());
    }
    published_ = versions;
    driver_->set_versions(versions, std::max(settled_epoch_, versions.epoch));
}

void ReplicationLink::publish_withdrawn(const EndpointList& list) {
    if (!driver_) return;
    for (const ListedEndpoint& endpoint : list.endpoints)
        if (endpoint.state != EndpointState::serving)
            driver_->report_withdrawn(parts_.balancer_driver.endpoint_key_of(endpoint));
}

bool ReplicationLink::settle_epoch(std::uint32_t epoch) {
    const bool is_new = settled_epoch_ < epoch;
    settled_epoch_ = std::max(settled_epoch_, epoch);
    publish_versions();
    return is_new;
}

}  // namespace ochregrade::sidecar
