#include "lab/fakes.hpp"

#include <boost/asio/redirect_error.hpp>
#include <charconv>

namespace ochregrade::lab {

namespace {

using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr std::uint32_t kMaxHeader = 16 * 1024;  // as the protocol page bounds messages
constexpr std::uint64_t kMaxBody = 64 * 1024;
constexpr auto kSilence = 60s;              // a silent server holds a request this long at most, then closes
constexpr auto kDiscoveryCost = 1ms;        // discovery handles calls in turn, each costing this
constexpr auto kDiscoveryLongest = 1000ms;  // a call that would wait longer in that line gets 503
constexpr std::int64_t kLongestWatchMs = 60000;

Clock::duration ms(double value) {
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(value));
}

// A number after `name=` in a query, or nothing.
std::optional<std::int64_t> query_number(std::string_view target, std::string_view name) {
    const auto query = target.find('?');
    if (query == std::string_view::npos) return std::nullopt;
    for (std::string_view rest = target.substr(query + 1); !rest.empty();) {
        const auto end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        if (pair.size() > name.size() && pair.substr(0, name.size()) == name && pair[name.size()] == '=') {
            std::int64_t value = 0;
            const char* first = pair.data() + name.size() + 1;
            const auto [ptr, ec] = std::from_chars(first, pair.data() + pair.size(), value);
            if (ec == std::errc() && ptr == pair.data() + pair.size()) return value;
            return std::nullopt;
        }
        rest = end < rest.size() ? rest.substr(end + 1) : std::string_view{};
    }
    return std::nullopt;
}

}  // namespace

asio::awaitable<void> sleep_until(Clock::time_point at) {
    asio::steady_timer timer(co_await asio::this_coro::executor, at);
    error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::optional<Clock::time_point> SlotQueue::take(Clock::duration work, Clock::duration longest_wait) {
    const Clock::time_point now = Clock::now();
    auto slot = std::min_element(free_at_.begin(), free_at_.end());
    const Clock::time_point begins = std::max(now, *slot);
    if (begins - now > longest_wait) return std::nullopt;
    *slot = begins + work;
    return *slot;
}

std::size_t SlotQueue::waiting(Clock::time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(free_at_.begin(), free_at_.end(), [&](Clock::time_point at) { return at > now; }));
}

GuideServer::GuideServer(asio::io_context& io, int index, double speed, const Experiment& experiment,
                         Recorder& recorder)
    : io_(io),
      index_(index),
      speed_(speed),
      experiment_(experiment),
      recorder_(recorder),
      queue_(experiment.server_concurrency) {}

void GuideServer::start() {
    acceptor_ = std::make_shared<tcp::acceptor>(io_);
    const tcp::endpoint at(asio::ip::address_v4::loopback(), port_);
    acceptor_->open(at.protocol());
    acceptor_->set_option(asio::socket_base::reuse_address(true));
    acceptor_->bind(at);
    acceptor_->listen(1024);
    port_ = acceptor_->local_endpoint().port();
    if (started_ != Clock::time_point{}) recorder_.server_cold(index_);
    started_ = Clock::now();
    up_ = true;
    recorder_.server_live(index_, mode_ == ServerMode::ok);
    asio::co_spawn(io_, accept(acceptor_), asio::detached);
}

void GuideServer::stop() {
    up_ = false;
    if (counted_live_) recorder_.server_live(index_, false);
    error_code ignored;
    if (acceptor_) acceptor_->close(ignored);
    for (const auto& stream : open_) stream->socket().close(ignored);
    open_.clear();
}

void GuideServer::set_mode(ServerMode mode) {
    mode_ = mode;
    recorder_.server_live(index_, up_ && mode == ServerMode::ok);
}

double GuideServer::warmth() const {
    if (experiment_.warm_ms <= 0) return 1;
    const double since = std::chrono::duration<double, std::milli>(Clock::now() - started_).count();
    return std::min(1.0, experiment_.cold_from + (1 - experiment_.cold_from) * since / experiment_.warm_ms);
}

asio::awaitable<void> GuideServer::accept(std::shared_ptr<tcp::acceptor> acceptor) {
    auto self = shared_from_this();
    while (acceptor->is_open()) {
        error_code ec;
        tcp::socket socket = co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            if (ec == asio::error::operation_aborted || !acceptor->is_open()) co_return;
            co_await sleep_until(Clock::now() + 10ms);  // out of descriptors: try again shortly
            continue;
        }
        recorder_.server_connection(index_);
        if (static_cast<int>(open_.size()) >= experiment_.server_connections) {
            socket.set_option(asio::socket_base::linger(true, 0), ec);  // over its limit: reset at once
            continue;
        }
        // A handshake takes a slot for a while, so that many new connections slow a server, more so a cold
        // one.
        queue_.take(ms(experiment_.handshake_ms / (speed_ * warmth())), Clock::duration::max());
        auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
        open_.insert(stream);
        asio::co_spawn(io_, serve(stream), asio::detached);
    }
}

asio::awaitable<void> GuideServer::serve(std::shared_ptr<beast::tcp_stream> stream) {
    auto self = shared_from_this();
    beast::flat_buffer buffer;
    // Each connection draws its own work times: one sequence shared by all of a server's connections would
    // make the server seem steadily faster or slower than its speed to every sidecar at once.
    std::mt19937_64 random(experiment_.seed * 0x9e3779b97f4a7c15ULL +
                           static_cast<std::uint64_t>(index_) * 1000003 + connections_++);
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    for (;;) {
        error_code ec;
        http::request_parser<http::string_body> parser;
        parser.header_limit(kMaxHeader);
        parser.body_limit(kMaxBody);
        stream->expires_after(ms(experiment_.idle_close_ms));
        co_await http::async_read(*stream, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
        if (ec || !up_) break;
        stream->expires_never();
        const auto& request = parser.get();
        const std::string target(request.target());
        http::response<http::string_body> response{http::status::ok, request.version()};
        response.keep_alive(request.keep_alive());
        const bool healthy = mode_ == ServerMode::ok;
        if (target == "/healthz" || target == "/load") {
            response.result(healthy ? http::status::ok : http::status::service_unavailable);
            if (target == "/load")
                response.body() = "inflight=" + std::to_string(queue_.waiting(Clock::now()));
        } else if (request["X-Correlation-Id"].empty()) {
            response.result(http::status::not_found);
        } else {
            recorder_.server_request(index_, sidecar_of(std::string(request["X-Correlation-Id"])));
            const double work_ms = experiment_.work_ms * spread(random) / (speed_ * warmth());
            switch (mode_) {
                case ServerMode::ok: {
                    const auto done = queue_.take(ms(work_ms), ms(experiment_.queue_ms));
                    if (!done) {
                        response.result(http::status::service_unavailable);
                        response.set("X-Unprocessed", "1");
                        break;
                    }
                    co_await sleep_until(*done);
                    response.body() = target;
                    response.set("X-Backend-Load",
                                 "inflight=" + std::to_string(queue_.waiting(Clock::now())));
                    break;
                }
                case ServerMode::silent:
                case ServerMode::lose_answers:
                    co_await sleep_until(Clock::now() + kSilence);
                    ec = asio::error::timed_out;
                    break;
                case ServerMode::fail_fast:
                    response.result(http::status::internal_server_error);
                    break;
                case ServerMode::fail_slow:
                    co_await sleep_until(Clock::now() + ms(5 * work_ms));
                    response.result(http::status::internal_server_error);
                    break;
                case ServerMode::reset:
                    stream->socket().set_option(asio::socket_base::linger(true, 0), ec);
                    ec = asio::error::connection_reset;
                    break;
            }
        }
        if (ec || !up_ || !stream->socket().is_open()) break;
        response.prepare_payload();
        co_await http::async_write(*stream, response, asio::redirect_error(asio::use_awaitable, ec));
        if (ec || !response.keep_alive()) break;
    }
    error_code ignored;
    stream->socket().close(ignored);
    open_.erase(stream);
}

Discovery::Discovery(asio::io_context& io, Recorder& recorder) : io_(io), recorder_(recorder) {}

void Discovery::start(int sidecars) {
    for (int i = 0; i < sidecars; ++i) {
        const tcp::endpoint at(asio::ip::address_v4::loopback(), 0);
        acceptors_.push_back(std::make_unique<tcp::acceptor>(io_, at));
        asio::co_spawn(io_, accept(i), asio::detached);
    }
}

void Discovery::publish(nlohmann::json hosts) {
    hosts_ = std::move(hosts);
    ++seq_;
    for (const auto& [timer, watch] : watches_)
        if (!stalled_.count(watch.sidecar) && !watch.silent) timer->cancel();
}

void Discovery::stall(const std::vector<int>& sidecars) { stalled_ = {sidecars.begin(), sidecars.end()}; }

void Discovery::silence(const std::vector<int>& sidecars) {
    const std::set<int> chosen{sidecars.begin(), sidecars.end()};
    for (auto& [timer, watch] : watches_) watch.silent |= chosen.count(watch.sidecar) > 0;
}

void Discovery::count_anew() {
    seq_ = 0;
    const auto open = std::move(open_);
    open_.clear();
    error_code ignored;
    for (const auto& stream : open) stream->socket().close(ignored);
}

asio::awaitable<void> Discovery::accept(int sidecar) {
    tcp::acceptor& acceptor = *acceptors_[static_cast<std::size_t>(sidecar)];
    for (;;) {
        error_code ec;
        tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted) co_return;
        if (ec) {
            co_await sleep_until(Clock::now() + 10ms);
            continue;
        }
        auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
        open_.insert(stream);
        asio::co_spawn(io_, serve(stream, sidecar), asio::detached);
    }
}

asio::awaitable<void> Discovery::serve(std::shared_ptr<beast::tcp_stream> stream, int sidecar) {
    beast::flat_buffer buffer;
    for (;;) {
        error_code ec;
        http::request<http::string_body> request;
        stream->expires_after(120s);
        co_await http::async_read(*stream, buffer, request, asio::redirect_error(asio::use_awaitable, ec));
        if (ec) break;
        stream->expires_never();
        recorder_.discovery_call();
        const std::string_view target(request.target().data(), request.target().size());
        http::response<http::string_body> response{http::status::ok, request.version()};
        response.keep_alive(request.keep_alive());
        const auto turn = queue_.take(kDiscoveryCost, kDiscoveryLongest);
        if (target.substr(0, target.find('?')) != "/v1/servers") {
            response.result(http::status::not_found);
        } else if (down_ || !turn) {
            response.result(http::status::service_unavailable);
        } else {
            co_await sleep_until(*turn);
            const auto after = query_number(target, "after");
            const auto wait_ms =
                std::clamp<std::int64_t>(query_number(target, "wait_ms").value_or(0), 0, kLongestWatchMs);
            if (after && (*after == seq_ || stalled_.count(sidecar)) && wait_ms > 0) {
                auto watch = std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(wait_ms));
                watches_[watch].sidecar = sidecar;
                error_code ignored;
                co_await watch->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
                const bool silent = watches_.at(watch).silent;
                watches_.erase(watch);
                if (silent) {  // until the sidecar gives it up
                    char ignored_byte;
                    co_await stream->socket().async_read_some(asio::buffer(&ignored_byte, 1),
                                                              asio::redirect_error(asio::use_awaitable, ec));
                    break;
                }
            }
            // Without a history of changes, whatever is newer is told as the whole list.
            const std::int64_t seq = after && stalled_.count(sidecar) ? *after : seq_;
            const bool whole = !after || *after != seq;
            nlohmann::json body{
                {"seq", seq}, {"whole", whole}, {"hosts", whole ? hosts_ : nlohmann::json::array()}};
            response.body() = body.dump();
            response.set(http::field::content_type, "application/json");
            if (down_) response = {http::status::service_unavailable, request.version()};
        }
        response.prepare_payload();
        co_await http::async_write(*stream, response, asio::redirect_error(asio::use_awaitable, ec));
        if (ec || !response.keep_alive()) break;
    }
    open_.erase(stream);
}

}  // namespace ochregrade::lab
