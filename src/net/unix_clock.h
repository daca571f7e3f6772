// Converts times of day (Unix time) to a steady clock.
#pragma once
#include <deque>

#include "whinpost/nanos.h"

namespace whinpost::net {

// The system's time of day may be stepped at any time, forward or back. Each step starts a new period with
// its own offset, and a time of day is converted with the offset of the period in which it occurred. Reads no
// clock itself.
class UnixClock {
public:
    // `offset`: the time of day minus the steady clock.
    UnixClock(Nanos steady_now, Nanos offset) : periods_{{steady_now, offset}}, initial_offset_(offset) {}

    // To be called often: a step counts as made at the first call after it.
    void update(Nanos steady_now, Nanos offset);
    // Converts `unix_time` to the steady clock; a result after `steady_now` is replaced with `steady_now`. A
    // time of day that occurred twice is converted to the later occurrence, and one that a step skipped to
    // the time of the step.
    Nanos to_steady(Nanos unix_time, Nanos steady_now) const;
    // The offset passed to the constructor.
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
