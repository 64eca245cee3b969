// The random number generator SplitMix64 (Steele, Lea, Flood: Fast Splittable Pseudorandom Number Generators,
// OOPSLA 2014). It returns the same numbers with every standard library, so that a seed and a sequence of
// events determine all actions of a balancer.
#pragma once

#include <cstddef>
#include <cstdint>

namespace ochregrade {

class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}
    /// Uniform in [0, 1).
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
    /// Uniform in [0, n).
    std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }

private:
    std::uint64_t next() {
        std::uint64_t z = (state_ += 0x9e3779b97f4a7c15);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
        z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
        return z ^ (z >> 31);
    }
    std::uint64_t state_;
};

}  // namespace ochregrade
