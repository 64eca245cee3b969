#include "proxy/pipelined_requests.hpp"

#include <algorithm>
#include <limits>

#include "proxy/request_validation.hpp"

namespace ochregrade::sidecar {

std::vector<Millis> deadlines_of_complete_requests(asio::const_buffer bytes) {
    std::vector<Millis> times;
    while (bytes.size() > 0) {
        http::request_parser<http::empty_body> parser;
        parser.eager(false);
        parser.header_limit(kMaxHeader);
        parser.body_limit(kMaxBody);
        error_code ec;
        bytes += parser.put(bytes, ec);
        if (ec || !parser.is_header_done() || parser.chunked()) break;
        const std::size_t body = parser.content_length().value_or(0);
        if (bytes.size() < body) break;
        bytes += body;
        const auto time = parse_time_left(parser.get()["X-Time-Left"]);
        times.push_back(time.value_or(std::numeric_limits<Millis>::infinity()));
    }
    return times;
}

void PipelinedRequests::update(asio::const_buffer bytes, Millis arrived) {
    const std::vector<Millis> times = deadlines_of_complete_requests(bytes);
    for (std::size_t i = deadlines_.size(); i < times.size(); ++i) deadlines_.push_back(arrived + times[i]);
}

void PipelinedRequests::begin_next() {
    if (!deadlines_.empty()) deadlines_.pop_front();
}

std::optional<Millis> PipelinedRequests::first_deadline() const {
    const auto first = std::min_element(deadlines_.begin(), deadlines_.end());
    if (first == deadlines_.end() || *first == std::numeric_limits<Millis>::infinity()) return {};
    return *first;
}

}  // namespace ochregrade::sidecar
