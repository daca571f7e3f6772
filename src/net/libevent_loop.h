// The event loop on real sockets, with libevent.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/stream.h"
#include "net/unix_clock.h"

struct event_base;
struct event;

namespace whinpost::net {

class LibeventStream;

class LibeventLoop final : public EventLoop {
public:
    // Ignores SIGPIPE in the whole process. Throws std::runtime_error where the system gives no event loop.
    LibeventLoop();
    ~LibeventLoop() override;
    LibeventLoop(const LibeventLoop&) = delete;
    LibeventLoop& operator=(const LibeventLoop&) = delete;

    Nanos now() const override;
    Nanos from_unix_time(Nanos unix_time) const override;
    Nanos polled_at() const override { return polled_at_; }
    Nanos unseen_since() const override;
    [[nodiscard]] ListenResult listen(const std::string& address, AcceptHandler) override;
    std::unique_ptr<Stream> dial(const std::string& address, StreamHandler&) override;
    void attach(Stream&, StreamHandler&) override;
    std::unique_ptr<Timer> make_timer(std::function<void()>) override;
    void stop() override;

    // Until stop().
    void run();
    // One poll and the callbacks of what it found; with `wait` the poll blocks until there is something.
    void run_once(bool wait);
    // Calls `callback` within the loop for each arrival of the signal, as long as the loop lives.
    void on_signal(int number, std::function<void()> callback);

    // ---- for its streams, listeners and timers
    event_base* base() { return base_; }
    // Must be called first by each libevent callback: the first one of a pass tells when the poll returned.
    void on_callback();
    // Flushes the stream after the callbacks that are active in this pass.
    void flush_after_pass(LibeventStream&);
    // Must be called before a stream is destroyed.
    void cancel_flush(LibeventStream&);

private:
    struct Signal;
    void flush_streams();
    void update_unix_clock();

    event_base* base_;
    event* flush_event_ = nullptr;
    std::vector<LibeventStream*> to_flush_, flushing_;  // null: destroyed meanwhile
    // now() is the monotonic clock plus the offset of the start: all placers of a fleet cut the time into the
    // same periods, and a clock that is set later moves nothing.
    UnixClock unix_clock_;
    std::vector<std::unique_ptr<Signal>> signals_;
    bool stopping_ = false;
    bool callback_ran_ = false;  // in this pass
    Nanos poll_began_at_ = 0, polled_at_ = 0, previous_poll_at_ = 0;
};

}  // namespace whinpost::net
