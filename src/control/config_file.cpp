#include "control/config_file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <optional>

#include "common/log.hpp"
#include "control/config_error.hpp"
#include "control/config_schema.hpp"

namespace ochregrade::sidecar {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxFileBytes = 8 << 20;
constexpr int kMaxDepth = 32;
constexpr int kMaxReads = 5;
constexpr std::size_t kReadBytes = 65536;
constexpr std::size_t kMaxLoggedFields = 5;
constexpr const char* kSource = "NODE_CONFIG";

class File {
public:
    explicit File(const char* path) : descriptor_(::open(path, O_RDONLY | O_CLOEXEC | O_NONBLOCK)) {}
    ~File() {
        if (descriptor_ >= 0) ::close(descriptor_);
    }
    File(const File&) = delete;
    File& operator=(const File&) = delete;

    // The file's status; none if the file could not be opened or is not a regular file.
    std::optional<struct stat> regular_status() const {
        struct stat status {};
        if (descriptor_ < 0 || ::fstat(descriptor_, &status) != 0 || !S_ISREG(status.st_mode)) return {};
        return status;
    }
    std::string read_all() const;

private:
    int descriptor_;
};

std::string File::read_all() const {
    std::string text;
    std::array<char, kReadBytes> part{};
    for (ssize_t n = 0; (n = ::read(descriptor_, part.data(), part.size())) != 0;) {
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) throw ConfigError(kSource, "names a file that can't be read");
        text.append(part.data(), static_cast<std::size_t>(n));
        if (text.size() > kMaxFileBytes) throw ConfigError(kSource, "names a file that is too long");
    }
    return text;
}

bool same_file(const struct stat& a, const struct stat& b) {
    return a.st_dev == b.st_dev && a.st_ino == b.st_ino && a.st_size == b.st_size &&
           a.st_mtim.tv_sec == b.st_mtim.tv_sec && a.st_mtim.tv_nsec == b.st_mtim.tv_nsec;
}

// The deepest nesting of [] and {} in a JSON text; brackets inside strings do not count.
int nesting_depth(std::string_view text) {
    int depth = 0;
    int deepest = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (quoted && c == '\\')
            ++i;
        else if (c == '"')
            quoted = !quoted;
        else if (!quoted && (c == '[' || c == '{'))
            deepest = std::max(deepest, ++depth);
        else if (!quoted && (c == ']' || c == '}'))
            --depth;
    }
    return deepest;
}

// Renames a section kFormerSection to kOwnSection. A document with both sections is rejected, because they
// may contradict each other.
void rename_former_section(json& document, const std::string& source) {
    if (!document.is_object() || !document.contains(kFormerSection)) return;
    if (document.contains(kOwnSection))
        throw ConfigError(
            source, std::string("has both ") + kOwnSection + " and " + kFormerSection + ", its former name");
    document[kOwnSection] = std::move(document[kFormerSection]);
    document.erase(kFormerSection);
}

// Warns that the section has its former name. Each reload calls this function, but only the first warning of
// a process is logged.
void warn_of_former_section(const std::string& text) {
    static bool warned = false;
    if (warned || !json::parse(text, nullptr, false).contains(kFormerSection)) return;
    warned = true;
    log_line(std::string("configuration section ") + kFormerSection + " is deprecated: rename it to " +
             kOwnSection + "; the next version does not read it");
}

json file_document() {
    const std::string text = read_config_file();
    json document = parse_config(text, kSource);
    warn_of_former_section(text);
    return document;
}

void override_from_environment(json& document, const char* variable, const char* field) {
    const char* text = std::getenv(variable);
    if (document.is_object() && text && *text) document[field] = text;
}

}  // namespace

json parse_config(std::string_view text, const std::string& source) {
    if (text.size() > kMaxFileBytes) throw ConfigError(source, "is too long");
    // The depth is checked before parsing, because the parser is recursive and could exhaust the stack.
    if (nesting_depth(text) > kMaxDepth) throw ConfigError(source, "is nested too deep");
    json document = json::parse(text, nullptr, false);
    if (document.is_discarded()) throw ConfigError(source, "is not JSON");
    rename_former_section(document, source);
    return document;
}

std::string read_config_file() {
    const char* path = std::getenv(kSource);
    if (!path || !*path) throw ConfigError(kSource, "is not set");
    std::string text;
    for (int i = 0; i < kMaxReads; ++i) {
        const File file(path);
        const auto before = file.regular_status();
        if (!before) throw ConfigError(kSource, "names a file that can't be read");
        text = file.read_all();
        const auto after = file.regular_status();
        struct stat at_path {};
        // The text is complete if the file did not change while it was read and is still the file at `path`.
        if (after && ::stat(path, &at_path) == 0 && same_file(*before, *after) && same_file(*after, at_path))
            return text;
    }
    return text;  // the file changed during every read; an incomplete text is not JSON and fails to parse
}

json start_document() {
    json document = file_document();
    override_from_environment(document, "NODE_NAME", "name");
    override_from_environment(document, "NODE_LISTEN", "listen");
    override_from_environment(document, "NODE_DISCOVERY", "discovery");
    return document;
}

json reload_document() {
    json document = file_document();
    override_from_environment(document, "NODE_NAME", "name");
    override_from_environment(document, "NODE_LISTEN", "listen");
    return document;
}

void log_unknown_fields(const json& document) {
    std::string names;
    for (const std::string& field : unknown_fields(document, kMaxLoggedFields)) names += " " + field;
    if (!names.empty()) log_line("unknown configuration fields ignored:" + names);
}

}  // namespace ochregrade::sidecar
