// Broadcasts of this member's own records that few members know yet and all should: they reach everybody in
// one datagram, within a budget shared by the whole fleet.
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

    /// Adds the record to the next broadcast; false: it is beyond the budget.
    bool add_evidence(Millis now, EndpointKey endpoint);
    bool add_versions(Millis now);

    /// When the next broadcast is due: records published at about the same time share a datagram.
    Millis due() const { return due_; }
    void send(Millis now, std::vector<Outgoing>& out);

private:
    bool admit(Millis now);

    const MemberTable& members_;
    PendingUpdates& updates_;
    DatagramSender& sender_;
    std::vector<EndpointKey> evidence_;  // in the next broadcast, as are
    bool versions_ = false;              // the versions
    Millis due_ = kNever;
    TokenBucket budget_;
};

}  // namespace ochregrade::replication
