#include "emulator/warm_up.h"

#include <algorithm>

namespace whinpost::emulator {

namespace {
constexpr double kUnlimited = 1e6;
}

double WarmUp::capacity(Nanos now) const {
    if (!started_at_) return 1;
    const double part = static_cast<double>(now - started_at_) / static_cast<double>(settings_.warm_up_time);
    if (part >= 1) return 1;
    return settings_.initial_capacity + (1 - settings_.initial_capacity) * std::max(0.0, part);
}

double WarmUp::attempt_limit(Nanos now) const {
    if (complete(now)) return kUnlimited;
    const double starts_per_second =
        settings_.concurrent_starts /
        (static_cast<double>(settings_.start_time) / 1e9 * settings_.missing_image_factor);
    return std::max(settings_.guaranteed_attempts, settings_.overload_factor * capacity(now) *
                                                       starts_per_second *
                                                       static_cast<double>(settings_.overload_window) / 1e9);
}

bool WarmUp::overloads(Nanos now) {
    if (complete(now)) return false;
    while (!attempts_.empty() && now - attempts_.front() >= settings_.overload_window) attempts_.pop_front();
    attempts_.push_back(now);
    return static_cast<double>(attempts_.size()) > attempt_limit(now);
}

}  // namespace whinpost::emulator
