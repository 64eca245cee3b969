// Versions of the configuration: the version in force, the versions that a rollback may return to, and the
// canary of a new version (docs/CONFIGURATION.md). Operators' JSON, stored records and metrics call a version
// a "generation". This module has no sockets and no clock: callers pass times in milliseconds of the
// process's Clock, carry out the rollback that due() returns, and commit the result.
#pragma once

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "control/config.hpp"

namespace ochregrade::sidecar {

/// Immutable once it is in force. A request uses the snapshot that was in force when the request started.
struct ConfigSnapshot {
    std::uint64_t version = 0;
    Config config;
    SettingsPtr settings;     // config.settings with the number of the local zone
    std::uint32_t epoch = 0;  // config.epoch, except that a rollback gets a newer epoch
};
using ConfigSnapshotPtr = std::shared_ptr<const ConfigSnapshot>;

class ConfigVersions {
public:
    enum class Source { start, file, operators, rollback, canary, recovery };
    enum class State {
        good,
        canary,
        rolled_back,  // its canary failed
        superseded,   // another version was committed before its canary had ended
        withdrawn     // an operator rolled back before its canary had ended
    };
    struct Entry {
        ConfigSnapshotPtr snapshot;
        std::uint64_t content_version = 0;  // the first version with the same content
        Source source = Source::start;
        State state = State::good;
        Millis committed_at = 0;
        std::string note;
        std::uint64_t number() const { return snapshot->version; }
    };
    /// Number of final responses, and how many of them counted as served.
    struct Share {
        std::uint64_t served = 0, all = 0;
        void count(bool was_served) {
            all += 1;
            served += was_served ? 1 : 0;
        }
        /// Share served, 0 to 1; 1 if there are no responses.
        double value() const { return all > 0 ? static_cast<double>(served) / static_cast<double>(all) : 1; }
    };
    struct Canary {
        CanaryRule rule;
        std::uint64_t fallback = 0;  // number of the last good version
        Share baseline;              // responses of the minute before the canary started
        Share observed;              // responses to requests that started under the canary's version
        Millis started_at = 0;
    };
    static constexpr std::size_t kMaxRetained = 8;
    /// A canary without enough samples fails after kMaxExtension times its duration.
    static constexpr double kMaxExtension = 4;

    std::uint64_t next_version() const { return next_; }
    /// Makes next_version() at least `version`, so that no version number of an earlier run is reused.
    void continue_from(std::uint64_t version) { next_ = std::max(next_, version); }

    /// Sets the versions of an earlier run, oldest first. Must be called before the first commit. A canary of
    /// an earlier run is not restored, because canaries aren't stored.
    void restore(std::deque<Entry> retained) {
        retained_ = std::move(retained);
        drop_oldest();
    }
    /// content_version of the oldest retained version with this content; 0: there is none.
    std::uint64_t first_with(const std::string& document) const;

    /// Puts the snapshot in force. content_version: the first version with the same content, 0 for new
    /// content. Versions from the file or from operators start a canary if `rule` has a duration.
    void commit(ConfigSnapshotPtr snapshot, Source source, std::uint64_t content_version,
                const CanaryRule& rule, Millis now);
    /// Records the final response to a request that started under `version`.
    void record_answer(std::uint64_t version, bool served, Millis now);

    /// The rollback of a failed canary. `target` is valid until the next commit.
    struct Rollback {
        const Entry* target = nullptr;
        std::string reason;
    };
    /// Evaluates the canary. Returns the rollback of a failed canary, on each call until the rollback is
    /// committed. Marks the version of a canary that has passed as good.
    std::optional<Rollback> due(Millis now);

    const Entry& current() const { return retained_.back(); }
    const std::deque<Entry>& retained() const { return retained_; }
    const Entry* find(std::uint64_t version) const;  // null: not retained
    /// Target of an operator's rollback that names no version: during a canary the last good version,
    /// otherwise the newest good version that is older than the content in force. Null: there is none.
    const Entry* previous() const;
    const std::optional<Canary>& canary() const { return canary_; }
    /// Final responses of the last minute, without the responses of a running canary.
    Share recent(Millis now) const;

private:
    struct Second {
        std::int64_t index = -1;  // Clock time in whole seconds; -1: empty
        Share share;
    };
    void end_canary(Source source);
    void begin_canary(const CanaryRule& rule, std::uint64_t fallback, Millis now);
    // Reason for which the canary has failed; none if it has not failed so far.
    std::optional<std::string> failure(Millis now) const;
    void drop_oldest();

    std::uint64_t next_ = 1;
    std::deque<Entry> retained_;  // oldest first; the last entry is in force
    std::optional<Canary> canary_;
    std::array<Second, 60> seconds_{};  // ring buffer of the last minute
};

const char* to_string(ConfigVersions::Source source);
const char* to_string(ConfigVersions::State state);

}  // namespace ochregrade::sidecar
