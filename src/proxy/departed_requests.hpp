// The correlation ids of requests that must not run twice and whose clients disconnected before they had the
// response, although the request may have run. If such an id arrives again, it is the same request on another
// connection. Uses no sockets and no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

class DepartedRequests {
public:
    /// Milliseconds for which an id is remembered: no client waits longer for the answer to a request.
    static constexpr Millis kRetention = 60000;
    /// The oldest id is forgotten beyond this number, which bounds the memory to some 0.5 MB.
    static constexpr std::size_t kMaxIds = 8192;

    /// `seed` makes the hashes by which the ids are kept unpredictable for clients.
    explicit DepartedRequests(std::uint64_t seed) : seed_(seed) {}
    /// `now` is in Clock milliseconds and never decreases from call to call.
    void add(std::string_view id, Millis now);
    bool contains(std::string_view id, Millis now);
    std::size_t size() const { return hashes_.size(); }

private:
    struct Entry {
        std::uint64_t hash = 0;
        Millis added_at = 0;
    };

    std::uint64_t hash_of(std::string_view id) const;
    void remove_expired(Millis now);
    void remove_oldest();

    std::uint64_t seed_;
    std::deque<Entry> entries_;  // oldest first
    std::unordered_set<std::uint64_t> hashes_;
};

}  // namespace ochregrade::sidecar
