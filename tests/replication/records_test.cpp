// Properties of the merge of replicated records: the states of an origin are a join-semilattice, also with
// repeated and expired records.
#include "replication/records.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace ochregrade::replication {
// Equality of all fields, including the fields that the fingerprint does not cover.
template <class Value>
bool operator==(const Record<Value>& a, const Record<Value>& b) {
    return a.sequence == b.sequence && a.value == b.value && a.expires == b.expires && a.direct == b.direct;
}
bool operator==(const OriginState& a, const OriginState& b) {
    return a.member_state() == b.member_state() && a.floor() == b.floor() && a.evidence() == b.evidence() &&
           a.versions() == b.versions();
}
}  // namespace ochregrade::replication

namespace {

using namespace ochregrade::replication;

// One write that may reach a replica. Epochs, keys and sequences have few values, so that many writes have
// the same epoch, key or sequence. Two writes may have the same sequence and different values, as if one of
// them were forged.
struct Write {
    std::uint32_t epoch, sequence;
    int subject;  // 0: member state, 1: versions, 2: evidence
    EndpointKey server;
    Evidence evidence;
    MemberState member_state;
    Versions versions;
    Millis expires;
    bool direct;
    bool apply(OriginState& to) const {
        if (subject == 0) return to.join(member_state);
        if (subject == 1) return to.join(epoch, Record<Versions>{sequence, versions, 0, direct});
        return to.join(epoch, server, Record<Evidence>{sequence, evidence, expires, direct});
    }
};

rc::Gen<Write> write(std::uint32_t keys) {
    return rc::gen::apply(
        [=](std::uint32_t epoch, std::uint32_t sequence, int subject, std::uint32_t key,
            std::uint8_t failures, int status, int left, bool direct) {
            Write result{epoch,
                         sequence,
                         subject,
                         key,
                         {1, failures, 0, 0},
                         {epoch, sequence % 3, static_cast<Status>(status)},
                         {failures, key, 0, sequence},
                         100.0 + left,
                         direct};
            return result;
        },
        rc::gen::inRange<std::uint32_t>(1, 3), rc::gen::inRange<std::uint32_t>(1, 3 * keys),
        rc::gen::weightedElement<int>({{1, 0}, {1, 1}, {6, 2}}), rc::gen::inRange<std::uint32_t>(0, keys),
        rc::gen::inRange<std::uint8_t>(0, 2), rc::gen::inRange(0, 3), rc::gen::inRange(0, 3),
        rc::gen::arbitrary<bool>());
}

OriginState state_of(const std::vector<Write>& writes) {
    OriginState state;
    for (const Write& write : writes) write.apply(state);
    return state;
}

RC_GTEST_PROP(RecordMerge, IsCommutativeAssociativeAndIdempotent, ()) {
    const auto keys = *rc::gen::element<std::uint32_t>(4, 60);  // below and above kMaxRecordsPerOrigin
    const auto some = rc::gen::container<std::vector<Write>>(write(keys));
    const OriginState a = state_of(*some), b = state_of(*some), c = state_of(*some);
    const auto joined = [](OriginState x, const OriginState& y) { return x.join(y), x; };
    RC_ASSERT(joined(a, b) == joined(b, a));
    RC_ASSERT(joined(joined(a, b), c) == joined(a, joined(b, c)));
    RC_ASSERT(joined(a, a) == a);
    OriginState twice = joined(a, b);
    RC_ASSERT(!twice.join(b));
    RC_ASSERT(joined(a, b).evidence().size() <= kMaxRecordsPerOrigin);
}

RC_GTEST_PROP(RecordMerge, GivesTheSameInAnyOrderUnderRepeatsAndExpiry, ()) {
    auto writes = *rc::gen::container<std::vector<Write>>(write(*rc::gen::element<std::uint32_t>(4, 60)));
    const OriginState once = state_of(writes);
    const auto repeated = *rc::gen::element(writes, std::vector<Write>());
    writes.insert(writes.end(), repeated.begin(), repeated.end());
    for (std::size_t i = writes.size(); i > 1; --i)
        std::swap(writes[i - 1], writes[*rc::gen::inRange<std::size_t>(0, i)]);
    RC_ASSERT(state_of(writes) == once);
    // All evidence expires and is then replayed. Replayed evidence with a sequence up to the floor from
    // before the expiry is not accepted, and the highest sequence does not change.
    OriginState late = once;
    late.expire(1e9);
    RC_ASSERT(late.evidence().empty());
    for (const Write& w : writes)
        if (w.subject == 2) w.apply(late);
    for (const auto& [server, record] : late.evidence()) RC_ASSERT(record.sequence > once.floor());
    RC_ASSERT(late.highest_sequence() == once.highest_sequence());
}

}  // namespace
