#include "discovery/discovery_client.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

#include "common/log.hpp"
#include "common/socket_io.hpp"
#include "common/trace.hpp"

namespace ochregrade::sidecar {

namespace {
// A watch may fall silent with nothing said, and shows it only when its wait is long over. What it misses
// counts as told 6 s after that, so the wait, the time beyond it, the pause after a call that failed and the
// next call have to fit in there together. Each call waits between half of this and all of it: many sidecars'
// first calls come in step.
constexpr double kLongestWaitMs = 2000;
// A call that may wait is over 2 s after its wait, any other after 6 s: until then discovery has time to
// answer. Whoever leaves sooner leaves its work behind in the queue, undone for nobody.
constexpr std::chrono::milliseconds kBeyondWait{2000}, kCallTime{6000}, kConnectTime{2000};
constexpr std::chrono::milliseconds kLasting{1000};
constexpr std::uint64_t kListLimit = 16 * 1024 * 1024;
}  // namespace

struct DiscoveryClient::Call {
    explicit Call(std::unique_ptr<beast::tcp_stream> s) : stream(std::move(s)) {}
    std::unique_ptr<beast::tcp_stream> stream;
    std::string request;  // its text
    http::response_parser<http::string_body> parser;
    beast::flat_buffer buffer;
    bool whole = false;
};

DiscoveryClient::DiscoveryClient(asio::io_context& io, const tcp::endpoint& at,
                                 std::optional<std::uint64_t> known, bool on_request, std::uint64_t seed,
                                 Handlers handlers)
    : io_(io),
      random_(seed),
      at_(at),
      handlers_(std::move(handlers)),
      pause_(io),
      seq_(known.value_or(0)),
      polled_(on_request),
      gap_(!known) {}

void DiscoveryClient::watch(bool active) {
    active_ = active;
    if (active && !call_) next();
}

void DiscoveryClient::fetch() {
    fetch_ = true;
    if (!call_) next();
}

void DiscoveryClient::set_address(const tcp::endpoint& to) {
    if (to == at_) return;
    log_line("discovery moves");
    at_ = to;
    const auto old = std::move(call_);
    call_.reset();
    if (old) old->stream->close();
    kept_.reset();
    seq_ = 0;  // the new one counts for itself: a lower number is no older list
    lower_since_.reset();
    gap_ = true;
    active_ = true;  // a pause after a call that failed was the old one's
    next();
}

void DiscoveryClient::poll_now(std::uint32_t incarnation, std::uint64_t seq) {
    claimed_incarnation_ = incarnation, claimed_seq_ = seq;
    const auto old = std::move(call_);
    call_.reset();
    if (old) old->stream->close();
    kept_.reset();
    gap_ = fetch_ = true;
    next();
}

// A list that is only late says so once. A discovery that began anew says lower numbers, and no others, for
// as long as it takes, or others have seen it too.
bool DiscoveryClient::counts_anew(const EndpointList& list) {
    if (!list.complete) return false;
    const auto now = std::chrono::steady_clock::now();
    const bool others = claimed_incarnation_ > incarnation_ && list.seq >= claimed_seq_;
    const bool lasting = lower_since_ && list.seq >= lower_seq_ && now - *lower_since_ >= kLasting;
    if (!lower_since_ || list.seq < lower_seq_) lower_since_ = now;
    lower_seq_ = list.seq;
    if (!others && !lasting) return false;
    ++incarnation_;
    log_line("discovery counts anew: list " + std::to_string(list.seq) + " after " + std::to_string(seq_));
    return true;
}

void DiscoveryClient::next() {
    if (call_ || (!active_ && !fetch_)) return;
    pause_.cancel();
    call(gap_ || fetch_);
}

void DiscoveryClient::call(bool whole) {
    const bool fresh = !kept_;
    auto call = std::make_shared<Call>(fresh ? std::make_unique<beast::tcp_stream>(io_) : std::move(kept_));
    kept_.reset();
    call_ = call;
    call->whole = whole;
    if (tracing()) trace_event("discovery_call", {{"whole", whole}, {"after", seq_}});
    const auto wait = std::chrono::milliseconds(std::lround(kLongestWaitMs * (0.5 + random_.unit() / 2)));
    std::string target = "/v1/servers";
    if (!whole) target += "?after=" + std::to_string(seq_) + "&wait_ms=" + std::to_string(wait.count());
    http::request<http::string_body> request(http::verb::get, target, 11);
    request.set(http::field::host, at_.address().to_string());
    call->request = text_of_message(request);
    call->parser.body_limit(kListLimit);
    const auto fail = [this, call](error_code ec) {
        if (ec == beast::error::timeout)
            given_up(call, ec.message());
        else if (ec)
            failed(call, ec.message());
        return ec || call_ != call;  // moved away from meanwhile
    };
    const auto exchange = [this, call, fail, wait] {
        call->stream->expires_after(call->whole ? kCallTime : wait + kBeyondWait);
        // What goes wrong in writing shows in reading too, which has the stream's time limit.
        async_write_all(call->stream->socket(), asio::buffer(call->request), [call](error_code) {});
        http::async_read(*call->stream, call->buffer, call->parser,
                         [this, call, fail](error_code ec, std::size_t) {
                             if (!fail(ec)) answered(call);
                         });
    };
    if (!fresh) return exchange();
    call->stream->expires_after(kConnectTime);
    call->stream->async_connect(at_, [fail, exchange](error_code ec) {
        if (!fail(ec)) exchange();
    });
}

void DiscoveryClient::answered(const std::shared_ptr<Call>& call) {
    const auto& response = call->parser.get();
    if (response.result_int() != 200) return failed(call, "status " + std::to_string(response.result_int()));
    EndpointList list;
    try {
        list = parse_endpoint_list(nlohmann::json::parse(response.body()));
    } catch (const std::exception& error) {
        return unsound(call, std::string("an answer that can't be read: ") + error.what());
    }
    if (call->whole && !list.complete) return unsound(call, "changes where the whole list was asked for");
    if (list.seq < seq_ && !counts_anew(list)) return unsound(call, "an older list");
    lower_since_.reset();
    if (list.complete && claimed_incarnation_ > incarnation_ && list.seq >= claimed_seq_)
        incarnation_ = claimed_incarnation_;
    if (tracing())
        trace_event("list",
                    {{"seq", list.seq}, {"whole", list.complete}, {"changes", list.endpoints.size()}});
    call_.reset();
    if (call->parser.keep_alive()) kept_ = std::move(call->stream);
    seq_ = list.seq;
    if (list.complete) gap_ = false;
    if (call->whole) fetch_ = false;
    // The next call goes out first, so that the watch never lapses.
    next();
    if (list.complete || !list.endpoints.empty() || polled_) handlers_.told(list);
}

// What it said may be wrong, so what is held from it may be too: the whole list is next.
void DiscoveryClient::unsound(const std::shared_ptr<Call>& call, const std::string& why) {
    gap_ = true;
    failed(call, why);
}

// Drops the call under way; false where that is another one by now.
bool DiscoveryClient::drop_failed(const std::shared_ptr<Call>& call, const std::string& why) {
    if (call_ != call) return false;
    log_line("discovery: " + why);
    if (tracing()) trace_event("discovery_call_failed", {{"why", why}, {"whole", call->whole}});
    call_.reset();
    kept_.reset();
    return true;
}

// A call without an answer has told nothing: asking for what came after the list held misses nothing, and
// costs discovery a few lines where the whole list costs it all of them.
void DiscoveryClient::failed(const std::shared_ptr<Call>& call, const std::string& why) {
    if (!drop_failed(call, why)) return;
    if (polled_) {
        active_ = false, fetch_ = false;
        return handlers_.failed();
    }
    call_again_soon();
}

// Silence has taken more time than any pause would. Another pause on top of it would leave the next call,
// which may be turned away, too little of the time within which a change counts as told.
void DiscoveryClient::given_up(const std::shared_ptr<Call>& call, const std::string& why) {
    if (drop_failed(call, why)) call_again_soon();
}

// Soon, for a list that has moved on costs requests; not in step with others, and not in a spin.
void DiscoveryClient::call_again_soon() {
    pause_.expires_after(std::chrono::milliseconds(50 + random_.below(100)));
    pause_.async_wait([this](error_code ec) {
        if (!ec) next();
    });
}

}  // namespace ochregrade::sidecar
