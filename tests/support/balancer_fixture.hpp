// Fixture of the balancer tests: a balancer with a simulated clock (milliseconds), its requests and its
// timers. The fixture checks every action against rules 1 to 3 (one final response, no second run, no request
// to a draining endpoint). The checks are written from the rules, independently of RetryPolicy.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "ochregrade/balancer.hpp"

namespace ochregrade::test {

inline RequestClass make_class(Idempotency effect, DedupScope scope = DedupScope::all, Millis window = 3000) {
    RequestClass c;
    c.idempotency = effect;
    c.dedup_scope = scope;
    c.dedup_window = window;
    c.latency_objective = 400;
    return c;
}

inline Settings make_settings(std::vector<RequestClass> classes = {make_class(Idempotency::idempotent)}) {
    Settings s;
    s.classes = std::move(classes);
    s.max_attempts = 4;
    s.slow_start_least_share = 0.2;
    s.slow_start_duration = 20000;
    return s;
}

inline std::vector<Endpoint> make_endpoints(EndpointId count, Millis online_since = 0) {
    std::vector<Endpoint> servers;
    for (EndpointId i = 1; i <= count; ++i)
        servers.push_back({i, i % 3, i % 2, EndpointState::serving, online_since});
    return servers;
}

struct BalancerFixture {
    struct TrackedAttempt {
        EndpointId server;
        Millis sent_at;
        Millis give_up_at;
        bool in_flight = true;
        bool may_have_run = true;
    };
    struct TrackedRequest {
        RequestClass kind;
        Millis deadline;
        std::vector<TrackedAttempt> attempts;
        int final_responses = 0;
        bool client_disconnected = false;
        bool rejected = false;
        SettingsPtr settings{};  // the settings under which the request arrived and is checked
    };

    Settings settings;             // the settings in force
    SettingsPtr current_settings;  // the same settings, as a pointer
    Balancer balancer;
    Millis now = 100000;
    std::map<RequestId, TrackedRequest> requests;
    std::map<EndpointId, Endpoint> servers;  // the endpoints as of the last endpoint update
    std::multimap<Millis, TimerToken> timers;
    std::vector<Action> last;  // actions of the last event
    RequestId next_id = 1;
    std::vector<std::string> logs;
    std::vector<Millis> retry_advice;  // retry_after of each rejection

    explicit BalancerFixture(Settings s, std::uint64_t seed = 1)
        : settings(s), current_settings(std::make_shared<const Settings>(s)), balancer(std::move(s), seed) {}

    void change_settings(const Settings& s) {
        settings = s;
        current_settings = std::make_shared<const Settings>(s);
        handle_event(SettingsChanged{current_settings});
    }

    void handle_event(const Event& event) {
        last.clear();
        balancer.handle(now, event, last);
        for (const Action& a : last) check_action(a);
    }

    void list(EndpointUpdateKind kind, const std::vector<Endpoint>& infos) {
        if (kind != EndpointUpdateKind::incremental && kind != EndpointUpdateKind::failed)
            for (auto& [id, s] : servers) s.state = EndpointState::removed;
        for (const Endpoint& s : infos) servers[s.id] = s;
        handle_event(EndpointUpdate{kind, infos});
    }

    RequestId request(std::uint32_t class_index = 0, Millis time_left = 1000, bool repeat = false) {
        const RequestId id = next_id++;
        RequestClass kind = make_class(Idempotency::not_idempotent);
        if (class_index < settings.classes.size()) kind = settings.classes[class_index];
        requests[id] = {kind, now + time_left, {}, 0, false, false, current_settings};
        handle_event(RequestArrived{id, class_index, time_left, 0, repeat});
        return id;
    }
    // Delivers a request that the sidecar started to read under `arrival_settings`, before the settings
    // changed.
    RequestId request_under(const SettingsPtr& arrival_settings, std::uint32_t class_index,
                            Millis time_left = 1000) {
        const RequestId id = next_id++;
        requests[id] = {arrival_settings->classes.at(class_index),
                        now + time_left,
                        {},
                        0,
                        false,
                        false,
                        arrival_settings};
        handle_event(RequestArrived{id, class_index, time_left, 0, false, arrival_settings});
        return id;
    }

    std::vector<RequestId> burst(int count, Millis time_left = 1000, bool repeat = false) {
        std::vector<RequestId> ids;
        ids.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) ids.push_back(request(0, time_left, repeat));
        return ids;
    }
    int count_in_flight(const std::vector<RequestId>& ids) const {
        return static_cast<int>(
            std::count_if(ids.begin(), ids.end(), [&](RequestId id) { return in_flight(id); }));
    }
    // Advances the clock by `after` and ends the first attempt in flight of each of these requests with
    // success.
    void complete_all(const std::vector<RequestId>& ids, Millis after) {
        now += after;
        for (const RequestId id : ids)
            if (in_flight(id)) end(id, Outcome::success, 0);
    }

    // Advances the clock by `after` and ends the first attempt in flight of the request with `outcome`.
    void end(RequestId id, Outcome outcome, Millis after = 50) {
        now += after;
        TrackedRequest& r = requests.at(id);
        for (std::uint32_t i = 0; i < r.attempts.size(); ++i)
            if (r.attempts[i].in_flight) return end_attempt(id, i, outcome);
        FAIL() << "no attempt in flight for request " << id;
    }

    void end_attempt(RequestId id, std::uint32_t attempt, Outcome outcome) {
        TrackedRequest& r = requests.at(id);
        TrackedAttempt& s = r.attempts.at(attempt);
        s.in_flight = false;
        s.may_have_run = outcome != Outcome::overloaded && outcome != Outcome::connect_failure &&
                         outcome != Outcome::not_sent;
        if (outcome == Outcome::success && !is_ended(r)) ++r.final_responses;
        AttemptEnded e{id, attempt, outcome, now - s.sent_at, is_ended(r)};
        handle_event(e);
    }

    // Advances the clock by `span`. Fires the timers that expire, and ends attempts as timed out at their
    // give_up_at.
    void advance(Millis span) {
        const Millis until = now + span;
        for (;;) {
            Millis next = until;
            if (!timers.empty()) next = std::min(next, timers.begin()->first);
            std::pair<RequestId, std::uint32_t> late{0, 0};
            for (auto& [id, r] : requests)
                for (std::uint32_t i = 0; i < r.attempts.size(); ++i)
                    if (r.attempts[i].in_flight && std::max(now, r.attempts[i].give_up_at) < next) {
                        next = std::max(now, r.attempts[i].give_up_at);
                        late = {id, i};
                    }
            now = std::max(now, next);
            if (late.first) {
                end_attempt(late.first, late.second, Outcome::timeout);
            } else if (!timers.empty() && timers.begin()->first <= now && now <= until) {
                const TimerToken token = timers.begin()->second;
                timers.erase(timers.begin());
                handle_event(TimerFired{token});
            } else {
                return;
            }
        }
    }

    bool is_ended(const TrackedRequest& r) const { return r.final_responses > 0 || r.client_disconnected; }
    bool in_flight(RequestId id) const {
        const auto& attempts = requests.at(id).attempts;
        return std::any_of(attempts.begin(), attempts.end(),
                           [](const TrackedAttempt& s) { return s.in_flight; });
    }
    EndpointId endpoint_of(RequestId id) const { return requests.at(id).attempts.back().server; }
    std::size_t attempt_count(RequestId id) const { return requests.at(id).attempts.size(); }
    auto ejection_count() const { return std::count(logs.begin(), logs.end(), "ejected from the pool"); }
    template <class T>
    int count() const {
        return static_cast<int>(
            std::count_if(last.begin(), last.end(), [](const Action& a) { return std::get_if<T>(&a); }));
    }

    void check_action(const Action& action) {
        if (const auto* send = std::get_if<SendAttempt>(&action)) check_send(*send);
        if (const auto* reject = std::get_if<RejectRequest>(&action)) {
            TrackedRequest& r = requests.at(reject->id);
            const TrackedAttempt* first = nullptr;
            for (const TrackedAttempt& s : r.attempts)
                if (s.may_have_run && !first) first = &s;
            if (first) {
                EXPECT_TRUE(r.kind.idempotency == Idempotency::idempotent ||
                            (r.kind.idempotency == Idempotency::idempotent_with_key &&
                             r.kind.dedup_scope == DedupScope::all))
                    << "rule 2: rejected after a possible run";
            }
            r.rejected = true;
            retry_advice.push_back(reject->retry_after);
            record_final_response(r);
        }
        if (const auto* failed = std::get_if<FailRequest>(&action))
            record_final_response(requests.at(failed->id));
        if (const auto* timer = std::get_if<SetTimer>(&action)) timers.emplace(timer->at, timer->token);
        if (const auto* log = std::get_if<LogMessage>(&action)) logs.push_back(log->text);
    }

    void record_final_response(TrackedRequest& r) {
        EXPECT_FALSE(is_ended(r)) << "rule 1: second final response";
        EXPECT_LE(now, r.deadline) << "rule 1: final response after the deadline";
        ++r.final_responses;
    }

    void check_send(const SendAttempt& send) {
        TrackedRequest& r = requests.at(send.id);
        EXPECT_FALSE(is_ended(r)) << "rule 1: attempt sent after the final response";
        EXPECT_LT(r.attempts.size(), r.settings->max_attempts) << "too many attempts";
        EXPECT_EQ(servers.at(send.endpoint).state, EndpointState::serving)
            << "rule 3: attempt sent to a draining or removed endpoint";
        const Endpoint& to = servers.at(send.endpoint);
        const TrackedAttempt* first = nullptr;
        for (const TrackedAttempt& s : r.attempts) {
            if (s.in_flight) {
                EXPECT_TRUE(r.settings->hedging_allowed) << "two attempts in flight without hedging";
            }
            if (!s.may_have_run) continue;
            if (!first) first = &s;
            EXPECT_NE(r.kind.idempotency, Idempotency::not_idempotent)
                << "rule 2: repeated after a possible run";
            if (r.kind.idempotency != Idempotency::idempotent_with_key) continue;
            const Endpoint& before = servers.at(s.server);
            if (r.kind.dedup_scope == DedupScope::zone) {
                EXPECT_EQ(to.zone, before.zone) << "rule 2: repeated in another zone";
            }
            if (r.kind.dedup_scope == DedupScope::cell) {
                EXPECT_EQ(to.cell, before.cell) << "rule 2: repeated in another cell";
            }
        }
        if (first && r.kind.idempotency == Idempotency::idempotent_with_key) {
            EXPECT_LT(now, first->sent_at + r.kind.dedup_window)
                << "rule 2: repeated after the deduplication window";
            EXPECT_LE(send.write_deadline, first->sent_at + r.kind.dedup_window)
                << "rule 2: the repeat may be written after the deduplication window";
        }
        r.attempts.push_back(
            {send.endpoint, now, send.give_up_at > 0 ? send.give_up_at : r.deadline, true, true});
    }

    // Advances the clock by 60 s, past all deadlines, and checks that every request has its final response or
    // its client has disconnected, and that the balancer has no request left.
    void finish_all() {
        advance(60000);
        for (const auto& [id, r] : requests)
            EXPECT_TRUE(is_ended(r)) << "rule 1: request " << id << " has no final response";
        EXPECT_EQ(balancer.usage().requests, 0U);
    }
};

}  // namespace ochregrade::test
