// Writes off the event loop: one at a time, on a thread of its own. Of each kind only the newest state waits,
// so a slow disk costs age and no memory. What fails is tried again, later each time.
#pragma once

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "storage/record_store.hpp"

namespace ochregrade::storage {

class Writer {
public:
    struct Counts {
        std::uint64_t written = 0, failed = 0, coalesced = 0, bytes = 0;
        int last_error = 0;  // of the last write; 0: it succeeded
    };
    using Clock = std::chrono::steady_clock;

    // Both must outlive the writer, unless they are only its own.
    Writer(std::shared_ptr<Folder> folder, std::shared_ptr<Store> store,
           std::chrono::milliseconds first_wait = std::chrono::milliseconds(1000));
    // What waits is written once more. A disk that does not answer is given up after a second.
    ~Writer();

    void submit(const std::string& kind, std::string payload);  // never waits for the disk
    Counts counts() const;
    // All that was submitted is on the disk, or its time is over.
    bool settled(std::chrono::milliseconds within);

private:
    struct Shared {
        std::shared_ptr<Folder> folder;
        std::shared_ptr<Store> store;
        std::chrono::milliseconds first_wait;
        std::mutex mutex;
        std::condition_variable changed;
        std::map<std::string, std::string> waiting;
        bool writing = false, stop = false, ended = false;
        Counts counts;
    };
    static void run(const std::shared_ptr<Shared>& shared);

    std::shared_ptr<Shared> shared_;
    std::thread thread_;
};

}  // namespace ochregrade::storage
