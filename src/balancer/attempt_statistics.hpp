// Attempt statistics: the share of recent attempts that completed, and the share that completed within their
// latency objective. Input: the result of each attempt. Output: exponential moving averages, 0 to 1.
#pragma once

#include "balancer/latency_ratio.hpp"

namespace ochregrade::detail {

class AttemptStatistics {
public:
    double completed_share() const { return completed_share_; }  ///< 0 to 1
    double on_time_share() const { return on_time_share_; }      ///< 0 to 1

    void record(bool completed, bool on_time) {
        smooth(completed_share_, completed ? 1.0 : 0.0);
        smooth(on_time_share_, on_time ? 1.0 : 0.0);
    }

private:
    double completed_share_ = 1;
    double on_time_share_ = 1;
};

}  // namespace ochregrade::detail
