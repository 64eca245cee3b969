// What a sidecar keeps on disk, and what of it a later life may trust. Off unless a folder is configured. The
// loop never waits for the disk, but once: at the start, before anybody is served.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "control/config_versions.hpp"
#include "proxy/balancer_driver.hpp"
#include "storage/background_writer.hpp"

namespace ochregrade::sidecar {

// When something was written: by the wall clock, and by the time since this machine's start, which steps of
// the wall clock don't touch.
struct Timestamps {
    double wall = 0, uptime = 0;  // ms
    std::string boot_id;          // of this start of the machine; empty: not known
};
Timestamps now_by_the_system();
// How long ago at least; none: the clock says it has not been yet, so nobody knows.
std::optional<Millis> age(const Timestamps& then, const Timestamps& now);

// Older than that, a list of servers is not started from. Of unknown age it is held to be just that old.
constexpr Millis kOldestList = 24 * 3600e3;
constexpr Millis kOldestPace = 60e3;

struct RecoveredState {
    std::optional<nlohmann::json>
        last_known_good;  // the last known good configuration, as a generation's document
    std::string file;     // what the file said when it was last accepted
    std::deque<ConfigVersions::Entry> versions;  // generations that may be gone back to
    std::uint64_t next_version = 1;              // no generation has had this number or a higher one
    bool canary_interrupted = false;  // one was on trial when that life ended; it is not the good one
    std::optional<EndpointList> endpoints;
    std::string discovery;                         // that told it
    std::vector<NamedEndpointSnapshot> snapshots;  // aged
    bool crash_loop = false;  // the state was left aside: several lives in a row ended soon
};

class StateStore {
public:
    static constexpr int kMaxShortRuns = 3;  // in a row, and the state is started without
    using Now = std::function<Timestamps()>;

    // One that can't have its folder keeps nothing, and says why.
    static std::unique_ptr<StateStore> open(const std::string& path);
    StateStore(std::shared_ptr<storage::Directory> folder, Now now);

    RecoveredState recover();  // once, first

    void save_config(const ConfigVersions& generations, const std::string& file);
    // Only if it says something new.
    void save_endpoints(const EndpointList& list, const std::string& discovery,
                        const std::vector<NamedEndpointSnapshot>& learnt);
    void confirm_stable_uptime();  // long enough, or to a planned end: this start was no part of a crash loop

    bool usable() const { return unusable_reason_.empty() && writer_; }
    const std::string& unusable_reason() const { return unusable_reason_; }  // it is not
    storage::BackgroundWriter::Counts counts() const {
        return writer_ ? writer_->counts() : storage::BackgroundWriter::Counts();
    }
    bool settled() { return !writer_ || writer_->settled(std::chrono::milliseconds(0)); }

private:
    std::shared_ptr<storage::Directory> folder_;
    Now now_;
    std::shared_ptr<storage::RecordStore> store_;
    std::unique_ptr<storage::BackgroundWriter> writer_;  // from recover() on the store is its own
    std::string last_endpoints_, last_config_;
    std::string unusable_reason_;
};

// What a process starts with: the file's configuration, or what the state folder has to say of it.
struct Start {
    Config config;
    std::string file_document;  // the file's document; empty if it was refused
    ConfigVersions::Source source = ConfigVersions::Source::start;
    std::unique_ptr<StateStore> keeper;
    RecoveredState recovered;
    bool endpoints_restored = false;  // config.known is the stored one: its number means nothing to discovery
};
// Throws ConfigError: the file is refused and nothing is configured to step in.
Start prepare_start();
// The decision alone: what the file (or its fault) and the state amount to.
Start decide_start(const std::optional<nlohmann::json>& file, const RecoveredState& recovered);

}  // namespace ochregrade::sidecar
