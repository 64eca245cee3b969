// A directory that loses whatever a file system may lose when the power fails.
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

// Distinguishes what the program sees from what is on the disk. Content is durable after a sync of its file,
// names after one of the directory; until then each may be on the disk, or not, or in part.
class SimulatedDirectory : public Directory {
public:
    struct File {
        std::string seen, kept;
        bool clean = true;  // nothing is left to be written
        bool poisoned =
            false;  // a sync failed: what was to be written is dropped, later syncs say nothing of it
    };
    using FilePtr = std::shared_ptr<File>;
    using Names = std::map<std::string, FilePtr>;
    struct Step {
        enum { create, rename, remove } what;
        std::string from, to;
        FilePtr file;
    };

    int crash_at = -1;  // before the call with this number
    int fail_at = -1, fail_with = 0;
    bool fail_on = false;  // every call from there on
    int calls = 0;

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
        kept_ = visible;
        steps_.clear();
        return {};
    }

    // Every directory that may be found after the power is back.
    void for_each_survivor(const std::function<void(SimulatedDirectory&)>& look) const {
        ASSERT_LE(steps_.size(), 10u);
        for (std::uint32_t chosen = 0; chosen < (1u << steps_.size()); ++chosen) {
            Names names = kept_;
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
            std::vector<FilePtr> unsure;
            for (const auto& [name, file] : names)
                if (!file->clean) unsure.push_back(file);
            ASSERT_LE(unsure.size(), 4u);
            for (std::uint32_t way = 0; way < (1u << (2 * unsure.size())); ++way) {
                SimulatedDirectory after;
                for (const auto& [name, file] : names) {
                    std::string content = file->kept;
                    for (std::size_t u = 0; u < unsure.size(); ++u)
                        if (unsure[u] == file) content = partly(*file, way >> (2 * u) & 3);
                    after.visible[name] = std::make_shared<File>(File{content, content});
                }
                after.kept_ = after.visible;
                look(after);
            }
        }
    }

    Names visible;

private:
    static std::string partly(const File& file, std::uint32_t way) {
        const std::size_t half = file.seen.size() / 2;
        switch (way) {
            case 0:
                return file.kept;
            case 1:
                return file.seen;
            case 2:
                return file.seen.substr(0, half);
            default:  // the length got there, a page of it did not
                return file.seen.substr(0, half) + std::string(file.seen.size() - half, '\0');
        }
    }
    std::error_code call() {
        if (calls == crash_at) throw Crash();
        const bool fails = calls == fail_at || (fail_on && calls > fail_at && fail_at >= 0);
        ++calls;
        return fails ? std::error_code(fail_with, std::generic_category()) : std::error_code();
    }

    Names kept_;
    std::vector<Step> steps_;
    FilePtr open_;
};

}  // namespace ochregrade::storage
