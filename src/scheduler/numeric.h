// Arithmetic helpers shared by the scheduler's modules.
#pragma once
#include <cstdint>

#include "whinpost/nanos.h"

namespace whinpost::scheduler {

inline double to_seconds(Nanos time) { return static_cast<double>(time) / 1e9; }
inline Nanos from_seconds(double seconds) { return static_cast<Nanos>(seconds * 1e9); }

// One step of an exponential moving average; `weight` is the weight of the sample.
inline double moving_average(double average, double sample, double weight) {
    return average + weight * (sample - average);
}

// The `index`-th hash of an evenly distributed series, which is the same at every scheduler.
inline std::uint64_t series_hash(std::uint64_t seed, std::uint64_t index) {
    std::uint64_t hash = seed ^ ((index + 1) * 0x9e3779b97f4a7c15u);
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9u;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebu;
    return hash ^ (hash >> 31);
}

}  // namespace whinpost::scheduler
