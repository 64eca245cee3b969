#include "lab/fake_server.hpp"

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

constexpr std::uint32_t kMaxHeader = 16 * 1024;  // bytes, as the protocol page bounds messages
constexpr std::uint64_t kMaxBody = 64 * 1024;
constexpr int kBacklog = 1024;
constexpr auto kSilence = 60s;  // a silent server keeps a request this long at most, then closes
constexpr auto kAcceptRetry = 10ms;
constexpr double kFailSlowFactor = 5;  // times the work of a good answer
constexpr double kLeastWork = 0.5;     // times the mean work
constexpr double kMostWork = 1.5;
constexpr const char* kCorrelationId = "X-Correlation-Id";

void reset_on_close(tcp::socket& socket) {
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

}  // namespace

FakeServer::FakeServer(asio::io_context& io, int index, double speed, const Experiment& experiment,
                       Recorder& recorder)
    : io_(io),
      index_(index),
      speed_(speed),
      experiment_(experiment),
      recorder_(recorder),
      queue_(experiment.server_concurrency) {}

void FakeServer::start() {
    acceptor_ = std::make_shared<tcp::acceptor>(io_);
    const tcp::endpoint address(asio::ip::address_v4::loopback(), port_);
    acceptor_->open(address.protocol());
    acceptor_->set_option(asio::socket_base::reuse_address(true));
    acceptor_->bind(address);
    acceptor_->listen(kBacklog);
    port_ = acceptor_->local_endpoint().port();
    if (started_ != Clock::time_point{}) recorder_.server_restarted(index_);
    started_ = Clock::now();
    up_ = true;
    recorder_.server_live(index_, mode_ == ServerMode::ok);
    asio::co_spawn(io_, accept_connections(acceptor_), asio::detached);
}

void FakeServer::stop() {
    up_ = false;
    if (records_liveness_) recorder_.server_live(index_, false);
    error_code ignored;
    if (acceptor_) acceptor_->close(ignored);
    for (const auto& stream : open_) stream->socket().close(ignored);
    open_.clear();
}

void FakeServer::set_mode(ServerMode mode) {
    mode_ = mode;
    recorder_.server_live(index_, up_ && mode == ServerMode::ok);
}

double FakeServer::slow_start_share() const {
    if (experiment_.slow_start_ms <= 0) return 1;
    const double since_start = to_milliseconds(Clock::now() - started_);
    const double least = experiment_.slow_start_least_share;
    return std::min(1.0, least + (1 - least) * since_start / experiment_.slow_start_ms);
}

std::string FakeServer::load_report() const {
    return "inflight=" + std::to_string(queue_.busy_slots(Clock::now()));
}

asio::awaitable<void> FakeServer::accept_connections(std::shared_ptr<tcp::acceptor> acceptor) {
    const auto self = shared_from_this();
    while (acceptor->is_open()) {
        error_code error;
        tcp::socket socket =
            co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            if (error == asio::error::operation_aborted || !acceptor->is_open()) co_return;
            co_await sleep_until(Clock::now() + kAcceptRetry);  // out of descriptors
            continue;
        }
        recorder_.server_connection(index_);
        if (static_cast<int>(open_.size()) >= experiment_.server_connections) {
            reset_on_close(socket);
            continue;
        }
        // A handshake takes a slot, so that many new connections slow a server, more so a cold one.
        queue_.submit(from_milliseconds(experiment_.handshake_ms / (speed_ * slow_start_share())),
                      Clock::duration::max());
        auto stream = std::make_shared<Stream>(std::move(socket));
        open_.insert(stream);
        asio::co_spawn(io_, serve(stream), asio::detached);
    }
}

// Each connection draws its own work times: one sequence shared by all of a server's connections would make
// the server seem steadily faster or slower than its speed to every sidecar at once.
std::mt19937_64 FakeServer::next_connection_random() {
    return std::mt19937_64(experiment_.seed * 0x9e3779b97f4a7c15ULL +
                           static_cast<std::uint64_t>(index_) * 1000003 + connections_++);
}

asio::awaitable<void> FakeServer::serve(std::shared_ptr<Stream> stream) {
    const auto self = shared_from_this();
    beast::flat_buffer buffer;
    std::mt19937_64 random = next_connection_random();
    std::uniform_real_distribution<double> spread(kLeastWork, kMostWork);
    for (;;) {
        error_code error;
        http::request_parser<http::string_body> parser;
        parser.header_limit(kMaxHeader);
        parser.body_limit(kMaxBody);
        stream->expires_after(from_milliseconds(experiment_.idle_close_ms));
        co_await http::async_read(*stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error || !up_) break;
        stream->expires_never();
        const Request& request = parser.get();
        Response response{http::status::ok, request.version()};
        response.keep_alive(request.keep_alive());
        const std::function<double()> draw_work_ms = [&] { return experiment_.work_ms * spread(random); };
        const Completion completion = co_await handle(request, draw_work_ms, *stream, response);
        if (completion == Completion::close || !up_ || !stream->socket().is_open()) break;
        response.prepare_payload();
        co_await http::async_write(*stream, response, asio::redirect_error(asio::use_awaitable, error));
        if (error || !response.keep_alive()) break;
    }
    error_code ignored;
    stream->socket().close(ignored);
    open_.erase(stream);
}

asio::awaitable<FakeServer::Completion> FakeServer::handle(const Request& request,
                                                           const std::function<double()>& draw_work_ms,
                                                           Stream& stream, Response& response) {
    if (request.target() == "/healthz" || request.target() == "/load") {
        answer_health(request, response);
        co_return Completion::answer;
    }
    const std::string correlation_id(request[kCorrelationId]);
    if (correlation_id.empty()) {
        response.result(http::status::not_found);
        co_return Completion::answer;
    }
    recorder_.server_request(index_, sidecar_of(correlation_id));
    const double work_ms = draw_work_ms() / (speed_ * slow_start_share());
    co_return co_await work(request, work_ms, stream, response);
}

void FakeServer::answer_health(const Request& request, Response& response) const {
    const bool healthy = mode_ == ServerMode::ok;
    response.result(healthy ? http::status::ok : http::status::service_unavailable);
    if (request.target() == "/load") response.body() = load_report();
}

asio::awaitable<FakeServer::Completion> FakeServer::work(const Request& request, double work_ms,
                                                         Stream& stream, Response& response) {
    switch (mode_) {
        case ServerMode::ok:
            co_await work_normally(request, work_ms, response);
            co_return Completion::answer;
        case ServerMode::silent:
        case ServerMode::lose_answers:
            co_await sleep_until(Clock::now() + kSilence);
            co_return Completion::close;
        case ServerMode::fail_fast:
            response.result(http::status::internal_server_error);
            co_return Completion::answer;
        case ServerMode::fail_slow:
            co_await sleep_until(Clock::now() + from_milliseconds(kFailSlowFactor * work_ms));
            response.result(http::status::internal_server_error);
            co_return Completion::answer;
        case ServerMode::reset:
            reset_on_close(stream.socket());
            co_return Completion::close;
    }
    co_return Completion::close;
}

asio::awaitable<void> FakeServer::work_normally(const Request& request, double work_ms, Response& response) {
    const auto done = queue_.submit(from_milliseconds(work_ms), from_milliseconds(experiment_.queue_ms));
    if (!done) {
        response.result(http::status::service_unavailable);
        response.set("X-Unprocessed", "1");
        co_return;
    }
    co_await sleep_until(*done);
    response.body() = std::string(request.target());
    response.set("X-Backend-Load", load_report());
}

}  // namespace ochregrade::lab
