// Slow start: limits the attempts that a worker may get while it is warming up.
//
// All schedulers together may send a configured number of attempts to such a worker in any window. Time is
// divided into turns of one window each. A window overlaps at most two turns, so half of that number is
// distributed in each turn. The schedulers form a circle that rotates by one position each turn; with n
// schedulers, the one at position p gets floor((p + 1) * half / n) - floor(p * half / n) attempts. Guards
// against bursts of attempts to a worker that is warming up, from any number of schedulers at once. Requires
// clocks that agree to within a fraction of the window.
#pragma once
#include <cstdint>

#include "whinpost/nanos.h"
#include "whinpost/scheduler_settings.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {

class SlowStart {
public:
    explicit SlowStart(const SlowStartSettings& settings) : settings_(settings) {}

    // Number of attempts that this scheduler may send to the worker with this name hash in the turn of `now`.
    static std::int64_t tokens(const SlowStartSettings&, std::uint64_t name_hash, Nanos now);

    void start(Nanos now) { started_at_ = now; }  // when this scheduler started
    bool is_warming_up(Nanos now, const Worker& worker) const {
        return worker.endpoint.started_at > 0 &&
               now - worker.endpoint.started_at < settings_.warm_up_time + settings_.window;
    }
    // Whether one more attempt may be sent to a worker that is warming up.
    bool allows(Nanos now, Worker&) const;
    void on_attempt_sent(Nanos now, Worker&) const;

private:
    const SlowStartSettings settings_;
    Nanos started_at_ = 0;
};

}  // namespace whinpost::scheduler
