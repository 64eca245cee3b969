#include "storage/background_writer.hpp"

#include <algorithm>

namespace ochregrade::storage {

namespace {
constexpr int kMostDoublings = 6;
constexpr std::chrono::seconds kPatience{1};
}  // namespace

Writer::Writer(std::shared_ptr<Folder> folder, std::shared_ptr<Store> store,
               std::chrono::milliseconds first_wait)
    : shared_(std::make_shared<Shared>()) {
    shared_->folder = std::move(folder);
    shared_->store = std::move(store);
    shared_->first_wait = first_wait;
    thread_ = std::thread([shared = shared_] { run(shared); });
}

Writer::~Writer() {
    std::unique_lock lock(shared_->mutex);
    shared_->stop = true;
    shared_->changed.notify_all();
    const bool ended = shared_->changed.wait_for(lock, kPatience, [&] { return shared_->ended; });
    lock.unlock();
    if (ended)
        thread_.join();
    else
        thread_.detach();  // stuck in the kernel; it holds all that it uses
}

void Writer::submit(const std::string& kind, std::string payload) {
    const std::lock_guard lock(shared_->mutex);
    const auto [at, fresh] = shared_->waiting.insert_or_assign(kind, std::move(payload));
    if (!fresh) ++shared_->counts.coalesced;
    shared_->changed.notify_all();
}

Writer::Counts Writer::counts() const {
    const std::lock_guard lock(shared_->mutex);
    return shared_->counts;
}

bool Writer::settled(std::chrono::milliseconds within) {
    std::unique_lock lock(shared_->mutex);
    return shared_->changed.wait_for(lock, within,
                                     [&] { return shared_->waiting.empty() && !shared_->writing; });
}

void Writer::run(const std::shared_ptr<Shared>& shared) {
    Shared& s = *shared;
    std::unique_lock lock(s.mutex);
    int failures = 0;  // in a row
    for (;;) {
        s.changed.wait(lock, [&] { return s.stop || !s.waiting.empty(); });
        if (s.waiting.empty()) break;
        auto next = s.waiting.extract(s.waiting.begin());
        s.writing = true;
        lock.unlock();
        const int error = s.store->save(next.key(), next.mapped());
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
        if (s.stop) {  // once is enough now
            s.waiting.erase(next.key());
            continue;
        }
        s.waiting.insert(std::move(next));  // unless a newer one waits by now
        const auto wait = s.first_wait * (1 << std::min(failures++, kMostDoublings));
        s.changed.wait_for(lock, wait, [&] { return s.stop; });
    }
    s.ended = true;
    s.changed.notify_all();
}

}  // namespace ochregrade::storage
