// Memory that several owners share up to a common limit. An owner reserves what its data occupies before it
// keeps the data, and has to do without the data if the limit would be exceeded.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace ochregrade::sidecar {

class MemoryBudget {
public:
    explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
    /// Lowering the limit below the current use releases nothing; it only prevents further reservations.
    void set_limit(std::size_t limit) { limit_ = limit; }
    std::size_t reserved() const { return reserved_; }
    /// Called whenever memory has been released. Must not change reservations.
    std::function<void()> on_release;

private:
    friend class MemoryReservation;
    std::size_t limit_;  // bytes
    std::size_t reserved_ = 0;
};

/// One owner's part of a budget, released with the object. The first `free_bytes` of the owner's data are
/// always granted and do not count towards the budget.
class MemoryReservation {
public:
    MemoryReservation(std::shared_ptr<MemoryBudget> budget, std::size_t free_bytes)
        : budget_(std::move(budget)), free_bytes_(free_bytes) {}
    ~MemoryReservation() { release(); }
    MemoryReservation(const MemoryReservation&) = delete;
    MemoryReservation& operator=(const MemoryReservation&) = delete;

    /// Changes the reservation to `bytes` in all. Returns false, and changes nothing, if it would grow beyond
    /// the budget's limit.
    bool resize(std::size_t bytes) {
        const std::size_t counted = bytes > free_bytes_ ? bytes - free_bytes_ : 0;
        const std::size_t others = budget_->reserved_ - counted_;
        if (counted > counted_ && others + counted > budget_->limit_) return false;
        set(counted);
        return true;
    }
    /// Changes the reservation to `bytes` in all, also beyond the budget's limit.
    void take(std::size_t bytes) { set(bytes > free_bytes_ ? bytes - free_bytes_ : 0); }
    void release() { take(0); }
    /// Returns a reservation that takes over what this one has reserved; this one reserves nothing then.
    MemoryReservation hand_over() { return {budget_, free_bytes_, std::exchange(counted_, 0)}; }

private:
    MemoryReservation(std::shared_ptr<MemoryBudget> budget, std::size_t free_bytes, std::size_t counted)
        : budget_(std::move(budget)), free_bytes_(free_bytes), counted_(counted) {}
    void set(std::size_t counted) {
        const std::size_t before = std::exchange(counted_, counted);
        budget_->reserved_ = budget_->reserved_ - before + counted;
        if (counted < before && budget_->on_release) budget_->on_release();
    }

    std::shared_ptr<MemoryBudget> budget_;
    std::size_t free_bytes_;
    std::size_t counted_ = 0;  // bytes of this owner in the budget
};

}  // namespace ochregrade::sidecar
