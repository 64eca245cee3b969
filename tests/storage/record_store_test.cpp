// Durable state on a file system that loses whatever it is allowed to lose: every crash point, every allowed
// set of surviving writes and names, and every single failing call.
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

const auto kSense = [](const Record&) { return std::string(); };
const auto kQuiet = [](const std::string&) {};

std::string found_in(SimFolder& folder) {
    Store store(folder, kQuiet);
    const auto record = store.load("world", kSense);
    return record ? record->payload : "nothing";
}

// Saves one after the other; what may be found at any moment is in `allowed`.
struct Life {
    std::set<std::string> allowed = {"nothing"};
    void run(SimFolder& folder, int saves) {
        Store store(folder, kQuiet);
        store.load("world", kSense);
        for (int i = 1; i <= saves; ++i) {
            const std::string payload = "state " + std::to_string(i) + std::string(50, 'x');
            allowed.insert(payload);
            if (store.save("world", payload) == 0) allowed = {payload};
        }
    }
};

void check_survivors(const SimFolder& folder, const std::set<std::string>& allowed, int& looked) {
    folder.for_each_survivor([&](SimFolder& after) {
        ++looked;
        SimFolder again = after;
        const std::string found = found_in(again);
        EXPECT_EQ(allowed.count(found), 1u) << "found: " << found;
        // And the next life goes on from there.
        SimFolder next = after;
        Store store(next, kQuiet);
        store.load("world", kSense);
        EXPECT_EQ(store.save("world", "afterwards"), 0);
        EXPECT_EQ(found_in(next), "afterwards");
    });
}

TEST(Recovery, FindsTheOldOrTheNewStateAfterACutAtAnyCall) {
    int looked = 0, cuts = 0;
    for (int at = 0;; ++at) {
        SimFolder folder;
        folder.crash_at = at;
        Life life;
        bool crashed = false;
        try {
            life.run(folder, 6);  // beyond what is kept, so that old ones go
        } catch (const Crash&) {
            crashed = true;
        }
        SCOPED_TRACE(at);
        check_survivors(folder, life.allowed, looked);
        if (HasFailure() || !crashed) break;
        ++cuts;
    }
    EXPECT_GE(cuts, 30);
    EXPECT_GT(looked, 100);
}

TEST(Recovery, FindsAWholeStateAfterAnyCallFailedAndACutAtAnyLater) {
    int looked = 0;
    for (const int error : {EIO, ENOSPC})
        for (const bool for_good : {false, true})
            for (int fail = 0; fail < 24; ++fail)
                for (int cut = fail + 1; cut < 30; ++cut) {
                    SimFolder folder;
                    folder.fail_at = fail, folder.fail_with = error, folder.fail_on = for_good;
                    folder.crash_at = cut;
                    Life life;
                    try {
                        life.run(folder, 5);
                    } catch (const Crash&) {
                    }
                    SCOPED_TRACE(std::to_string(fail) + " fails, cut at " + std::to_string(cut));
                    check_survivors(folder, life.allowed, looked);
                    if (HasFailure()) return;
                }
    EXPECT_GT(looked, 5000);
}

TEST(Recovery, ASyncThatFailedIsAFailureAndTheOldStateStays) {
    SimFolder folder;
    Store store(folder, kQuiet);
    ASSERT_EQ(store.save("world", "old"), 0);
    folder.fail_at = folder.calls + 2;  // after create and write
    folder.fail_with = EIO;
    EXPECT_EQ(store.save("world", "new"), EIO);
    EXPECT_EQ(found_in(folder), "old");
    EXPECT_EQ(store.save("world", "newer"), 0) << "written anew, not synced again";
    EXPECT_EQ(found_in(folder), "newer");
}

TEST(Records, AnyFlippedBitAndAnyCutIsNoticed) {
    const std::string good = encode({"world", 7, "some state or other"});
    ASSERT_EQ(decode(good).record.payload, "some state or other");
    EXPECT_EQ(decode(good).record.sequence, 7u);
    for (std::size_t i = 0; i < good.size(); ++i) {
        for (int bit = 0; bit < 8; ++bit) {
            std::string bad = good;
            bad[i] = static_cast<char>(bad[i] ^ 1 << bit);
            EXPECT_EQ(decode(bad).fault, Fault::damaged) << i;
        }
        EXPECT_EQ(decode(good.substr(0, i)).fault, Fault::damaged) << i;
    }
    EXPECT_EQ(decode(good + "x").fault, Fault::damaged);
}

// The checksum of the standard's test vector, so that the format is the one it claims to be.
TEST(Records, TheChecksumIsCrc32c) {
    std::string bytes = encode({"a", 0, ""});
    // Magic, version 1, length 1, "a", sequence 0, length 0: computed once with an independent
    // implementation.
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

TEST(Records, RandomBytesAreDamaged) {
    std::uint64_t state = 3;
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = i % 2 ? "KELPREC1" : "";
        for (int n = 0; n < i % 90; ++n) {
            state = state * 6364136223846793005u + 1442695040888963407u;
            bytes += static_cast<char>(state >> 56);
        }
        EXPECT_EQ(decode(bytes).fault, Fault::damaged);
    }
}

void put(SimFolder& folder, const std::string& name, const std::string& bytes) {
    folder.seen_[name] = std::make_shared<SimFolder::File>(SimFolder::File{bytes, bytes});
}
std::string numbered(int n) {
    const std::string digits = std::to_string(n);
    return "world-" + std::string(20 - digits.size(), '0') + digits + ".rec";
}

TEST(Loading, SetsAsideWhatIsBadAndSaysSo) {
    SimFolder folder;
    put(folder, numbered(1), encode({"world", 1, "good"}));
    put(folder, numbered(2), encode({"world", 2, "makes no sense"}));
    put(folder, numbered(3), "");
    put(folder, numbered(4), encode({"other", 4, "of another kind"}));
    put(folder, numbered(5), encode({"world", 5, "whole"}).substr(0, 30));
    put(folder, "half-" + numbered(6), "never finished");
    put(folder, "a stranger's", "kept");
    std::vector<std::string> said;
    Store store(folder, [&](const std::string& line) { said.push_back(line); });
    const auto found = store.load("world", [](const Record& r) {
        return r.payload == "makes no sense" ? std::string("nonsense") : std::string();
    });
    ASSERT_TRUE(found);
    EXPECT_EQ(found->payload, "good");
    EXPECT_EQ(said.size(), 4u);
    for (const int n : {2, 3, 4, 5}) EXPECT_EQ(folder.seen_.count("bad-" + numbered(n)), 1u) << n;
    EXPECT_EQ(folder.seen_.count("half-" + numbered(6)), 0u);
    EXPECT_EQ(folder.seen_.count("a stranger's"), 1u);
    EXPECT_EQ(store.save("world", "next"), 0);
    EXPECT_EQ(folder.seen_.count(numbered(7)), 1u) << "a number is never used twice";
}

TEST(Loading, ANewerVersionsRecordsAreLeftAlone) {
    SimFolder folder;
    std::string newer = encode({"world", 9, "from the future"});
    newer[8] = 2;
    std::uint32_t crc = 0xFFFFFFFF;
    for (std::size_t i = 0; i + 4 < newer.size(); ++i) {
        crc ^= static_cast<unsigned char>(newer[i]);
        for (int bit = 0; bit < 8; ++bit) crc = crc & 1 ? crc >> 1 ^ 0x82F63B78 : crc >> 1;
    }
    for (std::size_t i = 0; i < 4; ++i) newer[newer.size() - 4 + i] = static_cast<char>(~crc >> (8 * i));
    put(folder, numbered(8), encode({"world", 8, "ours"}));
    put(folder, numbered(9), newer);
    Store store(folder, kQuiet);
    EXPECT_EQ(store.load("world", kSense)->payload, "ours");
    for (int i = 0; i < 10; ++i) EXPECT_EQ(store.save("world", "again"), 0);
    EXPECT_EQ(folder.seen_.count(numbered(9)), 1u) << "the newer program may come back";
    EXPECT_EQ(found_in(folder), "again");
}

TEST(Loading, FilesSetAsideAreBounded) {
    SimFolder folder;
    int said = 0;
    for (int i = 1; i <= 40; ++i) {
        put(folder, numbered(i), "damaged");
        Store store(folder,
                    [&](const std::string& line) { said += line.find("deleted") != std::string::npos; });
        store.load("world", kSense);
    }
    EXPECT_EQ(folder.seen_.size(), Store::kAside);
    EXPECT_EQ(folder.seen_.count("bad-" + numbered(40)), 1u);
    EXPECT_EQ(said, 40 - static_cast<int>(Store::kAside)) << "never silently";
}

TEST(Saving, KeepsTheLastOnesAndNoMore) {
    SimFolder folder;
    Store store(folder, kQuiet);
    for (int i = 0; i < 50; ++i) ASSERT_EQ(store.save("world", "x"), 0);
    EXPECT_EQ(folder.seen_.size(), Store::kKept);
}

// ---- The real folder and the writer's thread -------------------------------------------------------------

struct TempFolder {
    std::string path = testing::TempDir() + "ochregrade_store_" + std::to_string(::getpid());
    TempFolder() { std::filesystem::remove_all(path); }
    ~TempFolder() { std::filesystem::remove_all(path); }
};

TEST(RealFolder, KeepsWhatWasSavedAndIsOneProcesssOnly) {
    TempFolder temp;
    {
        auto opened = open_folder(temp.path);
        ASSERT_TRUE(opened.folder);
        Store store(*opened.folder, kQuiet);
        EXPECT_EQ(store.save("world", "kept"), 0);
        const auto second = open_folder(temp.path);
        EXPECT_FALSE(second.folder);
        EXPECT_EQ(second.error, EWOULDBLOCK);
    }
    auto opened = open_folder(temp.path);
    ASSERT_TRUE(opened.folder) << "the lock goes with its holder";
    Store store(*opened.folder, kQuiet);
    EXPECT_EQ(store.load("world", kSense)->payload, "kept");
    std::ofstream(temp.path + "/" + numbered(9)).flush();  // an empty file
    Store later(*opened.folder, kQuiet);
    EXPECT_EQ(later.load("world", kSense)->payload, "kept");
    EXPECT_TRUE(std::filesystem::exists(temp.path + "/bad-" + numbered(9)));
}

TEST(RealFolder, SaysWhyItCanNotBeOpened) {
    TempFolder temp;
    std::ofstream(temp.path) << "a file";
    EXPECT_EQ(open_folder(temp.path).error, ENOTDIR);
    EXPECT_EQ(open_folder(temp.path + "/below/below").error, ENOTDIR);
}

class SlowFolder : public SimFolder {
public:
    int sync() override {
        while (!go) std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return failing ? EIO : SimFolder::sync();
    }
    std::atomic<bool> go{false}, failing{false};
};

TEST(WriterThread, LaterStatesReplaceEarlierOnesWhileTheDiskIsSlow) {
    auto folder = std::make_shared<SlowFolder>();
    auto store = std::make_shared<Store>(*folder, kQuiet);
    Writer writer(folder, store);
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 1000; ++i) writer.submit("world", "state " + std::to_string(i));
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(10)) << "nobody waited for it";
    folder->go = true;
    ASSERT_TRUE(writer.settled(std::chrono::seconds(30)));
    EXPECT_LE(writer.counts().written, 3u);
    EXPECT_GE(writer.counts().coalesced, 997u);
    EXPECT_EQ(found_in(*folder), "state 999");
}

TEST(WriterThread, WhatFailsIsTriedAgainUntilTheDiskIsBack) {
    auto folder = std::make_shared<SlowFolder>();
    folder->go = folder->failing = true;
    auto store = std::make_shared<Store>(*folder, kQuiet);
    Writer writer(folder, store, std::chrono::milliseconds(2));
    writer.submit("world", "one");
    while (writer.counts().failed < 3) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    EXPECT_EQ(writer.counts().last_error, EIO);
    writer.submit("world", "two");
    folder->failing = false;
    ASSERT_TRUE(writer.settled(std::chrono::seconds(30)));
    EXPECT_EQ(found_in(*folder), "two");
}

TEST(WriterThread, TheLastStateIsWrittenAtTheEnd) {
    auto folder = std::make_shared<SlowFolder>();
    folder->go = true;
    {
        Writer writer(folder, std::make_shared<Store>(*folder, kQuiet));
        writer.submit("config", "c");
        writer.submit("world", "last");
    }
    EXPECT_EQ(found_in(*folder), "last");
}

}  // namespace
}  // namespace ochregrade::storage
