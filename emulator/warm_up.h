// Slow start of an emulated worker. Its capacity grows linearly from an initial share to 1. During the
// warm-up, more attempts within a window than its limit make it fail; rejected attempts count too.
#pragma once
#include <deque>

#include "emulator/worker_settings.h"

namespace whinpost::emulator {

class WarmUp {
public:
    // `started_at` 0: the warm-up is over. The settings must outlive this object.
    WarmUp(const EmulatedWorkerSettings& settings, Nanos started_at)
        : settings_(settings), started_at_(started_at) {}

    // Current share of the full capacity; 1 once the warm-up is complete.
    double capacity(Nanos now) const;
    bool complete(Nanos now) const { return capacity(now) >= 1; }
    // The number of attempts that it can take within a window that begins now.
    double attempt_limit(Nanos now) const;
    // Counts an attempt. True if it exceeds the limit.
    [[nodiscard]] bool overloads(Nanos now);

private:
    const EmulatedWorkerSettings& settings_;
    Nanos started_at_;
    std::deque<Nanos> attempts_;  // arrival times within the window
};

}  // namespace whinpost::emulator
