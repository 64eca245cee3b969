#include "storage/record_store.hpp"

#include <algorithm>
#include <boost/crc.hpp>
#include <charconv>

namespace ochregrade::storage {

namespace {

constexpr std::string_view kMagic = "KELPREC1";
constexpr std::string_view kSuffix = ".rec", kUnfinishedPrefix = "half-", kQuarantinePrefix = "bad-";
constexpr std::size_t kSequenceDigits = 20, kMaxKindLength = 32;

using Crc32c = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;

std::uint32_t crc32c(std::string_view bytes) {
    Crc32c crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

template <class T>
void append_number(std::string& out, T value) {
    for (std::size_t i = 0; i < sizeof value; ++i) out += static_cast<char>(value >> (8 * i) & 0xff);
}

// Removes a little-endian number from the front of `in`. Returns false if `in` has too few bytes.
template <class T>
bool consume(std::string_view& in, T& value) {
    if (in.size() < sizeof value) return false;
    value = 0;
    for (std::size_t i = 0; i < sizeof value; ++i)
        value |= static_cast<T>(static_cast<T>(static_cast<unsigned char>(in[i])) << (8 * i));
    in.remove_prefix(sizeof value);
    return true;
}
bool consume(std::string_view& in, std::uint64_t length, std::string& text) {
    if (in.size() < length) return false;
    text.assign(in.substr(0, length));
    in.remove_prefix(length);
    return true;
}

bool is_valid_kind(std::string_view kind) {
    return !kind.empty() && kind.size() <= kMaxKindLength &&
           std::all_of(kind.begin(), kind.end(), [](char c) { return c >= 'a' && c <= 'z'; });
}

}  // namespace

std::string encode(const Record& record) {
    std::string out(kMagic);
    append_number(out, kVersion);
    append_number(out, static_cast<std::uint32_t>(record.kind.size()));
    out += record.kind;
    append_number(out, record.sequence);
    append_number(out, static_cast<std::uint64_t>(record.payload.size()));
    out += record.payload;
    append_number(out, crc32c(out));
    return out;
}

Decoded decode(std::string_view bytes) {
    const auto damaged = [](const char* reason) { return Decoded{{}, DecodeError::damaged, reason}; };
    std::uint32_t version = 0, kind_length = 0, stored_checksum = 0;
    if (bytes.empty()) return damaged("it is empty");
    if (bytes.size() < kMagic.size() + 4 || bytes.substr(0, kMagic.size()) != kMagic)
        return damaged("its header is not that of a record");
    // The checksum is verified first, because no field of a damaged record can be trusted, not even the
    // version.
    std::string_view end = bytes.substr(bytes.size() - 4);
    const std::string_view all = bytes.substr(0, bytes.size() - 4);
    consume(end, stored_checksum);
    if (stored_checksum != crc32c(all)) return damaged("its checksum is wrong");
    std::string_view in = all.substr(kMagic.size());
    if (!consume(in, version)) return damaged("it is too short");
    if (version > kVersion) return {{}, DecodeError::newer_version, "version " + std::to_string(version)};
    Decoded decoded;
    std::uint64_t length = 0;
    if (!consume(in, kind_length) || !consume(in, kind_length, decoded.record.kind) ||
        !consume(in, decoded.record.sequence) || !consume(in, length) ||
        !consume(in, length, decoded.record.payload) || !in.empty())
        return damaged("its length fields do not match its size");
    return decoded;
}

RecordStore::RecordStore(Directory& directory, LogCallback log)
    : directory_(directory), log_(std::move(log)) {
    std::vector<std::string> names;
    if (const std::error_code error = directory_.list(names))
        log_("the folder can't be read: " + error.message());
    for (std::string name : names) {
        if (name.starts_with(kUnfinishedPrefix)) {
            directory_.remove(name);
            name.erase(0, kUnfinishedPrefix.size());
        }
        if (name.starts_with(kQuarantinePrefix)) name.erase(0, kQuarantinePrefix.size());
        if (const auto parsed = parse(name)) last_sequence_ = std::max(last_sequence_, parsed->sequence);
    }
}

std::string RecordStore::name_of(const std::string& kind, std::uint64_t sequence) {
    const std::string digits = std::to_string(sequence);
    return kind + "-" + std::string(kSequenceDigits - digits.size(), '0') + digits + std::string(kSuffix);
}

std::optional<RecordStore::FileName> RecordStore::parse(const std::string& name) {
    const auto dash = name.find('-');
    if (dash == std::string::npos || name.size() != dash + 1 + kSequenceDigits + kSuffix.size() ||
        !name.ends_with(kSuffix) || !is_valid_kind(std::string_view(name).substr(0, dash)))
        return {};
    FileName result{name.substr(0, dash), 0};
    const char* first = name.data() + dash + 1;
    const auto parsed = std::from_chars(first, first + kSequenceDigits, result.sequence);
    if (parsed.ec != std::errc() || parsed.ptr != first + kSequenceDigits) return {};
    return result;
}

std::optional<Record> RecordStore::load(const std::string& kind, const Validator& validate) {
    std::vector<std::string> names;
    directory_.list(names);
    std::erase_if(names, [&](const std::string& name) {
        const auto parsed = parse(name);
        return !parsed || parsed->kind != kind;
    });
    std::sort(names.rbegin(), names.rend());  // newest first: names of equal kind and length sort by sequence
    std::optional<Record> newest;
    std::vector<std::uint64_t>& sequences = sequences_[kind];
    sequences.clear();
    for (const std::string& name : names) {
        std::string bytes;
        if (const std::error_code error = directory_.read(name, bytes)) {
            // The file is not quarantined, because a later read may succeed.
            log_(name + " can't be read: " + error.message());
            continue;
        }
        Decoded decoded = decode(bytes);
        if (decoded.error == DecodeError::newer_version) {
            log_(name + " is neither used nor changed: its format is newer, " + decoded.reason);
            continue;
        }
        const std::uint64_t sequence = parse(name)->sequence;
        const bool intact = decoded.error == DecodeError::none;
        if (intact && (decoded.record.kind != kind || decoded.record.sequence != sequence))
            decoded.reason = "its kind or sequence differs from its file name";
        else if (intact && !newest)  // older records are not validated: an older program may accept them
            decoded.reason = validate(decoded.record);
        if (!decoded.reason.empty()) {
            quarantine(name, decoded.reason);
            continue;
        }
        sequences.insert(sequences.begin(), sequence);
        if (!newest) newest = std::move(decoded.record);
    }
    return newest;
}

void RecordStore::quarantine(const std::string& name, const std::string& reason) {
    log_(name + " is quarantined: " + reason);
    if (const std::error_code error = directory_.rename(name, std::string(kQuarantinePrefix) + name)) {
        log_(name + " can't be quarantined: " + error.message());
        return;
    }
    limit_quarantine();
    directory_.sync_directory();
}

// Deletes the quarantined files with the lowest sequences, regardless of their kind, until at most
// kMaxQuarantined remain.
void RecordStore::limit_quarantine() {
    std::vector<std::string> names;
    directory_.list(names);
    std::erase_if(names, [](const std::string& name) { return !name.starts_with(kQuarantinePrefix); });
    const auto sequence_part = [](const std::string& name) {
        return name.substr(name.find('-', kQuarantinePrefix.size()));
    };
    std::sort(names.begin(), names.end(), [&](const std::string& a, const std::string& b) {
        return sequence_part(a) < sequence_part(b);
    });
    for (std::size_t i = 0; i + kMaxQuarantined < names.size(); ++i) {
        log_(names[i] + " is deleted: more than " + std::to_string(kMaxQuarantined) +
             " files are quarantined");
        directory_.remove(names[i]);
    }
}

void RecordStore::quarantine_all(const std::string& kind, const std::string& reason) {
    std::vector<std::string> names;
    directory_.list(names);
    for (const std::string& name : names)
        if (const auto parsed = parse(name); parsed && parsed->kind == kind) quarantine(name, reason);
    sequences_[kind].clear();
}

// Writes a file. On success its content is durable, but its name is durable only after the next
// sync_directory(). After a failure the file may exist with a part of the bytes.
std::error_code RecordStore::write_file(const std::string& name, const std::string& bytes) {
    if (const std::error_code error = directory_.create(name)) return error;
    std::error_code error = directory_.write(bytes);
    // A failed sync is not repeated, because the kernel may have discarded the data, and a second sync would
    // not report the loss again.
    if (!error) error = directory_.sync();
    const std::error_code closed = directory_.close();
    return error ? error : closed;
}

std::error_code RecordStore::save(const std::string& kind, const std::string& payload) {
    // Each sequence is used only once, even if saving fails, so that a partly written file never conflicts
    // with a later record.
    const std::uint64_t sequence = ++last_sequence_;
    const std::string name = name_of(kind, sequence);
    const std::string unfinished = std::string(kUnfinishedPrefix) + name;
    std::error_code error = write_file(unfinished, encode({kind, sequence, payload}));
    if (!error) error = directory_.rename(unfinished, name);
    if (error) {
        directory_.remove(unfinished);
        return error;
    }
    // Older records are deleted only after this sync succeeds: without it, the new name may be lost in a
    // power failure.
    error = directory_.sync_directory();
    sequences_[kind].push_back(sequence);
    if (!error) prune(kind);
    return error;
}

void RecordStore::prune(const std::string& kind) {
    std::vector<std::uint64_t>& sequences = sequences_[kind];
    while (sequences.size() > kMaxRecords) {
        directory_.remove(name_of(kind, sequences.front()));
        sequences.erase(sequences.begin());
    }
}

}  // namespace ochregrade::storage
