// A store of durable records. Each record is a separate file, which is verified when it is read: a record
// that differs from what was written is not used. The newest valid record of a kind is the current one. The
// store uses no clock and no thread (docs/RECOVERY.md).
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

/// The format on disk, little-endian: "KELPREC1", u32 version, u32 length of kind, kind, u64 sequence, u64
/// length of payload, payload, u32 CRC-32C of all preceding bytes, end of file.
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
    std::string reason;  // description of the error for the log
};
Decoded decode(std::string_view bytes);

class RecordStore {
public:
    using LogCallback = std::function<void(const std::string& line)>;
    /// Returns the reason why the record can't be used, or an empty string if it is valid.
    using Validator = std::function<std::string(const Record&)>;
    static constexpr std::size_t kMaxRecords = 3;       // retained records of each kind
    static constexpr std::size_t kMaxQuarantined = 16;  // files of all kinds; older ones are deleted

    /// Deletes the files that an earlier process did not finish writing. New records get sequences above the
    /// highest one found in a file name. `directory` must outlive the store.
    RecordStore(Directory& directory, LogCallback log);

    /// Returns the newest valid record of the kind. Damaged records, and records newer than the returned one
    /// that `validate` rejects, are quarantined (renamed). Records that can't be read or that a newer program
    /// has written are not changed.
    std::optional<Record> load(const std::string& kind, const Validator& validate);
    /// Quarantines all records of the kind.
    void quarantine_all(const std::string& kind, const std::string& reason);

    /// On success the record is durable, and load() will return it. After a failure load() will return either
    /// the previous record or this one.
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
    std::uint64_t last_sequence_ = 0;                              // highest sequence found or used
    std::map<std::string, std::vector<std::uint64_t>> sequences_;  // of intact records by kind, oldest first
};

}  // namespace ochregrade::storage
