// Stores the state of a sidecar on disk and decides how much of it a later run may use (docs/RECOVERY.md).
// State is stored only if a folder is configured. The process waits for the disk only at the start, before it
// serves requests, and for at most 1 s at exit, in the destructor of the BackgroundWriter.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "control/config_versions.hpp"
#include "proxy/balancer_driver.hpp"
#include "recovery/timestamps.hpp"
#include "storage/background_writer.hpp"

namespace ochregrade::sidecar {

/// A stored endpoint list older than this is not used. A list of unknown age counts as exactly this old, so
/// it is used.
constexpr Millis kMaxEndpointsAge = 24 * 3600e3;
/// Stored latency ratios older than this are not used.
constexpr Millis kMaxLatencyRatioAge = 60e3;

/// The state that earlier runs stored. A field without a usable record keeps its default.
struct RecoveredState {
    std::optional<nlohmann::json> last_known_good;  // document of the last known good version
    std::string file;                               // the file's document when the file was last accepted
    std::deque<ConfigVersions::Entry> versions;     // possible targets of a rollback, oldest first
    std::uint64_t next_version = 1;                 // higher than the number of every earlier version
    // The previous run ended during a canary; last_known_good is the version before the canary's.
    bool canary_interrupted = false;
    std::optional<EndpointList> endpoints;
    std::string discovery;                         // address:port of the discovery that sent the endpoints
    std::vector<NamedEndpointSnapshot> snapshots;  // adjusted to the time of the recovery
    bool crash_loop = false;  // several consecutive runs ended early, so the state has been quarantined
};

class StateStore {
public:
    /// The state is quarantined (its files are renamed and not used) after this number of consecutive runs
    /// that ended early, which means before confirm_stable_uptime().
    static constexpr int kMaxShortRuns = 3;
    using Now = std::function<Timestamps()>;

    /// Never returns null. A store that can't open its folder stores nothing and logs the reason.
    static std::unique_ptr<StateStore> open(const std::string& path);
    StateStore(std::shared_ptr<storage::Directory> folder, Now now);

    /// Reads the stored state and counts this start. Called once, before any other method. Blocks on the
    /// disk.
    RecoveredState recover();

    /// Queues the record "config" for writing, unless it is the same as the last one. `file`: the file's
    /// document when the file was last accepted.
    void save_config(const ConfigVersions& versions, const std::string& file);
    /// Queues the record "world" for writing, unless it has the same endpoints_record_identity() as the last
    /// one.
    void save_endpoints(const EndpointList& list, const std::string& discovery,
                        const std::vector<NamedEndpointSnapshot>& snapshots);
    /// Resets the count of short runs. Called when this run has lasted for Config::stable_uptime or ends as
    /// planned, so that the run does not count towards a crash loop.
    void confirm_stable_uptime();

    bool usable() const { return unusable_reason_.empty() && writer_; }
    const std::string& unusable_reason() const { return unusable_reason_; }
    storage::BackgroundWriter::Counts counts() const {
        return writer_ ? writer_->counts() : storage::BackgroundWriter::Counts();
    }
    /// Whether all submitted records are on the disk; also true if no records can be written.
    bool settled() const { return !writer_ || writer_->settled(std::chrono::milliseconds(0)); }

private:
    template <class Record>
    std::optional<Record> load(const char* kind, Record (*parse)(const std::string&));
    bool count_start(RecoveredState& state);
    void recover_config(RecoveredState& state);
    void recover_endpoints(RecoveredState& state, const Timestamps& now);

    std::shared_ptr<storage::Directory> folder_;
    Now now_;
    std::shared_ptr<storage::RecordStore> store_;
    // Null before recover(), and afterwards if the folder can't be used. The writer's thread uses store_.
    std::unique_ptr<storage::BackgroundWriter> writer_;
    std::string last_endpoints_;  // identity of the endpoints record last submitted
    std::string last_config_;
    std::string unusable_reason_;
};

}  // namespace ochregrade::sidecar
