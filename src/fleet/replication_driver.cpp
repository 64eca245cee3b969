#include "fleet/replication_driver.hpp"

#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "common/log.hpp"

namespace ochregrade::sidecar {

namespace {

constexpr double kWithdrawalReporters = 12;                    // members that report a withdrawal, on average
constexpr double kHashValues = 4294967296.0;                   // number of values of a 32-bit hash
constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15ULL;  // Fibonacci hashing (Knuth, TAOCP 3, 6.4)

replication::Options options_of(const ReplicationConfig& config) {
    replication::Options options;
    options.probe_period = config.probe_period;
    options.gossip_period = config.gossip_period;
    options.sync_period = config.sync_period;
    return options;
}

std::uint32_t unix_seconds(const Clock& clock) { return static_cast<std::uint32_t>(clock.now() / 1000); }

}  // namespace

replication::EndpointKey endpoint_key(EndpointId endpoint, Millis started_at) {
    const auto start = static_cast<std::uint64_t>(std::max(0.0, started_at));
    return endpoint ^ static_cast<replication::EndpointKey>(start * kGoldenRatio >> 32);
}

ReplicationDriver::ReplicationDriver(asio::io_context& io, const Clock& clock, const Config& config,
                                     Handlers handlers)
    : clock_(clock),
      handlers_(std::move(handlers)),
      config_(config.replication),
      replica_(static_cast<replication::MemberId>(config.settings.sidecar_index),
               config.settings.sidecar_count, unix_seconds(clock), config.seed,
               options_of(config.replication)),
      list_follower_(replication::kListPacing, config.seed ^ 1),
      settings_follower_(replication::kSettingsPacing, config.seed ^ 2),
      timer_(io) {}

bool ReplicationDriver::matches(const Config& config) const {
    return config.joins_replication() && config.replication == config_ &&
           config.settings.sidecar_index == replica_.self() &&
           config.settings.sidecar_count == replica_.members();
}

void ReplicationDriver::start() {
    started_at_ = clock_.now();
    replica_.start(started_at_, outgoing_);
    dispatch();
}

void ReplicationDriver::leave() {
    replica_.leave(clock_.now(), outgoing_);
    dispatch();
}

void ReplicationDriver::receive(std::uint32_t from, const std::vector<std::uint8_t>& bytes) {
    if (from >= replica_.members()) return;
    replica_.receive(clock_.now(), static_cast<replication::MemberId>(from), bytes, outgoing_);
    dispatch();
}

void ReplicationDriver::publish(replication::EndpointKey endpoint, const replication::Evidence& evidence) {
    replica_.publish(clock_.now(), endpoint, evidence);
    arm_timer();
}

void ReplicationDriver::report_withdrawn(replication::EndpointKey endpoint) {
    const std::uint32_t words[] = {endpoint, replica_.self()};
    const double draw = XXH32(words, sizeof words, 0) / kHashValues;
    if (draw * static_cast<double>(replica_.members()) >= kWithdrawalReporters) return;
    replication::Evidence evidence;
    evidence.flags = replication::kWithdrawn;
    publish(endpoint, evidence);
}

// ---- Versions --------------------------------------------------------------------------------------------

void ReplicationDriver::set_versions(const replication::Versions& versions, std::uint32_t settled) {
    if (versions != own_versions_) replica_.publish(clock_.now(), versions);
    own_versions_ = versions;
    settled_epoch_ = settled;
    observe_versions();
    arm_timer();
}

void ReplicationDriver::observe_versions() {
    if (!config_.version_agreement) return;
    std::vector<replication::VersionId> lists;
    std::vector<replication::VersionId> settings;
    for (const auto& [member, record] : replica_.versions()) {
        lists.push_back(replication::list_version(record.value));
        settings.push_back(replication::settings_version(record.value));
    }
    const Millis now = clock_.now();
    list_follower_.observe(now, replication::list_version(own_versions_), lists);
    const replication::VersionId settled{settled_epoch_, ~0U};
    settings_follower_.observe(now, std::max(replication::settings_version(own_versions_), settled),
                               settings);
}

void ReplicationDriver::request_versions() {
    const Millis now = clock_.now();
    request_if_due(now, list_follower_, handlers_.request_list, "list");
    request_if_due(now, settings_follower_, handlers_.request_settings, "settings");
}

void ReplicationDriver::request_if_due(Millis now, replication::VersionFollower& follower,
                                       const std::function<void(const replication::VersionId&)>& request,
                                       const char* subject) {
    if (!follower.due() || now < *follower.due()) return;
    const replication::VersionId claimed = *follower.claimed();
    const std::uint64_t unfounded_before = follower.unfounded();
    follower.requested(now);
    request(claimed);
    if (follower.unfounded() != unfounded_before)
        log_line(std::string("peers report ") + subject + " " + std::to_string(claimed.major) + "." +
                 std::to_string(claimed.minor) + " in use, but it could not be obtained");
}

// ---- Event loop ------------------------------------------------------------------------------------------

void ReplicationDriver::dispatch() {
    for (const replication::Outgoing& datagram : outgoing_) {
        const bool to_all = datagram.to == replication::kAllMembers;
        handlers_.send(to_all ? std::nullopt : std::optional<std::uint32_t>(datagram.to), datagram.bytes);
    }
    outgoing_.clear();
    log_catch_up();
    if (replica_.revision() != revision_) {
        revision_ = replica_.revision();
        observe_versions();
        handlers_.changed();
    }
    arm_timer();
}

void ReplicationDriver::log_catch_up() {
    if (replica_.caught_up() && !caught_up_logged_)
        log_line("caught up with the fleet after " + std::to_string(std::lround(clock_.now() - started_at_)) +
                 " ms: " + std::to_string(replica_.alive()) + " of " + std::to_string(replica_.members()) +
                 " members, " + std::to_string(replica_.records()) + " records");
    caught_up_logged_ = replica_.caught_up();
}

void ReplicationDriver::arm_timer() {
    Millis due = replica_.due();
    for (const replication::VersionFollower* follower : {&list_follower_, &settings_follower_})
        if (follower->due()) due = std::min(due, *follower->due());
    if (!std::isfinite(due)) {
        timer_.cancel();
        armed_for_ = 0;
        return;
    }
    if (due == armed_for_) return;
    armed_for_ = due;
    timer_.expires_at(clock_.point(due));
    timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](error_code error) {
        if (!error && !alive.expired()) on_timer();
    });
}

void ReplicationDriver::on_timer() {
    armed_for_ = 0;
    replica_.advance(clock_.now(), outgoing_);
    request_versions();
    dispatch();
}

}  // namespace ochregrade::sidecar
