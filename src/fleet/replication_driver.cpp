#include "fleet/replication_driver.hpp"

#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "common/log.hpp"

namespace ochregrade::sidecar {

namespace {

constexpr double kSpeakers = 12;  // of all, that tell of a closed server

replication::Options options_of(const ReplicationConfig& config) {
    replication::Options o;
    o.probe_period = config.probe_period;
    o.gossip_period = config.gossip_period;
    o.sync_period = config.sync_period;
    return o;
}

}  // namespace

replication::EndpointKey endpoint_key(EndpointId server, Millis born) {
    const auto start = static_cast<std::uint64_t>(std::max(0.0, born));
    return server ^ static_cast<replication::EndpointKey>(start * 0x9e3779b97f4a7c15ULL >> 32);
}

ReplicationDriver::ReplicationDriver(asio::io_context& io, const Clock& clock, const Config& config,
                                     Handlers handlers)
    : clock_(clock),
      handlers_(std::move(handlers)),
      config_(config.replication),
      replica_(static_cast<replication::MemberId>(config.settings.sidecar_index),
               config.settings.sidecar_count, static_cast<std::uint32_t>(clock.now() / 1000), config.seed,
               options_of(config.replication)),
      timer_(io),
      list_(replication::kListPace, config.seed ^ 1),
      settings_(replication::kSettingsPace, config.seed ^ 2) {}

bool ReplicationDriver::matches(const Config& config) const {
    return config.joins_replication() && config.replication == config_ &&
           config.settings.sidecar_index == replica_.self() &&
           config.settings.sidecar_count == replica_.members();
}

void ReplicationDriver::start() {
    started_ = clock_.now();
    replica_.start(started_, out_);
    carry_out();
}

void ReplicationDriver::leave() {
    replica_.leave(clock_.now(), out_);
    carry_out();
}

void ReplicationDriver::receive(std::uint32_t from, const std::vector<std::uint8_t>& bytes) {
    if (from >= replica_.members()) return;
    replica_.receive(clock_.now(), static_cast<replication::MemberId>(from), bytes, out_);
    carry_out();
}

void ReplicationDriver::publish(replication::EndpointKey server, const replication::Evidence& evidence) {
    replica_.publish(clock_.now(), server, evidence);
    arm();
}

void ReplicationDriver::set_versions(const replication::Versions& versions, std::uint32_t settled) {
    if (versions != own_) replica_.publish(clock_.now(), versions);
    own_ = versions, settled_ = settled;
    observe();
    arm();
}

void ReplicationDriver::report_withdrawn(replication::EndpointKey server) {
    const std::uint32_t words[] = {server, replica_.self()};
    const double all = static_cast<double>(replica_.members());
    if (XXH32(words, sizeof words, 0) / 4294967296.0 * all >= kSpeakers) return;
    replication::Evidence e;
    e.flags = replication::kClosed;
    publish(server, e);
}

void ReplicationDriver::observe() {
    if (!config_.version_agreement) return;
    std::vector<replication::VersionId> lists, settings;
    for (const auto& [member, record] : replica_.versions()) {
        lists.push_back(replication::list_place(record.value));
        settings.push_back(replication::settings_place(record.value));
    }
    const Millis now = clock_.now();
    list_.observe(now, replication::list_place(own_), lists);
    settings_.observe(now, std::max(replication::settings_place(own_), replication::VersionId{settled_, ~0u}),
                      settings);
}

void ReplicationDriver::follow_versions() {
    const Millis now = clock_.now();
    const auto ask = [&](replication::VersionFollower& chase, const auto& handler, const char* what) {
        if (!chase.due() || now < *chase.due()) return;
        const replication::VersionId claimed = *chase.claimed();
        const auto before = chase.unfounded();
        chase.requested(now);
        handler(claimed);
        if (chase.unfounded() != before)
            log_line(std::string("others claim to act on ") + what + " " + std::to_string(claimed.major) +
                     "." + std::to_string(claimed.minor) + ", which is not to be had");
    };
    ask(list_, handlers_.ask_list, "list");
    ask(settings_, handlers_.ask_settings, "settings");
}

void ReplicationDriver::carry_out() {
    for (const replication::Outgoing& o : out_) {
        const bool all = o.to == replication::kAll;
        handlers_.send(all ? std::nullopt : std::optional<std::uint32_t>(o.to), o.bytes);
    }
    out_.clear();
    if (replica_.caught_up() && !said_caught_up_)
        log_line("caught up with the fleet after " + std::to_string(std::lround(clock_.now() - started_)) +
                 " ms: " + std::to_string(replica_.alive()) + " of " + std::to_string(replica_.members()) +
                 " members, " + std::to_string(replica_.records()) + " records");
    said_caught_up_ = replica_.caught_up();
    if (replica_.revision() != revision_) {
        revision_ = replica_.revision();
        observe();
        handlers_.changed();
    }
    arm();
}

void ReplicationDriver::arm() {
    Millis due = replica_.due();
    for (const replication::VersionFollower* chase : {&list_, &settings_})
        if (chase->due()) due = std::min(due, *chase->due());
    if (!std::isfinite(due)) {
        timer_.cancel();
        armed_for_ = 0;
        return;
    }
    if (due == armed_for_) return;
    armed_for_ = due;
    timer_.expires_at(clock_.point(due));
    timer_.async_wait([this](error_code ec) {
        if (ec) return;
        armed_for_ = 0;
        replica_.advance(clock_.now(), out_);
        follow_versions();
        carry_out();
    });
}

}  // namespace ochregrade::sidecar
