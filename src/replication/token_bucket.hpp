// Token bucket (RFC 2697): limits a rate while admitting a short burst. The caller passes in times in
// milliseconds. A time before the previous one adds no tokens, but the next span is measured from this time.
#pragma once

#include <algorithm>

namespace ochregrade::replication {

class TokenBucket {
public:
    /// `per_second` tokens are added each second, up to `capacity`. The bucket is empty until fill().
    TokenBucket(double per_second, double capacity) : per_second_(per_second), capacity_(capacity) {}

    /// Fills the bucket to its capacity.
    void fill(double now_ms) {
        tokens_ = capacity_;
        filled_at_ = now_ms;
    }
    /// Takes one token; returns false if there is none.
    bool take(double now_ms) {
        tokens_ = std::min(capacity_, tokens_ + per_second_ * std::max(0.0, now_ms - filled_at_) / 1000);
        filled_at_ = now_ms;
        if (tokens_ < 1) return false;
        tokens_ -= 1;
        return true;
    }

private:
    double per_second_;
    double capacity_;
    double tokens_ = 0;
    double filled_at_ = 0;
};

}  // namespace ochregrade::replication
