// Broadcasts new records of this member: one datagram is sent to all other members. Broadcasts are for
// records that all members need and few have. Each member has an equal share of the fleet's rate budget
// (Options::broadcasts_per_second). Times are Unix milliseconds.
#pragma once

#include <vector>

#include "replication/datagram_sender.hpp"
#include "replication/token_bucket.hpp"

namespace ochregrade::replication {

class Broadcaster {
public:
    Broadcaster(const MemberTable& members, PendingUpdates& updates, DatagramSender& sender,
                const Options& options);

    void start(Millis now) { budget_.fill(now); }
    void stop() { due_ = kNever; }

    /// Each adds this member's record to the next broadcast, or returns false if this member's share of the
    /// rate budget is used up.
    bool add_evidence(Millis now, EndpointKey endpoint);
    bool add_versions(Millis now);

    /// When the next broadcast is due; kNever if no record is waiting. Until then, records that are added go
    /// into the datagram of this broadcast.
    Millis due() const { return due_; }
    /// Sends the broadcast. Evidence that does not fit the datagram becomes a pending update.
    void send(Millis now, std::vector<Outgoing>& out);

private:
    bool admit(Millis now);

    const MemberTable& members_;
    PendingUpdates& updates_;
    DatagramSender& sender_;
    std::vector<EndpointKey> pending_evidence_;  // endpoints whose evidence the next broadcast contains
    bool versions_pending_ = false;              // whether the next broadcast contains the versions
    Millis due_ = kNever;
    TokenBucket budget_;
};

}  // namespace ochregrade::replication
