// Hash of all events, times and actions of a replayed run. Input: single values or actions, in order. Output:
// 64 bits. Only values are hashed, neither names nor object representations, so that renaming a type does not
// change the hash.
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
