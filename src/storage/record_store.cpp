#include "storage/record_store.hpp"

#include <algorithm>
#include <boost/crc.hpp>
#include <charconv>
#include <cstring>

namespace ochregrade::storage {

namespace {

constexpr std::string_view kMagic = "KELPREC1";
constexpr std::string_view kEnding = ".rec", kHalf = "half-", kBad = "bad-";
constexpr std::size_t kDigits = 20, kLongestKind = 32;

using Crc32c = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;

std::uint32_t crc32c(std::string_view bytes) {
    Crc32c crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

template <class T>
void put(std::string& out, T value) {
    for (std::size_t i = 0; i < sizeof value; ++i) out += static_cast<char>(value >> (8 * i) & 0xff);
}

// Takes a number off the front; false if there is too little.
template <class T>
bool take(std::string_view& in, T& value) {
    if (in.size() < sizeof value) return false;
    value = 0;
    for (std::size_t i = 0; i < sizeof value; ++i)
        value |= static_cast<T>(static_cast<T>(static_cast<unsigned char>(in[i])) << (8 * i));
    in.remove_prefix(sizeof value);
    return true;
}
bool take(std::string_view& in, std::uint64_t length, std::string& text) {
    if (in.size() < length) return false;
    text.assign(in.substr(0, length));
    in.remove_prefix(length);
    return true;
}

bool good_kind(std::string_view kind) {
    return !kind.empty() && kind.size() <= kLongestKind &&
           std::all_of(kind.begin(), kind.end(), [](char c) { return c >= 'a' && c <= 'z'; });
}

}  // namespace

std::string encode(const Record& record) {
    std::string out(kMagic);
    put(out, kVersion);
    put(out, static_cast<std::uint32_t>(record.kind.size()));
    out += record.kind;
    put(out, record.sequence);
    put(out, static_cast<std::uint64_t>(record.payload.size()));
    out += record.payload;
    put(out, crc32c(out));
    return out;
}

Decoded decode(std::string_view bytes) {
    const auto damaged = [](const char* why) { return Decoded{{}, Fault::damaged, why}; };
    std::uint32_t version = 0, kind_length = 0, sum = 0;
    if (bytes.empty()) return damaged("it is empty");
    if (bytes.size() < kMagic.size() + 4 || bytes.substr(0, kMagic.size()) != kMagic)
        return damaged("it does not begin as a record does");
    // The sum first: nothing else in a damaged record means anything, its version neither.
    std::string_view end = bytes.substr(bytes.size() - 4);
    const std::string_view all = bytes.substr(0, bytes.size() - 4);
    take(end, sum);
    if (sum != crc32c(all)) return damaged("its checksum is wrong");
    std::string_view in = all.substr(kMagic.size());
    if (!take(in, version)) return damaged("it is too short");
    if (version > kVersion) return {{}, Fault::newer, "version " + std::to_string(version)};
    Decoded d;
    std::uint64_t length = 0;
    if (!take(in, kind_length) || !take(in, kind_length, d.record.kind) || !take(in, d.record.sequence) ||
        !take(in, length) || !take(in, length, d.record.payload) || !in.empty())
        return damaged("its lengths do not fit");
    return d;
}

Store::Store(Folder& folder, Say say) : folder_(folder), say_(std::move(say)) {
    std::vector<std::string> names;
    if (const int error = folder_.list(names))
        say_(std::string("the folder can't be read: ") + std::strerror(error));
    for (std::string name : names) {
        if (name.starts_with(kHalf)) {  // it was never promised to anyone
            folder_.remove(name);
            name.erase(0, kHalf.size());
        }
        if (name.starts_with(kBad)) name.erase(0, kBad.size());
        if (const auto parsed = parse(name)) last_ = std::max(last_, parsed->sequence);
    }
}

std::string Store::name_of(const std::string& kind, std::uint64_t sequence) {
    const std::string digits = std::to_string(sequence);
    return kind + "-" + std::string(kDigits - digits.size(), '0') + digits + std::string(kEnding);
}

std::optional<Store::Name> Store::parse(const std::string& name) {
    const auto dash = name.find('-');
    if (dash == std::string::npos || name.size() != dash + 1 + kDigits + kEnding.size() ||
        !name.ends_with(kEnding) || !good_kind(std::string_view(name).substr(0, dash)))
        return {};
    Name n{name.substr(0, dash), 0};
    const char* first = name.data() + dash + 1;
    const auto parsed = std::from_chars(first, first + kDigits, n.sequence);
    if (parsed.ec != std::errc() || parsed.ptr != first + kDigits) return {};
    return n;
}

std::optional<Record> Store::load(const std::string& kind,
                                  const std::function<std::string(const Record&)>& sense) {
    std::vector<std::string> names;
    folder_.list(names);
    std::erase_if(names, [&](const std::string& name) {
        const auto parsed = parse(name);
        return !parsed || parsed->kind != kind;
    });
    std::sort(names.rbegin(), names.rend());  // the digits are as many everywhere
    std::optional<Record> newest;
    std::vector<std::uint64_t>& ours = ours_[kind];
    ours.clear();
    for (const std::string& name : names) {
        std::string bytes;
        if (const int error = folder_.read(name, bytes)) {  // perhaps another time
            say_(name + " can't be read: " + std::strerror(error));
            continue;
        }
        Decoded d = decode(bytes);
        if (d.fault == Fault::newer) {
            say_(name + " is left alone: it is of a newer " + d.why);
            continue;
        }
        const std::uint64_t sequence = parse(name)->sequence;
        if (d.fault == Fault::none && (d.record.kind != kind || d.record.sequence != sequence))
            d.fault = Fault::damaged, d.why = "it is not what its name says";
        // The older ones are not looked at for sense: what an older program accepted is no fault of the file.
        if (d.fault == Fault::none && !newest) d.why = sense(d.record);
        if (!d.why.empty()) {
            put_aside(name, d.why);
            continue;
        }
        ours.insert(ours.begin(), sequence);
        if (!newest) newest = std::move(d.record);
    }
    return newest;
}

void Store::put_aside(const std::string& name, const std::string& why) {
    say_(name + " is not used and set aside: " + why);
    if (const int error = folder_.rename(name, std::string(kBad) + name))
        return say_(name + " can't be set aside: " + std::strerror(error));
    std::vector<std::string> names;
    folder_.list(names);
    std::erase_if(names, [](const std::string& n) { return !n.starts_with(kBad); });
    std::sort(names.begin(), names.end(), [](const std::string& a, const std::string& b) {
        return a.substr(a.find('-', kBad.size())) < b.substr(b.find('-', kBad.size()));
    });
    for (std::size_t i = 0; i + kAside < names.size(); ++i) {
        say_(names[i] + " is deleted: more than " + std::to_string(kAside) + " files are set aside");
        folder_.remove(names[i]);
    }
    folder_.sync_folder();
}

void Store::set_aside(const std::string& kind, const std::string& why) {
    std::vector<std::string> names;
    folder_.list(names);
    for (const std::string& name : names)
        if (const auto parsed = parse(name); parsed && parsed->kind == kind) put_aside(name, why);
    ours_[kind].clear();
}

int Store::save(const std::string& kind, const std::string& payload) {
    // A number is used once, whether that succeeded or not: a file that may be half there is never met again.
    const std::uint64_t sequence = ++last_;
    const std::string name = name_of(kind, sequence), half = std::string(kHalf) + name;
    int error = folder_.create(half);
    if (!error) {
        error = folder_.write(encode({kind, sequence, payload}));
        // An error here means that the data is not on the disk, and asking again would not say so again.
        if (!error) error = folder_.sync();
        const int closed = folder_.close();
        if (!error) error = closed;
    }
    if (!error) error = folder_.rename(half, name);
    if (error) {
        folder_.remove(half);
        return error;
    }
    // Until this has succeeded the older ones stay: the new name may not outlive a loss of power.
    error = folder_.sync_folder();
    ours_[kind].push_back(sequence);
    if (!error) prune(kind);
    return error;
}

void Store::prune(const std::string& kind) {
    std::vector<std::uint64_t>& ours = ours_[kind];
    while (ours.size() > kKept) {
        folder_.remove(name_of(kind, ours.front()));
        ours.erase(ours.begin());
    }
}

}  // namespace ochregrade::storage
