// Fixtures of the recovery tests: a simulated directory with the state of previous runs, a clock that the
// test sets, an endpoint list and two configurations.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "support/sidecar_fixture.hpp"
#include "support/simulated_directory.hpp"

namespace ochregrade::sidecar {

inline const Timestamps kSavedAt{1e12, 5e6, "boot-a"};
inline Timestamps after(Millis by, const std::string& boot = "boot-a") {
    return boot == kSavedAt.boot_id ? Timestamps{kSavedAt.wall + by, kSavedAt.uptime + by, boot}
                                    : Timestamps{kSavedAt.wall + by, 1000, boot};
}

// Opens state stores on one simulated directory, with a clock that the test sets. When a store is destroyed,
// all records submitted to it are on the disk.
struct StateDirectory {
    std::shared_ptr<storage::SimulatedDirectory> folder = std::make_shared<storage::SimulatedDirectory>();
    Timestamps now = kSavedAt;
    std::unique_ptr<StateStore> open() {
        return std::make_unique<StateStore>(folder, [this] { return now; });
    }
    RecoveredState recover() { return open()->recover(); }
    // Simulates a run that is confirmed as stable, and returns the state that it recovered. `during` is
    // called while the run lasts.
    RecoveredState run_stably(const std::function<void(StateStore&)>& during = [](StateStore&) {}) {
        const auto store = open();
        RecoveredState recovered = store->recover();
        store->confirm_stable_uptime();
        during(*store);
        return recovered;
    }
};

inline EndpointList two_endpoints() {
    const json list = {{"seq", 7},
                       {"whole", true},
                       {"hosts", {host("s1", "127.0.0.1:5"), host("s2", "127.0.0.1:6", "DRAINING")}}};
    return parse_endpoint_list(list);
}

inline json base_config() { return a_config("127.0.0.1:1", {host("s1", "127.0.0.1:2")}); }
inline json changed_config() {
    json config = base_config();
    config["settings"]["limits"]["max-attempts"] = 2;
    return config;
}
inline std::string document_of(const json& config) { return read_config(config).document; }

}  // namespace ochregrade::sidecar
