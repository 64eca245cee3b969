#include "discovery/discovery_client.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

#include "common/log.hpp"
#include "common/socket_io.hpp"
#include "common/trace.hpp"

namespace ochregrade::sidecar {

namespace {

// Longest wait of a long poll. A long poll may stall without an error, and the client notices this only when
// the wait and kTimeoutBeyondWait have expired. The sidecar must still be notified of a missed change within
// 6 s, so the wait, kTimeoutBeyondWait, the pause after a failed call and the next call must together take
// less than 6 s. Each call waits a random time between half of kMaxWaitMs and all of it, so that many
// sidecars whose first calls start at the same time do not make all later calls at the same time.
constexpr double kMaxWaitMs = 2000;
// The client waits for a response until 2 s after the end of a long poll's wait, and 6 s in other calls. With
// shorter timeouts, discovery would spend its time on queued calls whose client has already disconnected.
constexpr std::chrono::milliseconds kTimeoutBeyondWait{2000};
constexpr std::chrono::milliseconds kCallTimeout{6000};
constexpr std::chrono::milliseconds kConnectTimeout{2000};
// The client concludes that discovery has restarted its sequence if discovery's complete lists have had lower
// sequence numbers than the current list for this long. A single lower number may belong to a late response.
constexpr std::chrono::milliseconds kRestartConfirmation{1000};
constexpr std::uint64_t kMaxBodyBytes = 16 * 1024 * 1024;
constexpr int kOk = 200;
// The pause before a retry is 50 to 150 ms, at random, so that sidecars do not retry at the same time.
constexpr std::size_t kRetryPauseMs = 50;
constexpr std::size_t kRetryJitterMs = 100;

}  // namespace

struct DiscoveryClient::Call {
    explicit Call(std::unique_ptr<beast::tcp_stream> connection) : stream(std::move(connection)) {}
    std::unique_ptr<beast::tcp_stream> stream;
    std::string request;
    ResponseParser parser;
    beast::flat_buffer buffer;
    std::chrono::milliseconds timeout{};  // of request and response, from the established connection on
    bool complete = false;                // the call requests the complete list
};

DiscoveryClient::DiscoveryClient(asio::io_context& io, const tcp::endpoint& address,
                                 std::optional<std::uint64_t> known_seq, bool polled, std::uint64_t seed,
                                 Handlers handlers)
    : io_(io),
      random_(seed),
      address_(address),
      handlers_(std::move(handlers)),
      retry_timer_(io),
      seq_(known_seq.value_or(0)),
      polled_(polled),
      complete_list_needed_(!known_seq) {}

void DiscoveryClient::watch(bool active) {
    active_ = active;
    if (active && !call_) start_next_call();
}

void DiscoveryClient::fetch() {
    fetch_requested_ = true;
    if (!call_) start_next_call();
}

void DiscoveryClient::set_address(const tcp::endpoint& address) {
    if (address == address_) return;
    log_line("discovery address changed: requesting the list from the new address");
    address_ = address;
    cancel_call();
    seq_ = 0;  // the server at the new address numbers its lists independently
    lower_since_.reset();
    complete_list_needed_ = true;
    active_ = true;  // a pause after a failed call applies only to the old address
    start_next_call();
}

void DiscoveryClient::poll_now(std::uint32_t incarnation, std::uint64_t seq) {
    claimed_incarnation_ = incarnation;
    claimed_seq_ = seq;
    cancel_call();
    complete_list_needed_ = true;
    fetch_requested_ = true;
    start_next_call();
}

// The completion handlers of the cancelled call still run, but do nothing because still_current() returns
// false.
void DiscoveryClient::cancel_call() {
    const CallPtr call = std::move(call_);
    call_.reset();
    if (call) call->stream->close();
    connection_.reset();
}

void DiscoveryClient::start_next_call() {
    if (call_ || (!active_ && !fetch_requested_)) return;
    retry_timer_.cancel();
    start_call(complete_list_needed_ || fetch_requested_);
}

void DiscoveryClient::start_call(bool complete) {
    const bool reused = connection_ != nullptr;
    auto connection = reused ? std::move(connection_) : std::make_unique<beast::tcp_stream>(io_);
    connection_.reset();
    const auto call = std::make_shared<Call>(std::move(connection));
    call_ = call;
    call->complete = complete;
    if (tracing()) trace_event("discovery_call", {{"whole", complete}, {"after", seq_}});
    const auto wait = std::chrono::milliseconds(std::lround(kMaxWaitMs * (0.5 + random_.unit() / 2)));
    call->timeout = complete ? kCallTimeout : wait + kTimeoutBeyondWait;
    call->request = request_text(complete, wait);
    call->parser.body_limit(kMaxBodyBytes);
    if (reused) return exchange(call);
    call->stream->expires_after(kConnectTimeout);
    call->stream->async_connect(address_, [this, call](error_code ec) {
        if (still_current(call, ec)) exchange(call);
    });
}

std::string DiscoveryClient::request_text(bool complete, std::chrono::milliseconds wait) const {
    std::string target = "/v1/servers";
    if (!complete) target += "?after=" + std::to_string(seq_) + "&wait_ms=" + std::to_string(wait.count());
    http::request<http::string_body> request(http::verb::get, target, 11);
    request.set(http::field::host, address_.address().to_string());
    return serialize_message(request);
}

void DiscoveryClient::exchange(const CallPtr& call) {
    call->stream->expires_after(call->timeout);
    // The write's error is ignored: the read then fails too, and it has the stream's timeout.
    async_write_all(call->stream->socket(), asio::buffer(call->request), [call](error_code) {});
    http::async_read(*call->stream, call->buffer, call->parser, [this, call](error_code ec, std::size_t) {
        if (still_current(call, ec)) response_received(call);
    });
}

// Returns false after an error, which this function handles, and for a call that has been cancelled.
bool DiscoveryClient::still_current(const CallPtr& call, error_code ec) {
    if (ec == beast::error::timeout)
        call_timed_out(call, ec.message());
    else if (ec)
        handle_call_failure(call, ec.message());
    return !ec && call_ == call;
}

// Returns nothing if the response can't be used; this function has then handled the failure.
std::optional<EndpointList> DiscoveryClient::parse_response(const CallPtr& call) {
    const auto& response = call->parser.get();
    if (response.result_int() != kOk) {
        handle_call_failure(call, "status " + std::to_string(response.result_int()));
        return {};
    }
    try {
        return parse_endpoint_list(nlohmann::json::parse(response.body()));
    } catch (const std::exception& error) {
        response_invalid(call, std::string("invalid response: ") + error.what());
        return {};
    }
}

void DiscoveryClient::response_received(const CallPtr& call) {
    const auto list = parse_response(call);
    if (!list) return;
    if (call->complete && !list->complete)
        return response_invalid(call, "response has changes only, the complete list was requested");
    if (list->seq < seq_ && !sequence_restarted(*list)) return response_invalid(call, "outdated list");
    accept_list(call, *list);
}

void DiscoveryClient::accept_list(const CallPtr& call, const EndpointList& list) {
    lower_since_.reset();
    if (list.complete && claimed_by_others(list)) incarnation_ = claimed_incarnation_;
    if (tracing())
        trace_event("list",
                    {{"seq", list.seq}, {"whole", list.complete}, {"changes", list.endpoints.size()}});
    call_.reset();
    if (call->parser.keep_alive()) connection_ = std::move(call->stream);
    seq_ = list.seq;
    if (list.complete) complete_list_needed_ = false;
    if (call->complete) fetch_requested_ = false;
    // The next call starts before the list is handled, so that the client misses no change during that time.
    start_next_call();
    if (list.complete || !list.endpoints.empty() || polled_) handlers_.on_endpoints(list);
}

bool DiscoveryClient::claimed_by_others(const EndpointList& list) const {
    return claimed_incarnation_ > incarnation_ && list.seq >= claimed_seq_;
}

// Returns whether `list`, whose sequence number is lower than that of the current list, shows that discovery
// has restarted its sequence; if so, increments incarnation_. Only complete lists count. A single lower
// number may belong to a late response. A restart is therefore confirmed only if all lists of a period of
// kRestartConfirmation have lower numbers than the current list and the numbers do not fall during the
// period, or if other sidecars use a newer incarnation (claimed_by_others()).
bool DiscoveryClient::sequence_restarted(const EndpointList& list) {
    if (!list.complete) return false;
    const auto now = std::chrono::steady_clock::now();
    const bool confirmed =
        lower_since_ && list.seq >= lower_seq_ && now - *lower_since_ >= kRestartConfirmation;
    if (!lower_since_ || list.seq < lower_seq_) lower_since_ = now;
    lower_seq_ = list.seq;
    if (!claimed_by_others(list) && !confirmed) return false;
    ++incarnation_;
    log_line("discovery restarted its sequence: list " + std::to_string(list.seq) + " after " +
             std::to_string(seq_));
    return true;
}

// Treats the call as failed. The next call requests the complete list, because the current list has the same
// source as the invalid response and may be wrong too.
void DiscoveryClient::response_invalid(const CallPtr& call, const std::string& reason) {
    complete_list_needed_ = true;
    handle_call_failure(call, reason);
}

// Discards the failed call. Returns false if the call has been cancelled already.
bool DiscoveryClient::discard_call(const CallPtr& call, const std::string& reason) {
    if (call_ != call) return false;
    log_line("discovery: " + reason);
    if (tracing()) trace_event("discovery_call_failed", {{"why", reason}, {"whole", call->complete}});
    call_.reset();
    connection_.reset();
    return true;
}

// A failed call leaves the current list as it is. Unless the complete list is needed for another reason, the
// next call requests only the changes since the current list: it misses no change and costs discovery less
// than the complete list.
void DiscoveryClient::handle_call_failure(const CallPtr& call, const std::string& reason) {
    if (!discard_call(call, reason)) return;
    if (!polled_) return retry_soon();
    active_ = false;
    fetch_requested_ = false;
    handlers_.on_failed();
}

// Retries soon even if lists are polled, without calling on_failed. The timeout has already taken longer than
// any pause. If the balancer, which on_failed notifies, added its own pause to the timeout, the sidecar might
// not be notified of a change in time (kMaxWaitMs).
void DiscoveryClient::call_timed_out(const CallPtr& call, const std::string& reason) {
    if (discard_call(call, reason)) retry_soon();
}

void DiscoveryClient::retry_soon() {
    retry_timer_.expires_after(std::chrono::milliseconds(kRetryPauseMs + random_.below(kRetryJitterMs)));
    retry_timer_.async_wait([this](error_code ec) {
        if (!ec) start_next_call();
    });
}

}  // namespace ochregrade::sidecar
