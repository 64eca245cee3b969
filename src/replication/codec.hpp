// The datagrams of the shared state: at most 256 bytes, the format's version in the first byte.
//
//   byte 0       0xF1, the format's version 1
//   byte 1       what it is (Kind)
//   bytes 2-5    XXH32 of all the others
//   bytes 6-13   the sender's life and incarnation
//   bytes 14-17  a token to answer with, and a subject (a member's number)
//   then items, each a tag and a body of that tag's length
//
// All numbers are big-endian. The datagrams of one and four bytes that sidecars without a shared state send
// are told apart by their length, so both kinds may be on the network at once.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "replication/records.hpp"

namespace ochregrade::replication {

using Bytes = std::vector<std::uint8_t>;

constexpr std::size_t kLongest = 256;   // bytes; the platform's bound
constexpr std::uint8_t kFormat = 0xF1;  // the first byte
constexpr std::size_t kHead = 18;       // bytes
constexpr std::size_t kRanges = 16;     // of members' numbers, for a digest

enum class Kind : std::uint8_t {
    ping = 1,     // answer with an ack of the same token
    probe = 2,    // ping the subject for me, and pass its ack on
    ack = 3,      // the subject has answered the ping of that token
    gossip = 4,   // items only
    digest = 5,   // a hash of each range: say where yours differs
    pull = 6,     // the same, from one who knows little: send what you have
    summary = 7,  // a fingerprint of each member in a range that differed
    shout = 8     // items only, to all: nobody need pass them on
};

struct MemberItem {
    MemberId member = 0;
    MemberState standing{};
    std::uint32_t floor = 0;
    bool operator==(const MemberItem&) const = default;
};
struct EvidenceItem {
    MemberId origin = 0;
    std::uint32_t life = 0;
    EndpointKey server = 0;
    std::uint32_t count = 0;
    Evidence evidence{};
    std::uint8_t left = 0;  // of its life, in tenths of a second
    bool operator==(const EvidenceItem&) const = default;
};
struct VersionsItem {
    MemberId origin = 0;
    std::uint32_t life = 0;
    std::uint32_t count = 0;
    Versions versions{};
    bool operator==(const VersionsItem&) const = default;
};
struct FingerprintItem {
    MemberId member = 0;
    std::uint32_t fingerprint = 0;
    bool operator==(const FingerprintItem&) const = default;
};
struct WantItem {  // send what you have of it
    MemberId member = 0;
    bool operator==(const WantItem&) const = default;
};
struct RangeItem {
    std::uint8_t range = 0;
    std::uint32_t hash = 0;
    bool operator==(const RangeItem&) const = default;
};
using Item = std::variant<MemberItem, EvidenceItem, VersionsItem, FingerprintItem, WantItem, RangeItem>;

// Bytes on the wire, the tag included.
std::size_t size_of(const Item& item);

struct Datagram {
    Kind kind = Kind::gossip;
    std::uint32_t life = 0, incarnation = 0;  // the sender's
    std::uint16_t token = 0;
    MemberId subject = 0;
    std::vector<Item> items{};
    bool operator==(const Datagram&) const = default;
    // Adds the item where it still fits.
    bool add(const Item& item);
    std::size_t size() const;
};

// Of what add() has let in: never more than kLongest bytes.
Bytes encode(const Datagram& datagram);

// Writes the checksum that belongs to these bytes, kHead at least and kLongest at most.
void fix_checksum(std::span<std::uint8_t> bytes);

// Why a datagram is none of ours, or none that can be read.
enum class Fault { too_short, too_long, format, checksum, kind, item };
constexpr int kFaults = 6;
const char* to_string(Fault fault);

// Reads no byte beyond those given. What is decoded encodes to the same bytes again.
std::variant<Datagram, Fault> decode(std::span<const std::uint8_t> bytes);

// Whether these bytes claim to be of the shared state.
inline bool is_shared_state(std::span<const std::uint8_t> bytes) {
    return bytes.size() >= kHead && bytes[0] == kFormat;
}

}  // namespace ochregrade::replication
