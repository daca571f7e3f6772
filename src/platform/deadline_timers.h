// The timing wheel of the tasks' deadlines, driven by one timer of the event loop.
#pragma once
#include <memory>

#include "net/stream.h"
#include "timer_wheel/timer_wheel.h"

namespace whinpost::platform {

// Must outlive the timers that are armed in it.
class DeadlineTimers {
public:
    explicit DeadlineTimers(net::EventLoop& loop)
        : loop_(loop), wheel_(loop.now()), loop_timer_(loop.make_timer([this] { run(); })) {}

    void arm(timer_wheel::Timer& timer, Nanos at) {
        wheel_.arm(timer, at);
        rearm();
    }
    // Moves the loop's timer to the next deadline; to be called after timers may have been disarmed.
    void rearm() {
        if (const Nanos next = wheel_.next_deadline()) loop_timer_->arm(next);
        else loop_timer_->disarm();
    }

private:
    void run() {
        wheel_.run_timers(loop_.now());
        rearm();
    }

    net::EventLoop& loop_;
    timer_wheel::TimerWheel wheel_;
    std::unique_ptr<net::Timer> loop_timer_;
};

}  // namespace whinpost::platform
