// An interface to a directory of files, limited to the file system operations that the record store needs.
// The record store relies on no other guarantees of the file system than those stated here. Every call
// reports failure as a std::error_code (generic category: errno), so that a full disk is an ordinary result.
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

    /// Lists the names of the regular files, in no particular order.
    virtual std::error_code list(std::vector<std::string>& names) = 0;
    virtual std::error_code read(const std::string& name, std::string& bytes) = 0;
    /// Creates a file or truncates an existing one. One file is open at a time.
    virtual std::error_code create(const std::string& name) = 0;
    /// Writes all bytes to the open file. After a failure any part of them may have been written.
    virtual std::error_code write(std::string_view bytes) = 0;
    /// Makes the content of the open file durable.
    virtual std::error_code sync() = 0;
    virtual std::error_code close() = 0;
    /// Renames a file atomically, replacing any file named `to`.
    virtual std::error_code rename(const std::string& from, const std::string& to) = 0;
    virtual std::error_code remove(const std::string& name) = 0;
    /// Makes all earlier creations, renames and removals durable.
    virtual std::error_code sync_directory() = 0;
};

struct OpenedDirectory {
    std::unique_ptr<Directory> directory;  // null if opening failed; `error` has the reason
    std::error_code error;                 // operation_would_block: another process has locked the directory
};
/// Opens a directory of the file system, creates it if it is missing, and locks it for this process. The
/// kernel releases the lock when the process exits, even after a crash.
OpenedDirectory open_directory(const std::string& path);

}  // namespace ochregrade::storage
