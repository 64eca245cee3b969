// Versions of the configuration: the version in force, the versions that a rollback may return to, and the
// canary of a new version (docs/CONFIGURATION.md). Operators' JSON, stored records and metrics call a version
// a "generation". This module has no sockets and no clock: callers pass times in milliseconds of the
// process's Clock. A caller that carries out the rollback that due() returns reports it with commit().
#pragma once

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "control/config.hpp"

namespace ochregrade::sidecar {

/// A version of the configuration; immutable once it is in force. A request uses the snapshot that was in
/// force when the request started.
struct ConfigSnapshot {
    std::uint64_t version = 0;
    Config config;
    SettingsPtr settings;     // config.settings with the fields that make_snapshot() adds
    std::uint32_t epoch = 0;  // config.epoch; after a rollback from an epoch over 0: that epoch + 1
};
using ConfigSnapshotPtr = std::shared_ptr<const ConfigSnapshot>;

class ConfigVersions {
public:
    enum class Source { start, file, operators, rollback, canary, recovery };
    enum class State {
        good,  // committed without a canary, or its canary passed
        canary,
        rolled_back,  // its canary failed
        superseded,   // another version was committed before its canary had ended
        withdrawn     // an operator rolled back before its canary had ended
    };
    struct Entry {
        ConfigSnapshotPtr snapshot;
        // After a rollback or a restart: the version that first had this content. Otherwise: number().
        std::uint64_t content_version = 0;
        Source source = Source::start;
        State state = State::good;
        Millis committed_at = 0;
        std::string note;
        std::uint64_t number() const { return snapshot->version; }
    };
    /// The share of requests served: `served` of `all` final responses. Forwarded error responses (4xx) do
    /// not count. Invalid requests count only against a canary, if its fallback version accepts them
    /// (ConfigManager::invalid_request()).
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
        CanaryRule rule;             // its duration is at least the longest deadline
        std::uint64_t fallback = 0;  // number of the last good version, target of the rollback
        Share baseline;              // recent() when the canary started
        Share observed;              // responses to requests that started under the canary's version
        Millis started_at = 0;
    };
    static constexpr std::size_t kMaxRetained = 8;
    /// A canary with fewer than min_samples responses fails after kMaxExtension times its duration.
    static constexpr double kMaxExtension = 4;

    std::uint64_t next_version() const { return next_; }
    /// Makes next_version() at least `version`, so that no version number of an earlier run is reused.
    void continue_from(std::uint64_t version) { next_ = std::max(next_, version); }

    /// Sets the versions that an earlier run stored, oldest first. Must be called before the first commit. A
    /// canary of an earlier run is not restored, because canaries aren't stored.
    void restore(std::deque<Entry> retained) {
        retained_ = std::move(retained);
        drop_oldest();
    }
    /// content_version of the oldest retained version with this content; 0: there is none.
    std::uint64_t first_with(const std::string& document) const;

    /// Records that the snapshot is in force, and ends a running canary. `content_version`: see Entry; 0: the
    /// snapshot's own number. A version from the file or from operators starts a canary if `rule` has a
    /// duration and an earlier version is retained.
    void commit(ConfigSnapshotPtr snapshot, Source source, std::uint64_t content_version,
                const CanaryRule& rule, Millis now);
    /// Counts the final response to a request that started under `version`.
    void record_answer(std::uint64_t version, bool served, Millis now);

    /// The rollback of a failed canary. `target` is valid until the next commit.
    struct Rollback {
        const Entry* target = nullptr;
        std::string reason;
    };
    /// Evaluates the running canary; without one, does nothing. Returns the rollback if the canary has
    /// failed. The canary stays until the rollback is committed, and each call before that evaluates it
    /// again. A canary that has passed is ended, and its version is marked as good.
    std::optional<Rollback> due(Millis now);

    const Entry& current() const { return retained_.back(); }
    const std::deque<Entry>& retained() const { return retained_; }
    const Entry* find(std::uint64_t version) const;  // null: not retained
    /// Target of an operator's rollback that names no version. During a canary, this is the canary's
    /// fallback. Otherwise it is the newest good version that is older than the content in force and took its
    /// content from no other version. Null: there is none.
    const Entry* previous() const;
    const std::optional<Canary>& canary() const { return canary_; }
    /// The share served in the last 60 s, without the responses that were counted for canaries.
    Share recent(Millis now) const;

private:
    struct Second {
        std::int64_t index = -1;  // Clock time in whole seconds; -1: empty
        Share share;
    };
    void end_canary(Source source);
    void begin_canary(const CanaryRule& rule, std::uint64_t fallback, Millis now);
    // The reason if the running canary has failed; none if it has not failed so far.
    std::optional<std::string> failure(Millis now) const;
    void drop_oldest();

    std::uint64_t next_ = 1;
    std::deque<Entry> retained_;  // oldest first; the last entry is in force
    std::optional<Canary> canary_;
    std::array<Second, 60> seconds_{};  // ring buffer of the last 60 s
};

const char* to_string(ConfigVersions::Source source);
const char* to_string(ConfigVersions::State state);

}  // namespace ochregrade::sidecar
