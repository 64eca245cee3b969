// One sidecar's copy of the fleet's shared state, and how it is kept like the others': SWIM's membership
// (probe, indirect probe, suspicion, incarnations), dissemination of what is new in bounded datagrams,
// digests by which two copies find and repair what differs, and catch-up for one that starts or was away.
//
// No sockets and no clock: times come in, datagrams go out by the caller, who also says when they come. Times
// are Unix milliseconds that never go back. Same construction and calls give the same datagrams.
// Sources: SWIM (Das, Gupta, Motivala 2002); local health, after Lifeguard (Dadgar, Phillips, Currey 2018);
// reconciliation by ranges' hashes, after Merkle trees in Dynamo (2007).
#pragma once

#include <array>
#include <limits>
#include <map>
#include <span>
#include <vector>

#include "common/random.hpp"
#include "replication/codec.hpp"
#include "replication/records.hpp"

namespace ochregrade::replication {

constexpr MemberId kAll = 0xffff;  // as a receiver: every other member

struct Outgoing {
    MemberId to = 0;
    Bytes bytes;
};

struct Options {
    Millis probe_period = 1000;  // each member probes one other a period,
    Millis ack_time = 300;       // asks others to after so long without an ack,
    int indirect = 3;            // so many of them
    Millis gossip_period = 100;  // while there is news it goes out as often,
    int fanout = 3;              // to so many
    double shouts = 200;         // datagrams a second that all members' calls to all may bring each of them
    Millis sync_period = 2000;   // a digest goes to one other as often
    double repeats = 3;          // news is sent on this times log10(members + 1) times
    double suspicion = 1.0;      // a suspect has this times log2(members + 1) probe periods to refute it
    bool repair = true;          // digests and pulls; off only where a test shows what is lost without
};

class Replica {
public:
    // life: Unix seconds at the start. Numbers are below `members`; throws std::invalid_argument otherwise.
    Replica(MemberId self, std::size_t members, std::uint32_t life, std::uint64_t seed, Options options = {});

    // First: asks a few others for what they have.
    void start(Millis now, std::vector<Outgoing>& out);
    // Does what is due. To be called at due() or soon after.
    void advance(Millis now, std::vector<Outgoing>& out);
    Millis due() const;
    // A datagram from that member (known by its address). What can't be read is counted and dropped.
    void receive(Millis now, MemberId from, std::span<const std::uint8_t> bytes, std::vector<Outgoing>& out);
    // A planned end: the others need not find out.
    void leave(Millis now, std::vector<Outgoing>& out);

    // What this sidecar has to say. A record that says the same again is written again: its life starts anew.
    void publish(Millis now, EndpointKey server, Evidence evidence);
    void publish(Millis now, const Versions& versions);

    // What the others say, of members that are not dead, without this sidecar's own; by server. As of the
    // last call of advance() or receive(); revision() grows when it or versions() has changed.
    const std::vector<EndpointTotals>& evidence() const { return view_; }
    std::uint64_t revision() const { return revision_; }
    // The versions that members not dead act on, their numbers with them, without this sidecar's own.
    std::vector<std::pair<MemberId, Record<Versions>>> versions() const;

    const OriginState& member(MemberId id) const { return states_.at(id); }
    MemberId self() const { return self_; }
    std::size_t members() const { return states_.size(); }
    std::size_t alive() const;  // members known and not dead, this one included
    std::size_t records() const;
    // Enough of the fleet has answered since the start.
    bool caught_up() const { return caught_up_; }
    // Where copies that agree are the same: of all members but those never heard of.
    std::uint32_t fingerprint() const;

    struct Counts {
        std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0;
        std::array<std::uint64_t, kFaults> faults{};  // by Fault
        std::uint64_t unknown_members = 0;            // items about numbers beyond the tier
        std::uint64_t far_lives = 0;                  // lives too far ahead of the clock
        std::uint64_t refuted = 0;                    // what was said of this sidecar and is not so
        std::uint64_t suspected = 0, died = 0;        // by this sidecar's own probes and timers
        std::uint64_t syncs = 0, repaired = 0;        // digests sent; items that changed something in answers
        std::uint64_t shouts = 0;                     // datagrams to all
        std::uint64_t confirmations = 0;              // origins asked for what is said in their names
        std::uint64_t stalls = 0;                     // this process stood still
        std::uint64_t unanswered = 0;                 // calls beyond the allowance
    };
    const Counts& counts() const { return counts_; }

private:
    enum class What : std::uint8_t { member, evidence, versions };
    struct NewsKey {
        What what = What::member;
        MemberId origin = 0;
        EndpointKey server = 0;
        auto operator<=>(const NewsKey&) const = default;
    };
    struct Probe {
        MemberId target = 0;
        std::uint16_t token = 0;
        Millis again = 0;   // when it is pinged once more
        double before = 0;  // the share unanswered
        bool open = false, indirect = false, first = false;
    };
    struct Relayed {
        std::uint16_t mine = 0, theirs = 0;
        MemberId asked_by = 0, target = 0;
        bool open = false;
    };

    void shout(Millis now, std::vector<Outgoing>& out);
    Datagram head(Kind kind) const;
    void send(MemberId to, Datagram datagram, std::vector<Outgoing>& out, bool with_news = true);
    void add_news(Datagram& datagram, MemberId to);
    std::optional<Item> item_of(const NewsKey& key) const;
    void news(Millis now, const NewsKey& key);
    int repeats() const;

    void heard(Millis now, MemberId from, const Datagram& datagram, std::vector<Outgoing>& out);
    bool take(Millis now, MemberId from, const MemberItem& item);
    bool take(Millis now, MemberId from, const EvidenceItem& item, bool pass_on);
    bool take(Millis now, MemberId from, const VersionsItem& item, bool pass_on);
    bool may_shout(Millis now);
    std::size_t acting_on(const Versions& versions) const;  // members not dead that do
    bool believable(Millis now, std::uint32_t life);
    void standing_changed(Millis now, MemberId id);
    void refute(Millis now, const MemberState& said, std::uint32_t count);
    void new_life(Millis now, std::uint32_t life);

    void probe_next(Millis now, std::vector<Outgoing>& out);
    void probe_again(Millis now, std::vector<Outgoing>& out);
    void probe_over(Millis now);
    void call_suspects(Millis now, std::vector<Outgoing>& out);
    void time_out_suspects(Millis now);
    Millis probe_time() const;
    Millis suspicion_time() const;
    void gossip(Millis now, std::vector<Outgoing>& out);
    void sync(std::vector<Outgoing>& out);
    void pull(Millis now, std::vector<Outgoing>& out);
    void stalled(Millis now, Millis by, std::vector<Outgoing>& out);
    void add_digest(Datagram& datagram) const;
    std::vector<std::uint8_t> differing(const Datagram& datagram) const;
    void answer_digest(Millis now, MemberId from, const Datagram& datagram, std::vector<Outgoing>& out);
    void answer_pull(Millis now, MemberId from, const Datagram& datagram, std::vector<Outgoing>& out);
    void answer_summary(Millis now, MemberId from, const Datagram& datagram, std::vector<Outgoing>& out);
    void send_states(Millis now, MemberId to, const std::vector<MemberId>& members,
                     const std::vector<Item>& first, Datagram last, std::vector<Outgoing>& out);
    std::vector<Item> items_of(MemberId id) const;
    bool allowed(Millis now);
    void look(Millis now, std::vector<Outgoing>& out);
    void confirm(Millis now, const std::map<EndpointKey, std::vector<MemberId>>& hearsay,
                 std::vector<Outgoing>& out);

    std::size_t range_of(MemberId id) const { return id * kRanges / states_.size(); }
    std::vector<MemberId> some(std::size_t count, bool only_alive);
    OriginState& own() { return states_[self_]; }

    static constexpr Millis kNever = std::numeric_limits<Millis>::infinity();

    MemberId self_;
    Options options_;
    Random random_;
    std::vector<OriginState> states_;
    std::uint32_t own_count_ = 0;
    Millis now_ = 0;
    bool left_ = false;
    Millis last_new_life_ = -1e18;

    std::map<NewsKey, int> news_;    // how often each has been sent on
    std::vector<EndpointKey> loud_;  // own evidence that all are told of
    bool loud_versions_ = false;
    Millis shout_at_ = kNever;
    double voice_ = 0;  // shouts allowed now
    Millis voice_at_ = 0;
    Millis next_gossip_ = kNever, last_gossip_ = -1e18;

    std::vector<MemberId> round_;  // whom to probe next, in a random order each time round
    Millis next_probe_ = kNever;
    Probe probe_;
    double unanswered_ =
        0.4;  // share of our pings of late: where many get lost, silence says less of a member
    std::array<Relayed, 64> relayed_{};
    std::size_t next_relayed_ = 0;
    std::uint16_t next_token_ = 1;
    std::map<MemberId, Millis> suspects_;  // until when each may refute it
    std::map<MemberId, Millis> calls_;     // when we ask one of them ourselves

    Millis next_sync_ = kNever, next_pull_ = kNever, next_expiry_ = kNever;
    int pulls_ = 0;
    std::vector<MemberId> answered_;  // a pull, to its end
    bool caught_up_ = false;
    double allowance_ = 0;
    Millis allowance_at_ = 0;

    std::vector<EndpointTotals> view_;
    // Origins that complain, by server, and those of them that said so themselves; as of the view.
    std::map<EndpointKey, std::pair<std::uint32_t, std::uint32_t>> complaints_;
    bool dirty_ = false;                // the view may have changed,
    bool moved_ = false;                // and what is known of members or versions has
    std::map<MemberId, Millis> asked_;  // to confirm what is said in its name, and when
    Millis looked_ = -1e18;
    std::uint64_t revision_ = 0;
    Counts counts_;
};

}  // namespace ochregrade::replication
