// Compares the bytes that the sidecar sends to servers, clients and discovery with the bytes that an earlier
// version sent (tests/recorded/http). Only values that differ between runs are masked: the time left in
// microseconds (X-Time-Left), the wait of a watch in milliseconds (wait_ms), and Retry-After in seconds.
#include <algorithm>
#include <charconv>
#include <string_view>

#include "support/recorded.hpp"
#include "support/sidecar_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

const std::string kUnusedAddress = "127.0.0.1:1";

bool only_digits(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

bool is_time_left(std::string_view value) {
    return (value.size() == 7 || value.size() == 8) && only_digits(value);
}

bool is_watch_wait(std::string_view value) {
    return value.size() == 4 && only_digits(value) && (value[0] == '1' || value == "2000");
}

bool is_retry_advice(std::string_view value) {
    return value.size() == 5 && (value[0] == '0' || value[0] == '1') && value[1] == '.' &&
           only_digits(value.substr(2));
}

// A value that differs between runs: the texts before and after it, and the check of its format. A value with
// another format is not masked, so that the comparison fails.
struct VaryingValue {
    std::string_view before;
    std::string_view after;
    bool (*is_expected)(std::string_view);
    std::string_view mask;
};

void mask(std::string& text, const VaryingValue& varying) {
    for (auto at = text.find(varying.before); at != std::string::npos; at = text.find(varying.before, at)) {
        at += varying.before.size();
        const auto end = text.find(varying.after, at);
        if (end == std::string::npos) return;
        if (varying.is_expected(std::string_view(text).substr(at, end - at)))
            text.replace(at, end - at, varying.mask);
    }
}

std::string masked(std::string text) {
    const VaryingValue all[] = {{"X-Time-Left: ", "u\r\n", is_time_left, "<time>"},
                                {"wait_ms=", " ", is_watch_wait, "<1000 to 2000>"},
                                {"Retry-After: ", "\r\n", is_retry_advice, "<seconds>"}};
    for (const auto& varying : all) mask(text, varying);
    return text;
}

void expect_recorded(const std::string& name, const std::string& bytes) {
    recorded::expect_same("http/" + name + ".txt", masked(bytes));
}

// The value of Content-Length in the head of a message; 0 if the field is missing or is no number.
std::size_t content_length(std::string_view head) {
    constexpr std::string_view kField = "\r\nContent-Length: ";
    const auto at = head.find(kField);
    if (at == std::string_view::npos) return 0;
    std::size_t length = 0;
    std::from_chars(head.data() + at + kField.size(), head.data() + head.size(), length);
    return length;
}

// Reads the bytes of one message. Its length follows from Content-Length, so a chunked body is read only as
// far as it arrives with the head. Returns fewer bytes if the peer closes the connection. The peer must not
// send a second message before the first has been read, because its bytes could be returned with the first.
std::string read_bytes(Wire& wire) {
    std::string all;
    for (std::size_t whole = std::string::npos; all.size() < whole;) {
        char bytes[4096];
        const auto n = ::recv(wire.socket.native_handle(), bytes, sizeof bytes, 0);
        if (n <= 0) break;
        all.append(bytes, static_cast<std::size_t>(n));
        const auto end = all.find("\r\n\r\n");
        if (end == std::string::npos) continue;
        whole = end + 4 + content_length(std::string_view(all).substr(0, end));
    }
    return all;
}

// A server that sends the response `answer` to each request; with an empty `answer` it sends no response.
class ByteServer {
public:
    explicit ByteServer(std::string answer)
        : answer_(std::move(answer)), acceptor_([this](Wire& wire) {
              for (std::string request; !(request = read_bytes(wire)).empty();) {
                  {
                      std::lock_guard lock(mutex_);
                      seen_.push_back(request);
                  }
                  changed_.notify_all();
                  if (!answer_.empty()) wire.write(answer_);
              }
          }) {}
    std::vector<std::string> wait_for(std::size_t requests) {
        std::unique_lock lock(mutex_);
        EXPECT_TRUE(changed_.wait_for(lock, kPatience, [&] { return seen_.size() >= requests; }));
        return seen_;
    }
    std::string at() const { return text_of(acceptor_.at); }

private:
    const std::string answer_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> seen_;
    Acceptor acceptor_;
};

std::string joined(const std::vector<std::string>& parts) {
    std::string all;
    for (const std::string& part : parts) all += part;
    return all;
}

// Sends the request on a new connection and returns the response. If the response announces that the
// connection is closed, all bytes after the response are returned too.
std::string ask(const tcp::endpoint& at, const std::string& request) {
    App app(at);
    app.wire.write(request);
    std::string answer = read_bytes(app.wire);
    if (answer.find("\r\nConnection: close\r\n") != std::string::npos) answer += app.wire.rest();
    return answer;
}

const std::string kFine =
    "HTTP/1.1 200 Fine by me\r\nX-Served-By: s1\r\nContent-Type: text/plain\r\nSet-Cookie: a=b\r\n"
    "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nContent-Length: 4\r\n\r\nfine";
const std::string kGet =
    "GET /listen/3?sid=7f HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: 9b1f-1\r\nX-Service-Class: listen\r\n"
    "X-Time-Left: 25000m\r\naccept: text/plain\r\nX-Weight-Hint: 1.5\r\nConnection: keep-alive, X-Hop\r\n"
    "X-Hop: 1\r\nTE: trailers\r\n\r\n";
const std::string kPostHead =
    "POST /deposit?sid=7f HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: 9b1f-2\r\nX-Service-Class: deposit\r\n";
const std::string kPost =
    kPostHead + "X-Time-Left: 25000m\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n\r\ntwo words";
const std::string kPostByKey =
    "POST /annotate HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: 9b1f-3\r\nX-Service-Class: annotate\r\n"
    "X-Time-Left: 25000000u\r\nIdempotency-Key: 5c0f\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4\r\ntwo \r\n5\r\nwords\r\n0\r\n\r\n";

// ---- Requests that are forwarded --------------------------------------------------------------------------

struct Exchange {
    const char* name;
    std::string request, answer;  // the client's request and the server's response
};
std::ostream& operator<<(std::ostream& out, const Exchange& exchange) { return out << exchange.name; }

class RecordedExchange : public testing::TestWithParam<Exchange> {};

TEST_P(RecordedExchange, SendsTheRecordedBytesToServerAndClient) {
    const Exchange& exchange = GetParam();
    ByteServer server(exchange.answer);
    Running sidecar(a_config(kUnusedAddress, {host("s1", server.at())}));
    const std::string answer = ask(sidecar.at, exchange.request);
    expect_recorded(std::string(exchange.name) + "-to-client", answer);
    expect_recorded(std::string(exchange.name) + "-to-server", joined(server.wait_for(1)));
}

std::string replaced(std::string text, const std::string& what, const std::string& with) {
    const auto at = text.find(what);
    EXPECT_NE(at, std::string::npos) << what;
    return at == std::string::npos ? text : text.replace(at, what.size(), with);
}

INSTANTIATE_TEST_SUITE_P(
    All, RecordedExchange,
    testing::Values(
        Exchange{"get", kGet, kFine}, Exchange{"post", kPost, kFine},
        Exchange{"post_by_key_in_chunks", kPostByKey, kFine},
        Exchange{"last_of_its_connection", replaced(kGet, "keep-alive, X-Hop", "close"), kFine},
        Exchange{
            "answer_in_chunks", kPost,
            "HTTP/1.1 200 OK\r\nX-Served-By: s1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"},
        Exchange{"answer_created", kPost, "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nmade"},
        Exchange{"answer_without_body", kPost, "HTTP/1.1 204 No Content\r\n\r\n"},
        Exchange{"answer_unavailable", kPost,
                 "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull"},
        Exchange{"answer_not_found", kPost, "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone"},
        Exchange{"answer_error", kPost, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad"},
        Exchange{"answer_unreadable", kPost, "ICY 200 OK\r\nContent-Length: 4\r\n\r\nfine"},
        Exchange{"answer_turned_away", kPost,
                 "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"}),
    [](const auto& info) { return std::string(info.param.name); });

// ---- Responses of the sidecar itself ----------------------------------------------------------------------

struct InvalidRequest {
    const char* name;
    std::string request;
    const char* status;  // of the response
};
std::ostream& operator<<(std::ostream& out, const InvalidRequest& request) { return out << request.name; }

class RecordedInvalidRequest : public testing::TestWithParam<InvalidRequest> {};

TEST_P(RecordedInvalidRequest, GetsTheRecordedErrorResponse) {
    Running sidecar(a_config(kUnusedAddress, {host("s1", kUnusedAddress)}));
    const std::string answer = ask(sidecar.at, GetParam().request);
    EXPECT_EQ(answer.substr(0, 13), std::string("HTTP/1.1 ") + GetParam().status + " ");
    expect_recorded(std::string("misfit-") + GetParam().name, answer);
}

INSTANTIATE_TEST_SUITE_P(
    All, RecordedInvalidRequest,
    testing::Values(
        InvalidRequest{"no_class", replaced(kGet, "X-Service-Class: listen\r\n", ""), "400"},
        InvalidRequest{"unknown_class", replaced(kGet, "X-Service-Class: listen", "X-Service-Class: x"),
                       "400"},
        InvalidRequest{"no_name", replaced(kGet, "X-Correlation-Id: 9b1f-1\r\n", ""), "400"},
        InvalidRequest{"time_without_unit", replaced(kGet, "25000m", "25000"), "400"},
        InvalidRequest{"no_key", replaced(kPostByKey, "Idempotency-Key: 5c0f\r\n", ""), "400"},
        InvalidRequest{"body_behind_a_fault", replaced(kPost, "25000m", "x"), "400"},
        InvalidRequest{"noise", "\x01\x02 noise\r\n\r\n", "400"},
        InvalidRequest{"method_of_the_class", replaced(kGet, "GET", "POST"), "405"},
        InvalidRequest{"unknown_method", replaced(kGet, "GET", "DELETE"), "405"},
        InvalidRequest{"half_a_request", kPostHead, "408"},
        InvalidRequest{"long_body", replaced(kPost, "Content-Length: 9", "Content-Length: 70000"), "413"},
        InvalidRequest{"long_head", replaced(kGet, "X-Hop: 1", "X-Hop: " + std::string(17000, 'h')), "431"},
        InvalidRequest{"older_protocol", replaced(kGet, "HTTP/1.1", "HTTP/1.0"), "505"}),
    [](const auto& info) { return std::string(info.param.name); });

const std::string kHealth = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

TEST(RecordedResponses, ToHealthChecksHaveTheRecordedBytes) {
    Running ready(a_config(kUnusedAddress, {host("s1", kUnusedAddress)}));
    expect_recorded("health-ready", ask(ready.at, kHealth));
    json config = a_config(kUnusedAddress, {});
    config.erase("known");
    Running unready(config);
    expect_recorded("health-not-ready", ask(unready.at, kHealth));
}

TEST(RecordedResponses, WithoutReachableServerHaveTheRecordedBytes) {
    Running sidecar(a_config(kUnusedAddress, {host("s1", kUnusedAddress)}));
    const std::string answer = ask(sidecar.at, replaced(kPost, "25000m", "300m"));
    expect_recorded("no-server-to-client", answer);
}

TEST(RecordedResponses, WithSilentServerHaveTheRecordedBytes) {
    ByteServer silent("");
    Running sidecar(a_config(kUnusedAddress, {host("s1", silent.at())}));
    expect_recorded("silent-server-to-client", ask(sidecar.at, replaced(kPost, "25000m", "300m")));
}

TEST(RecordedResponses, ToCorrelationIdInUseHaveTheRecordedBytes) {
    ByteServer silent("");
    Running sidecar(a_config(kUnusedAddress, {host("s1", silent.at())}));
    App first(sidecar.at);
    first.wire.write(kPost);
    silent.wait_for(1);
    expect_recorded("name-in-use-to-client", ask(sidecar.at, kPost));
}

// ---- Calls to discovery -----------------------------------------------------------------------------------

std::string list_answer() {
    const std::string body =
        json{{"seq", 17}, {"whole", true}, {"hosts", {host("s1", kUnusedAddress)}}}.dump();
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST(RecordedDiscovery, CallsForListAndWatchHaveTheRecordedBytes) {
    ByteServer discovery(list_answer());
    json config = a_config(discovery.at(), {});
    config.erase("known");
    Running sidecar(config);
    const auto calls = discovery.wait_for(2);
    expect_recorded("discovery-first-call", calls.at(0));
    expect_recorded("discovery-watch", calls.at(1));
}

TEST(RecordedDiscovery, WatchFromTheKnownListHasTheRecordedBytes) {
    ByteServer discovery("");
    Running sidecar(a_config(discovery.at(), {host("s1", kUnusedAddress)}));
    expect_recorded("discovery-watch-from-known", discovery.wait_for(1).at(0));
}

}  // namespace
}  // namespace ochregrade::sidecar
