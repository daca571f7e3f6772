// The slow start of an emulated worker: its capacity grows from a part to the whole, and while it does, more
// attempts within a window than it bears make it fail. Attempts that it rejects count too.
#pragma once
#include <deque>

#include "emulator/worker_settings.h"

namespace whinpost::emulator {

class WarmUp {
public:
    // `started_at` 0: long ago, and warm. The settings must outlive this.
    WarmUp(const EmulatedWorkerSettings& settings, Nanos started_at)
        : settings_(settings), started_at_(started_at) {}

    // 1 when it is complete.
    double capacity(Nanos now) const;
    bool complete(Nanos now) const { return capacity(now) >= 1; }
    // How many attempts it bears within a window that begins now.
    double attempt_limit(Nanos now) const;
    // Counts an attempt. True: it was one too many.
    [[nodiscard]] bool overloads(Nanos now);

private:
    const EmulatedWorkerSettings& settings_;
    Nanos started_at_;
    std::deque<Nanos> attempts_;  // within the window
};

}  // namespace whinpost::emulator
