// The modules of the decision library, in the order of their construction. Each module gets references to the
// earlier modules that it uses; the struct is therefore neither copied nor moved.
#pragma once

#include <cstdint>
#include <utility>

#include "balancer/admission_controller.hpp"
#include "balancer/attempt_statistics.hpp"
#include "balancer/context.hpp"
#include "balancer/endpoint_selector.hpp"
#include "balancer/endpoint_subset.hpp"
#include "balancer/endpoint_table.hpp"
#include "balancer/endpoint_watch.hpp"
#include "balancer/failure_gossip.hpp"
#include "balancer/load_reports.hpp"
#include "balancer/outlier_detection.hpp"
#include "balancer/probe_races.hpp"
#include "balancer/request_scheduler.hpp"
#include "balancer/request_table.hpp"
#include "balancer/retry_policy.hpp"
#include "balancer/shared_evidence.hpp"
#include "balancer/slow_start.hpp"
#include "balancer/timers.hpp"

namespace ochregrade::detail {

struct Modules {
    Modules(SettingsPtr settings, std::uint64_t seed) : context(std::move(settings), seed) {}
    Modules(const Modules&) = delete;
    Modules& operator=(const Modules&) = delete;

    Context context;
    Timers timers{context};
    EndpointTable endpoints;
    RequestTable requests;
    AttemptStatistics statistics;
    SlowStart slow_start{context, statistics};
    EndpointSubset subset{context, endpoints, slow_start};
    OutlierDetection outliers{context, endpoints};
    SharedEvidence evidence{context, endpoints, outliers};
    FailureGossip gossip{context, subset};
    LoadReports load_reports{context, subset};
    EndpointWatch watch{context, timers};
    RetryPolicy retry_policy{context};
    AdmissionController admission{context, endpoints, subset};
    ProbeRaces races{context, subset, statistics};
    EndpointSelector selector{{context, subset, slow_start, retry_policy, gossip, admission, races}};
    RequestScheduler scheduler{
        {context, endpoints, requests, timers, outliers, retry_policy, admission, races, selector}};
};

}  // namespace ochregrade::detail
