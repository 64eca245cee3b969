// The deadlines of the complete requests that a client has pipelined (HTTP/1.1) behind the request being
// served; the requests themselves stay in the session's input buffer. Responses are sent in the order of the
// requests (RFC 9112, 9.3.2), so the request being served delays all pipelined requests.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "common/http.hpp"
#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

/// X-Time-Left of each complete request in `bytes`, in milliseconds and in the order of the requests;
/// infinity for a request without a valid X-Time-Left. Parsing stops at the first chunked, invalid or
/// incomplete request.
std::vector<Millis> times_left_of_complete_requests(asio::const_buffer bytes);

class PipelinedRequests {
public:
    /// Adds the deadlines of the requests that have become complete. `bytes`: all pipelined bytes in the
    /// input buffer. `arrived_at`: the arrival time of the requests whose deadlines are added, Clock
    /// milliseconds.
    void update(asio::const_buffer bytes, Millis arrived_at);
    /// Removes the deadline of the first pipelined request, because that request is read and served now. Has
    /// no effect if there is none.
    void remove_first();
    void clear() { deadlines_.clear(); }

    /// The earliest deadline, Clock milliseconds; none if no pipelined request has a deadline.
    std::optional<Millis> first_deadline() const;

private:
    std::deque<Millis> deadlines_;  // in the order of the requests; infinity: none
};

}  // namespace ochregrade::sidecar
