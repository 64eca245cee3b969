// Clients of the sidecars: each sidecar's application sends requests at random times (Poisson, at the
// experiment's rate, several times that on a share of heavy sidecars), keeps connections and opens more when
// every one is busy, tries again after a refusal while time is left, and records how each request ended.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <memory>
#include <random>
#include <vector>

#include "lab/experiment.hpp"
#include "lab/record.hpp"

namespace ochregrade::lab {

namespace asio = boost::asio;
namespace beast = boost::beast;

class Clients {
public:
    using Clock = std::chrono::steady_clock;
    Clients(asio::io_context& io, const Experiment& experiment, Recorder& recorder,
            std::vector<asio::ip::tcp::endpoint> sidecars);

    // Sends until `until`, then ends; every request still out is answered or given up by its deadline.
    void run(Clock::time_point until);
    // Whether sidecar `i` answers /healthz with 200 now.
    asio::awaitable<bool> healthy(int i);
    void forget_connections(int i);  // the sidecar was started again: its old connections are gone
    std::uint64_t in_flight() const { return in_flight_; }

private:
    struct Own {
        asio::ip::tcp::endpoint at;
        double rate = 0;
        std::vector<std::unique_ptr<beast::tcp_stream>> idle;
        int open = 0;
        std::uint64_t serial = 0;
        std::mt19937_64 random;
    };
    enum class Try { served, refused, failed, lost, unreachable };

    asio::awaitable<void> arrivals(int i, Clock::time_point until);
    asio::awaitable<void> ask(int i);
    asio::awaitable<Try> attempt(int i, const LoadClass& kind, const std::string& id,
                                 Clock::time_point deadline);

    asio::io_context& io_;
    const Experiment& experiment_;
    Recorder& recorder_;
    std::vector<Own> own_;
    std::discrete_distribution<int> classes_;  // of the experiment, by their shares
    std::uint64_t in_flight_ = 0;
};

}  // namespace ochregrade::lab
