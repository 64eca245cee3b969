// Versions of the configuration: which one is in force, which ones may be gone back to, and the canary of a
// new one. No sockets and no clock: times come in, and whoever carries out what due() says commits it here
// again.
#pragma once

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "control/config.hpp"

namespace ochregrade::sidecar {

// Never changed once it is in force: a request holds the one it began with to its end.
struct ConfigSnapshot {
    std::uint64_t version = 0;
    Config config;
    SettingsPtr settings;  // the same, with its zone's number
    // That it is acted on under: the configuration's own, and for one gone back to a newer one.
    std::uint32_t epoch = 0;
};
using ConfigSnapshotPtr = std::shared_ptr<const ConfigSnapshot>;

class ConfigVersions {
public:
    enum class Source { start, file, operators, rollback, canary, recovery };
    enum class State {
        good,
        canary,
        rolled_back,  // its trial ended badly
        superseded,   // another generation came before its trial had ended
        withdrawn     // an operator went back before its trial had ended
    };
    struct Entry {
        ConfigSnapshotPtr snapshot;
        std::uint64_t content_version = 0;  // the generation that first said the same
        Source source = Source::start;
        State state = State::good;
        Millis committed_at = 0;
        std::string note;
        std::uint64_t number() const { return snapshot->version; }
    };
    struct Share {
        std::uint64_t served = 0, all = 0;
        double value() const { return all > 0 ? static_cast<double>(served) / static_cast<double>(all) : 1; }
    };
    struct Canary {
        CanaryRule rule;
        std::uint64_t fallback = 0;  // the last good one
        Share baseline, observed;
        Millis started_at = 0;
    };
    static constexpr std::size_t kMaxRetained = 8;
    static constexpr Millis kLongestWait = 4;  // times the bake, for the smallest number of samples

    std::uint64_t next_version() const { return next_; }
    // Numbers go on from there: a state from before the start named generations too.
    void continue_from(std::uint64_t generation) { next_ = std::max(next_, generation); }

    // From an earlier life, oldest first, before anything is in force; trials don't outlive theirs.
    void restore(std::deque<Entry> retained) { retained_ = std::move(retained), drop_oldest(); }
    // The generation that first said this, if it is kept; 0: none did.
    std::uint64_t first_with(const std::string& document) const;

    // It is in force from now on. content: 0 for one that says something new.
    void commit(ConfigSnapshotPtr snapshot, Source source, std::uint64_t content_version,
                const CanaryRule& rule, Millis now);
    // The final answer of a request that began with that generation.
    void record_answer(std::uint64_t generation, bool served, Millis now);

    // A trial that ended badly: the entry to go back to, and why. It says so until that is committed.
    struct Rollback {
        const Entry* to = nullptr;
        std::string why;
    };
    std::optional<Rollback> due(Millis now);

    const Entry& current() const { return retained_.back(); }
    const std::deque<Entry>& retained() const { return retained_; }
    const Entry* find(std::uint64_t generation) const;
    // Where an operator's "back" without a number leads: out of a trial to the last good one, else to the
    // newest good one older than what is in force says. None: there is nothing older.
    const Entry* previous() const;
    const std::optional<Canary>& canary() const { return canary_; }
    Share recent(Millis now) const;  // of the last minute

private:
    struct Second {
        std::int64_t at = -1;
        Share share;
    };
    void drop_oldest();

    std::uint64_t next_ = 1;
    std::deque<Entry> retained_;  // the one in force last
    std::optional<Canary> canary_;
    std::array<Second, 60> seconds_{};
};

const char* to_string(ConfigVersions::Source source);
const char* to_string(ConfigVersions::State state);

}  // namespace ochregrade::sidecar
