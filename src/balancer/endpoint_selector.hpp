// Endpoint selector: selects the endpoint for an attempt.
//
// Input: a request and the endpoint subset. Output: an endpoint, two endpoints for a probe race, or none. The
// selector has no state of its own; it draws from the random source. Source: power of two choices
// (Mitzenmacher), weighted by capacity.
#pragma once

#include <vector>

#include "balancer/admission_controller.hpp"
#include "balancer/context.hpp"
#include "balancer/endpoint_subset.hpp"
#include "balancer/failure_gossip.hpp"
#include "balancer/probe_races.hpp"
#include "balancer/retry_policy.hpp"
#include "balancer/slow_start.hpp"

namespace ochregrade::detail {

enum class SelectionKind {
    none,       ///< no endpoint can take the request now
    endpoint,   ///< Selection::first gets the request
    probe_race  ///< Selection::first and Selection::second are to be probed for the request
};

struct Selection {
    SelectionKind kind = SelectionKind::none;
    EndpointRecord* first = nullptr;
    EndpointRecord* second = nullptr;
};

class EndpointSelector {
public:
    /// The modules that the selector reads; they outlive it.
    struct Sources {
        Context& context;
        const EndpointSubset& subset;
        const SlowStart& slow_start;
        const RetryPolicy& retry_policy;
        const FailureGossip& gossip;
        const AdmissionController& admission;
        const ProbeRaces& races;
    };
    explicit EndpointSelector(const Sources& sources) : sources_(sources) {}

    /// Selects among the endpoints of the subset that may_use() allows and that are not withdrawn. An
    /// endpoint whose ejection backoff has expired comes first and gets the request as its half-open trial.
    /// Otherwise two available endpoints are drawn at random, and the better one gets the request or both are
    /// probed. Endpoints that the request has already tried are drawn only if there are no others.
    Selection select(const Request& request) const;
    /// Whether the retry policy and slow start allow an attempt of the request at the endpoint. Draws a
    /// random number if the endpoint is cold.
    bool may_use(const Request& request, const EndpointRecord& endpoint) const;

private:
    using Candidates = std::vector<EndpointRecord*>;

    Selection choose(const Request& request, const Candidates& candidates) const;
    Candidates in_local_zone(const Request& request, const Candidates& candidates) const;
    bool is_second_better(const EndpointRecord& first, const EndpointRecord& second,
                          double suspicion_difference, bool first_is_local, const Settings& settings) const;
    EndpointRecord* draw(const Candidates& candidates, const EndpointRecord* omitted) const;
    double draw_weight(const EndpointRecord& endpoint) const;

    Sources sources_;
};

}  // namespace ochregrade::detail
