#include "replication/datagram_sender.hpp"

namespace ochregrade::replication {

Datagram DatagramSender::make(Kind kind) const {
    Datagram datagram;
    datagram.kind = kind;
    datagram.epoch = members_.own().member_state().epoch;
    datagram.incarnation = members_.own().member_state().incarnation;
    return datagram;
}

void DatagramSender::send(MemberId to, Datagram datagram, std::vector<Outgoing>& out, Updates updates) {
    if (to == members_.self() || !members_.contains(to)) return;
    // If the receiver is suspect or dead in this member's table, the datagram contains that state, because
    // only the receiver can refute it.
    const OriginState& receiver = members_.at(to);
    if (receiver.member_state().status != Status::alive)
        datagram.add(MemberItem{to, receiver.member_state(), receiver.highest_sequence()});
    // Pings and acks contain this member's versions, so that a member that was cut off by a partition
    // receives the versions with the next probe.
    if (datagram.kind == Kind::ping || datagram.kind == Kind::ack)
        if (const auto versions = members_.item(UpdateKey::versions(members_.self())))
            datagram.add(*versions);
    if (updates == Updates::attach) updates_.attach(datagram, to);
    out.push_back({to, encode(datagram)});
    ++counts_.sent;
    counts_.sent_bytes += out.back().bytes.size();
}

void DatagramSender::send_to_all(const Datagram& datagram, std::vector<Outgoing>& out) {
    out.push_back({kAllMembers, encode(datagram)});
    const std::size_t receivers = members_.size() - 1;
    ++counts_.broadcasts;
    counts_.sent += receivers;
    counts_.sent_bytes += out.back().bytes.size() * receivers;
}

}  // namespace ochregrade::replication
