#include "control/config_versions.hpp"

#include <algorithm>
#include <cstdio>

namespace ochregrade::sidecar {

void ConfigVersions::commit(ConfigSnapshotPtr snapshot, Source source, std::uint64_t content,
                            const CanaryRule& rule, Millis now) {
    const std::uint64_t number = snapshot->version;
    next_ = std::max(next_, number + 1);
    std::uint64_t fallback = retained_.empty() ? 0 : current().number();
    if (canary_) {
        Entry& tried = retained_.back();
        tried.state = source == Source::canary     ? State::rolled_back
                      : source == Source::rollback ? State::withdrawn
                                                   : State::superseded;
        fallback = canary_->fallback;
        canary_.reset();
    }
    retained_.push_back({std::move(snapshot), content ? content : number, source, State::good, now, {}});
    // What has just been left for its faults is no measure, and what was good once needs no second trial.
    if (rule.duration > 0 && fallback != 0 && (source == Source::file || source == Source::operators)) {
        retained_.back().state = State::canary;
        canary_ = Canary{rule, fallback, recent(now), {}, now};
        // A request that is going to fail takes its whole time for it.
        canary_->rule.duration = std::max(rule.duration, retained_.back().snapshot->config.longest_deadline);
    }
    drop_oldest();
}

void ConfigVersions::record_answer(std::uint64_t generation, bool served, Millis now) {
    if (canary_ && generation == current().number()) {
        canary_->observed.all += 1;
        canary_->observed.served += served ? 1 : 0;
        return;  // and is no measure for others before it is found good
    }
    const auto second = static_cast<std::int64_t>(now / 1000);
    Second& slot = seconds_[static_cast<std::size_t>(second) % seconds_.size()];
    if (slot.at != second) slot = {second, {}};
    slot.share.all += 1;
    slot.share.served += served ? 1 : 0;
}

ConfigVersions::Share ConfigVersions::recent(Millis now) const {
    const auto second = static_cast<std::int64_t>(now / 1000);
    Share sum;
    for (const Second& s : seconds_)
        if (s.at >= 0 && s.at > second - static_cast<std::int64_t>(seconds_.size()) && s.at <= second) {
            sum.served += s.share.served;
            sum.all += s.share.all;
        }
    return sum;
}

std::optional<ConfigVersions::Rollback> ConfigVersions::due(Millis now) {
    if (!canary_) return {};
    const Canary& t = *canary_;
    const bool enough = t.observed.all >= t.rule.min_samples;
    // Too few answers before it say nothing: it is then held to all of them.
    const double before = t.baseline.all >= t.rule.min_samples ? t.baseline.value() : 1;
    char why[160];
    if (enough && t.observed.value() < before - t.rule.max_drop) {
        std::snprintf(why, sizeof why, "share served fell from %.3f to %.3f (%llu answers)", before,
                      t.observed.value(), static_cast<unsigned long long>(t.observed.all));
    } else if (!enough && now >= t.started_at + t.rule.duration * kLongestWait) {
        // No data is not health.
        std::snprintf(why, sizeof why, "only %llu answers of %zu within its trial",
                      static_cast<unsigned long long>(t.observed.all), t.rule.min_samples);
    } else {
        if (enough && now >= t.started_at + t.rule.duration) {
            retained_.back().state = State::good;
            canary_.reset();
            drop_oldest();
        }
        return {};
    }
    retained_.back().note = why;
    return Rollback{find(t.fallback), why};
}

const ConfigVersions::Entry* ConfigVersions::find(std::uint64_t generation) const {
    const auto at = std::find_if(retained_.begin(), retained_.end(),
                                 [&](const Entry& e) { return e.number() == generation; });
    return at == retained_.end() ? nullptr : &*at;
}

std::uint64_t ConfigVersions::first_with(const std::string& document) const {
    for (const Entry& e : retained_)
        if (e.snapshot->config.document == document) return e.content_version;
    return 0;
}

const ConfigVersions::Entry* ConfigVersions::previous() const {
    if (canary_) return find(canary_->fallback);
    for (auto e = retained_.rbegin(); e != retained_.rend(); ++e)
        if (e->state == State::good && e->content_version == e->number() &&
            e->number() < current().content_version)
            return &*e;
    return nullptr;
}

// The oldest go first, but never the one that a trial may have to go back to.
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
