// Deadlines in a hierarchical timing wheel (G. Varghese, A. Lauck: "Hashed and hierarchical timing wheels",
// SOSP 1987, scheme 7). Arming and disarming cost the same whatever the number of timers, which is what a
// placer needs: nearly every deadline it sets is taken back before it comes. No clock: the caller passes the
// time.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>

#include "whinpost/scheduler.h"

namespace whinpost::timer_wheel {

class TimerWheel;

// One deadline. Derive from it or use it as a member of what it is for; it takes itself out of its wheel when
// destroyed. Not copied, not moved: the wheel points to it.
class Timer {
public:
    Timer() = default;
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    virtual ~Timer() { disarm(); }
    virtual void on_deadline(Nanos now) = 0;  // may arm this or any other timer again, or destroy this one

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

// Calls each timer's on_deadline() in the first run_timers() at or after its deadline: in the order of their
// ticks, and within a tick in the order in which they were inserted there.
class TimerWheel {
public:
    // One millisecond: a small part of any queue timeout, and the least that the event loop's own wait
    // resolves.
    static constexpr Nanos kTick = kMillisecond;

    explicit TimerWheel(Nanos now);
    ~TimerWheel();
    TimerWheel(const TimerWheel&) = delete;
    TimerWheel& operator=(const TimerWheel&) = delete;

    void arm(Timer&, Nanos at);  // an armed timer is moved; a deadline that has passed is due at the next run
    void run_timers(Nanos now);  // `now` never goes backwards; an earlier one is taken as the last
    std::size_t armed_timers() const { return armed_; }
    // No timer is due before this time; 0 if none is armed. Exact for those within 256 ticks, else early by
    // at most what one slot of the level spans: a run then only moves timers down a level.
    Nanos next_deadline() const;

private:
    friend class Timer;
    static constexpr int kLevels = 5, kBits = 8, kSlots = 1 << kBits;  // 256^5 ms: 34 years
    struct Head final : Timer {
        void on_deadline(Nanos) override {}
    };
    void insert(Timer&);
    void unlink(Timer&);
    void detach(int level, std::size_t slot, Head& detached);
    void spill(int level, std::size_t slot);
    void cascade();
    int first_used(int level, std::size_t from) const;

    std::int64_t tick_;  // all before it has been run
    std::size_t armed_ = 0;
    std::array<std::array<Head, kSlots>, kLevels> slots_;
    std::array<std::array<std::uint64_t, kSlots / 64>, kLevels> used_{};
};

}  // namespace whinpost::timer_wheel
