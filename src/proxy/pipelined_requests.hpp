// Whole requests that a client has sent ahead of their turn on a connection, and when the time of each is
// over. HTTP/1.1 gives answers in the order of the requests, so the one under way holds up all of them.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "common/http.hpp"
#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

// X-Time-Left of each whole request in `bytes`, milliseconds, in their order; infinite where it has none that
// can be read. What follows a chunked request is not looked at.
std::vector<Millis> deadlines_of_complete_requests(asio::const_buffer bytes);

class PipelinedRequests {
public:
    // `bytes` is all that is ahead. Requests that were not whole before have arrived at `arrived`.
    void update(asio::const_buffer bytes, Millis arrived);
    // The first of them is under way now.
    void begin_next();
    void clear() { deadlines_.clear(); }

    // When the first of their times is over; none where there is none.
    std::optional<Millis> first_deadline() const;

private:
    std::deque<Millis> deadlines_;
};

}  // namespace ochregrade::sidecar
