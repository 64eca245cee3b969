// What a sidecar stores on disk, and how much of it a later run may use (docs/RECOVERY.md). Off unless a
// folder is configured. The event loop waits for the disk only once: at the start, before anybody is served.
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

/// A stored endpoint list older than this is not used; one of unknown age counts as just this old.
constexpr Millis kMaxEndpointsAge = 24 * 3600e3;
/// Stored latency ratios older than this are not used.
constexpr Millis kMaxLatencyRatioAge = 60e3;

/// What an earlier run has left.
struct RecoveredState {
    std::optional<nlohmann::json> last_known_good;  // configuration, as a version's document
    std::string file;                               // document of the file when it was last accepted
    std::deque<ConfigVersions::Entry> versions;     // that a rollback may return to
    std::uint64_t next_version = 1;                 // no earlier version has this number or a higher one
    bool canary_interrupted = false;                // it was under way at the end; it is not last_known_good
    std::optional<EndpointList> endpoints;
    std::string discovery;                         // address that they came from
    std::vector<NamedEndpointSnapshot> snapshots;  // aged
    bool crash_loop = false;  // the state was set aside: several runs in a row ended early
};

class StateStore {
public:
    /// After so many early ends in a row the state is set aside.
    static constexpr int kMaxShortRuns = 3;
    using Now = std::function<Timestamps()>;

    /// Never null. A store that can't open its folder stores nothing and logs why.
    static std::unique_ptr<StateStore> open(const std::string& path);
    StateStore(std::shared_ptr<storage::Directory> folder, Now now);

    /// To be called once and first. Blocks on the disk.
    RecoveredState recover();

    /// `file`: document of the file when it was last accepted.
    void save_config(const ConfigVersions& versions, const std::string& file);
    /// Writes only if something but the passing of time has changed.
    void save_endpoints(const EndpointList& list, const std::string& discovery,
                        const std::vector<NamedEndpointSnapshot>& snapshots);
    /// This run was long enough, or ended as planned: it does not count towards a crash loop.
    void confirm_stable_uptime();

    bool usable() const { return unusable_reason_.empty() && writer_; }
    const std::string& unusable_reason() const { return unusable_reason_; }
    storage::BackgroundWriter::Counts counts() const {
        return writer_ ? writer_->counts() : storage::BackgroundWriter::Counts();
    }
    /// Whether everything submitted is on the disk.
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
    std::unique_ptr<storage::BackgroundWriter> writer_;  // uses store_ on its own thread from recover() on
    std::string last_endpoints_;                         // identity of the record last submitted
    std::string last_config_;
    std::string unusable_reason_;
};

}  // namespace ochregrade::sidecar
