#include "lab/sidecar_config.hpp"

#include <cstdio>
#include <string>

namespace ochregrade::lab {

using nlohmann::json;

namespace {

std::string address_of(const std::string& host, std::uint16_t port) {
    return host + ":" + std::to_string(port);
}

std::string loopback(std::uint16_t port) { return address_of("127.0.0.1", port); }

// 16 hex digits, another one for each start of each sidecar.
std::string seed_text(std::uint64_t experiment_seed, int sidecar, int start) {
    constexpr std::uint64_t kFactor = 0x100000001b3ULL;
    const std::uint64_t seed =
        experiment_seed * kFactor + static_cast<unsigned>(sidecar) * 131 + static_cast<unsigned>(start);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(seed));
    return text;
}

}  // namespace

void SidecarConfigs::raise_epoch(double rollout_share) {
    ++epoch_;
    rollout_share_ = rollout_share;
}

// The latency objective grows by 1 ms an epoch, so that the settings of two epochs differ.
json SidecarConfigs::classes() const {
    json all = json::array();
    for (const LoadClass& load_class : experiment_.classes)
        all.push_back({{"name", load_class.name},
                       {"effect", load_class.not_idempotent ? "once" : "repeatable"},
                       {"on-time-ms", load_class.latency_objective_ms + epoch_},
                       {"give-up-ms", load_class.timeout_ms},
                       {"credit", load_class.priority_weight}});
    return all;
}

json SidecarConfigs::peers() const {
    json addresses = json::array();
    for (int i = 0; i < experiment_.sidecars; ++i) addresses.push_back(loopback(relay_.port(i)));
    return addresses;
}

json SidecarConfigs::settings(const SidecarSpec& sidecar) const {
    return {{"classes", classes()},
            {"siblings", experiment_.sidecars},
            {"my-number", sidecar.index},
            {"my-zone", sidecar.zone},
            {"azs", experiment_.zones},
            {"limits",
             {{"max-attempts", 3},
              {"may-cancel", true},
              {"may-probe", true},
              {"may-tell", true},
              {"connect-timeout-ms", 250},
              {"idle-close-ms", experiment_.idle_close_ms},
              {"max-retry-after-ms", 2000}}},
            {"rules",
             {{"cold-from", experiment_.slow_start_least_share},
              {"fall-multiple", 3},
              {"warm-within-ms", experiment_.slow_start_ms}}},
            {"fees", {{"cross-zone", 0.01}, {"probe", 0.01}}}};
}

json SidecarConfigs::make(const SidecarSpec& sidecar, int start) const {
    return {{"name", sidecar_name(sidecar.index)},
            {"listen", address_of(sidecar.address, sidecar.listen)},
            {"discovery", loopback(discovery_.port(sidecar.index))},
            {"seed", seed_text(experiment_.seed, sidecar.index, start)},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
            {"peer_listen", address_of(sidecar.address, sidecar.peer_listen)},
            {"peers", peers()},
            {"peers_all", loopback(relay_.broadcast_port())},
            {"known", {{"seq", discovery_.sequence()}, {"whole", true}, {"hosts", discovery_.hosts()}}},
            {"settings", settings(sidecar)},
            {"ochregrade",
             {{"epoch", epoch_},
              {"rollout", {{"share", rollout_share_}}},
              {"fleet", {{"enabled", experiment_.shared}, {"agreement", experiment_.agreement}}}}}};
}

}  // namespace ochregrade::lab
