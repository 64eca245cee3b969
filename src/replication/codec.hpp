// Encoding and decoding of replication datagrams. A datagram has at most 256 bytes, with the format version
// in the first byte:
//
//   byte 0       0xF1: format version 1
//   byte 1       Kind
//   bytes 2-5    XXH32 of all other bytes
//   bytes 6-13   the sender's epoch and incarnation
//   bytes 14-17  token and subject; their meaning depends on the kind
//   then items, each a tag byte and a body whose length depends on the tag alone
//
// All integers are big-endian. Sidecars without replication send gossip messages of one and four bytes. These
// messages and replication datagrams differ in length, so both may be on the network at the same time.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "replication/records.hpp"

namespace ochregrade::replication {

using Bytes = std::vector<std::uint8_t>;

constexpr std::size_t kMaxDatagramBytes = 256;  // the platform's limit
constexpr std::uint8_t kFormatByte = 0xF1;
constexpr std::size_t kHeaderBytes = 18;
/// Ranges of member ids, of equal size (or one more or less). A digest has one hash for each range.
constexpr std::size_t kDigestRanges = 16;

enum class Kind : std::uint8_t {
    ping = 1,     // the reply is an ack with the same token
    probe = 2,    // SWIM's ping-req: the receiver pings the subject and sends an ack with this token
    ack = 3,      // the subject has replied to the ping or probe with this token
    gossip = 4,   // items only; token not 0: a reply; subject not 0: the last datagram of a reply to a pull
    digest = 5,   // a hash per range of member ids; the replies, if any hash differs, are summaries of the
                  // ranges that differ, limited in number
    pull = 6,     // a digest of a member that is catching up; the reply is gossip with the same token and the
                  // states of the members in the ranges whose hashes differ
    summary = 7,  // fingerprints of members, requests for states, and states
    broadcast = 8  // items only, to all members; receivers do not disseminate its evidence and versions
};

/// SWIM state and floor (records.hpp) of one member, in the copy of the datagram's sender. In an item about
/// the receiver itself, the floor may be the highest sequence of the receiver's records in that copy.
struct MemberItem {
    MemberId member = 0;
    MemberState state{};
    std::uint32_t floor = 0;
    bool operator==(const MemberItem&) const = default;
};
constexpr Millis kLifetimeUnit = 100;  // unit of EvidenceItem::remaining (milliseconds)
/// One origin's evidence on one endpoint.
struct EvidenceItem {
    MemberId origin = 0;
    std::uint32_t epoch = 0;
    EndpointKey endpoint = 0;
    std::uint32_t sequence = 0;
    Evidence evidence{};
    std::uint8_t remaining = 0;  // lifetime left, in units of kLifetimeUnit
    bool operator==(const EvidenceItem&) const = default;
};
/// The versions of the settings and of the endpoint list that one origin acts on.
struct VersionsItem {
    MemberId origin = 0;
    std::uint32_t epoch = 0;
    std::uint32_t sequence = 0;
    Versions versions{};
    bool operator==(const VersionsItem&) const = default;
};
/// Fingerprint of the sender's copy of the member's state; 0: the member is unknown to the sender.
struct FingerprintItem {
    MemberId member = 0;
    std::uint32_t fingerprint = 0;
    bool operator==(const FingerprintItem&) const = default;
};
/// Requests the receiver's copy of the member's state.
struct StateRequestItem {
    MemberId member = 0;
    bool operator==(const StateRequestItem&) const = default;
};
/// Hash of the sender's fingerprints of a range of members.
struct RangeItem {
    std::uint8_t range = 0;
    std::uint32_t hash = 0;
    bool operator==(const RangeItem&) const = default;
};
using Item =
    std::variant<MemberItem, EvidenceItem, VersionsItem, FingerprintItem, StateRequestItem, RangeItem>;

/// Size of the encoded item in bytes, including the tag.
std::size_t size_of(const Item& item);

struct Datagram {
    Kind kind = Kind::gossip;
    std::uint32_t epoch = 0, incarnation = 0;  // the sender's
    std::uint16_t token = 0;
    MemberId subject = 0;
    std::vector<Item> items{};
    bool operator==(const Datagram&) const = default;
    /// Adds the item if it still fits; returns whether it did.
    bool add(const Item& item);
    std::size_t size() const;
};

/// Returns at most kMaxDatagramBytes bytes. The first item that does not fit and all items after it are left
/// out; a datagram to which items were added only with Datagram::add() fits whole.
Bytes encode(const Datagram& datagram);

/// Writes the checksum into an encoded datagram of kHeaderBytes to kMaxDatagramBytes bytes.
void fix_checksum(std::span<std::uint8_t> bytes);

/// Why a datagram was not decoded.
enum class DecodeError { too_short, too_long, format, checksum, kind, item };
constexpr int kDecodeErrors = 6;
const char* to_string(DecodeError error);

/// Decodes any bytes without a read outside them. A decoded datagram encodes to the same bytes again.
std::variant<Datagram, DecodeError> decode(std::span<const std::uint8_t> bytes);

/// Whether the first byte and the minimum length are those of a replication datagram; checks nothing else.
inline bool is_replication_datagram(std::span<const std::uint8_t> bytes) {
    return bytes.size() >= kHeaderBytes && bytes[0] == kFormatByte;
}

}  // namespace ochregrade::replication
