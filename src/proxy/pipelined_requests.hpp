// The complete requests that a client has sent ahead on a connection (HTTP/1.1 pipelining), and their
// deadlines. Responses are sent in the order of the requests (RFC 9112, 9.3.2), so the request being served
// delays all of them.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "common/http.hpp"
#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

/// X-Time-Left of each complete request in `bytes`, milliseconds, in their order; infinite for a request that
/// has no valid one. Stops at a chunked request.
std::vector<Millis> deadlines_of_complete_requests(asio::const_buffer bytes);

class PipelinedRequests {
public:
    /// `bytes` is all that was received ahead. Requests that were not complete before arrived at
    /// `arrived_at`.
    void update(asio::const_buffer bytes, Millis arrived_at);
    /// The first of them is being served now.
    void begin_next();
    void clear() { deadlines_.clear(); }

    /// The earliest deadline; none if there is no request with a deadline.
    std::optional<Millis> first_deadline() const;

private:
    std::deque<Millis> deadlines_;
};

}  // namespace ochregrade::sidecar
