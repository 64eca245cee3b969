// Request scheduler: takes a request from its arrival to its only final response.
//
// Input: requests that need an attempt, results of probes, deadlines. Output: SendAttempt, CancelAttempt,
// RejectRequest, FailRequest and the requests' timers (milliseconds). The scheduler has no state of its own;
// it defines the order of the steps admission, selection, sending, waiting in the queue and completion.
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
    /// The modules that the scheduler uses; they outlive it.
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

    /// Creates the record of a request and schedules its first attempt. A request whose id is already in use
    /// has no effect.
    void accept(const RequestArrived& arrived);
    /// Sends an attempt, starts a probe race, queues the request or completes it.
    void schedule(Request& request);
    /// Schedules the queued requests if admission has capacity, newest first: under overload the oldest
    /// request is the least likely to get its response in time.
    void schedule_queued();
    /// A probe for the request has ended; endpoint is null if the probed endpoint should not get the request.
    void probe_ended(RequestId id, EndpointRecord* endpoint);
    /// Sends the only final response: a rejection if RetryPolicy::may_reject() permits it, else a failure.
    /// Has no effect if the request has ended or a response is being streamed to the client.
    void complete(Request& request, EndReason reason);
    void cancel_attempts(const Request& request);

private:
    void send(Request& request, EndpointRecord& endpoint);
    void wait_for_endpoint(Request& request);
    Millis retry_after(const Request& request) const;

    Parts parts_;
};

}  // namespace ochregrade::detail
