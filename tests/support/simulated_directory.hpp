// A simulated directory that loses whatever a file system may lose in a power failure.
#pragma once

#include <gtest/gtest.h>

#include <cerrno>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "storage/directory.hpp"

namespace ochregrade::storage {

struct Crash {};

// Stores what the program sees separately from what is on the disk. The content of a file is durable after a
// sync of the file, and names are durable after a sync of the directory. Until then a change of a name may or
// may not be on the disk, and content may be there completely, in part or not at all.
class SimulatedDirectory : public Directory {
public:
    struct File {
        std::string seen, kept;  // content as the program reads it, and content on the disk
        bool clean = true;       // all content is on the disk
        // A sync has failed: the unwritten content is lost, and later syncs report success all the same.
        bool poisoned = false;
    };
    using FilePtr = std::shared_ptr<File>;
    using Names = std::map<std::string, FilePtr>;
    // A change of names that is not yet durable.
    struct Step {
        enum { create, rename, remove } what;
        std::string from, to;
        FilePtr file;
    };

    // Calls are numbered from 0; list, read and close neither count nor fail.
    int crash_at = -1;                // number of the call before which the power fails; -1: none
    int fail_at = -1, fail_with = 0;  // number of the call that fails, -1: none; and its errno
    bool fail_permanently = false;    // all calls after fail_at fail too
    int calls = 0;                    // number of calls so far

    std::error_code list(std::vector<std::string>& names) override {
        names.clear();
        for (const auto& [name, file] : visible) names.push_back(name);
        return {};
    }
    std::error_code read(const std::string& name, std::string& bytes) override {
        const auto at = visible.find(name);
        if (at == visible.end()) return make_error_code(std::errc::no_such_file_or_directory);
        bytes = at->second->seen;
        return {};
    }
    std::error_code create(const std::string& name) override {
        if (const std::error_code e = call()) return e;
        open_ = std::make_shared<File>();
        visible[name] = open_;
        steps_.push_back({Step::create, name, name, open_});
        return {};
    }
    std::error_code write(std::string_view bytes) override {
        const std::error_code e = call();
        open_->seen += e ? bytes.substr(0, bytes.size() / 2) : bytes;
        open_->clean = false;
        return e;
    }
    std::error_code sync() override {
        if (const std::error_code e = call()) {
            open_->poisoned = true;
            return e;
        }
        if (!open_->poisoned) open_->kept = open_->seen, open_->clean = true;
        return {};
    }
    std::error_code close() override {
        open_.reset();
        return {};
    }
    std::error_code rename(const std::string& from, const std::string& to) override {
        if (const std::error_code e = call()) return e;
        const auto at = visible.find(from);
        if (at == visible.end()) return make_error_code(std::errc::no_such_file_or_directory);
        visible[to] = at->second;
        visible.erase(from);
        steps_.push_back({Step::rename, from, to, nullptr});
        return {};
    }
    std::error_code remove(const std::string& name) override {
        if (const std::error_code e = call()) return e;
        if (visible.erase(name) == 0) return make_error_code(std::errc::no_such_file_or_directory);
        steps_.push_back({Step::remove, name, "", nullptr});
        return {};
    }
    std::error_code sync_directory() override {
        if (const std::error_code e = call()) return e;
        durable_names_ = visible;
        steps_.clear();
        return {};
    }

    // Calls `visit` with each directory that may exist after a power failure now. At most 10 changes of names
    // and 4 files may lack a sync.
    void for_each_survivor(const std::function<void(SimulatedDirectory&)>& visit) const {
        ASSERT_LE(steps_.size(), 10u);
        for (std::uint32_t chosen = 0; chosen < (1u << steps_.size()); ++chosen) {
            Names names = durable_names_;
            for (std::size_t i = 0; i < steps_.size(); ++i) {
                if (!(chosen >> i & 1)) continue;
                const Step& s = steps_[i];
                if (s.what == Step::create) names[s.to] = s.file;
                if (s.what == Step::remove) names.erase(s.from);
                if (s.what == Step::rename)
                    if (const auto at = names.find(s.from); at != names.end()) {
                        const FilePtr file = at->second;
                        names.erase(at);
                        names[s.to] = file;
                    }
            }
            std::vector<FilePtr> unsynced;
            for (const auto& [name, file] : names)
                if (!file->clean) unsynced.push_back(file);
            ASSERT_LE(unsynced.size(), 4u);
            for (std::uint32_t variant = 0; variant < (1u << (2 * unsynced.size())); ++variant) {
                SimulatedDirectory after;
                for (const auto& [name, file] : names) {
                    std::string content = file->kept;
                    for (std::size_t u = 0; u < unsynced.size(); ++u)
                        if (unsynced[u] == file) content = surviving_content(*file, variant >> (2 * u) & 3);
                    after.visible[name] = std::make_shared<File>(File{content, content});
                }
                after.durable_names_ = after.visible;
                visit(after);
            }
        }
    }

    Names visible;

private:
    static std::string surviving_content(const File& file, std::uint32_t variant) {
        const std::size_t half = file.seen.size() / 2;
        switch (variant) {
            case 0:
                return file.kept;
            case 1:
                return file.seen;
            case 2:
                return file.seen.substr(0, half);
            default:  // the new length is on the disk, but one page of the content is not
                return file.seen.substr(0, half) + std::string(file.seen.size() - half, '\0');
        }
    }
    std::error_code call() {
        if (calls == crash_at) throw Crash();
        const bool fails = calls == fail_at || (fail_permanently && calls > fail_at && fail_at >= 0);
        ++calls;
        return fails ? std::error_code(fail_with, std::generic_category()) : std::error_code();
    }

    Names durable_names_;
    std::vector<Step> steps_;
    FilePtr open_;
};

}  // namespace ochregrade::storage
