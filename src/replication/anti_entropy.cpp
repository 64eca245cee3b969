#include "replication/anti_entropy.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace ochregrade::replication {

namespace {

constexpr std::size_t kMaxReplyDatagrams = 8;       // in the reply to a digest or a summary
constexpr std::size_t kMaxPullReplyDatagrams = 40;  // in the reply to a pull
constexpr double kRepliesPerSecond = 100;           // datagrams that admit_reply() admits

}  // namespace

AntiEntropy::AntiEntropy(const Options& options, const MemberTable& members, DatagramSender& sender,
                         Random& random, ReplicaCounts& counts)
    : options_(options),
      members_(members),
      sender_(sender),
      random_(random),
      counts_(counts),
      reply_budget_(kRepliesPerSecond, kRepliesPerSecond) {}

void AntiEntropy::start(Millis now) {
    reply_budget_.fill(now);
    // The first delay is random, so that members started at the same moment do not send digests in step.
    if (options_.repair) next_sync_ = now + options_.sync_period * (0.5 + random_.unit());
}

void AntiEntropy::advance(Millis now, std::vector<Outgoing>& out) {
    if (now < next_sync_) return;
    next_sync_ = now + options_.sync_period * (0.75 + 0.5 * random_.unit());
    send_digest(out);
}

void AntiEntropy::send_digest(std::vector<Outgoing>& out) {
    for (const MemberId to : members_.random_others(random_, 1, MemberTable::Preference::alive_only)) {
        Datagram digest = sender_.make(Kind::digest);
        add_digest(digest);
        ++counts_.syncs;
        sender_.send(to, std::move(digest), out, DatagramSender::Updates::none);
    }
}

// ---- Hashes ----------------------------------------------------------------------------------------------

AntiEntropy::RangeHashes AntiEntropy::range_hashes() const {
    RangeHashes hashes{};
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const std::uint32_t fingerprint = members_.at(static_cast<MemberId>(i)).fingerprint();
        const std::uint32_t words[] = {static_cast<std::uint32_t>(i), fingerprint};
        if (fingerprint != 0) hashes[range_of(i)] += XXH32(words, sizeof words, 0);
    }
    return hashes;
}

void AntiEntropy::add_digest(Datagram& datagram) const {
    const RangeHashes hashes = range_hashes();
    for (std::size_t range = 0; range < hashes.size(); ++range)
        datagram.add(RangeItem{static_cast<std::uint8_t>(range), hashes[range]});
}

std::uint32_t AntiEntropy::fingerprint() const {
    std::uint32_t sum = 0;
    for (const std::uint32_t hash : range_hashes()) sum = sum * 31 + hash;
    return sum;
}

std::vector<std::uint8_t> AntiEntropy::differing_ranges(const Datagram& digest) const {
    const RangeHashes own = range_hashes();
    std::vector<std::uint8_t> ranges;
    for (const Item& item : digest.items) {
        const auto* range = std::get_if<RangeItem>(&item);
        if (range && range->hash != own[range->range]) ranges.push_back(range->range);
    }
    std::sort(ranges.begin(), ranges.end());
    ranges.erase(std::unique(ranges.begin(), ranges.end()), ranges.end());
    return ranges;
}

// ---- Replies ---------------------------------------------------------------------------------------------

// The rate of all replies together is limited because one request, which costs its sender little, may cause
// many reply datagrams. Acks are not limited.
bool AntiEntropy::admit_reply(Millis now) {
    if (reply_budget_.take(now)) return true;
    ++counts_.unanswered;
    return false;
}

void AntiEntropy::reply_to_digest(Millis now, MemberId from, const Datagram& digest,
                                  std::vector<Outgoing>& out) {
    std::vector<std::uint8_t> ranges = differing_ranges(digest);
    // The order is random because with a fixed order the limit on datagrams would cut off the same ranges
    // every time.
    for (std::size_t i = ranges.size(); i > 1; --i) std::swap(ranges[i - 1], ranges[random_.below(i)]);
    Datagram summary = sender_.make(Kind::summary);
    std::size_t sent = 0;
    for (const std::uint8_t range : ranges)
        for (std::size_t i = 0; i < members_.size(); ++i) {
            if (range_of(i) != range) continue;
            const auto id = static_cast<MemberId>(i);
            const FingerprintItem item{id, members_.at(id).fingerprint()};
            if (summary.add(item)) continue;
            if (++sent >= kMaxReplyDatagrams || !admit_reply(now)) return;
            sender_.send(from, std::move(summary), out, DatagramSender::Updates::none);
            summary = sender_.make(Kind::summary);
            summary.add(item);
        }
    if (!summary.items.empty() && admit_reply(now))
        sender_.send(from, std::move(summary), out, DatagramSender::Updates::none);
}

void AntiEntropy::reply_to_summary(Millis now, MemberId from, const Datagram& summary,
                                   std::vector<Outgoing>& out) {
    std::vector<MemberId> members;
    std::vector<Item> items;  // requests for states that the sender of the summary holds, then own states
    for (const Item& item : summary.items) {
        if (const auto* theirs = std::get_if<FingerprintItem>(&item)) {
            if (!members_.contains(theirs->member) ||
                members_.at(theirs->member).fingerprint() == theirs->fingerprint)
                continue;
            members.push_back(theirs->member);
            if (theirs->fingerprint != 0) items.emplace_back(StateRequestItem{theirs->member});
        }
        if (const auto* request = std::get_if<StateRequestItem>(&item))
            if (members_.contains(request->member)) members.push_back(request->member);
    }
    if (members.empty()) return;
    // Further differences are likely, so the next digest is sent sooner.
    next_sync_ = std::min(next_sync_, now + options_.sync_period / 4);
    // A reply that requests states is a summary. A reply without requests is gossip, to which the receiver
    // does not reply, so the exchange ends; its token of 1 marks this gossip as a reply.
    const bool requests_nothing = items.empty();
    Datagram last = sender_.make(requests_nothing ? Kind::gossip : Kind::summary);
    last.token = requests_nothing ? 1 : 0;
    append_states(items, members);
    send_states(now, from, items, last, out);
}

void AntiEntropy::reply_to_pull(Millis now, MemberId from, const Datagram& pull, std::vector<Outgoing>& out) {
    const std::vector<std::uint8_t> ranges = differing_ranges(pull);
    std::vector<MemberId> members;
    for (std::size_t i = 0; i < members_.size(); ++i)
        if (std::binary_search(ranges.begin(), ranges.end(), static_cast<std::uint8_t>(range_of(i))))
            members.push_back(static_cast<MemberId>(i));
    // The reply starts with the state of a random member. If a limit cuts the reply short, the states that it
    // lacks are likely to be in the reply of another member, which starts elsewhere.
    if (!members.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(random_.below(members.size()));
        std::rotate(members.begin(), members.begin() + first, members.end());
    }
    Datagram last = sender_.make(Kind::gossip);
    last.token = pull.token;
    last.subject = 1;
    std::vector<Item> items;
    append_states(items, members);
    send_states(now, from, items, last, out);
}

void AntiEntropy::append_states(std::vector<Item>& items, const std::vector<MemberId>& members) const {
    for (const MemberId id : members)
        for (const Item& item : members_.items_of(id)) items.push_back(item);
}

// Sends the items in as many datagrams as the items need, up to the limits on the number and the rate of
// datagrams; the remaining items are left out. All datagrams have the header of `last`, but only the last
// datagram has the subject of `last`.
void AntiEntropy::send_states(Millis now, MemberId to, const std::vector<Item>& items, const Datagram& last,
                              std::vector<Outgoing>& out) {
    const std::size_t max_datagrams = last.subject != 0 ? kMaxPullReplyDatagrams : kMaxReplyDatagrams;
    Datagram header = last;
    header.subject = 0;
    Datagram datagram = header;
    std::size_t sent = 0;
    for (const Item& item : items) {
        if (datagram.add(item)) continue;
        if (++sent >= max_datagrams || !admit_reply(now)) break;
        sender_.send(to, std::move(datagram), out, DatagramSender::Updates::none);
        datagram = header;
        datagram.add(item);
    }
    datagram.subject = last.subject;
    if ((!datagram.items.empty() || datagram.subject != 0) && admit_reply(now))
        sender_.send(to, std::move(datagram), out, DatagramSender::Updates::none);
}

}  // namespace ochregrade::replication
