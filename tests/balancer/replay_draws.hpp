// Random settings and values for the replayed runs. The same seed gives the same values on every platform.
#pragma once
#include <cstdint>
#include <initializer_list>
#include <random>

#include "ochregrade/balancer.hpp"

namespace ochregrade::test {

// Random values, computed directly from the output of a standard engine, because the standard distributions
// differ between implementations of the library.
class RandomDraws {
public:
    explicit RandomDraws(std::uint64_t seed) : engine_(seed) {}
    double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
    double between(double low, double high) { return low + (high - low) * unit(); }
    std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }
    bool chance(double probability) { return unit() < probability; }
    template <class T>
    T one_of(std::initializer_list<T> values) {
        return *(values.begin() + below(values.size()));
    }

private:
    std::mt19937_64 engine_;
};

RequestClass draw_class(RandomDraws& draws);
Settings draw_settings(RandomDraws& draws);

}  // namespace ochregrade::test
