#include "control/config_versions.hpp"

#include <algorithm>
#include <cstdio>

namespace ochregrade::sidecar {

void Generations::committed(SnapshotPtr snapshot, Source source, std::uint64_t content, const TrialRule& rule,
                            Millis now) {
    const std::uint64_t number = snapshot->generation;
    next_ = std::max(next_, number + 1);
    std::uint64_t fallback = kept_.empty() ? 0 : current().number();
    if (trial_) {
        Entry& tried = kept_.back();
        tried.state = source == Source::trial      ? State::taken_back
                      : source == Source::rollback ? State::withdrawn
                                                   : State::superseded;
        fallback = trial_->fallback;
        trial_.reset();
    }
    kept_.push_back({std::move(snapshot), content ? content : number, source, State::good, now, {}});
    // What has just been left for its faults is no measure, and what was good once needs no second trial.
    if (rule.bake > 0 && fallback != 0 && (source == Source::file || source == Source::operators)) {
        kept_.back().state = State::on_trial;
        trial_ = Trial{rule, fallback, recent(now), {}, now};
        // A request that is going to fail takes its whole time for it.
        trial_->rule.bake = std::max(rule.bake, kept_.back().snapshot->config.longest_deadline);
    }
    forget();
}

void Generations::answered(std::uint64_t generation, bool served, Millis now) {
    if (trial_ && generation == current().number()) {
        trial_->during.all += 1;
        trial_->during.served += served ? 1 : 0;
        return;  // and is no measure for others before it is found good
    }
    const auto second = static_cast<std::int64_t>(now / 1000);
    Second& slot = seconds_[static_cast<std::size_t>(second) % seconds_.size()];
    if (slot.at != second) slot = {second, {}};
    slot.share.all += 1;
    slot.share.served += served ? 1 : 0;
}

Generations::Share Generations::recent(Millis now) const {
    const auto second = static_cast<std::int64_t>(now / 1000);
    Share sum;
    for (const Second& s : seconds_)
        if (s.at >= 0 && s.at > second - static_cast<std::int64_t>(seconds_.size()) && s.at <= second) {
            sum.served += s.share.served;
            sum.all += s.share.all;
        }
    return sum;
}

std::optional<Generations::Return> Generations::due(Millis now) {
    if (!trial_) return {};
    const Trial& t = *trial_;
    const bool enough = t.during.all >= t.rule.min_samples;
    // Too few answers before it say nothing: it is then held to all of them.
    const double before = t.before.all >= t.rule.min_samples ? t.before.value() : 1;
    char why[160];
    if (enough && t.during.value() < before - t.rule.margin) {
        std::snprintf(why, sizeof why, "share served fell from %.3f to %.3f (%llu answers)", before,
                      t.during.value(), static_cast<unsigned long long>(t.during.all));
    } else if (!enough && now >= t.since + t.rule.bake * kLongestWait) {
        // No data is not health.
        std::snprintf(why, sizeof why, "only %llu answers of %zu within its trial",
                      static_cast<unsigned long long>(t.during.all), t.rule.min_samples);
    } else {
        if (enough && now >= t.since + t.rule.bake) {
            kept_.back().state = State::good;
            trial_.reset();
            forget();
        }
        return {};
    }
    kept_.back().note = why;
    return Return{find(t.fallback), why};
}

const Generations::Entry* Generations::find(std::uint64_t generation) const {
    const auto at =
        std::find_if(kept_.begin(), kept_.end(), [&](const Entry& e) { return e.number() == generation; });
    return at == kept_.end() ? nullptr : &*at;
}

std::uint64_t Generations::first_to_say(const std::string& document) const {
    for (const Entry& e : kept_)
        if (e.snapshot->config.document == document) return e.content;
    return 0;
}

const Generations::Entry* Generations::previous() const {
    if (trial_) return find(trial_->fallback);
    for (auto e = kept_.rbegin(); e != kept_.rend(); ++e)
        if (e->state == State::good && e->content == e->number() && e->number() < current().content)
            return &*e;
    return nullptr;
}

// The oldest go first, but never the one that a trial may have to go back to.
void Generations::forget() {
    while (kept_.size() > kKept) {
        const bool needed = trial_ && kept_.front().number() == trial_->fallback;
        kept_.erase(kept_.begin() + (needed ? 1 : 0));
    }
}

const char* word(Generations::Source source) {
    switch (source) {
        case Generations::Source::start:
            return "start";
        case Generations::Source::file:
            return "file";
        case Generations::Source::operators:
            return "operators";
        case Generations::Source::rollback:
            return "rollback";
        case Generations::Source::trial:
            return "trial";
        case Generations::Source::recovery:
            break;
    }
    return "recovery";
}

const char* word(Generations::State state) {
    switch (state) {
        case Generations::State::good:
            return "good";
        case Generations::State::on_trial:
            return "on trial";
        case Generations::State::taken_back:
            return "taken back";
        case Generations::State::superseded:
            return "superseded";
        case Generations::State::withdrawn:
            break;
    }
    return "withdrawn";
}

}  // namespace ochregrade::sidecar
