// Hierarchical timing wheel (G. Varghese, A. Lauck: "Hashed and hierarchical timing wheels", SOSP 1987,
// scheme 7). The cost of arming and disarming does not depend on the number of timers: a placer cancels
// nearly every deadline that it sets. The wheel reads no clock; the caller passes the time.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>

#include "whinpost/scheduler.h"

namespace whinpost::timer_wheel {

class TimerWheel;

// One deadline; derive from it to handle its expiry. The destructor removes it from its wheel. It can't be
// copied or moved, since the wheel points to it.
class Timer {
public:
    Timer() = default;
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    virtual ~Timer() { disarm(); }
    virtual void on_deadline(Nanos now) = 0;  // may arm any timer, or destroy this one

    bool armed() const { return next_ != nullptr; }
    Nanos deadline() const { return deadline_; }
    void disarm();

private:
    friend class TimerWheel;
    Timer* previous_ = nullptr;
    Timer* next_ = nullptr;
    TimerWheel* wheel_ = nullptr;
    Nanos deadline_ = 0;
    std::uint16_t slot_ = 0;
};

// Calls each timer's on_deadline() in the first run_timers() at or after its deadline. Timers fire in the
// order of their ticks, and within a tick in the order in which they were inserted into its slot.
class TimerWheel {
public:
    // One millisecond is short compared to any queue timeout, and is the resolution of the event loop's poll
    // timeout.
    static constexpr Nanos kTick = kMillisecond;

    explicit TimerWheel(Nanos now);
    ~TimerWheel();
    TimerWheel(const TimerWheel&) = delete;
    TimerWheel& operator=(const TimerWheel&) = delete;

    // Moves the timer if it is armed. A deadline in the past is due at the next tick.
    void arm(Timer&, Nanos at);
    // Does nothing if `now` is earlier than in the last call.
    void run_timers(Nanos now);
    std::size_t armed_timers() const { return armed_; }
    // A lower bound for the next deadline; 0 if no timer is armed. It is exact for deadlines within 256
    // ticks, else early by at most the span of one slot of the timer's level: a run at that time only moves
    // timers down a level.
    Nanos next_deadline() const;

private:
    friend class Timer;
    static constexpr int kLevels = 5, kBits = 8, kSlots = 1 << kBits;  // spans 256^5 ms = 34 years
    struct Head final : Timer {
        void on_deadline(Nanos) override {}
    };
    void insert(Timer&);
    void unlink(Timer&);
    void detach(int level, std::size_t slot, Head& detached);
    void redistribute(int level, std::size_t slot);
    void cascade();
    int first_used(int level, std::size_t from) const;

    std::int64_t tick_;  // the next tick to run
    std::size_t armed_ = 0;
    std::array<std::array<Head, kSlots>, kLevels> slots_;
    std::array<std::array<std::uint64_t, kSlots / 64>, kLevels> used_{};
};

}  // namespace whinpost::timer_wheel
