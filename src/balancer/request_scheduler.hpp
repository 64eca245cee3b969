// Request scheduler: the life of a request from its arrival to its only final answer.
//
// Input: requests that need an attempt, answers of probes, deadlines. Output: SendAttempt, CancelAttempt,
// RejectRequest, FailRequest and the requests' timers (milliseconds). Owns no state but the order of these
// steps: admission, selection, sending, waiting in the queue, completion.
#pragma once

#include "balancer/admission_controller.hpp"
#include "balancer/context.hpp"
#include "balancer/endpoint_selector.hpp"
#include "balancer/endpoint_table.hpp"
#include "balancer/outlier_detection.hpp"
#include "balancer/probe_races.hpp"
#include "balancer/request_table.hpp"
#include "balancer/retry_policy.hpp"
#include "balancer/timers.hpp"

namespace ochregrade::detail {

class RequestScheduler {
public:
    /// The modules that it drives; they outlive it.
    struct Parts {
        Context& context;
        const EndpointTable& endpoints;
        RequestTable& requests;
        Timers& timers;
        OutlierDetection& outliers;
        RetryPolicy& retry_policy;
        AdmissionController& admission;
        ProbeRaces& races;
        const EndpointSelector& selector;
    };
    explicit RequestScheduler(const Parts& parts) : parts_(parts) {}

    /// Takes a request and schedules its first attempt. An id already in use has no effect.
    void accept(const RequestArrived& arrived);
    /// Sends an attempt, starts a probe race, queues the request or completes it.
    void schedule(Request& request);
    /// Schedules what waits in the queue, if there is capacity again. The last to arrive goes first: under
    /// overload the oldest has least use left.
    void schedule_queued();
    /// A probe for the request has ended; endpoint is null if it gave no reason to use its endpoint.
    void probe_ended(RequestId id, EndpointRecord* endpoint);
    /// The only final answer: a rejection where its promise is true, else a failure.
    void complete(Request& request, EndReason reason);
    void cancel_attempts(const Request& request);

private:
    void send(Request& request, EndpointRecord& endpoint);
    void wait_for_endpoint(Request& request);
    Millis retry_after(const Request& request) const;

    Parts parts_;
};

}  // namespace ochregrade::detail
