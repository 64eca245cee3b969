// Datagrams between sidecars of the tier: short, and late or lost without harm.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "common/http.hpp"
#include "control/config.hpp"

namespace ochregrade::sidecar {

class GossipTransport : public std::enable_shared_from_this<GossipTransport> {
public:
    using OnReceived = std::function<void(std::uint32_t from, std::vector<std::uint8_t> bytes)>;
    GossipTransport(asio::io_context& io, const udp::endpoint& at,
                    OnReceived on_received);  // throws if it can't listen

    // Whom the numbers mean from here on.
    void set_peers(std::vector<udp::endpoint> peers, std::optional<udp::endpoint> all);
    void listen();  // once, when it is in use
    void stop();    // nothing is heard any more
    udp::endpoint endpoint() const { return at_; }

    void send(std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes);

private:
    static constexpr std::size_t kLongest = 256;

    const udp::endpoint at_;
    std::vector<udp::endpoint> peers_;
    std::optional<udp::endpoint> all_;
    bool stopped_ = false;
    OnReceived on_received_;
    udp::socket socket_;
    udp::endpoint from_;
    std::array<std::uint8_t, kLongest + 1> bytes_{};  // one more shows what is over-long
};

}  // namespace ochregrade::sidecar
