// Property of the codec: any datagram assembled with add() encodes to at most 256 bytes and decodes to
// itself, and a damaged datagram is rejected.
#include "replication/codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace ochregrade::replication;

rc::Gen<Item> item() {
    return rc::gen::apply(
        [](std::size_t kind, std::uint16_t id, std::uint32_t a, std::uint32_t b, std::uint32_t c,
           std::uint32_t d, std::uint8_t e) -> Item {
            switch (kind) {
                case 0:
                    return MemberItem{id, {a, b, static_cast<Status>(c % 3)}, d};
                case 1:
                    return EvidenceItem{id, a, b, c, {e, static_cast<std::uint8_t>(d), 3, 1}, e};
                case 2:
                    return VersionsItem{id, a, b, {c, d, a, b}};
                case 3:
                    return FingerprintItem{id, a};
                case 4:
                    return StateRequestItem{id};
                default:
                    return RangeItem{static_cast<std::uint8_t>(e % kDigestRanges), a};
            }
        },
        rc::gen::inRange<std::size_t>(0, 6), rc::gen::arbitrary<std::uint16_t>(),
        rc::gen::arbitrary<std::uint32_t>(), rc::gen::arbitrary<std::uint32_t>(),
        rc::gen::arbitrary<std::uint32_t>(), rc::gen::arbitrary<std::uint32_t>(),
        rc::gen::arbitrary<std::uint8_t>());
}

RC_GTEST_PROP(Codec, RoundTripsWithin256Bytes, (std::uint32_t epoch, std::uint16_t token)) {
    Datagram d;
    d.kind = static_cast<Kind>(*rc::gen::inRange(1, 9));
    d.epoch = epoch;
    d.token = token;
    for (const Item& i : *rc::gen::container<std::vector<Item>>(item()))
        if (!d.add(i)) RC_ASSERT(d.size() + size_of(i) > kMaxDatagramBytes);
    const Bytes bytes = encode(d);
    RC_ASSERT(bytes.size() <= kMaxDatagramBytes);
    RC_ASSERT(bytes.size() == d.size());
    RC_ASSERT(std::get<Datagram>(decode(bytes)) == d);
    // A datagram that is truncated or has one flipped bit is rejected.
    const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(std::holds_alternative<DecodeError>(decode(std::span(bytes).first(cut))));
    Bytes flipped = bytes;
    flipped[*rc::gen::inRange<std::size_t>(0, bytes.size())] ^=
        static_cast<std::uint8_t>(1 << *rc::gen::inRange(0, 8));
    RC_ASSERT(std::holds_alternative<DecodeError>(decode(flipped)));
}

}  // namespace
