#include "server/server_timers.h"

#include <algorithm>

namespace whinpost::server {

ServerTimers::ServerTimers(net::EventLoop& loop)
    : loop_(loop), wheel_(loop.now()), loop_timer_(loop.make_timer([this] { run(); })) {}

void ServerTimers::arm(timer_wheel::Timer& timer, Nanos deadline) {
    wheel_.arm(timer, deadline);
    if (loop_timer_at_ && loop_timer_at_ <= deadline) return;
    loop_timer_at_ = deadline;
    loop_timer_->arm(deadline);
}

void ServerTimers::run() {
    loop_timer_at_ = 0;
    wheel_.run_timers(loop_.now());
    const Nanos next = wheel_.next_deadline();
    if (!next || (loop_timer_at_ && loop_timer_at_ <= next)) return;
    loop_timer_at_ = std::max(next, loop_.now() + timer_wheel::TimerWheel::kTick / 2);
    loop_timer_->arm(loop_timer_at_);
}

}  // namespace whinpost::server
