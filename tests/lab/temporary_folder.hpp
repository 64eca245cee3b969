/// @file
/// A folder of a test's own, removed at its end, and experiments read from text.
#pragma once

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "lab/experiment.hpp"

namespace ochregrade::lab {

class TemporaryFolder {
public:
    TemporaryFolder()
        : path_(std::filesystem::temp_directory_path() /
                ("lab-test-" + std::to_string(::getpid()) + "-" + std::to_string(next_number_++))) {
        std::filesystem::create_directories(path_);
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path_); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::filesystem::path& path() const { return path_; }

    /// Reads an experiment from the text of a file. Throws ExperimentError.
    Experiment experiment(const std::string& toml) const {
        const std::filesystem::path file = path_ / "e.toml";
        std::ofstream(file) << toml;
        return load_experiment(file.string());
    }

private:
    static inline int next_number_ = 0;
    std::filesystem::path path_;
};

}  // namespace ochregrade::lab
