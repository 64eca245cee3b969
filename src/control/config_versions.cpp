#include "control/config_versions.hpp"

#include <algorithm>
#include <cstdio>

namespace ochregrade::sidecar {

namespace {

constexpr Millis kSecond = 1000;

}  // namespace

void ConfigVersions::commit(ConfigSnapshotPtr snapshot, Source source, std::uint64_t content_version,
                            const CanaryRule& rule, Millis now) {
    const std::uint64_t number = snapshot->version;
    next_ = std::max(next_, number + 1);
    std::uint64_t fallback = retained_.empty() ? 0 : current().number();
    if (canary_) {
        fallback = canary_->fallback;
        end_canary(source);
    }
    const std::uint64_t content = content_version != 0 ? content_version : number;
    retained_.push_back({std::move(snapshot), content, source, State::good, now, {}});
    // A rollback has no canary, because the version that it replaces is no valid baseline and the content of
    // its target was in force before. The version at the start of a run has no canary either.
    const bool is_new = source == Source::file || source == Source::operators;
    if (rule.duration > 0 && fallback != 0 && is_new) begin_canary(rule, fallback, now);
    drop_oldest();
}

void ConfigVersions::begin_canary(const CanaryRule& rule, std::uint64_t fallback, Millis now) {
    Entry& entry = retained_.back();
    entry.state = State::canary;
    canary_ = Canary{rule, fallback, recent(now), {}, now};
    // A request may take until its deadline to fail, so a canary shorter than the longest deadline would miss
    // failures.
    canary_->rule.duration = std::max(rule.duration, entry.snapshot->config.longest_deadline);
}

void ConfigVersions::end_canary(Source source) {
    State& state = retained_.back().state;
    if (source == Source::canary)
        state = State::rolled_back;
    else if (source == Source::rollback)
        state = State::withdrawn;
    else
        state = State::superseded;
    canary_.reset();
}

void ConfigVersions::record_answer(std::uint64_t version, bool served, Millis now) {
    // The responses under a canary's version do not count for the baseline of later canaries.
    if (canary_ && version == current().number()) return canary_->observed.count(served);
    const auto index = static_cast<std::int64_t>(now / kSecond);
    Second& second = seconds_[static_cast<std::size_t>(index) % seconds_.size()];
    if (second.index != index) second = {index, {}};
    second.share.count(served);
}

ConfigVersions::Share ConfigVersions::recent(Millis now) const {
    const auto newest = static_cast<std::int64_t>(now / kSecond);
    const auto oldest = newest - static_cast<std::int64_t>(seconds_.size()) + 1;
    Share sum;
    for (const Second& second : seconds_) {
        if (second.index < 0 || second.index < oldest || second.index > newest) continue;
        sum.served += second.share.served;
        sum.all += second.share.all;
    }
    return sum;
}

std::optional<std::string> ConfigVersions::failure(Millis now) const {
    const CanaryRule& rule = canary_->rule;
    const Share& observed = canary_->observed;
    const auto answers = static_cast<unsigned long long>(observed.all);
    std::array<char, 160> reason{};
    if (observed.all >= rule.min_samples) {
        // A baseline with too few responses is not reliable: the canary is then compared with a share of 1.
        const double before = canary_->baseline.all >= rule.min_samples ? canary_->baseline.value() : 1;
        if (observed.value() >= before - rule.max_drop) return {};
        std::snprintf(reason.data(), reason.size(), "share served fell from %.3f to %.3f (%llu answers)",
                      before, observed.value(), answers);
        return reason.data();
    }
    // A canary with too few responses is extended, and fails when its extension ends: missing data is no
    // proof of health.
    if (now < canary_->started_at + rule.duration * kMaxExtension) return {};
    std::snprintf(reason.data(), reason.size(), "only %llu answers of %zu within its trial", answers,
                  rule.min_samples);
    return reason.data();
}

std::optional<ConfigVersions::Rollback> ConfigVersions::due(Millis now) {
    if (!canary_) return {};
    if (const auto reason = failure(now)) {
        retained_.back().note = *reason;
        return Rollback{find(canary_->fallback), *reason};
    }
    const bool enough_samples = canary_->observed.all >= canary_->rule.min_samples;
    if (enough_samples && now >= canary_->started_at + canary_->rule.duration) {
        retained_.back().state = State::good;
        canary_.reset();
        drop_oldest();
    }
    return {};
}

const ConfigVersions::Entry* ConfigVersions::find(std::uint64_t version) const {
    const auto found = std::find_if(retained_.begin(), retained_.end(),
                                    [&](const Entry& entry) { return entry.number() == version; });
    return found == retained_.end() ? nullptr : &*found;
}

std::uint64_t ConfigVersions::first_with(const std::string& document) const {
    for (const Entry& entry : retained_)
        if (entry.snapshot->config.document == document) return entry.content_version;
    return 0;
}

const ConfigVersions::Entry* ConfigVersions::previous() const {
    if (canary_) return find(canary_->fallback);
    const auto is_older_good = [this](const Entry& entry) {
        const bool original = entry.content_version == entry.number();
        const bool older = entry.number() < current().content_version;
        return entry.state == State::good && original && older;
    };
    const auto newest = std::find_if(retained_.rbegin(), retained_.rend(), is_older_good);
    return newest != retained_.rend() ? &*newest : nullptr;
}

// Drops the oldest versions beyond kMaxRetained, but never the fallback of a running canary.
void ConfigVersions::drop_oldest() {
    while (retained_.size() > kMaxRetained) {
        const bool needed = canary_ && retained_.front().number() == canary_->fallback;
        retained_.erase(retained_.begin() + (needed ? 1 : 0));
    }
}

const char* to_string(ConfigVersions::Source source) {
    switch (source) {
        case ConfigVersions::Source::start:
            return "start";
        case ConfigVersions::Source::file:
            return "file";
        case ConfigVersions::Source::operators:
            return "operators";
        case ConfigVersions::Source::rollback:
            return "rollback";
        case ConfigVersions::Source::canary:
            return "trial";
        case ConfigVersions::Source::recovery:
            break;
    }
    return "recovery";
}

const char* to_string(ConfigVersions::State state) {
    switch (state) {
        case ConfigVersions::State::good:
            return "good";
        case ConfigVersions::State::canary:
            return "on trial";
        case ConfigVersions::State::rolled_back:
            return "taken back";
        case ConfigVersions::State::superseded:
            return "superseded";
        case ConfigVersions::State::withdrawn:
            break;
    }
    return "withdrawn";
}

}  // namespace ochregrade::sidecar
