#include "proxy/pipelined_requests.hpp"

#include <algorithm>
#include <limits>

#include "proxy/request_validation.hpp"

namespace ochregrade::sidecar {

std::vector<Millis> times_left_of_complete_requests(asio::const_buffer bytes) {
    std::vector<Millis> times_left;
    while (bytes.size() > 0) {
        http::request_parser<http::empty_body> parser;
        parser.eager(false);
        parser.header_limit(kMaxHeader);
        parser.body_limit(kMaxBody);
        error_code ec;
        bytes += parser.put(bytes, ec);
        if (ec || !parser.is_header_done() || parser.chunked()) break;
        const std::size_t body_size = parser.content_length().value_or(0);
        if (bytes.size() < body_size) break;
        bytes += body_size;
        const auto time_left = parse_time_left(parser.get()["X-Time-Left"]);
        times_left.push_back(time_left.value_or(std::numeric_limits<Millis>::infinity()));
    }
    return times_left;
}

void PipelinedRequests::update(asio::const_buffer bytes, Millis arrived_at) {
    const std::vector<Millis> times_left = times_left_of_complete_requests(bytes);
    for (std::size_t i = deadlines_.size(); i < times_left.size(); ++i)
        deadlines_.push_back(arrived_at + times_left[i]);
}

void PipelinedRequests::remove_first() {
    if (!deadlines_.empty()) deadlines_.pop_front();
}

std::optional<Millis> PipelinedRequests::first_deadline() const {
    const auto first = std::min_element(deadlines_.begin(), deadlines_.end());
    if (first == deadlines_.end() || *first == std::numeric_limits<Millis>::infinity()) return {};
    return *first;
}

}  // namespace ochregrade::sidecar
