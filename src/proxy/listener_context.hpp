// State that a listener and its client sessions share: limits, the sessions, the correlation ids of requests
// being served, the memory for requests, and the state of a drain.
#pragma once

#include <algorithm>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_set>

#include "common/clock.hpp"
#include "control/config_versions.hpp"
#include "proxy/balancer_driver.hpp"
#include "proxy/close_reason.hpp"
#include "proxy/departed_requests.hpp"
#include "proxy/memory_budget.hpp"
#include "proxy/unread_time.hpp"

namespace ochregrade::sidecar {

class ClientSession;
using SessionList = std::list<std::shared_ptr<ClientSession>>;

struct ListenerLimits {
    std::size_t connections = 400;
    std::size_t request_memory = 16 << 20;  // bytes, for the requests and input buffers of all sessions
};

/// Measures how late the event loop runs, by the listener's periodic deadline check.
class LoopDelay {
public:
    /// The next periodic check is due at `at` (Clock milliseconds).
    void expect_check(Millis at) { next_check_ = at; }
    /// The check that was due has run at `now`.
    void check_ran(Millis now) {
        if (now <= next_check_ + kTolerance) return;
        unread_.blocked(next_check_);
        unread_.resumed(now);
    }
    /// Upper bound of the time for which bytes that are read now have waited because the loop did not run,
    /// milliseconds.
    Millis waited(Millis now) {
        const Millis late = now - next_check_;
        return std::max(unread_.waited(now), late > kTolerance ? late : 0);
    }

private:
    // Milliseconds. A check that is late by more than this shows that the loop did not run in between.
    static constexpr Millis kTolerance = 20;
    UnreadTime unread_;
    Millis next_check_ = 0;
};

/// Owned by the Listener, which outlives its sessions' handlers.
struct ListenerContext {
    const Clock& clock;
    BalancerDriver& driver;
    ListenerLimits limits;
    std::function<void()> accept_next;  // called when a waiting connection may be accepted
    std::function<void(const ConfigSnapshotPtr&, const HttpRequest&)> report_invalid_request;

    SessionList sessions{};  // least recently used first
    std::unordered_set<std::string> open_request_ids{};
    DepartedRequests departed_requests{driver.snapshot()->config.seed};
    CloseCounts closes{};
    std::shared_ptr<MemoryBudget> request_memory = std::make_shared<MemoryBudget>(limits.request_memory);
    LoopDelay loop_delay{};
    bool ready_for_use = false;
    bool draining = false;
    Millis drain_deadline = 0;  // of requests that arrive while draining, Clock milliseconds

    /// Whether more than 7/8 of the connection limit is in use; each connection is then closed after its
    /// response.
    bool nearly_full() const { return sessions.size() * 8 > limits.connections * 7; }
    /// Whether /healthz reports ready.
    bool ready() const { return ready_for_use && !draining && driver.has_endpoints(); }
    Millis loop_waited() { return loop_delay.waited(clock.now()); }
    void remove(SessionList::iterator position) {
        sessions.erase(position);
        accept_next();
    }
};

}  // namespace ochregrade::sidecar
