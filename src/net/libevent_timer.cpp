#include "net/libevent_timer.h"

#include <event2/event.h>

#include <algorithm>
#include <utility>

#include "net/libevent_loop.h"

namespace whinpost::net {

timeval to_timeval(Nanos duration) {
    duration = std::max<Nanos>(duration, 0) + kMicrosecond - 1;
    return {static_cast<time_t>(duration / kSecond),
            static_cast<suseconds_t>(duration % kSecond / kMicrosecond)};
}

LibeventTimer::LibeventTimer(LibeventLoop& loop, std::function<void()> callback)
    : loop_(loop), callback_(std::move(callback)),
      event_(event_new(loop.base(), -1, EV_TIMEOUT, &on_timeout, this)) {}

LibeventTimer::~LibeventTimer() { event_free(event_); }

void LibeventTimer::arm(Nanos at) {
    at_ = at;
    const timeval wait = to_timeval(at - loop_.now());
    event_add(event_, &wait);
}

void LibeventTimer::disarm() { event_del(event_); }

void LibeventTimer::on_timeout(evutil_socket_t, short, void* self) {
    auto* timer = static_cast<LibeventTimer*>(self);
    timer->loop_.on_callback();
    // libevent measures the timeout from the time at which the pass of the loop began, so a timer that is
    // armed late in a long pass fires early. It is then armed again for the rest.
    if (timer->loop_.now() < timer->at_) return timer->arm(timer->at_);
    timer->callback_();
}

}  // namespace whinpost::net
