// Durable state: whole records in files of their own, verified when they are read. A record is either found
// as it was written or not used; the newest good one of a kind counts. No clock and no thread of its own.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "storage/directory.hpp"

namespace ochregrade::storage {

struct Record {
    std::string kind;  // lower-case letters; part of the file's name
    std::uint64_t sequence = 0;
    std::string payload;
};

// On the disk, little-endian: "KELPREC1", u32 version, u32 length of kind, kind, u64 sequence, u64 length of
// payload, payload, u32 CRC-32C of all before it; and nothing behind that.
constexpr std::uint32_t kVersion = 1;
std::string encode(const Record& record);

enum class Fault { none, damaged, newer };  // newer: whole, but of a version that is not known here
struct Decoded {
    Record record;
    Fault fault = Fault::none;
    std::string why;
};
Decoded decode(std::string_view bytes);

class Store {
public:
    using Say = std::function<void(const std::string&)>;
    static constexpr std::size_t kKept = 3;    // records of a kind
    static constexpr std::size_t kAside = 16;  // files set aside; beyond that the oldest go, which is said

    // Looks at what is there: half-written files go, numbers go on from the highest.
    Store(Folder& folder, Say say);

    // The newest record of the kind that is whole and that makes sense: `sense` gives a complaint or nothing.
    // What is damaged or makes none is set aside under another name; what a newer version wrote is left
    // alone.
    std::optional<Record> load(const std::string& kind,
                               const std::function<std::string(const Record&)>& sense);
    // All records of the kind are set aside.
    void set_aside(const std::string& kind, const std::string& why);

    // 0: it is on the disk and will be found. Else an errno: what was there before will be found, or this.
    int save(const std::string& kind, const std::string& payload);

private:
    struct Name {
        std::string kind;
        std::uint64_t sequence = 0;
    };
    static std::string name_of(const std::string& kind, std::uint64_t sequence);
    static std::optional<Name> parse(const std::string& name);
    void put_aside(const std::string& name, const std::string& why);
    void prune(const std::string& kind);

    Folder& folder_;
    Say say_;
    std::uint64_t last_ = 0;                                  // the highest number met
    std::map<std::string, std::vector<std::uint64_t>> ours_;  // records known to be good, oldest first
};

}  // namespace ochregrade::storage
