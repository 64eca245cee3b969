#include "proxy/pipelined_requests.hpp"

#include <algorithm>
#include <limits>
#include <string_view>

#include "proxy/request_validation.hpp"

namespace ochregrade::sidecar {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";

}  // namespace

void PipelinedRequests::update(asio::const_buffer bytes, Millis arrived_at) {
    while (!ended_) {
        const asio::const_buffer rest = bytes + complete_bytes_;
        if (request_size_ == 0 && !find_head_end(rest)) return;
        if (rest.size() < request_size_) return;
        add(arrived_at + time_left_);
    }
}

// Returns whether the head is complete and valid. Searches only bytes that have arrived since the last call.
bool PipelinedRequests::find_head_end(asio::const_buffer bytes) {
    const std::string_view text(static_cast<const char*>(bytes.data()), bytes.size());
    const std::size_t end = text.find(kHeadEnd, searched_);
    if (end == std::string_view::npos) {
        searched_ = text.size() - std::min(text.size(), kHeadEnd.size() - 1);
        return false;
    }
    ended_ = !parse_head(asio::buffer(bytes, end + kHeadEnd.size()));
    return !ended_;
}

// Returns false if the end of the request can't be told from its head.
bool PipelinedRequests::parse_head(asio::const_buffer head) {
    BoundedParser<true, http::empty_body> parser;
    parser.eager(false);
    parser.header_limit(kMaxHeader);
    parser.body_limit(kMaxBody);
    error_code ec;
    ++heads_parsed_;
    parser.put(head, ec);
    if (ec || !parser.is_header_done() || parser.chunked()) return false;
    request_size_ = head.size() + parser.content_length().value_or(0);
    const auto time_left = parse_time_left(parser.get()["X-Time-Left"]);
    time_left_ = time_left.value_or(std::numeric_limits<Millis>::infinity());
    return true;
}

void PipelinedRequests::add(Millis deadline) {
    while (!earliest_.empty() && earliest_.back() > deadline) earliest_.pop_back();
    earliest_.push_back(deadline);
    requests_.push_back({request_size_, deadline});
    complete_bytes_ += request_size_;
    request_size_ = 0;
    searched_ = 0;
}

void PipelinedRequests::remove_first() {
    if (requests_.empty()) return clear();
    const Request first = requests_.front();
    requests_.pop_front();
    complete_bytes_ -= first.bytes;
    if (earliest_.front() == first.deadline) earliest_.pop_front();
}

void PipelinedRequests::clear() {
    requests_.clear();
    earliest_.clear();
    complete_bytes_ = searched_ = request_size_ = 0;
    ended_ = false;
}

std::optional<Millis> PipelinedRequests::first_deadline() const {
    if (earliest_.empty() || earliest_.front() == std::numeric_limits<Millis>::infinity()) return {};
    return earliest_.front();
}

}  // namespace ochregrade::sidecar
