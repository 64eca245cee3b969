// Runs the replica on the sidecar's event loop: its datagrams to and from the transport, its timer, and its
// view to the sidecar. It takes no decisions. Source: docs/REPLICATION.md.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "common/clock.hpp"
#include "common/http.hpp"
#include "control/config.hpp"
#include "replication/replica.hpp"
#include "replication/version_agreement.hpp"

namespace ochregrade::sidecar {

class ReplicationDriver {
public:
    /// Called on the event loop, from within calls of the driver or its timer; never after its destruction.
    /// They must not destroy the driver.
    struct Handlers {
        /// `to`: a member; none: all members.
        std::function<void(std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes)> send;
        /// The other members' evidence or versions changed. Not called from within publish().
        std::function<void()> changed;
        /// Others claim to act on a newer endpoint list, or on newer settings: fetch them.
        std::function<void(const replication::VersionId& claimed)> ask_list;
        std::function<void(const replication::VersionId& claimed)> ask_settings;
    };

    /// `clock` must outlive the driver.
    ReplicationDriver(asio::io_context& io, const Clock& clock, const Config& config, Handlers handlers);
    void start();
    /// Tells the others that this sidecar leaves; nothing is sent or received afterwards.
    void leave();

    void receive(std::uint32_t from, const std::vector<std::uint8_t>& bytes);
    void publish(replication::EndpointKey endpoint, const replication::Evidence& evidence);
    /// What this sidecar acts on. Settings up to epoch `settled` that it does not act on are not meant for
    /// it.
    void set_versions(const replication::Versions& versions, std::uint32_t settled);
    /// The endpoint drains or is gone on this sidecar's list. About kWithdrawalReporters members of the
    /// fleet, drawn by the endpoint's key, publish that.
    void report_withdrawn(replication::EndpointKey endpoint);

    const replication::VersionFollower& endpoints_follower() const { return list_follower_; }
    const replication::VersionFollower& settings_follower() const { return settings_follower_; }
    const replication::Replica& replica() const { return replica_; }
    /// Whether it was created for the same member of the same fleet with the same settings.
    bool matches(const Config& config) const;

private:
    void dispatch();
    void log_catch_up();
    void observe_versions();
    void request_versions();
    void request_if_due(Millis now, replication::VersionFollower& follower,
                        const std::function<void(const replication::VersionId&)>& request,
                        const char* subject);
    void arm_timer();
    void on_timer();

    const Clock& clock_;
    Handlers handlers_;
    ReplicationConfig config_;
    replication::Replica replica_;
    std::vector<replication::Outgoing> outgoing_;  // of the current call
    Millis armed_for_ = 0;                         // 0: the timer is not armed
    Millis started_at_ = 0;
    replication::VersionFollower list_follower_;
    replication::VersionFollower settings_follower_;
    replication::Versions own_versions_{};
    std::uint32_t settled_epoch_ = 0;
    std::uint64_t revision_ = 0;
    bool caught_up_logged_ = false;
    // A timer handler that is already queued can't be cancelled: it checks that the driver still exists.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    asio::steady_timer timer_;
};

/// Identifies one process of an endpoint: evidence about an earlier process under the same name does not
/// count against a later one. `started_at`: Unix milliseconds.
replication::EndpointKey endpoint_key(EndpointId endpoint, Millis started_at);

}  // namespace ochregrade::sidecar
