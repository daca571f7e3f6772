// The event loop for real sockets, based on libevent.
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
    // Sets SIGPIPE to be ignored in the whole process. Throws std::runtime_error if libevent can't create an
    // event loop.
    LibeventLoop();
    ~LibeventLoop() override;
    LibeventLoop(const LibeventLoop&) = delete;
    LibeventLoop& operator=(const LibeventLoop&) = delete;

    Nanos now() const override;
    Nanos from_unix_time(Nanos unix_time) const override;
    Nanos polled_at() const override { return polled_at_; }
    Nanos earliest_arrival() const override;
    [[nodiscard]] ListenResult listen(const std::string& address, AcceptHandler) override;
    std::unique_ptr<Stream> dial(const std::string& address, StreamHandler&) override;
    void attach(Stream&, StreamHandler&) override;
    std::unique_ptr<Timer> make_timer(std::function<void()>) override;
    void stop() override;

    // Runs the loop until stop() is called.
    void run();
    // Polls once and runs the callbacks of the events found; with `wait` the poll blocks until there is an
    // event.
    void run_once(bool wait);
    // Calls `callback` from the loop each time the signal arrives, for the lifetime of the loop.
    void on_signal(int number, std::function<void()> callback);

    // ---- Used by streams, listeners and timers of this loop.
    event_base* base() { return base_; }
    // Each libevent callback must call it first: the first call in a pass records when the poll returned.
    void on_callback();
    // Calls the stream's flush() after the callbacks that are active in this pass.
    void flush_after_pass(LibeventStream&);
    // Must be called before a stream is destroyed.
    void cancel_flush(LibeventStream&);

private:
    struct Signal;
    void flush_streams();
    void update_unix_clock();

    event_base* base_;
    event* flush_event_ = nullptr;
    std::vector<LibeventStream*> to_flush_, flushing_;  // null: the stream was destroyed
    // now() is the monotonic clock plus the offset to the time of day at the start, so that all placers of a
    // fleet divide time into the same periods, and a later change of the system clock does not affect now().
    UnixClock unix_clock_;
    std::vector<std::unique_ptr<Signal>> signals_;
    bool stopping_ = false;
    bool callback_ran_ = false;  // whether a libevent callback has run in this pass
    Nanos poll_began_at_ = 0, polled_at_ = 0, previous_poll_at_ = 0;
};

}  // namespace whinpost::net
