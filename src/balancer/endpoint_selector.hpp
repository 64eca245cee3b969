// Endpoint selector: which endpoint gets an attempt.
//
// Input: a request and the endpoints in use. Output: an endpoint, a probe race between two, or none. Owns no
// state; draws from the random source. Source: power of two choices (Mitzenmacher), weighted by capacity.
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
    none,       ///< no endpoint may have it now
    endpoint,   ///< Selection::first gets it
    probe_race  ///< Selection::first and second are to be probed for it
};

struct Selection {
    SelectionKind kind = SelectionKind::none;
    EndpointRecord* first = nullptr;
    EndpointRecord* second = nullptr;
};

class EndpointSelector {
public:
    /// The modules that it reads; they outlive it.
    struct Sources {
        Context& context;
        const EndpointSubset& subset;
        const SlowStart& slow_start;
        const RetryPolicy& retry_policy;
        const FailureGossip& gossip;
        const AdmissionController& admission;
        const ProbeRaces& races;
    };
    explicit EndpointSelector(const Sources& sources) : from_(sources) {}

    /// An endpoint whose backoff is over gets the request as its half-open trial. Else the less loaded of two
    /// drawn; one not yet tried goes before one that was.
    Selection select(const Request& request) const;
    /// Whether the rules and slow start let the endpoint have an attempt of the request. Draws for cold ones.
    bool may_use(const Request& request, const EndpointRecord& endpoint) const;

private:
    using Candidates = std::vector<EndpointRecord*>;

    Selection choose(const Request& request, const Candidates& candidates) const;
    Candidates in_local_zone(const Request& request, const Candidates& candidates) const;
    bool is_second_better(const EndpointRecord& first, const EndpointRecord& second,
                          double suspicion_difference, bool first_is_nearer, const Settings& settings) const;
    EndpointRecord* draw(const Candidates& candidates, const EndpointRecord* excluded) const;
    double draw_weight(const EndpointRecord& endpoint) const;

    Sources from_;
};

}  // namespace ochregrade::detail
