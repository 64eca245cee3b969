// Invalid requests: each is rejected with the status for its fault and reaches no endpoint.
#include "proxy/request_validation.hpp"

#include "support/stepped_sidecar.hpp"

namespace ochregrade::sidecar {
namespace {

struct InvalidRequest {
    const char* name;
    std::string text;
    unsigned status;
    bool closes;  // the connection, because further bytes on it can't be delimited or are not read
};
std::ostream& operator<<(std::ostream& out, const InvalidRequest& invalid) { return out << invalid.name; }

std::string request_with(const std::string& request_class, const std::string& replace,
                         const std::string& replacement) {
    std::string text = App::request(request_class);
    const auto at = text.find(replace);
    EXPECT_NE(at, std::string::npos) << replace;
    return text.replace(at, replace.size(), replacement);
}
std::string deposit_with(const std::string& length) {
    return request_with("deposit", "Content-Length: 0\r\n\r\n", length + "\r\n");
}

std::vector<InvalidRequest> requests_with_invalid_length() {
    return {
        {"noise", "no http at all\r\n\r\n", 400, true},
        {"tls", "\x16\x03\x01\x02\r\n\r\n", 400, true},
        {"version", "GET / HTTP/9.9\r\n\r\n", 400, true},
        {"old_version", "GET /listen HTTP/1.0\r\n\r\n", 505, true},
        {"length_negative", deposit_with("Content-Length: -1\r\n"), 400, true},
        {"length_signed", deposit_with("Content-Length: +0\r\n"), 400, true},
        {"length_hex", deposit_with("Content-Length: 0x5\r\n"), 400, true},
        {"length_empty", deposit_with("Content-Length:\r\n"), 400, true},
        {"length_overflow", deposit_with("Content-Length: 99999999999999999999999\r\n"), 400, true},
        {"length_huge", deposit_with("Content-Length: 60000000\r\n"), 413, true},
        {"length_list", deposit_with("Content-Length: 3, 3\r\n") + "abc", 400, true},
        {"length_twice", deposit_with("Content-Length: 3\r\nContent-Length: 3\r\n") + "abc", 400, true},
        {"length_conflict", deposit_with("Content-Length: 3\r\nContent-Length: 4\r\n") + "abc", 400, true},
    };
}

std::vector<InvalidRequest> requests_with_invalid_coding() {
    return {
        {"length_and_coding", deposit_with("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), 400, true},
        {"coding_and_length", deposit_with("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"), 400, true},
        {"length_and_other_coding", deposit_with("Content-Length: 0\r\nTransfer-Encoding: identity\r\n"), 400,
         true},
        {"coding_other", deposit_with("Transfer-Encoding: gzip\r\n"), 400, true},
        {"coding_list", deposit_with("Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n", 400, true},
        {"coding_odd", deposit_with("Transfer-Encoding: xchunked\r\n") + "0\r\n\r\n", 400, true},
        {"coding_twice",
         deposit_with("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n", 400,
         true},
        {"space_before_colon", deposit_with("Transfer-Encoding : chunked\r\n") + "0\r\n\r\n", 400, true},
        {"chunk_unreadable", deposit_with("Transfer-Encoding: chunked\r\n") + "zz\r\n\r\n", 400, true},
        {"chunk_huge", deposit_with("Transfer-Encoding: chunked\r\n") + "ffffffff\r\n", 413, true},
        {"chunk_extension_endless",
         deposit_with("Transfer-Encoding: chunked\r\n") + "1;" + std::string(40000, 'x'), 431, true},
        {"trailer_second_id",
         deposit_with("Transfer-Encoding: chunked\r\n") + "1\r\na\r\n0\r\nX-Correlation-Id: 2\r\n\r\n", 400,
         true},
    };
}

std::vector<InvalidRequest> requests_of_invalid_class() {
    const std::string class_header = "X-Service-Class: listen";
    std::string lines;
    while (lines.size() < 40000) lines += "X-Pad: pppppppppppppppppppppppp\r\n";
    return {
        {"head_long_line", request_with("listen", "\r\n\r\n", "\r\nX-Long: " + std::string(40000, 'x')), 431,
         true},
        {"head_endless_lines", request_with("listen", "\r\n\r\n", "\r\n" + lines), 431, true},
        {"class_unknown", request_with("listen", class_header, "X-Service-Class: remix"), 400, false},
        {"class_missing", request_with("listen", class_header, "X-Other: 1"), 400, false},
        {"class_twice", request_with("listen", class_header, class_header + "\r\n" + class_header), 400,
         false},
        {"path_of_another", request_with("listen", "GET /listen", "GET /deposit"), 400, false},
        {"path_longer", request_with("listen", "GET /listen", "GET /listener"), 400, false},
        {"path_absolute", request_with("listen", "GET /listen", "GET http://x/listen"), 400, false},
        {"get_for_not_idempotent", request_with("deposit", "POST", "GET"), 405, false},
        {"post_for_idempotent", request_with("listen", "GET", "POST"), 405, false},
        {"put", request_with("deposit", "POST", "PUT"), 405, false},
        {"get_with_body", request_with("listen", "\r\n\r\n", "\r\nContent-Length: 3\r\n\r\nabc"), 400, true},
        {"connect", "CONNECT other:80 HTTP/1.1\r\nHost: x\r\n\r\n", 405, false},
    };
}

std::vector<InvalidRequest> requests_with_invalid_header() {
    const std::string time_left = "X-Time-Left: 25000m";
    return {
        {"key_missing", request_with("annotate", "Idempotency-Key: 5c0f\r\n", ""), 400, false},
        {"key_twice",
         request_with("annotate", "Idempotency-Key: 5c0f\r\n",
                      "Idempotency-Key: 5c0f\r\nIdempotency-Key: 5c10\r\n"),
         400, false},
        {"key_for_not_idempotent", request_with("deposit", time_left, time_left + "\r\nIdempotency-Key: 1"),
         400, false},
        {"id_missing", request_with("listen", "X-Correlation-Id", "X-Id"), 400, false},
        {"id_empty", request_with("listen", "X-Correlation-Id: 9b1f", "X-Correlation-Id: \r\nX-Id: "), 400,
         false},
        {"id_twice", request_with("listen", time_left, time_left + "\r\nX-Correlation-Id: 2"), 400, false},
        {"time_word", request_with("listen", time_left, "X-Time-Left: soon"), 400, false},
        {"time_no_unit", request_with("listen", time_left, "X-Time-Left: 500"), 400, false},
        {"time_nan", request_with("listen", time_left, "X-Time-Left: nanm"), 400, false},
        {"time_infinite", request_with("listen", time_left, "X-Time-Left: infm"), 400, false},
        {"time_overflow", request_with("listen", time_left, "X-Time-Left: 1e999m"), 400, false},
        {"time_negative", request_with("listen", time_left, "X-Time-Left: -5m"), 400, false},
        {"time_missing", request_with("listen", time_left, "X-Other: 1"), 400, false},
        {"hint_nan", request_with("listen", time_left, time_left + "\r\nX-Weight-Hint: nan"), 400, false},
    };
}

std::vector<InvalidRequest> invalid_requests() {
    std::vector<InvalidRequest> requests = requests_with_invalid_length();
    for (const auto& more :
         {requests_with_invalid_coding(), requests_of_invalid_class(), requests_with_invalid_header()})
        requests.insert(requests.end(), more.begin(), more.end());
    return requests;
}

class InvalidRequests : public testing::TestWithParam<InvalidRequest> {};

// The invalid request is rejected with the status for its fault and reaches no endpoint, and the sidecar
// serves further requests: on the same connection unless the sidecar closes it, and on a new one.
TEST_P(InvalidRequests, AreRejectedAndReachNoEndpoint) {
    const InvalidRequest& invalid = GetParam();
    FakeServer server;
    Running sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    {
        App app(sidecar.at);
        const HttpResponse response = app.ask(invalid.text);
        EXPECT_EQ(response.result_int(), invalid.status);
        EXPECT_EQ(response.keep_alive(), !invalid.closes);
        if (invalid.closes)
            app.wire.rest();  // reads until the connection is closed
        else
            EXPECT_EQ(app.ask(App::request("listen")).result_int(), 200u) << "the connection stays open";
    }
    EXPECT_EQ(server.seen().size(), invalid.closes ? 0u : 1u);
    App app(sidecar.at);
    EXPECT_EQ(app.ask(App::request("deposit")).result_int(), 200u);
}

INSTANTIATE_TEST_SUITE_P(All, InvalidRequests, testing::ValuesIn(invalid_requests()),
                         [](const auto& info) { return info.param.name; });

TEST(RequestValidation, ChunkedBodyIsForwardedWithContentLength) {
    FakeServer server;
    Running sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App app(sidecar.at);
    EXPECT_EQ(app.ask(deposit_with("Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
                  .result_int(),
              200u);
    EXPECT_EQ(server.seen().at(0).body(), "abcde");
    EXPECT_EQ(server.seen().at(0)["Content-Length"], "5");
    EXPECT_EQ(server.seen().at(0).count("Transfer-Encoding"), 0u);
}

}  // namespace
}  // namespace ochregrade::sidecar
