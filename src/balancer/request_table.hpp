// Request table: the requests that have no final response yet or still have attempts in flight, and the queue
// of the requests that wait for an endpoint. Times are milliseconds.
//
// Input: arrivals and ends of requests. Output: records by request id. A request that has ended and has no
// attempt in flight is erased after the event, so that no record is moved or erased while an event is
// handled.
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
    bool trial = false;  ///< whether the attempt is the endpoint's half-open trial
};

struct Request {
    bool any_in_flight() const {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; });
    }
    /// The first attempt that may have run; null if certainly no attempt has run.
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
    SettingsPtr settings;                ///< settings that apply to the request until it ends
    RequestClass request_class;          ///< latency_objective includes the part for the request's effort
    double highest_priority_weight = 1;  ///< of all classes of the request's settings; 1 if all are 0
    /// When the client stops waiting. Attempts run until this deadline and not only until the latency
    /// objective. A late response has as little value as a failure, but causes no retry: if the sidecar gave
    /// up at the objective, clients would retry requests on which an endpoint is still working.
    Millis deadline = 0;
    bool client_retry = false;
    bool ended = false;      ///< the client has its final response or has disconnected
    bool streaming = false;  ///< a response is being streamed to the client
    bool queue_timer_set = false;
    Millis queue_deadline = 0;  ///< time after which the request no longer waits for an endpoint
    int pending_probes = 0;
    int probe_rounds = 0;  ///< probe races since the last attempt
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
    /// Null if the id is unknown.
    Request* find(RequestId id) {
        const auto entry = requests_.find(id);
        return entry == requests_.end() ? nullptr : &entry->second;
    }
    std::size_t size() const { return requests_.size(); }

    void enqueue(RequestId id) { queue_.push_back(id); }
    bool is_queue_empty() const { return queue_.empty(); }
    /// Empties the queue and returns, in queue order, the requests that still wait for an endpoint.
    std::vector<RequestId> take_queue() {
        std::vector<RequestId> waiting;
        waiting.swap(queue_);
        std::erase_if(waiting, [&](RequestId id) {
            const Request* request = find(id);
            return !request || request->ended || request->any_in_flight();
        });
        return waiting;
    }

    /// Notes for erase_ended() that the request has ended, or that an attempt of an ended request has ended.
    void note_ended(RequestId id) { ended_.push_back(id); }
    /// Called after each event: erases the requests noted as ended that have no attempt in flight.
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
    std::vector<RequestId> queue_;                     // may contain requests that have ended
    std::vector<RequestId> ended_;
};

}  // namespace ochregrade::detail
