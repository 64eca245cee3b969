// Tests durable records on a simulated file system that loses whatever it may lose in a power failure. The
// tests cover every point of a power failure, every allowed set of surviving writes and names, and every
// failing call.
#include "storage/record_store.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <set>

#include "storage/background_writer.hpp"
#include "support/simulated_directory.hpp"

namespace ochregrade::storage {
namespace {

const auto kAcceptAll = [](const Record&) { return std::string(); };
const auto kNoLog = [](const std::string&) {};

std::string found_in(SimulatedDirectory& directory) {
    RecordStore store(directory, kNoLog);
    const auto record = store.load("world", kAcceptAll);
    return record ? record->payload : "nothing";
}

// Saves records one after the other. `allowed` contains the payloads that load() may return if the power
// fails now; "nothing" stands for no record.
struct SimulatedRun {
    std::set<std::string> allowed = {"nothing"};
    void save_all(SimulatedDirectory& directory, int saves) {
        RecordStore store(directory, kNoLog);
        store.load("world", kAcceptAll);
        for (int i = 1; i <= saves; ++i) {
            const std::string payload = "state " + std::to_string(i) + std::string(50, 'x');
            allowed.insert(payload);
            if (!store.save("world", payload)) allowed = {payload};
        }
    }
};

void check_survivors(const SimulatedDirectory& directory, const std::set<std::string>& allowed,
                     int& checked) {
    directory.for_each_survivor([&](SimulatedDirectory& after) {
        ++checked;
        SimulatedDirectory copy = after;
        const std::string found = found_in(copy);
        EXPECT_EQ(allowed.count(found), 1u) << "found: " << found;
        // The next process can load and save in the same directory.
        SimulatedDirectory next = after;
        RecordStore store(next, kNoLog);
        store.load("world", kAcceptAll);
        EXPECT_EQ(store.save("world", "afterwards"), std::error_code());
        EXPECT_EQ(found_in(next), "afterwards");
    });
}

TEST(Recovery, FindsTheOldOrTheNewStateAfterAPowerFailureAtAnyCall) {
    int checked = 0, power_failures = 0;
    for (int at = 0;; ++at) {
        SimulatedDirectory directory;
        directory.crash_at = at;
        SimulatedRun run;
        bool crashed = false;
        try {
            run.save_all(directory, 6);  // more than kMaxRecords, so that old records are deleted
        } catch (const Crash&) {
            crashed = true;
        }
        SCOPED_TRACE(at);
        check_survivors(directory, run.allowed, checked);
        if (HasFailure() || !crashed) break;
        ++power_failures;
    }
    EXPECT_GE(power_failures, 30);
    EXPECT_GT(checked, 100);
}

TEST(Recovery, FindsACompleteStateAfterAFailedCallAndALaterPowerFailure) {
    int checked = 0;
    for (const int error : {EIO, ENOSPC})
        for (const bool permanent : {false, true})
            for (int fail = 0; fail < 24; ++fail)
                for (int cut = fail + 1; cut < 30; ++cut) {
                    SimulatedDirectory directory;
                    directory.fail_at = fail, directory.fail_with = error,
                    directory.fail_permanently = permanent;
                    directory.crash_at = cut;
                    SimulatedRun run;
                    try {
                        run.save_all(directory, 5);
                    } catch (const Crash&) {
                    }
                    SCOPED_TRACE(std::to_string(fail) + " fails, power failure at " + std::to_string(cut));
                    check_survivors(directory, run.allowed, checked);
                    if (HasFailure()) return;
                }
    EXPECT_GT(checked, 5000);
}

TEST(Recovery, AFailedSyncIsReportedAndTheOldStateRemains) {
    SimulatedDirectory directory;
    RecordStore store(directory, kNoLog);
    ASSERT_EQ(store.save("world", "old"), std::error_code());
    directory.fail_at = directory.calls + 2;  // the sync, which follows create and write
    directory.fail_with = EIO;
    EXPECT_EQ(store.save("world", "new"), std::errc::io_error);
    EXPECT_EQ(found_in(directory), "old");
    EXPECT_EQ(store.save("world", "newer"), std::error_code())
        << "the store must write a new file, not sync the old one again";
    EXPECT_EQ(found_in(directory), "newer");
}

TEST(RecordEncoding, AnyFlippedBitOrTruncationIsDetected) {
    const std::string good = encode({"world", 7, "some state or other"});
    ASSERT_EQ(decode(good).record.payload, "some state or other");
    EXPECT_EQ(decode(good).record.sequence, 7u);
    for (std::size_t i = 0; i < good.size(); ++i) {
        for (int bit = 0; bit < 8; ++bit) {
            std::string altered = good;
            altered[i] = static_cast<char>(altered[i] ^ 1 << bit);
            EXPECT_EQ(decode(altered).error, DecodeError::damaged) << i;
        }
        EXPECT_EQ(decode(good.substr(0, i)).error, DecodeError::damaged) << i;
    }
    EXPECT_EQ(decode(good + "x").error, DecodeError::damaged);
}

// Compares the checksum with an independent bitwise implementation of CRC-32C, the checksum of the documented
// format.
TEST(RecordEncoding, TheChecksumIsCrc32c) {
    // The encoded bytes are: magic, version 1, length 1, "a", sequence 0, length 0, checksum.
    std::string bytes = encode({"a", 0, ""});
    std::uint32_t sum = 0;
    for (int i = 3; i >= 0; --i)
        sum = sum << 8 | static_cast<unsigned char>(bytes[bytes.size() - 4 + static_cast<std::size_t>(i)]);
    std::uint32_t crc = 0xFFFFFFFF;
    for (std::size_t i = 0; i + 4 < bytes.size(); ++i) {
        crc ^= static_cast<unsigned char>(bytes[i]);
        for (int bit = 0; bit < 8; ++bit) crc = crc & 1 ? crc >> 1 ^ 0x82F63B78 : crc >> 1;
    }
    EXPECT_EQ(sum, ~crc);
    EXPECT_EQ(bytes.size(), 8u + 4 + 4 + 1 + 8 + 8 + 4);
}

TEST(RecordEncoding, RandomBytesAreDamaged) {
    std::uint64_t state = 3;
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = i % 2 ? "KELPREC1" : "";
        for (int n = 0; n < i % 90; ++n) {
            state = state * 6364136223846793005u + 1442695040888963407u;
            bytes += static_cast<char>(state >> 56);
        }
        EXPECT_EQ(decode(bytes).error, DecodeError::damaged);
    }
}

void put(SimulatedDirectory& directory, const std::string& name, const std::string& bytes) {
    directory.visible[name] =
        std::make_shared<SimulatedDirectory::File>(SimulatedDirectory::File{bytes, bytes});
}
std::string numbered(int n) {
    const std::string digits = std::to_string(n);
    return "world-" + std::string(20 - digits.size(), '0') + digits + ".rec";
}

TEST(Loading, QuarantinesInvalidRecordsAndLogsThat) {
    SimulatedDirectory directory;
    put(directory, numbered(1), encode({"world", 1, "good"}));
    put(directory, numbered(2), encode({"world", 2, "invalid content"}));
    put(directory, numbered(3), "");
    put(directory, numbered(4), encode({"other", 4, "of another kind"}));
    put(directory, numbered(5), encode({"world", 5, "whole"}).substr(0, 30));
    put(directory, "half-" + numbered(6), "never finished");
    put(directory, "a foreign file", "kept");
    std::vector<std::string> logged;
    RecordStore store(directory, [&](const std::string& line) { logged.push_back(line); });
    const auto found = store.load("world", [](const Record& r) {
        return r.payload == "invalid content" ? std::string("is invalid") : std::string();
    });
    ASSERT_TRUE(found);
    EXPECT_EQ(found->payload, "good");
    EXPECT_EQ(logged.size(), 4u);
    for (const int n : {2, 3, 4, 5}) EXPECT_EQ(directory.visible.count("bad-" + numbered(n)), 1u) << n;
    EXPECT_EQ(directory.visible.count("half-" + numbered(6)), 0u);
    EXPECT_EQ(directory.visible.count("a foreign file"), 1u);
    EXPECT_EQ(store.save("world", "next"), std::error_code());
    EXPECT_EQ(directory.visible.count(numbered(7)), 1u) << "a sequence is used only once";
}

TEST(Loading, RecordsOfANewerVersionAreNotChanged) {
    SimulatedDirectory directory;
    std::string newer = encode({"world", 9, "from the future"});
    newer[8] = 2;
    std::uint32_t crc = 0xFFFFFFFF;
    for (std::size_t i = 0; i + 4 < newer.size(); ++i) {
        crc ^= static_cast<unsigned char>(newer[i]);
        for (int bit = 0; bit < 8; ++bit) crc = crc & 1 ? crc >> 1 ^ 0x82F63B78 : crc >> 1;
    }
    for (std::size_t i = 0; i < 4; ++i) newer[newer.size() - 4 + i] = static_cast<char>(~crc >> (8 * i));
    put(directory, numbered(8), encode({"world", 8, "ours"}));
    put(directory, numbered(9), newer);
    RecordStore store(directory, kNoLog);
    EXPECT_EQ(store.load("world", kAcceptAll)->payload, "ours");
    for (int i = 0; i < 10; ++i) EXPECT_EQ(store.save("world", "again"), std::error_code());
    EXPECT_EQ(directory.visible.count(numbered(9)), 1u) << "the newer program may be installed again";
    EXPECT_EQ(found_in(directory), "again");
}

TEST(Loading, QuarantinedFilesAreBounded) {
    SimulatedDirectory directory;
    int logged = 0;
    for (int i = 1; i <= 40; ++i) {
        put(directory, numbered(i), "damaged");
        RecordStore store(
            directory, [&](const std::string& line) { logged += line.find("deleted") != std::string::npos; });
        store.load("world", kAcceptAll);
    }
    EXPECT_EQ(directory.visible.size(), RecordStore::kMaxQuarantined);
    EXPECT_EQ(directory.visible.count("bad-" + numbered(40)), 1u);
    EXPECT_EQ(logged, 40 - static_cast<int>(RecordStore::kMaxQuarantined)) << "each deletion is logged";
}

TEST(Saving, RetainsTheNewestRecordsOnly) {
    SimulatedDirectory directory;
    RecordStore store(directory, kNoLog);
    for (int i = 0; i < 50; ++i) ASSERT_EQ(store.save("world", "x"), std::error_code());
    EXPECT_EQ(directory.visible.size(), RecordStore::kMaxRecords);
}

// ---- The real file system and the background writer -------------------------------------------------------

struct TemporaryDirectory {
    std::string path = testing::TempDir() + "ochregrade_store_" + std::to_string(::getpid());
    TemporaryDirectory() { std::filesystem::remove_all(path); }
    ~TemporaryDirectory() { std::filesystem::remove_all(path); }
};

TEST(FileSystemDirectory, RetainsRecordsAndIsLockedByOneProcess) {
    TemporaryDirectory temp;
    {
        auto opened = open_directory(temp.path);
        ASSERT_TRUE(opened.directory);
        RecordStore store(*opened.directory, kNoLog);
        EXPECT_EQ(store.save("world", "kept"), std::error_code());
        const auto second = open_directory(temp.path);
        EXPECT_FALSE(second.directory);
        EXPECT_EQ(second.error, std::errc::operation_would_block);
    }
    auto opened = open_directory(temp.path);
    ASSERT_TRUE(opened.directory) << "the lock is released with the directory object";
    RecordStore store(*opened.directory, kNoLog);
    EXPECT_EQ(store.load("world", kAcceptAll)->payload, "kept");
    std::ofstream(temp.path + "/" + numbered(9)).flush();  // an empty file with a record's name
    RecordStore later(*opened.directory, kNoLog);
    EXPECT_EQ(later.load("world", kAcceptAll)->payload, "kept");
    EXPECT_TRUE(std::filesystem::exists(temp.path + "/bad-" + numbered(9)));
}

TEST(FileSystemDirectory, ReportsWhyItCannotBeOpened) {
    TemporaryDirectory temp;
    std::ofstream(temp.path) << "a file";
    EXPECT_EQ(open_directory(temp.path).error, std::errc::not_a_directory);
    EXPECT_EQ(open_directory(temp.path + "/below/below").error, std::errc::not_a_directory);
}

class SlowDirectory : public SimulatedDirectory {
public:
    std::error_code sync() override {
        while (!go) std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return failing ? make_error_code(std::errc::io_error) : SimulatedDirectory::sync();
    }
    std::atomic<bool> go{false}, failing{false};
};

TEST(BackgroundWriter, NewerStatesReplacePendingOnesWhileTheDiskIsSlow) {
    auto directory = std::make_shared<SlowDirectory>();
    auto store = std::make_shared<RecordStore>(*directory, kNoLog);
    BackgroundWriter writer(directory, store);
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 1000; ++i) writer.submit("world", "state " + std::to_string(i));
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(10))
        << "submit() does not wait for the disk";
    directory->go = true;
    ASSERT_TRUE(writer.settled(std::chrono::seconds(30)));
    EXPECT_LE(writer.counts().written, 3u);
    EXPECT_GE(writer.counts().coalesced, 997u);
    EXPECT_EQ(found_in(*directory), "state 999");
}

TEST(BackgroundWriter, FailedWritesAreRetriedUntilTheDiskRecovers) {
    auto directory = std::make_shared<SlowDirectory>();
    directory->go = directory->failing = true;
    auto store = std::make_shared<RecordStore>(*directory, kNoLog);
    BackgroundWriter writer(directory, store, std::chrono::milliseconds(2));
    writer.submit("world", "one");
    while (writer.counts().failed < 3) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    EXPECT_EQ(writer.counts().last_error, std::error_code(EIO, std::generic_category()));
    EXPECT_EQ(writer.counts().last_error.message(), "Input/output error");
    writer.submit("world", "two");
    directory->failing = false;
    ASSERT_TRUE(writer.settled(std::chrono::seconds(30)));
    EXPECT_EQ(found_in(*directory), "two");
}

TEST(BackgroundWriter, PendingStateIsWrittenByTheDestructor) {
    auto directory = std::make_shared<SlowDirectory>();
    directory->go = true;
    {
        BackgroundWriter writer(directory, std::make_shared<RecordStore>(*directory, kNoLog));
        writer.submit("config", "c");
        writer.submit("world", "last");
    }
    EXPECT_EQ(found_in(*directory), "last");
}

}  // namespace
}  // namespace ochregrade::storage
