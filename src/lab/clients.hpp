/// @file
/// Clients of the sidecars. Each sidecar's application sends requests at random times (Poisson, at the
/// experiment's rate, several times that on a share of heavy sidecars), keeps connections and opens more when
/// every one is busy, tries again after a rejection while time is left, and records how each request ended.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lab/experiment.hpp"
#include "lab/recorder.hpp"
#include "lab/timing.hpp"

namespace ochregrade::lab {

class Clients {
public:
    /// `sidecars`: where each sidecar listens. The references must outlive this.
    Clients(boost::asio::io_context& io, const Experiment& experiment, Recorder& recorder,
            const std::vector<boost::asio::ip::tcp::endpoint>& sidecars);

    /// Starts to send, until `end`. Every request still in flight then ends by its deadline.
    void run(Clock::time_point end);
    /// Whether the sidecar answers /healthz with 200 now.
    boost::asio::awaitable<bool> is_healthy(int sidecar);
    /// The sidecar was started again: its old connections are gone.
    void forget_connections(int sidecar);
    std::uint64_t in_flight() const { return in_flight_; }

private:
    using Stream = boost::beast::tcp_stream;
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    /// The application beside one sidecar.
    struct Application {
        boost::asio::ip::tcp::endpoint sidecar;
        double rate = 0;  // requests per second
        std::vector<std::unique_ptr<Stream>> idle;
        int open_connections = 0;  // idle ones included
        std::uint64_t next_serial = 0;
        std::mt19937_64 random;
    };
    /// One request sent and its response, or the error.
    struct Exchange {
        boost::system::error_code error;
        bool response_begun = false;
        Response response;
    };

    boost::asio::awaitable<void> send_requests(int sidecar, Clock::time_point end);
    boost::asio::awaitable<void> request(int sidecar);
    boost::asio::awaitable<Outcome> attempt(int sidecar, const LoadClass& load_class,
                                            const std::string& correlation_id, Clock::time_point deadline);
    boost::asio::awaitable<std::unique_ptr<Stream>> connect(Application& application);
    static boost::asio::awaitable<Exchange> exchange(Stream& stream, const Request& request);
    static Request make_request(int sidecar, const LoadClass& load_class, const std::string& correlation_id,
                                Clock::time_point deadline);
    static std::unique_ptr<Stream> take_idle(Application& application);
    Application& application(int sidecar) { return applications_[static_cast<std::size_t>(sidecar)]; }

    boost::asio::io_context& io_;
    const Experiment& experiment_;
    Recorder& recorder_;
    std::vector<Application> applications_;          // by sidecar
    std::discrete_distribution<int> class_indices_;  // by the classes' shares
    std::uint64_t in_flight_ = 0;
};

}  // namespace ochregrade::lab
