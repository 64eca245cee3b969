// Runs the replica on the sidecar's event loop: passes datagrams between the replica and the transport, runs
// the replica's timer, notifies the sidecar of changed evidence, and requests newer versions. Times are Unix
// milliseconds. Source: docs/REPLICATION.md.
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
    /// The handlers are called on the event loop, from within functions of the driver or its timer handler,
    /// and never after the destruction of the driver. The handlers must not destroy the driver.
    struct Handlers {
        /// Sends a datagram. `to`: a member; none: all members.
        std::function<void(std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes)> send;
        /// Evidence, versions or states of members have changed. Not called from within publish().
        std::function<void()> changed;
        /// Each fetches the endpoint list or the settings, because another member claims to act on a newer
        /// version.
        std::function<void(const replication::VersionId& claimed)> request_list;
        std::function<void(const replication::VersionId& claimed)> request_settings;
    };

    /// `clock` must outlive the driver.
    ReplicationDriver(asio::io_context& io, const Clock& clock, const Config& config, Handlers handlers);
    void start();
    /// Announces to other members that this sidecar shuts down; sends and receives nothing afterwards.
    void leave();

    void receive(std::uint32_t from, const std::vector<std::uint8_t>& bytes);
    void publish(replication::EndpointKey endpoint, const replication::Evidence& evidence);
    /// Sets the versions that this sidecar acts on. `settled`: the latest epoch of settings that this sidecar
    /// has handled. Settings of an epoch up to `settled` are not requested: if this sidecar does not act on
    /// them, they are meant for other sidecars.
    void set_versions(const replication::Versions& versions, std::uint32_t settled);
    /// To be called when the endpoint is draining in, or removed from, this sidecar's list. On average
    /// kWithdrawalReporters members of the fleet publish the withdrawal. A hash of the endpoint's key and
    /// this sidecar's member id decides whether this sidecar does.
    void report_withdrawn(replication::EndpointKey endpoint);

    const replication::VersionFollower& list_follower() const { return list_follower_; }
    const replication::VersionFollower& settings_follower() const { return settings_follower_; }
    const replication::Replica& replica() const { return replica_; }
    /// Whether the configuration joins replication with the member id, fleet size and replication settings
    /// for which the driver was created.
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
    std::vector<replication::Outgoing> outgoing_;  // datagrams of the current call
    Millis armed_for_ = 0;                         // when the timer expires; 0: the timer is not armed
    Millis started_at_ = 0;
    replication::VersionFollower list_follower_;
    replication::VersionFollower settings_follower_;
    replication::Versions own_versions_{};
    std::uint32_t settled_epoch_ = 0;
    std::uint64_t revision_ = 0;
    bool caught_up_logged_ = false;
    // A timer handler that is already queued can't be cancelled. With this pointer the handler checks that
    // the driver still exists.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    asio::steady_timer timer_;
};

/// The key of one process of an endpoint: evidence about an earlier process under the same name does not
/// count against a later process. `started_at`: when the process started, in Unix milliseconds.
replication::EndpointKey endpoint_key(EndpointId endpoint, Millis started_at);

}  // namespace ochregrade::sidecar
