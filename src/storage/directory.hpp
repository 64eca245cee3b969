// One folder of files, as little of a file system as the store needs. What is not here is not relied on.
// Every call answers with 0 or an errno, so that a full disk is a value and no surprise.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ochregrade::storage {

class Folder {
public:
    virtual ~Folder() = default;

    virtual int list(std::vector<std::string>& names) = 0;  // of the files in it, in no order
    virtual int read(const std::string& name, std::string& bytes) = 0;
    // A new file, or an old one emptied. One file is open at a time.
    virtual int create(const std::string& name) = 0;
    virtual int write(std::string_view bytes) = 0;  // all of them, or an error
    virtual int sync() = 0;                         // the open file's content is on the disk
    virtual int close() = 0;
    // Atomic; what had the name is gone.
    virtual int rename(const std::string& from, const std::string& to) = 0;
    virtual int remove(const std::string& name) = 0;
    virtual int sync_folder() = 0;  // names are on the disk: creations, renames and removals so far
};

// A real folder, made if it is not there, and locked: one process at a time has it. The lock is on the folder
// itself and goes with the process, however that ends.
struct OpenedFolder {
    std::unique_ptr<Folder> folder;  // none: error says why
    int error = 0;                   // EWOULDBLOCK: another process has it
};
OpenedFolder open_folder(const std::string& path);

}  // namespace ochregrade::storage
