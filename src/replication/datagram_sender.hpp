// Assembles the datagrams that the caller sends: fills in the header, attaches pending updates, attaches the
// receiver's own state if the receiver is suspect or dead, and counts datagrams and bytes.
#pragma once

#include "replication/pending_updates.hpp"

namespace ochregrade::replication {

class DatagramSender {
public:
    enum class Updates { attach, none };

    DatagramSender(const MemberTable& members, PendingUpdates& updates, ReplicaCounts& counts)
        : members_(members), updates_(updates), counts_(counts) {}

    /// An empty datagram with this member's epoch and incarnation.
    Datagram make(Kind kind) const;
    /// Token for the next request of any kind. Tokens start at 1 and wrap around to 0.
    std::uint16_t next_token() { return next_token_++; }

    /// Sends the datagram to another member; does nothing if `to` is this member or no member of the fleet.
    void send(MemberId to, Datagram datagram, std::vector<Outgoing>& out, Updates updates = Updates::attach);
    void send_to_all(const Datagram& datagram, std::vector<Outgoing>& out);

private:
    const MemberTable& members_;
    PendingUpdates& updates_;
    ReplicaCounts& counts_;
    std::uint16_t next_token_ = 1;
};

}  // namespace ochregrade::replication
