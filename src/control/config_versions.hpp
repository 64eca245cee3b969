// Versions of the configuration: which one is in force, which ones a rollback may return to, and the canary
// of a new one (docs/CONFIGURATION.md). Operators' JSON, stored records and metrics call a version a
// "generation". No sockets and no clock: times come in as milliseconds of the process's Clock, and whoever
// carries out what due() asks for commits the result here again.
#pragma once

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "control/config.hpp"

namespace ochregrade::sidecar {

/// Immutable once it is in force; a request uses the one it began with to its end.
struct ConfigSnapshot {
    std::uint64_t version = 0;
    Config config;
    SettingsPtr settings;     // config.settings with the local zone's number
    std::uint32_t epoch = 0;  // the configuration's own; a rollback gets a newer one
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
    /// Final answers, and how many of them were served.
    struct Share {
        std::uint64_t served = 0, all = 0;
        void count(bool was_served) {
            all += 1;
            served += was_served ? 1 : 0;
        }
        /// From 0 to 1; 1 without answers.
        double value() const { return all > 0 ? static_cast<double>(served) / static_cast<double>(all) : 1; }
    };
    struct Canary {
        CanaryRule rule;
        std::uint64_t fallback = 0;  // number of the last good version
        Share baseline;              // of the minute before it began
        Share observed;              // of requests that began with the canary
        Millis started_at = 0;
    };
    static constexpr std::size_t kMaxRetained = 8;
    /// A canary without enough samples fails after its duration times this.
    static constexpr double kMaxExtension = 4;

    std::uint64_t next_version() const { return next_; }
    /// Numbering goes on from `version`, so that no number of an earlier run is used again.
    void continue_from(std::uint64_t version) { next_ = std::max(next_, version); }

    /// Versions of an earlier run, oldest first; to be called before the first commit. Canaries aren't
    /// stored.
    void restore(std::deque<Entry> retained) {
        retained_ = std::move(retained);
        drop_oldest();
    }
    /// The first retained version with this content; 0: none.
    std::uint64_t first_with(const std::string& document) const;

    /// The snapshot is in force from now on. content_version: 0 for new content.
    void commit(ConfigSnapshotPtr snapshot, Source source, std::uint64_t content_version,
                const CanaryRule& rule, Millis now);
    /// The final answer of a request that began with that version.
    void record_answer(std::uint64_t version, bool served, Millis now);

    /// A canary that failed. `target` is valid until the next commit.
    struct Rollback {
        const Entry* target = nullptr;
        std::string reason;
    };
    /// The rollback that has to be committed now; returned until it is. A canary that has passed is marked
    /// good.
    std::optional<Rollback> due(Millis now);

    const Entry& current() const { return retained_.back(); }
    const std::deque<Entry>& retained() const { return retained_; }
    const Entry* find(std::uint64_t version) const;  // null: not retained
    /// Target of an operator's rollback without a number: during a canary the last good version, otherwise
    /// the newest good one that is older than the content in force. Null: there is none.
    const Entry* previous() const;
    const std::optional<Canary>& canary() const { return canary_; }
    /// Answers of the last minute, without those of a canary.
    Share recent(Millis now) const;

private:
    struct Second {
        std::int64_t index = -1;  // seconds of the clock
        Share share;
    };
    void end_canary(Source source);
    void begin_canary(const CanaryRule& rule, std::uint64_t fallback, Millis now);
    // Why the canary has failed by now; none: it has not.
    std::optional<std::string> failure(Millis now) const;
    void drop_oldest();

    std::uint64_t next_ = 1;
    std::deque<Entry> retained_;  // the last one is in force
    std::optional<Canary> canary_;
    std::array<Second, 60> seconds_{};
};

const char* to_string(ConfigVersions::Source source);
const char* to_string(ConfigVersions::State state);

}  // namespace ochregrade::sidecar
