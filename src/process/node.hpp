// All the parts of one sidecar, wired together, and how its configuration changes while it runs.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>

#include "control/config_versions.hpp"
#include "discovery/discovery_client.hpp"
#include "fleet/gossip_transport.hpp"
#include "fleet/replication_driver.hpp"
#include "proxy/listener.hpp"
#include "recovery/state_store.hpp"

namespace ochregrade::sidecar {

class OperatorEndpoint;

// How a change of the configuration ended.
struct ConfigChange {
    enum class Result {
        applied,
        unchanged,  // it says what is in force
        staged,     // it is for a part of the fleet that this sidecar is not in
        sound,      // a dry run: it could be applied
        refused,    // nothing has changed; complaints say why
        conflict,   // another generation is in force than was expected, or there is none to go back to
        missing     // no such generation is kept
    };
    Result result = Result::refused;
    std::uint64_t generation = 0;  // in force now
    std::vector<ValidationError> complaints{};
    std::string note{};
};
const char* to_string(ConfigChange::Result result);

struct ConfigChangeOptions {
    bool dry_run = false;
    std::optional<std::uint64_t> expected{};  // the generation that must be in force
    std::optional<CanaryRule> trial{};        // in place of the candidate's own
};

class Node {
public:
    Node(asio::io_context& io, Config config);  // throws if it can't listen
    Node(asio::io_context& io, Start start);    // the same, with what an earlier life has left
    ~Node();
    tcp::endpoint endpoint() const { return listener_.endpoint(); }
    std::optional<tcp::endpoint> admin_endpoint() const;

    // A planned stop: serves on while clients are still sent here, then finishes what it holds.
    void stop(std::function<void()> done);

    // The file of the configuration has changed. Calls that come close together count as one.
    void reload();

    // A candidate goes through all stages (it has been parsed): checked, prepared, committed in this turn of
    // the loop. Whatever fails leaves all as it was. `strict` refuses unknown fields.
    ConfigChange change(const nlohmann::json& candidate, ConfigVersions::Source source, bool strict,
                        const ConfigChangeOptions& options);
    // To a generation that is kept; without a number, to the one before (ConfigVersions::previous).
    ConfigChange roll_back(std::optional<std::uint64_t> to, std::optional<std::uint64_t> expected);

    struct Counts {
        std::uint64_t applied = 0, refused = 0, unchanged = 0, rolled_back = 0, taken_back = 0;
        Millis last_pause = 0, longest_pause = 0;    // of the loop, for a commit
        Millis last_change = 0, longest_change = 0;  // and with reading, checking and preparing
    };
    const Counts& counts() const { return counts_; }
    const ConfigVersions& generations() const { return generations_; }
    const BalancerDriver& sidecar() const { return sidecar_; }
    const Listener& listener() const { return listener_; }
    const DiscoveryClient& discovery() const { return discovery_; }
    const Clock& clock() const { return clock_; }
    GossipTransport* peers() { return peers_.get(); }  // none: nothing may be told
    const ReplicationDriver* shared() const {
        return shared_.get();
    }                                                     // none: it takes no part in the shared state
    StateStore* keeper() const { return keeper_.get(); }  // none: nothing is kept
    bool stopping() const { return static_cast<bool>(stopped_); }
    BalancerDriver::Usage usage() const { return sidecar_.usage(); }

private:
    struct Prepared;
    std::shared_ptr<ConfigSnapshot> snapshot_of(Config config, std::uint64_t generation);
    Prepared prepare(Config config);
    Prepared prepare_again(const ConfigVersions::Entry& entry);
    void commit(Prepared prepared, ConfigVersions::Source source, std::uint64_t content,
                const CanaryRule& rule);
    void share(const Config& config);
    void say_versions();
    void listed(const EndpointList& list);
    std::shared_ptr<GossipTransport> open_peers(const Config& config);
    void keep_config();
    void keep_world();
    void keep_on();
    void take_file(int reads);
    void watch_trial();
    void misfit(const ConfigSnapshotPtr& snapshot, const HttpRequest& head);
    void wind_down();

    asio::io_context& io_;
    Clock clock_;
    std::unique_ptr<StateStore> keeper_;
    std::string file_;  // what the file said when it was last accepted
    Zones zones_;
    ConfigVersions generations_;
    BalancerDriver sidecar_;
    Listener listener_;
    std::shared_ptr<GossipTransport> peers_;
    std::unique_ptr<ReplicationDriver> shared_;
    DiscoveryClient discovery_;
    std::unique_ptr<OperatorEndpoint> admin_;
    asio::steady_timer timer_, trial_timer_, keep_timer_, reread_timer_;
    Counts counts_;
    replication::Versions acting_{};  // as last said
    std::uint32_t settled_ =
        0;  // epochs up to there are decided on, though one may be acted on elsewhere only
    bool reload_posted_ = false;
    Millis started_ = clock_.now();
    bool lived_ = false;
    Millis lived_after_ = 0;
    std::function<void()> stopped_;
    Millis tell_off_at_ = 0, stop_at_ = 0;
};

}  // namespace ochregrade::sidecar
