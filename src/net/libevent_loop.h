// The loop on real sockets: libevent with bufferevents.
#pragma once
#include <utility>
#include <vector>

#include "net/stream.h"

struct event_base;
struct event;

namespace whinpost::net {

class LibeventLoop : public EventLoop {
public:
    LibeventLoop();
    ~LibeventLoop() override;
    Nanos now() const override;
    Nanos polled_at() const override { return polled_at_; }
    Nanos unseen_since() const override;
    [[nodiscard]] ListenResult listen(const std::string& address, AcceptHandler) override;
    std::unique_ptr<Stream> dial(const std::string& address, StreamHandler&) override;
    void attach(Stream&, StreamHandler&) override;
    std::unique_ptr<Timer> make_timer(std::function<void()>) override;
    void stop() override;

    void run();  // until stop()
    void run_once(
        bool wait);  // one poll and the callbacks of what it found; `wait`: until there is something
    // Calls `then` in the loop for each arrival of the signal.
    void on_signal(int signal, std::function<void()> then);
    event_base* base() { return base_; }

    // Called first by each callback of the loop.
    void enter() {
        if (!std::exchange(entered_, true)) polled_at_ = now();
    }
    // For its streams: one that has written in this pass, and one that is destroyed.
    void flush_later(Stream&);
    void forget(Stream&);

private:
    struct Signal;
    void flush();
    event_base* base_;
    event* flush_ = nullptr;
    std::vector<Stream*> dirty_, flushing_;  // a destroyed one leaves a null
    Nanos offset_;  // from the monotonic clock to the time of day, taken once: all placers of a fleet cut the
                    // time into the same turns, and a clock that is set later moves nothing
    std::vector<std::unique_ptr<Signal>> signals_;
    bool stopping_ = false;
    bool entered_ = false;  // a callback of this pass has run
    Nanos poll_began_at_ = 0, polled_at_ = 0, previous_poll_at_ = 0;
};

}  // namespace whinpost::net
