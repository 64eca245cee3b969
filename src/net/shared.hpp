// The sidecar's part in the fleet's shared state: the replica's datagrams to and from the peers' socket, its
// timer, and what it knows to the sidecar. It chooses nothing.
#pragma once

#include <functional>
#include <optional>

#include "fleet/replica.hpp"
#include "net/clock.hpp"
#include "net/config.hpp"
#include "net/http.hpp"

namespace kelplb::net {

class Shared {
public:
    struct Handlers {
        std::function<void(std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes)> send;
        std::function<void()> changed;  // what the others say; not from within say()
    };
    Shared(asio::io_context& io, const Clock& clock, const Config& config, Handlers handlers);
    void start();
    // A planned end: the others are told, and nothing is heard or said any more.
    void leave();

    void heard(std::uint32_t from, const std::vector<std::uint8_t>& bytes);
    void say(fleet::ServerKey server, const fleet::Evidence& evidence);
    void say(const fleet::Versions& versions);

    const fleet::Replica& replica() const { return replica_; }
    // Whether it was made for the same place in the same fleet.
    bool serves(const Config& config) const;

private:
    void carry_out();
    void arm();

    const Clock& clock_;
    Handlers handlers_;
    FleetConfig config_;
    fleet::Replica replica_;
    std::vector<fleet::Outgoing> out_;
    asio::steady_timer timer_;
    Millis armed_for_ = 0;
    Millis started_ = 0;
    std::uint64_t revision_ = 0;
    bool said_caught_up_ = false;
};

// What another process under the same name did is no evidence against this one: its start is part of the key.
fleet::ServerKey server_key(ServerId server, Millis born);

}  // namespace kelplb::net
