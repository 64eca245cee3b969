// Tests that each line of the log is a JSON object for any message, and that the rate of lines is bounded.
#include "common/log.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace {

// Redirects standard error into a file while the object exists, and returns the lines written to that file.
class CapturedStderr {
public:
    CapturedStderr() : path_("log-test-" + std::to_string(::getpid())) {
        std::fflush(stderr);
        saved_ = ::dup(2);
        std::FILE* file = std::fopen(path_.c_str(), "w");
        ::dup2(::fileno(file), 2);
        std::fclose(file);
    }
    ~CapturedStderr() { std::remove(path_.c_str()); }
    std::vector<std::string> lines() {
        ochregrade::sidecar::log_sink().flush();
        ::dup2(saved_, 2);
        ::close(saved_);
        std::vector<std::string> out;
        std::ifstream in(path_);
        for (std::string line; std::getline(in, line);) out.push_back(line);
        return out;
    }

private:
    std::string path_;
    int saved_ = -1;
};

TEST(Log, EachLineIsAJsonObjectForAnyMessage) {
    CapturedStderr captured;
    ochregrade::sidecar::log_line("a peer said \"all dead\" \\ and\nmore\x01");
    ochregrade::sidecar::log_line(std::string("bytes \xff\xfe that are no UTF-8"));
    const auto lines = captured.lines();
    ASSERT_EQ(lines.size(), 2u);
    const auto first = nlohmann::json::parse(lines[0]);
    EXPECT_EQ(first.at("msg"), "a peer said \"all dead\" \\ and?more?");
    EXPECT_EQ(first.at("level"), "info");
    EXPECT_EQ(first.at("name"), "ochregrade");
    EXPECT_EQ(first.at("t").get<std::string>().back(), 'Z');
    EXPECT_TRUE(nlohmann::json::accept(lines[1]));
}

TEST(Log, ExcessLinesAreDroppedAndCounted) {
    CapturedStderr captured;
    for (int i = 0; i < 1000; ++i) ochregrade::sidecar::log_line("line " + std::to_string(i));
    const auto lines = captured.lines();
    // The limit is a burst of 100 lines and then 2 lines a second. Earlier tests have used some of the burst.
    EXPECT_LE(lines.size(), 105u);
    EXPECT_GE(lines.size(), 50u);
    CapturedStderr later_capture;
    ::usleep(600 * 1000);  // long enough for one more token
    ochregrade::sidecar::log_line("after");
    const auto later = later_capture.lines();
    ASSERT_GE(later.size(), 2u);
    EXPECT_NE(nlohmann::json::parse(later[0]).at("msg").get<std::string>().find("lines left out"),
              std::string::npos);
    EXPECT_EQ(nlohmann::json::parse(later.back()).at("msg"), "after");
}

}  // namespace
