// A timer on libevent.
#pragma once
#include <event2/util.h>
#include <sys/time.h>

#include <functional>

#include "net/stream.h"

struct event;

namespace whinpost::net {

class LibeventLoop;

// Rounds up to whole microseconds, so that a timer never fires early; a negative duration becomes zero.
timeval to_timeval(Nanos duration);

class LibeventTimer final : public Timer {
public:
    // The loop must outlive the timer.
    LibeventTimer(LibeventLoop&, std::function<void()> callback);
    ~LibeventTimer() override;
    LibeventTimer(const LibeventTimer&) = delete;
    LibeventTimer& operator=(const LibeventTimer&) = delete;
    void arm(Nanos at) override;
    void disarm() override;

private:
    static void on_timeout(evutil_socket_t, short events, void* self);

    LibeventLoop& loop_;
    std::function<void()> callback_;
    event* event_;
    Nanos at_ = 0;
};

}  // namespace whinpost::net
