#include "net/libevent_loop.h"

#include <event2/event.h>
#include <time.h>

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <utility>

#include "net/libevent_listener.h"
#include "net/libevent_stream.h"
#include "net/libevent_timer.h"

namespace whinpost::net {

namespace {

// A poll that took at least this long blocked, and returned on a new event.
constexpr Nanos kMinBlockingPoll = kMillisecond;

Nanos read_clock(clockid_t which) {
    timespec time{};
    clock_gettime(which, &time);
    return static_cast<Nanos>(time.tv_sec) * kSecond + time.tv_nsec;
}

// The system's time of day minus the monotonic clock.
Nanos read_clock_offset() { return read_clock(CLOCK_REALTIME) - read_clock(CLOCK_MONOTONIC); }

event_base* make_event_base() {
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_base* base = event_base_new_with_config(config);
    event_config_free(config);
    if (!base) throw std::runtime_error("libevent can't create an event loop");
    return base;
}

}  // namespace

struct LibeventLoop::Signal {
    Signal(LibeventLoop& owner, std::function<void()> then) : loop(owner), callback(std::move(then)) {}
    Signal(const Signal&) = delete;
    Signal& operator=(const Signal&) = delete;
    ~Signal() {
        if (source) event_free(source);
    }

    LibeventLoop& loop;
    std::function<void()> callback;
    event* source = nullptr;
};

LibeventLoop::LibeventLoop() : unix_clock_(read_clock(CLOCK_MONOTONIC), read_clock_offset()) {
    std::signal(SIGPIPE, SIG_IGN);
    base_ = make_event_base();
    const auto on_flush = [](evutil_socket_t, short, void* self) {
        auto* loop = static_cast<LibeventLoop*>(self);
        loop->on_callback();
        loop->flush_streams();
    };
    flush_event_ = event_new(base_, -1, 0, on_flush, this);
}

LibeventLoop::~LibeventLoop() {
    signals_.clear();
    event_free(flush_event_);
    event_base_free(base_);
}

Nanos LibeventLoop::now() const { return read_clock(CLOCK_MONOTONIC) + unix_clock_.initial_offset(); }

Nanos LibeventLoop::from_unix_time(Nanos unix_time) const {
    const Nanos steady = unix_clock_.to_steady(unix_time, read_clock(CLOCK_MONOTONIC));
    return steady + unix_clock_.initial_offset();
}

void LibeventLoop::update_unix_clock() {
    unix_clock_.update(read_clock(CLOCK_MONOTONIC), read_clock_offset());
}

Nanos LibeventLoop::earliest_arrival() const {
    return polled_at_ - poll_began_at_ >= kMinBlockingPoll ? polled_at_ : previous_poll_at_;
}

ListenResult LibeventLoop::listen(const std::string& address, AcceptHandler handler) {
    return LibeventListener::open(*this, address, std::move(handler));
}

std::unique_ptr<Stream> LibeventLoop::dial(const std::string& address, StreamHandler& handler) {
    auto stream = std::make_unique<LibeventStream>(*this, -1);
    stream->set_handler(handler);
    stream->connect(address);
    return stream;
}

void LibeventLoop::attach(Stream& stream, StreamHandler& handler) {
    static_cast<LibeventStream&>(stream).set_handler(handler);
}

std::unique_ptr<Timer> LibeventLoop::make_timer(std::function<void()> callback) {
    return std::make_unique<LibeventTimer>(*this, std::move(callback));
}

void LibeventLoop::on_signal(int number, std::function<void()> callback) {
    auto signal = std::make_unique<Signal>(*this, std::move(callback));
    const auto on_arrival = [](evutil_socket_t, short, void* self) {
        auto* arrived = static_cast<Signal*>(self);
        arrived->loop.on_callback();
        arrived->callback();
    };
    signal->source = evsignal_new(base_, number, on_arrival, signal.get());
    event_add(signal->source, nullptr);
    signals_.push_back(std::move(signal));
}

void LibeventLoop::on_callback() {
    if (std::exchange(callback_ran_, true)) return;
    polled_at_ = now();
    update_unix_clock();
}

void LibeventLoop::flush_after_pass(LibeventStream& stream) {
    // The flush runs after the callbacks that are active already.
    if (to_flush_.empty()) event_active(flush_event_, EV_TIMEOUT, 0);
    to_flush_.push_back(&stream);
}

void LibeventLoop::cancel_flush(LibeventStream& stream) {
    std::replace(to_flush_.begin(), to_flush_.end(), &stream, static_cast<LibeventStream*>(nullptr));
    std::replace(flushing_.begin(), flushing_.end(), &stream, static_cast<LibeventStream*>(nullptr));
}

void LibeventLoop::flush_streams() {
    flushing_.swap(to_flush_);
    // A flush may destroy this stream or others; cancel_flush() then sets their entries to null.
    for (std::size_t i = 0; i < flushing_.size(); ++i)
        if (LibeventStream* const stream = std::exchange(flushing_[i], nullptr)) stream->flush();
    flushing_.clear();
}

void LibeventLoop::run_once(bool wait) {
    previous_poll_at_ = polled_at_ ? polled_at_ : now();
    poll_began_at_ = polled_at_ = now();
    callback_ran_ = false;
    event_base_loop(base_, EVLOOP_ONCE | (wait ? EVLOOP_NO_EXIT_ON_EMPTY : EVLOOP_NONBLOCK));
}

void LibeventLoop::run() {
    for (stopping_ = false; !stopping_;) run_once(true);
}

void LibeventLoop::stop() {
    stopping_ = true;
    event_base_loopbreak(base_);
}

}  // namespace whinpost::net
