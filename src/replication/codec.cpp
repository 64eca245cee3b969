#include "replication/codec.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>

namespace ochregrade::replication {

namespace {

// Each fields() visits the fields of an item in the order in which they are encoded. Sizes, encoding and
// decoding all use these functions.
template <class Visit>
void fields(MemberItem& i, Visit visit) {
    visit(i.member), visit(i.state.epoch), visit(i.state.incarnation), visit(i.state.status);
    visit(i.floor);
}
template <class Visit>
void fields(EvidenceItem& i, Visit visit) {
    visit(i.origin), visit(i.epoch), visit(i.endpoint), visit(i.sequence);
    visit(i.evidence.successes), visit(i.evidence.failures), visit(i.evidence.latency_ratio),
        visit(i.evidence.flags);
    visit(i.remaining);
}
template <class Visit>
void fields(VersionsItem& i, Visit visit) {
    visit(i.origin), visit(i.epoch), visit(i.sequence), visit(i.versions.epoch), visit(i.versions.hash);
    visit(i.versions.list_incarnation), visit(i.versions.list_seq);
}
template <class Visit>
void fields(FingerprintItem& i, Visit visit) {
    visit(i.member), visit(i.fingerprint);
}
template <class Visit>
void fields(StateRequestItem& i, Visit visit) {
    visit(i.member);
}
template <class Visit>
void fields(RangeItem& i, Visit visit) {
    visit(i.range), visit(i.hash);
}

template <class Number>
void put(Bytes& bytes, Number value) {
    for (std::size_t shift = sizeof(Number); shift-- > 0;)
        bytes.push_back(static_cast<std::uint8_t>(static_cast<std::uint64_t>(value) >> (8 * shift)));
}

// Reads a number from the front of `rest`; the caller has checked that there are enough bytes.
template <class Number>
void take(std::span<const std::uint8_t>& rest, Number& value) {
    std::uint64_t read = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) read = read << 8 | rest[i];
    value = static_cast<Number>(read);
    rest = rest.subspan(sizeof(Number));
}

std::size_t bytes_of(Item item) {
    std::size_t size = 1;
    std::visit([&](auto& i) { fields(i, [&](const auto& field) { size += sizeof field; }); }, item);
    return size;
}

template <std::size_t I = 0>
Item empty_item(std::size_t index) {
    if constexpr (I + 1 < std::variant_size_v<Item>)
        if (index != I) return empty_item<I + 1>(index);
    return Item(std::in_place_index<I>);
}

std::uint32_t checksum(std::span<const std::uint8_t> bytes) {
    std::array<std::uint8_t, kMaxDatagramBytes> all;
    std::size_t n = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i)
        if (i < 2 || i >= 6) all[n++] = bytes[i];
    return XXH32(all.data(), n, kFormatByte);
}

bool is_valid(const Item& item) {
    if (const auto* m = std::get_if<MemberItem>(&item)) return m->state.status <= Status::dead;
    if (const auto* r = std::get_if<RangeItem>(&item)) return r->range < kDigestRanges;
    return true;
}

}  // namespace

std::size_t size_of(const Item& item) {
    static const auto sizes = [] {
        std::array<std::size_t, std::variant_size_v<Item>> all{};
        for (std::size_t i = 0; i < all.size(); ++i) all[i] = bytes_of(empty_item(i));
        return all;
    }();
    return sizes[item.index()];
}

std::size_t Datagram::size() const {
    std::size_t size = kHeaderBytes;
    for (const Item& item : items) size += size_of(item);
    return size;
}

bool Datagram::add(const Item& item) {
    if (size() + size_of(item) > kMaxDatagramBytes) return false;
    items.push_back(item);
    return true;
}

Bytes encode(const Datagram& d) {
    Bytes bytes;
    bytes.reserve(kMaxDatagramBytes);
    put(bytes, kFormatByte), put(bytes, d.kind), put(bytes, std::uint32_t{0});
    put(bytes, d.epoch), put(bytes, d.incarnation), put(bytes, d.token), put(bytes, d.subject);
    for (Item item : d.items) {
        if (bytes.size() + size_of(item) > kMaxDatagramBytes) break;
        put(bytes, static_cast<std::uint8_t>(item.index() + 1));
        std::visit([&](auto& i) { fields(i, [&](const auto& field) { put(bytes, field); }); }, item);
    }
    fix_checksum(bytes);
    return bytes;
}

void fix_checksum(std::span<std::uint8_t> bytes) {
    const std::uint32_t sum = checksum(bytes);
    for (std::size_t i = 0; i < 4; ++i) bytes[2 + i] = static_cast<std::uint8_t>(sum >> (24 - 8 * i));
}

std::variant<Datagram, DecodeError> decode(std::span<const std::uint8_t> bytes) {
    if (bytes.size() > kMaxDatagramBytes) return DecodeError::too_long;
    if (bytes.size() < kHeaderBytes) return DecodeError::too_short;
    if (bytes[0] != kFormatByte) return DecodeError::format;
    std::span<const std::uint8_t> rest = bytes.subspan(1);
    Datagram d;
    std::uint32_t sum = 0;
    take(rest, d.kind), take(rest, sum);
    take(rest, d.epoch), take(rest, d.incarnation), take(rest, d.token), take(rest, d.subject);
    if (sum != checksum(bytes)) return DecodeError::checksum;
    if (d.kind < Kind::ping || d.kind > Kind::broadcast) return DecodeError::kind;
    while (!rest.empty()) {
        const std::size_t tag = rest[0];
        if (tag < 1 || tag > std::variant_size_v<Item>) return DecodeError::item;
        Item item = empty_item(tag - 1);
        if (rest.size() < size_of(item)) return DecodeError::item;
        rest = rest.subspan(1);
        std::visit([&](auto& i) { fields(i, [&](auto& field) { take(rest, field); }); }, item);
        if (!is_valid(item)) return DecodeError::item;
        d.items.push_back(item);
    }
    return d;
}

const char* to_string(DecodeError error) {
    switch (error) {
        case DecodeError::too_short:
            return "too short";
        case DecodeError::too_long:
            return "too long";
        case DecodeError::format:
            return "another format";
        case DecodeError::checksum:
            return "wrong checksum";
        case DecodeError::kind:
            return "unknown kind";
        case DecodeError::item:
            break;
    }
    return "bad item";
}

}  // namespace ochregrade::replication
