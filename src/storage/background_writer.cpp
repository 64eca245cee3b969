#include "storage/background_writer.hpp"

#include <algorithm>

namespace ochregrade::storage {

namespace {
constexpr int kMaxBackoffDoublings = 6;
constexpr std::chrono::seconds kShutdownTimeout{1};
}  // namespace

BackgroundWriter::BackgroundWriter(std::shared_ptr<Directory> directory, std::shared_ptr<RecordStore> store,
                                   std::chrono::milliseconds first_backoff)
    : shared_(std::make_shared<Shared>()) {
    shared_->directory = std::move(directory);
    shared_->store = std::move(store);
    shared_->first_backoff = first_backoff;
    thread_ = std::thread([shared = shared_] { run(shared); });
}

BackgroundWriter::~BackgroundWriter() {
    std::unique_lock lock(shared_->mutex);
    shared_->stop = true;
    shared_->changed.notify_all();
    const bool ended = shared_->changed.wait_for(lock, kShutdownTimeout, [&] { return shared_->ended; });
    lock.unlock();
    if (ended)
        thread_.join();
    else
        thread_.detach();  // the thread is blocked in the kernel; it shares ownership of all that it uses
}

void BackgroundWriter::submit(const std::string& kind, std::string payload) {
    const std::lock_guard lock(shared_->mutex);
    const auto [entry, inserted] = shared_->pending.insert_or_assign(kind, std::move(payload));
    if (!inserted) ++shared_->counts.coalesced;
    shared_->changed.notify_all();
}

BackgroundWriter::Counts BackgroundWriter::counts() const {
    const std::lock_guard lock(shared_->mutex);
    return shared_->counts;
}

bool BackgroundWriter::settled(std::chrono::milliseconds within) {
    std::unique_lock lock(shared_->mutex);
    return shared_->changed.wait_for(lock, within,
                                     [&] { return shared_->pending.empty() && !shared_->writing; });
}

void BackgroundWriter::run(const std::shared_ptr<Shared>& shared) {
    Shared& s = *shared;
    std::unique_lock lock(s.mutex);
    int failures = 0;  // consecutive
    for (;;) {
        s.changed.wait(lock, [&] { return s.stop || !s.pending.empty(); });
        if (s.pending.empty()) break;
        auto next = s.pending.extract(s.pending.begin());
        s.writing = true;
        lock.unlock();
        const std::error_code error = s.store->save(next.key(), next.mapped());
        lock.lock();
        s.writing = false;
        s.counts.last_error = error;
        if (!error) {
            failures = 0;
            ++s.counts.written;
            s.counts.bytes += next.mapped().size();
            s.changed.notify_all();
            continue;
        }
        ++s.counts.failed;
        if (s.stop) {  // no retry during shutdown, not even with a newer payload of the kind
            s.pending.erase(next.key());
            continue;
        }
        s.pending.insert(std::move(next));  // no effect if a newer payload of the kind has been submitted
        const auto backoff = s.first_backoff * (1 << std::min(failures++, kMaxBackoffDoublings));
        s.changed.wait_for(lock, backoff, [&] { return s.stop; });
    }
    s.ended = true;
    s.changed.notify_all();
}

}  // namespace ochregrade::storage
