#include "lab/clients.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/http.hpp>

namespace ochregrade::lab {

namespace {
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

constexpr auto kConnectTimeout = 1s;
constexpr auto kAfterDeadline = 500ms;  // an answer this late still ends the request; later it is lost
constexpr std::uint64_t kMaxBody = 64 * 1024;

}  // namespace

Clients::Clients(asio::io_context& io, const Experiment& experiment, Recorder& recorder,
                 std::vector<tcp::endpoint> sidecars)
    : io_(io), experiment_(experiment), recorder_(recorder), own_(sidecars.size()) {
    std::vector<double> shares;
    for (const LoadClass& c : experiment.classes) shares.push_back(c.share);
    classes_ = std::discrete_distribution<int>(shares.begin(), shares.end());
    std::mt19937_64 deal(experiment.seed * 31 + 7);
    std::uniform_real_distribution<double> unit(0, 1);
    for (std::size_t i = 0; i < own_.size(); ++i) {
        own_[i].at = sidecars[i];
        own_[i].rate =
            experiment.rate * (unit(deal) < experiment.heavy_share ? experiment.heavy_multiple : 1);
        own_[i].random.seed(experiment.seed * 1000003 + i);
    }
}

void Clients::run(Clock::time_point until) {
    for (std::size_t i = 0; i < own_.size(); ++i)
        asio::co_spawn(io_, arrivals(static_cast<int>(i), until), asio::detached);
}

void Clients::forget_connections(int i) {
    Own& own = own_[static_cast<std::size_t>(i)];
    own.open -= static_cast<int>(own.idle.size());
    own.idle.clear();
}

asio::awaitable<void> Clients::arrivals(int i, Clock::time_point until) {
    Own& own = own_[static_cast<std::size_t>(i)];
    if (own.rate <= 0) co_return;
    std::exponential_distribution<double> gap(own.rate);
    asio::steady_timer timer(io_);
    Clock::time_point next = Clock::now() + std::chrono::duration_cast<Clock::duration>(
                                                std::chrono::duration<double>(gap(own.random)));
    while (next < until) {
        timer.expires_at(next);
        error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        asio::co_spawn(io_, ask(i), asio::detached);
        next += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap(own.random)));
    }
}

asio::awaitable<void> Clients::ask(int i) {
    Own& own = own_[static_cast<std::size_t>(i)];
    ++in_flight_;
    const int kind_number = classes_(own.random);
    const LoadClass& kind = experiment_.classes[static_cast<std::size_t>(kind_number)];
    const Clock::time_point began = Clock::now();
    const Clock::time_point deadline =
        began + std::chrono::duration_cast<Clock::duration>(
                    std::chrono::duration<double, std::milli>(kind.time_left_ms));
    Try result = Try::lost;
    for (int tried = 0;; ++tried) {
        result = co_await attempt(i, kind, correlation_id(i, own.serial++), deadline);
        // A refusal is harmless to try again, a little later and with a fresh id, while time is left.
        if (result != Try::refused || tried >= experiment_.retries || Clock::now() + 50ms > deadline) break;
        asio::steady_timer pause(io_, std::chrono::milliseconds(10 + own.random() % 40));
        error_code ignored;
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    const double latency_ms = std::chrono::duration<double, std::milli>(Clock::now() - began).count();
    recorder_.outcome(i, static_cast<Outcome>(result), latency_ms, kind_number);
    --in_flight_;
}

asio::awaitable<Clients::Try> Clients::attempt(int i, const LoadClass& kind, const std::string& id,
                                               Clock::time_point deadline) {
    Own& own = own_[static_cast<std::size_t>(i)];
    const std::string target = "/" + kind.name + "?sid=" + id;
    for (int round = 0; round < 2; ++round) {
        std::unique_ptr<beast::tcp_stream> stream;
        const bool reused = round == 0 && !own.idle.empty();
        error_code ec;
        if (reused) {
            stream = std::move(own.idle.back());
            own.idle.pop_back();
        } else {
            if (own.open >= experiment_.client_connections) co_return Try::unreachable;
            stream = std::make_unique<beast::tcp_stream>(io_);
            ++own.open;
            stream->expires_after(kConnectTimeout);
            co_await stream->async_connect(own.at, asio::redirect_error(asio::use_awaitable, ec));
            if (ec) {
                --own.open;
                co_return Try::unreachable;
            }
        }
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
        http::request<http::string_body> request{kind.once ? http::verb::post : http::verb::get, target, 11};
        request.set(http::field::host, "api.internal");
        request.set("X-Correlation-Id", id);
        request.set("X-Service-Class", kind.name);
        request.set("X-Account", "t" + std::to_string(i % 3));
        request.set("X-Time-Left", std::to_string(std::max<std::int64_t>(1, left)) + "m");
        request.prepare_payload();
        stream->expires_at(deadline + kAfterDeadline);
        co_await http::async_write(*stream, request, asio::redirect_error(asio::use_awaitable, ec));
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(kMaxBody);
        if (!ec)
            co_await http::async_read(*stream, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            --own.open;
            // A kept connection that the sidecar closed between requests: sent once more on a new one.
            if (reused && ec != beast::error::timeout && buffer.size() == 0) continue;
            co_return ec == beast::error::timeout ? Try::lost : (reused ? Try::lost : Try::unreachable);
        }
        const auto& response = parser.get();
        if (response.keep_alive()) {
            stream->expires_never();
            own.idle.push_back(std::move(stream));
        } else {
            --own.open;
        }
        const unsigned status = response.result_int();
        if (status == 200) co_return response.body() == target ? Try::served : Try::failed;
        co_return status == 429 || status == 503 ? Try::refused : Try::failed;
    }
    co_return Try::lost;
}

asio::awaitable<bool> Clients::healthy(int i) {
    beast::tcp_stream stream(io_);
    error_code ec;
    stream.expires_after(500ms);
    co_await stream.async_connect(own_[static_cast<std::size_t>(i)].at,
                                  asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return false;
    http::request<http::empty_body> request{http::verb::get, "/healthz", 11};
    request.set(http::field::host, "lab");
    request.keep_alive(false);
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return false;
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    co_await http::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec && response.result_int() == 200;
}

}  // namespace ochregrade::lab
