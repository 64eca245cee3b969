// Failure detection: probes one member at a time, directly and through other members, suspects a member that
// does not reply, and declares a suspect dead that does not refute the suspicion in time. In each round, each
// member that is known and not dead is probed once, in random order. If many pings are lost, a probe sends
// more pings before the member is suspected. Loss therefore delays detection but causes few false suspicions.
// Times are Unix milliseconds. Sources: SWIM (Das, Gupta, Motivala 2002); local health after Lifeguard
// (Dadgar, Phillips, Currey 2018).
#pragma once

#include <array>
#include <map>
#include <vector>

#include "replication/datagram_sender.hpp"
#include "replication/evidence_view.hpp"

namespace ochregrade::replication {

class FailureDetector {
public:
    /// The components of the replica that the detector uses. They outlive the detector.
    struct Parts {
        const Options& options;
        MemberTable& members;
        PendingUpdates& updates;
        DatagramSender& sender;
        EvidenceView& view;
        PingLoss& ping_loss;
        Random& random;
        ReplicaCounts& counts;
    };
    explicit FailureDetector(const Parts& parts) : parts_(parts) {}

    void start(Millis now);
    void stop();
    Millis due() const;
    void advance(Millis now, std::vector<Outgoing>& out);
    /// To be called after this process was paused for `pause` milliseconds. Ends the current probe without a
    /// suspicion and extends all suspicions by `pause`, because this process could not receive replies during
    /// the pause.
    void process_paused(Millis now, Millis pause);

    /// Ends the current probe if the sender of a received datagram is the probed member: any datagram shows
    /// that its sender is alive.
    void received_from(MemberId from);
    void handle_ping(MemberId from, const Datagram& ping, std::vector<Outgoing>& out);
    void handle_probe_request(MemberId from, const Datagram& request, std::vector<Outgoing>& out);
    void handle_ack(MemberId from, const Datagram& ack, std::vector<Outgoing>& out);
    /// To be called when the member's epoch, incarnation or status in the table has changed. Starts or ends
    /// the suspicion of the member and disseminates the member's new state.
    void member_state_changed(Millis now, MemberId id);

private:
    struct Probe {
        MemberId target = 0;
        std::uint16_t token = 0;
        Millis retry_at = 0;
        double loss_before = 0;  // share of lost pings when the probe started, 0 to 1
        bool active = false;
        bool indirect_probes_requested = false;
        bool first_ping = false;
    };
    /// A ping that this member has sent to the target because the requester asked for it.
    struct RelayedProbe {
        std::uint16_t own_token = 0;
        std::uint16_t requester_token = 0;
        MemberId requester = 0;
        MemberId target = 0;
        bool active = false;
    };

    void ping_suspects(Millis now, std::vector<Outgoing>& out);
    void expire_suspicions(Millis now);
    void set_status(Millis now, MemberId id, Status status);
    void start_probe(Millis now, std::vector<Outgoing>& out);
    void ping_unreachable_member(std::vector<Outgoing>& out);
    void shuffle_round();
    void ping_target(Millis now, std::vector<Outgoing>& out);
    void request_indirect_probes(std::vector<Outgoing>& out);
    void end_probe(Millis now);
    Millis probe_interval() const;
    Millis suspicion_timeout() const;

    Parts parts_;
    std::vector<MemberId> round_;  // members not yet probed in this round; the last element is next
    Millis next_probe_ = kNever;
    Probe probe_;
    std::array<RelayedProbe, 64> relayed_{};  // the latest; a new one replaces the oldest
    std::size_t next_relayed_ = 0;
    std::map<MemberId, Millis> suspicions_;    // when the suspicion of each suspect expires
    std::map<MemberId, Millis> direct_pings_;  // when this member pings a suspect directly; not all suspects
};

}  // namespace ochregrade::replication
