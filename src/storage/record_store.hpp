// Durable records: each in a file of its own, verified when it is read. A record is either found as it was
// written or not used; the newest valid one of a kind counts. No clock and no thread of its own.
// Source: docs/RECOVERY.md.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "storage/directory.hpp"

namespace ochregrade::storage {

struct Record {
    std::string kind;  // lower-case letters; part of the file name
    std::uint64_t sequence = 0;
    std::string payload;
};

/// Format on disk, little-endian: "KELPREC1", u32 version, u32 length of kind, kind, u64 sequence, u64 length
/// of payload, payload, u32 CRC-32C of everything before it, end of file.
constexpr std::uint32_t kVersion = 1;
std::string encode(const Record& record);

enum class DecodeError {
    none,
    damaged,
    newer_version,  // intact, but written by a newer program
};
struct Decoded {
    Record record;
    DecodeError error = DecodeError::none;
    std::string reason;  // of the error, for the log
};
Decoded decode(std::string_view bytes);

class RecordStore {
public:
    using LogCallback = std::function<void(const std::string& line)>;
    /// Returns why the record can't be used; empty: it can.
    using Validator = std::function<std::string(const Record&)>;
    static constexpr std::size_t kMaxRecords = 3;       // retained of each kind
    static constexpr std::size_t kMaxQuarantined = 16;  // beyond that the oldest are deleted, which is logged

    /// Deletes unfinished files and continues after the highest sequence found. `directory` must outlive
    /// this.
    RecordStore(Directory& directory, LogCallback log);

    /// The newest valid record of the kind. Damaged and rejected ones are quarantined (renamed); those
    /// written by a newer program are left alone.
    std::optional<Record> load(const std::string& kind, const Validator& validate);
    /// Quarantines all records of the kind.
    void quarantine_all(const std::string& kind, const std::string& reason);

    /// Success: the record is durable and will be found. Failure: the earlier one will be found, or this one.
    std::error_code save(const std::string& kind, const std::string& payload);

private:
    struct FileName {
        std::string kind;
        std::uint64_t sequence = 0;
    };
    static std::string name_of(const std::string& kind, std::uint64_t sequence);
    static std::optional<FileName> parse(const std::string& name);
    std::error_code write_file(const std::string& name, const std::string& bytes);
    void quarantine(const std::string& name, const std::string& reason);
    void limit_quarantine();
    void prune(const std::string& kind);

    Directory& directory_;
    LogCallback log_;
    std::uint64_t last_sequence_ = 0;                              // the highest ever seen or used
    std::map<std::string, std::vector<std::uint64_t>> sequences_;  // valid records by kind, oldest first
};

}  // namespace ochregrade::storage
