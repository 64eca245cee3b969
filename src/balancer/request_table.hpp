// Request table: the requests without a final answer or with attempts in flight, and the queue of those that
// wait for an endpoint. Times are milliseconds.
//
// Input: arrivals and ends. Output: records by request id. What is ended and has nothing in flight is erased
// after the event, so that no record moves or goes while an event is handled.
#pragma once

#include <algorithm>
#include <unordered_map>
#include <vector>

#include "balancer/context.hpp"
#include "ochregrade/events.hpp"

namespace ochregrade::detail {

struct Attempt {
    EndpointId endpoint = 0;
    ZoneId zone = 0;
    std::uint32_t cell = 0;
    Millis sent_at = 0;
    bool in_flight = true;
    bool may_have_run = true;
    bool trial = false;  ///< the endpoint's half-open trial
};

struct Request {
    bool any_in_flight() const {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; });
    }
    /// Null if it is certain that none has run.
    const Attempt* first_possible_run() const {
        const auto first =
            std::find_if(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.may_have_run; });
        return first == attempts.end() ? nullptr : &*first;
    }
    bool tried(EndpointId endpoint) const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [&](const Attempt& a) { return a.endpoint == endpoint; });
    }

    RequestId id = 0;
    SettingsPtr settings;                ///< in force for it to its end
    RequestClass request_class;          ///< latency objective with the part for its effort
    double highest_priority_weight = 1;  ///< of all classes
    /// The client's. Not the latency objective: giving up there makes clients retry what an endpoint is still
    /// working on, while a late answer, worth as little, keeps them quiet.
    Millis deadline = 0;
    bool client_retry = false;
    bool ended = false;  ///< has its final answer
    bool streaming = false;
    bool queue_timer_set = false;
    Millis queue_deadline = 0;  ///< rejected if it still waits for an endpoint then
    int pending_probes = 0;
    int probe_rounds = 0;  ///< since its last attempt
    std::vector<Attempt> attempts;
};

class RequestTable {
public:
    /// Null if the id is already in use.
    Request* insert(RequestId id) {
        const auto [entry, is_new] = requests_.try_emplace(id);
        if (!is_new) return nullptr;
        entry->second.id = id;
        return &entry->second;
    }
    /// Null if not known.
    Request* find(RequestId id) {
        const auto entry = requests_.find(id);
        return entry == requests_.end() ? nullptr : &entry->second;
    }
    std::size_t size() const { return requests_.size(); }

    void enqueue(RequestId id) { queue_.push_back(id); }
    bool is_queue_empty() const { return queue_.empty(); }
    /// Empties the queue: in its order, those that still wait.
    std::vector<RequestId> take_queue() {
        std::vector<RequestId> waiting;
        waiting.swap(queue_);
        std::erase_if(waiting, [&](RequestId id) {
            const Request* request = find(id);
            return !request || request->ended || request->any_in_flight();
        });
        return waiting;
    }

    /// The request has ended during this event.
    void note_ended(RequestId id) { ended_.push_back(id); }
    /// After each event: what has its final answer and nothing in flight is erased.
    void erase_ended() {
        for (const RequestId id : ended_) {
            const auto entry = requests_.find(id);
            if (entry != requests_.end() && entry->second.ended && !entry->second.any_in_flight())
                requests_.erase(entry);
        }
        ended_.clear();
    }

private:
    std::unordered_map<RequestId, Request> requests_;  // never iterated
    std::vector<RequestId> queue_;                     // may name ended ones
    std::vector<RequestId> ended_;
};

}  // namespace ochregrade::detail
