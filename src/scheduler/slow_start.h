// Slow start: how many attempts a worker may get while it warms up.
//
// All schedulers together may send a stated number of attempts to such a worker in any window. Time is cut
// into turns as long as a window, which overlaps two of them at most, so half of that number is dealt out in
// each turn: the schedulers stand in a circle that moves on by one each turn; the one at position p gets what
// the running total of the half gains from p to p + 1. Guards against any rush to a worker that warms up, by
// however many schedulers at once. It needs clocks that agree to a part of the window.
#pragma once
#include <cstdint>

#include "whinpost/nanos.h"
#include "whinpost/scheduler_settings.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {

class SlowStart {
public:
    explicit SlowStart(const SlowStartSettings& settings) : settings_(settings) {}

    // What this scheduler may send, in the turn of `now`, to the worker of that hash.
    static std::int64_t tokens(const SlowStartSettings&, std::uint64_t name_hash, Nanos now);

    void start(Nanos now) { started_at_ = now; }  // when this scheduler started
    bool is_warming_up(Nanos now, const Worker& worker) const {
        return worker.endpoint.started_at > 0 &&
               now - worker.endpoint.started_at < settings_.warm_up_time + settings_.window;
    }
    // Whether one more attempt may be sent to a worker that warms up.
    bool allows(Nanos now, Worker&) const;
    void on_attempt_sent(Nanos now, Worker&) const;

private:
    const SlowStartSettings settings_;
    Nanos started_at_ = 0;
};

}  // namespace whinpost::scheduler
