// The complete requests that a client has pipelined (HTTP/1.1) behind the request being served: their sizes
// and deadlines. The requests themselves stay in the session's input buffer. Responses are sent in the order
// of the requests (RFC 9112, 9.3.2), so the request being served delays all pipelined requests.
#pragma once

#include <deque>
#include <optional>

#include "common/http.hpp"
#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

class PipelinedRequests {
public:
    /// Adds the requests that have become complete. `bytes`: all pipelined bytes in the input buffer.
    /// `arrived_at`: the arrival time of the requests that are added, Clock milliseconds. Each head is parsed
    /// once, when it is complete; the first chunked or invalid request ends the search.
    void update(asio::const_buffer bytes, Millis arrived_at);
    /// Removes the first pipelined request, because it is read and served now: the input buffer then begins
    /// with the request behind it. If there is none, all that was found out about the bytes is discarded.
    void remove_first();
    void clear();

    std::size_t size() const { return requests_.size(); }
    /// Heads parsed since this object was created, complete or not valid ones.
    std::size_t heads_parsed() const { return heads_parsed_; }
    /// What this object keeps, bytes.
    std::size_t memory() const { return (requests_.size() + earliest_.size()) * sizeof(Request); }
    /// The earliest deadline, Clock milliseconds; none if no pipelined request has a deadline.
    std::optional<Millis> first_deadline() const;

private:
    struct Request {
        std::size_t bytes = 0;
        Millis deadline = 0;  // infinity: none
    };

    bool find_head_end(asio::const_buffer bytes);
    bool parse_head(asio::const_buffer head);
    void add(Millis deadline);

    std::deque<Request> requests_;
    // The deadlines that are earlier than all later requests' deadlines, in the order of the requests: the
    // first one is the earliest of all.
    std::deque<Millis> earliest_;
    std::size_t complete_bytes_ = 0;  // of the requests in requests_
    // About the request behind the complete ones, in bytes from its start:
    std::size_t searched_ = 0;      // there is no end of the head within these
    std::size_t request_size_ = 0;  // of the whole request; 0: the head is not complete
    Millis time_left_ = 0;          // of that request, once the head is complete; infinity: none
    bool ended_ = false;            // the request is chunked or invalid, so its end is not searched
    std::size_t heads_parsed_ = 0;
};

}  // namespace ochregrade::sidecar
