#include "lab/fake_discovery.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <charconv>
#include <string_view>

#include "lab/timing.hpp"

namespace ochregrade::lab {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

constexpr auto kCallCost = 1ms;
constexpr auto kLongestQueue = 1000ms;  // a call that would wait longer for its turn gets 503
constexpr auto kIdleTimeout = 120s;
constexpr auto kAcceptRetry = 10ms;
constexpr std::int64_t kLongestWatchMs = 60000;

// The number after `name=` in the query of `target`, or nothing.
std::optional<std::int64_t> query_number(std::string_view target, std::string_view name) {
    const auto query = target.find('?');
    if (query == std::string_view::npos) return std::nullopt;
    for (std::string_view rest = target.substr(query + 1); !rest.empty();) {
        const auto end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        if (pair.size() > name.size() && pair.substr(0, name.size()) == name && pair[name.size()] == '=') {
            std::int64_t value = 0;
            const char* first = pair.data() + name.size() + 1;
            const char* last = pair.data() + pair.size();
            const auto [parsed_end, error] = std::from_chars(first, last, value);
            if (error == std::errc() && parsed_end == last) return value;
            return std::nullopt;
        }
        rest = end < rest.size() ? rest.substr(end + 1) : std::string_view{};
    }
    return std::nullopt;
}

// Returns when the client closes the connection.
asio::awaitable<void> wait_for_close(tcp::socket& socket) {
    char ignored_byte = 0;
    error_code ignored;
    co_await socket.async_read_some(asio::buffer(&ignored_byte, 1),
                                    asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace

void FakeDiscovery::start(int sidecars) {
    for (int i = 0; i < sidecars; ++i) {
        const tcp::endpoint any_port(asio::ip::address_v4::loopback(), 0);
        acceptors_.push_back(std::make_unique<tcp::acceptor>(io_, any_port));
        asio::co_spawn(io_, accept_connections(i), asio::detached);
    }
}

void FakeDiscovery::publish(nlohmann::json hosts) {
    hosts_ = std::move(hosts);
    ++sequence_;
    for (const auto& [timer, watch] : watches_)
        if (!is_stalled(watch.sidecar) && !watch.silent) timer->cancel();
}

void FakeDiscovery::stall(const std::vector<int>& sidecars) { stalled_ = {sidecars.begin(), sidecars.end()}; }

void FakeDiscovery::silence(const std::vector<int>& sidecars) {
    const std::set<int> chosen{sidecars.begin(), sidecars.end()};
    for (auto& [timer, watch] : watches_)
        if (chosen.count(watch.sidecar) > 0) watch.silent = true;
}

void FakeDiscovery::restart() {
    sequence_ = 0;
    const auto open = std::move(open_);
    open_.clear();
    error_code ignored;
    for (const auto& stream : open) stream->socket().close(ignored);
}

asio::awaitable<void> FakeDiscovery::accept_connections(int sidecar) {
    tcp::acceptor& acceptor = *acceptors_[static_cast<std::size_t>(sidecar)];
    for (;;) {
        error_code error;
        tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) co_return;
        if (error) {
            co_await sleep_until(Clock::now() + kAcceptRetry);  // out of descriptors
            continue;
        }
        auto stream = std::make_shared<Stream>(std::move(socket));
        open_.insert(stream);
        asio::co_spawn(io_, serve(stream, sidecar), asio::detached);
    }
}

asio::awaitable<void> FakeDiscovery::serve(std::shared_ptr<Stream> stream, int sidecar) {
    beast::flat_buffer buffer;
    for (;;) {
        error_code error;
        Request request;
        stream->expires_after(kIdleTimeout);
        co_await http::async_read(*stream, buffer, request, asio::redirect_error(asio::use_awaitable, error));
        if (error) break;
        stream->expires_never();
        recorder_.discovery_call();
        const std::string_view target(request.target().data(), request.target().size());
        Response response{http::status::ok, request.version()};
        response.keep_alive(request.keep_alive());
        const auto turn = queue_.submit(kCallCost, kLongestQueue);
        if (target.substr(0, target.find('?')) != "/v1/servers") {
            response.result(http::status::not_found);
        } else if (down_ || !turn) {
            response.result(http::status::service_unavailable);
        } else {
            co_await sleep_until(*turn);
            const WatchResult result = co_await answer_list(target, sidecar, response);
            if (result == WatchResult::silent) {
                co_await wait_for_close(stream->socket());
                break;
            }
        }
        response.prepare_payload();
        co_await http::async_write(*stream, response, asio::redirect_error(asio::use_awaitable, error));
        if (error || !response.keep_alive()) break;
    }
    open_.erase(stream);
}

asio::awaitable<FakeDiscovery::WatchResult> FakeDiscovery::answer_list(std::string_view target, int sidecar,
                                                                       Response& response) {
    const auto after = query_number(target, "after");
    const auto wait_ms =
        std::clamp<std::int64_t>(query_number(target, "wait_ms").value_or(0), 0, kLongestWatchMs);
    if (after && (*after == sequence_ || is_stalled(sidecar)) && wait_ms > 0) {
        const WatchResult result = co_await wait_for_change(sidecar, wait_ms);
        if (result == WatchResult::silent) co_return result;
    }
    // There is no history of changes: whatever is newer is answered as the whole list.
    const std::int64_t sequence = after && is_stalled(sidecar) ? *after : sequence_;
    const bool full = !after || *after != sequence;
    const nlohmann::json body{
        {"seq", sequence}, {"whole", full}, {"hosts", full ? hosts_ : nlohmann::json::array()}};
    response.body() = body.dump();
    response.set(http::field::content_type, "application/json");
    if (down_) response = {http::status::service_unavailable, response.version()};
    co_return WatchResult::answer;
}

asio::awaitable<FakeDiscovery::WatchResult> FakeDiscovery::wait_for_change(int sidecar,
                                                                           std::int64_t wait_ms) {
    // publish() ends the wait by cancelling the timer.
    const auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(wait_ms));
    watches_[timer].sidecar = sidecar;
    error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    const bool silent = watches_.at(timer).silent;
    watches_.erase(timer);
    co_return silent ? WatchResult::silent : WatchResult::answer;
}

}  // namespace ochregrade::lab
