// A directory of files: the small part of a file system that the record store needs. What is not here is not
// relied on. Every call reports failure as a std::error_code (generic category: errno), so that a full disk
// is an ordinary result.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace ochregrade::storage {

class Directory {
public:
    virtual ~Directory() = default;

    /// Names of the regular files, in no order.
    virtual std::error_code list(std::vector<std::string>& names) = 0;
    virtual std::error_code read(const std::string& name, std::string& bytes) = 0;
    /// Creates a file or truncates an existing one. One file is open at a time.
    virtual std::error_code create(const std::string& name) = 0;
    /// Writes all bytes to the open file, or fails.
    virtual std::error_code write(std::string_view bytes) = 0;
    /// The content of the open file is durable afterwards.
    virtual std::error_code sync() = 0;
    virtual std::error_code close() = 0;
    /// Atomic; replaces a file of the new name.
    virtual std::error_code rename(const std::string& from, const std::string& to) = 0;
    virtual std::error_code remove(const std::string& name) = 0;
    /// Creations, renames and removals so far are durable afterwards.
    virtual std::error_code sync_directory() = 0;
};

struct OpenedDirectory {
    std::unique_ptr<Directory> directory;  // null: see error
    std::error_code error;                 // operation_would_block: another process has it
};
/// Opens a directory of the file system, created if missing, and locks it for this process. The lock is on
/// the directory itself and ends with the process, however that ends.
OpenedDirectory open_directory(const std::string& path);

}  // namespace ochregrade::storage
