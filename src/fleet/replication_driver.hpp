// The sidecar's part in the fleet's shared state: the replica's datagrams to and from the peers' socket, its
// timer, and what it knows to the sidecar. It chooses nothing.
#pragma once

#include <functional>
#include <optional>

#include "common/clock.hpp"
#include "common/http.hpp"
#include "control/config.hpp"
#include "replication/version_agreement.hpp"

namespace ochregrade::sidecar {

class ReplicationDriver {
public:
    struct Handlers {
        std::function<void(std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes)> send;
        std::function<void()> changed;  // what the others say; not from within say()
        // They act on a newer list, or on newer settings: ask for them.
        std::function<void(const replication::VersionId&claimed)> ask_list, ask_settings;
    };
    ReplicationDriver(asio::io_context& io, const Clock& clock, const Config& config, Handlers handlers);
    void start();
    // A planned end: the others are told, and nothing is heard or said any more.
    void leave();

    void receive(std::uint32_t from, const std::vector<std::uint8_t>& bytes);
    void publish(replication::EndpointKey server, const replication::Evidence& evidence);
    // What this sidecar acts on. An epoch up to `settled` that it does not act on is not meant for it.
    void set_versions(const replication::Versions& versions, std::uint32_t settled);
    // On its list the server drains or is gone. A dozen of the fleet, drawn by the server, say so.
    void report_withdrawn(replication::EndpointKey server);
    const replication::VersionFollower& endpoints_follower() const { return list_; }
    const replication::VersionFollower& settings_follower() const { return settings_; }

    const replication::Replica& replica() const { return replica_; }
    // Whether it was made for the same place in the same fleet.
    bool matches(const Config& config) const;

private:
    void carry_out();
    void observe();
    void follow_versions();
    void arm();

    const Clock& clock_;
    Handlers handlers_;
    ReplicationConfig config_;
    replication::Replica replica_;
    std::vector<replication::Outgoing> out_;
    asio::steady_timer timer_;
    Millis armed_for_ = 0;
    Millis started_ = 0;
    replication::VersionFollower list_, settings_;
    replication::Versions own_{};
    std::uint32_t settled_ = 0;
    std::uint64_t revision_ = 0;
    bool said_caught_up_ = false;
};

// What another process under the same name did is no evidence against this one: its start is part of the key.
replication::EndpointKey endpoint_key(EndpointId server, Millis born);

}  // namespace ochregrade::sidecar
