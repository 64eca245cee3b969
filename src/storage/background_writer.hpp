// Writes records on a separate thread, one at a time, so that the event loop never waits for the disk. Only
// the newest payload of each kind is pending: a slow disk makes the stored state older but does not make the
// queue grow. Failed writes are retried with exponential backoff, from first_backoff up to 64 times that.
#pragma once

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <system_error>
#include <thread>

#include "storage/record_store.hpp"

namespace ochregrade::storage {

class BackgroundWriter {
public:
    struct Counts {
        std::uint64_t written = 0, failed = 0, coalesced = 0, bytes = 0;
        std::error_code last_error;  // result of the last write; empty if that write succeeded
    };
    using Clock = std::chrono::steady_clock;

    BackgroundWriter(std::shared_ptr<Directory> directory, std::shared_ptr<RecordStore> store,
                     std::chrono::milliseconds first_backoff = std::chrono::milliseconds(1000));
    /// Waits for at most 1 s while the thread makes one attempt to write each pending payload. The thread
    /// drops a pending payload if a write of the same kind fails during this time.
    ~BackgroundWriter();
    BackgroundWriter(const BackgroundWriter&) = delete;
    BackgroundWriter& operator=(const BackgroundWriter&) = delete;

    /// Queues the payload; it replaces a pending payload of the same kind. Never waits for the disk.
    void submit(const std::string& kind, std::string payload);
    Counts counts() const;
    /// Waits until all submitted payloads are on the disk. Returns false if that takes longer than `within`.
    bool settled(std::chrono::milliseconds within);

private:
    /// Shared with the thread, which may outlive this object if the disk does not respond.
    struct Shared {
        std::shared_ptr<Directory> directory;
        std::shared_ptr<RecordStore> store;
        std::chrono::milliseconds first_backoff;
        std::mutex mutex;
        std::condition_variable changed;
        std::map<std::string, std::string> pending;  // payload by kind
        bool writing = false, stop = false, ended = false;
        Counts counts;
    };
    static void run(const std::shared_ptr<Shared>& shared);

    std::shared_ptr<Shared> shared_;
    std::thread thread_;
};

}  // namespace ochregrade::storage
