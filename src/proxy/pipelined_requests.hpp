// The complete requests that a client has pipelined (HTTP/1.1) behind the request being served, and their
// deadlines. Responses are sent in the order of the requests (RFC 9112, 9.3.2), so the request being served
// delays all pipelined requests.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "common/http.hpp"
#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

/// X-Time-Left of each complete request in `bytes`, in milliseconds and in the order of the requests;
/// infinity for a request without a valid X-Time-Left. Parsing stops at a chunked request.
std::vector<Millis> times_left_of_complete_requests(asio::const_buffer bytes);

class PipelinedRequests {
public:
    /// Adds the requests that have become complete. `bytes`: all pipelined bytes received so far.
    /// `arrived_at`: the arrival time of the requests that are added, Clock milliseconds.
    void update(asio::const_buffer bytes, Millis arrived_at);
    /// Removes the first pipelined request, because it is being served now.
    void remove_first();
    void clear() { deadlines_.clear(); }

    /// The earliest deadline, Clock milliseconds; none if no pipelined request has a deadline.
    std::optional<Millis> first_deadline() const;

private:
    std::deque<Millis> deadlines_;
};

}  // namespace ochregrade::sidecar
