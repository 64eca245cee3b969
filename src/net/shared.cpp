#include "net/shared.hpp"

#include <cmath>

#include "net/log.hpp"

namespace kelplb::net {

namespace {

fleet::Options options_of(const FleetConfig& config) {
    fleet::Options o;
    o.probe_period = config.probe_period;
    o.gossip_period = config.gossip_period;
    o.sync_period = config.sync_period;
    return o;
}

}  // namespace

fleet::ServerKey server_key(ServerId server, Millis born) {
    const auto start = static_cast<std::uint64_t>(std::max(0.0, born));
    return server ^ static_cast<fleet::ServerKey>(start * 0x9e3779b97f4a7c15ULL >> 32);
}

Shared::Shared(asio::io_context& io, const Clock& clock, const Config& config, Handlers handlers)
    : clock_(clock),
      handlers_(std::move(handlers)),
      config_(config.fleet),
      replica_(static_cast<fleet::MemberId>(config.settings.my_number), config.settings.siblings,
               static_cast<std::uint32_t>(clock.now() / 1000), config.seed, options_of(config.fleet)),
      timer_(io) {}

bool Shared::serves(const Config& config) const {
    return config.shares() && config.fleet == config_ && config.settings.my_number == replica_.self() &&
           config.settings.siblings == replica_.members();
}

void Shared::start() {
    started_ = clock_.now();
    replica_.start(started_, out_);
    carry_out();
}

void Shared::leave() {
    replica_.leave(clock_.now(), out_);
    carry_out();
}

void Shared::heard(std::uint32_t from, const std::vector<std::uint8_t>& bytes) {
    if (from >= replica_.members()) return;
    replica_.receive(clock_.now(), static_cast<fleet::MemberId>(from), bytes, out_);
    carry_out();
}

void Shared::say(fleet::ServerKey server, const fleet::Evidence& evidence) {
    replica_.say(clock_.now(), server, evidence);
    arm();
}

void Shared::say(const fleet::Versions& versions) {
    replica_.say(clock_.now(), versions);
    arm();
}

void Shared::carry_out() {
    for (const fleet::Outgoing& o : out_) {
        const bool all = o.to == fleet::kAll;
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
        handlers_.changed();
    }
    arm();
}

void Shared::arm() {
    const Millis due = replica_.due();
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
        carry_out();
    });
}

}  // namespace kelplb::net
