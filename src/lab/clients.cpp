#include "lab/clients.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>

#include "lab/correlation_id.hpp"

namespace ochregrade::lab {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

constexpr auto kConnectTimeout = 1s;
constexpr auto kHealthTimeout = 500ms;
constexpr auto kAfterDeadline = 500ms;  // an answer this late still ends the request; later it is lost
constexpr auto kLeastRetryTime = 50ms;  // no retry with less time left
constexpr int kLeastRetryPauseMs = 10;
constexpr int kRetryPauseSpreadMs = 40;
constexpr std::uint64_t kMaxBody = 64 * 1024;  // bytes
constexpr int kAccounts = 3;
constexpr int kHttpVersion = 11;

std::string request_target(const LoadClass& load_class, const std::string& correlation_id) {
    return "/" + load_class.name + "?sid=" + correlation_id;
}

// A server that works answers with the request's target as the body.
Outcome outcome_of(const http::response<http::string_body>& response, const std::string& target) {
    switch (response.result()) {
        case http::status::ok:
            return response.body() == target ? Outcome::served : Outcome::failed;
        case http::status::too_many_requests:
        case http::status::service_unavailable:
            return Outcome::rejected;
        default:
            return Outcome::failed;
    }
}

}  // namespace

Clients::Clients(asio::io_context& io, const Experiment& experiment, Recorder& recorder,
                 const std::vector<tcp::endpoint>& sidecars)
    : io_(io), experiment_(experiment), recorder_(recorder), applications_(sidecars.size()) {
    std::vector<double> shares;
    shares.reserve(experiment.classes.size());
    for (const LoadClass& load_class : experiment.classes) shares.push_back(load_class.share);
    class_indices_ = std::discrete_distribution<int>(shares.begin(), shares.end());
    std::mt19937_64 random(experiment.seed * 31 + 7);
    std::uniform_real_distribution<double> unit(0, 1);
    for (std::size_t i = 0; i < applications_.size(); ++i) {
        const bool heavy = unit(random) < experiment.heavy_share;
        applications_[i].sidecar = sidecars[i];
        applications_[i].rate = experiment.rate * (heavy ? experiment.heavy_multiple : 1);
        applications_[i].random.seed(experiment.seed * 1000003 + i);
    }
}

void Clients::run(Clock::time_point end) {
    for (std::size_t i = 0; i < applications_.size(); ++i)
        asio::co_spawn(io_, send_requests(static_cast<int>(i), end), asio::detached);
}

void Clients::forget_connections(int sidecar) {
    Application& app = application(sidecar);
    app.open_connections -= static_cast<int>(app.idle.size());
    app.idle.clear();
}

asio::awaitable<void> Clients::send_requests(int sidecar, Clock::time_point end) {
    Application& app = application(sidecar);
    if (app.rate <= 0) co_return;
    std::exponential_distribution<double> interarrival_s(app.rate);
    Clock::time_point next = Clock::now() + from_seconds(interarrival_s(app.random));
    while (next < end) {
        co_await sleep_until(next);
        asio::co_spawn(io_, request(sidecar), asio::detached);
        next += from_seconds(interarrival_s(app.random));
    }
}

asio::awaitable<void> Clients::request(int sidecar) {
    Application& app = application(sidecar);
    ++in_flight_;
    const int class_index = class_indices_(app.random);
    const LoadClass& load_class = experiment_.classes[static_cast<std::size_t>(class_index)];
    const Clock::time_point began = Clock::now();
    const Clock::time_point deadline = began + from_milliseconds(load_class.timeout_ms);
    Outcome outcome = Outcome::lost;
    for (int attempts = 0;; ++attempts) {
        const std::string id = correlation_id(sidecar, app.next_serial++);
        outcome = co_await attempt(sidecar, load_class, id, deadline);
        // A rejected request had no effect: it is tried again a little later with a fresh id.
        const bool time_is_left = Clock::now() + kLeastRetryTime <= deadline;
        if (outcome != Outcome::rejected || attempts >= experiment_.retries || !time_is_left) break;
        const auto pause_ms = kLeastRetryPauseMs + app.random() % kRetryPauseSpreadMs;
        co_await sleep_until(Clock::now() + std::chrono::milliseconds(pause_ms));
    }
    recorder_.outcome(sidecar, outcome, to_milliseconds(Clock::now() - began), class_index);
    --in_flight_;
}

asio::awaitable<Outcome> Clients::attempt(int sidecar, const LoadClass& load_class,
                                          const std::string& correlation_id, Clock::time_point deadline) {
    Application& app = application(sidecar);
    // A kept connection may have been closed by the sidecar between requests: the request is sent once more
    // on a new one then.
    for (bool may_reuse = true;; may_reuse = false) {
        const bool reused = may_reuse && !app.idle.empty();
        std::unique_ptr<Stream> stream;
        if (reused) {
            stream = take_idle(app);
        } else {
            stream = co_await connect(app);
        }
        if (!stream) co_return Outcome::unreachable;
        const Request request = make_request(sidecar, load_class, correlation_id, deadline);
        stream->expires_at(deadline + kAfterDeadline);
        const Exchange result = co_await exchange(*stream, request);
        if (result.error) {
            --app.open_connections;
            const bool timed_out = result.error == beast::error::timeout;
            if (reused && !timed_out && !result.response_begun) continue;
            co_return timed_out || reused ? Outcome::lost : Outcome::unreachable;
        }
        if (result.response.keep_alive()) {
            stream->expires_never();
            app.idle.push_back(std::move(stream));
        } else {
            --app.open_connections;
        }
        co_return outcome_of(result.response, request_target(load_class, correlation_id));
    }
}

std::unique_ptr<Clients::Stream> Clients::take_idle(Application& application) {
    std::unique_ptr<Stream> stream = std::move(application.idle.back());
    application.idle.pop_back();
    return stream;
}

// Null where the sidecar can't be reached or the application has all the connections it may have.
asio::awaitable<std::unique_ptr<Clients::Stream>> Clients::connect(Application& application) {
    if (application.open_connections >= experiment_.client_connections) co_return nullptr;
    auto stream = std::make_unique<Stream>(io_);
    ++application.open_connections;
    stream->expires_after(kConnectTimeout);
    error_code error;
    co_await stream->async_connect(application.sidecar, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        --application.open_connections;
        co_return nullptr;
    }
    co_return stream;
}

Clients::Request Clients::make_request(int sidecar, const LoadClass& load_class,
                                       const std::string& correlation_id, Clock::time_point deadline) {
    const auto time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
    Request request{load_class.not_idempotent ? http::verb::post : http::verb::get,
                    request_target(load_class, correlation_id), kHttpVersion};
    request.set(http::field::host, "api.internal");
    request.set("X-Correlation-Id", correlation_id);
    request.set("X-Service-Class", load_class.name);
    request.set("X-Account", "t" + std::to_string(sidecar % kAccounts));
    request.set("X-Time-Left", std::to_string(std::max<std::int64_t>(1, time_left)) + "m");
    request.prepare_payload();
    return request;
}

asio::awaitable<Clients::Exchange> Clients::exchange(Stream& stream, const Request& request) {
    Exchange result;
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, result.error));
    if (result.error) co_return result;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxBody);
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, result.error));
    result.response_begun = buffer.size() > 0;
    if (!result.error) result.response = parser.release();
    co_return result;
}

asio::awaitable<bool> Clients::is_healthy(int sidecar) {
    Stream stream(io_);
    error_code error;
    stream.expires_after(kHealthTimeout);
    co_await stream.async_connect(application(sidecar).sidecar,
                                  asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return false;
    http::request<http::empty_body> request{http::verb::get, "/healthz", kHttpVersion};
    request.set(http::field::host, "lab");
    request.keep_alive(false);
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return false;
    beast::flat_buffer buffer;
    Response response;
    co_await http::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, error));
    co_return !error && response.result() == http::status::ok;
}

}  // namespace ochregrade::lab
