// Translates times of day into moments of a clock that is never set.
#pragma once
#include <deque>

#include "whinpost/nanos.h"

namespace whinpost::net {

// The time of day may be stepped at any moment, forward or back. Each step begins a new period with an offset
// of its own; a time of day is translated by the period in which it occurred. No clock is read here.
class UnixClock {
public:
    // `offset`: the time of day less the steady clock.
    UnixClock(Nanos steady_now, Nanos offset) : periods_{{steady_now, offset}}, initial_offset_(offset) {}

    // To be called often: a step is dated by the call that finds it.
    void update(Nanos steady_now, Nanos offset);
    // On the steady clock, `steady_now` at the latest. Where a time of day occurred twice, the later moment;
    // where a step left it out, the moment of the step.
    Nanos to_steady(Nanos unix_time, Nanos steady_now) const;
    // Of the start: what is added to the steady clock to make it look like the time of day.
    Nanos initial_offset() const { return initial_offset_; }

private:
    struct Period {
        Nanos began_at;  // on the steady clock
        Nanos offset;
    };
    std::deque<Period> periods_;  // never empty, the oldest first
    Nanos initial_offset_;
};

}  // namespace whinpost::net
