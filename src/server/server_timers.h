// The server's timer wheel, driven by one timer of the event loop.
#pragma once
#include <memory>

#include "net/stream.h"
#include "timer_wheel/timer_wheel.h"

namespace whinpost::server {

class ServerTimers {
public:
    explicit ServerTimers(net::EventLoop&);

    // Arms the timer, or moves its deadline. A deadline in the past fires at the next pass of the event loop.
    void arm(timer_wheel::Timer&, Nanos deadline);

private:
    void run();

    net::EventLoop& loop_;
    timer_wheel::TimerWheel wheel_;
    std::unique_ptr<net::Timer> loop_timer_;
    Nanos loop_timer_at_ = 0;  // 0: not armed
};

}  // namespace whinpost::server
