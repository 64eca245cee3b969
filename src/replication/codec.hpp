// Encoding and decoding of replication datagrams: at most 256 bytes, the format version in the first byte.
//
//   byte 0       0xF1: format version 1
//   byte 1       Kind
//   bytes 2-5    XXH32 of all other bytes
//   bytes 6-13   the sender's epoch and incarnation
//   bytes 14-17  token (echoed in the reply) and subject (a member id)
//   then items, each a tag byte and a body whose length depends on the tag alone
//
// All integers are big-endian. Sidecars without replication send gossip messages of one and four bytes. The
// length distinguishes these messages from replication datagrams, so both may be on the network at the same
// time.
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
constexpr std::size_t kDigestRanges = 16;  // equal ranges of member ids, one hash each

enum class Kind : std::uint8_t {
    ping = 1,      // the reply is an ack with the same token
    probe = 2,     // SWIM's ping-req: the receiver pings the subject and forwards the ack
    ack = 3,       // reply of the subject to the ping with this token
    gossip = 4,    // items only; token not 0: a reply; subject not 0: the last datagram of a reply to a pull
    digest = 5,    // a hash per range; the reply is a summary of the ranges that differ
    pull = 6,      // a digest from a member that is catching up; the reply is all state that differs
    summary = 7,   // fingerprints of the members in ranges that differ
    broadcast = 8  // items only, to all members: receivers do not disseminate them further
};

/// SWIM state of one member, as held by the sender of the datagram.
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
/// The versions one origin acts on.
struct VersionsItem {
    MemberId origin = 0;
    std::uint32_t epoch = 0;
    std::uint32_t sequence = 0;
    Versions versions{};
    bool operator==(const VersionsItem&) const = default;
};
/// Fingerprint of all state that the sender holds of the member; 0: the sender holds none.
struct FingerprintItem {
    MemberId member = 0;
    std::uint32_t fingerprint = 0;
    bool operator==(const FingerprintItem&) const = default;
};
/// Requests all state that the receiver holds of the member.
struct StateRequestItem {
    MemberId member = 0;
    bool operator==(const StateRequestItem&) const = default;
};
/// Hash of the fingerprints of a range of members.
struct RangeItem {
    std::uint8_t range = 0;
    std::uint32_t hash = 0;
    bool operator==(const RangeItem&) const = default;
};
using Item =
    std::variant<MemberItem, EvidenceItem, VersionsItem, FingerprintItem, StateRequestItem, RangeItem>;

/// Bytes on the wire, including the tag.
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

/// At most kMaxDatagramBytes bytes; further items are left out (Datagram::add() does not add such items).
Bytes encode(const Datagram& datagram);

/// Writes the checksum into an encoded datagram of kHeaderBytes to kMaxDatagramBytes bytes.
void fix_checksum(std::span<std::uint8_t> bytes);

/// Why a datagram was not decoded.
enum class DecodeError { too_short, too_long, format, checksum, kind, item };
constexpr int kDecodeErrors = 6;
const char* to_string(DecodeError error);

/// Reads only the given bytes. A decoded datagram encodes to the same bytes again.
std::variant<Datagram, DecodeError> decode(std::span<const std::uint8_t> bytes);

/// Whether the first byte and the length are those of a replication datagram.
inline bool is_replication_datagram(std::span<const std::uint8_t> bytes) {
    return bytes.size() >= kHeaderBytes && bytes[0] == kFormatByte;
}

}  // namespace ochregrade::replication
