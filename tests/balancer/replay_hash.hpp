// One hash of all the events, times and actions of a replayed lifetime. In: the values, one by one or an
// action at a time, in their order. Out: 64 bits. Values are hashed, never names or memory, so that renamed
// types give the same hash.
#pragma once
#include <bit>
#include <cstdint>
#include <vector>

#include "ochregrade/balancer.hpp"

namespace ochregrade::test {

class ReplayHash {
public:
    void add_number(std::uint64_t value);
    void add_real(double value) { add_number(std::bit_cast<std::uint64_t>(value)); }
    void add_bytes(const std::vector<std::uint8_t>& bytes) {
        add_number(bytes.size());
        for (const std::uint8_t byte : bytes) add_number(byte);
    }
    void add_action(const Action& action);
    std::uint64_t value() const { return hash_; }

private:
    std::uint64_t hash_ = 0;
};

}  // namespace ochregrade::test
