#include "net/libevent_loop.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <time.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace whinpost::net {

std::string_view to_string(CloseReason c) {
    switch (c) {
        case CloseReason::by_peer:
            return "closed by the peer";
        case CloseReason::reset:
            return "broken off";
        case CloseReason::refused:
            return "not connected";
        case CloseReason::out_of_descriptors:
            return "no file descriptor left";
    }
    return "unknown";
}

std::string to_string(const ListenError& error) { return error.reason; }

namespace {

Nanos clock(clockid_t which) {
    timespec t{};
    clock_gettime(which, &t);
    return static_cast<Nanos>(t.tv_sec) * kSecond + t.tv_nsec;
}

timeval span(Nanos d) {
    d = std::max<Nanos>(d, 0) + kMicrosecond - 1;
    return {static_cast<time_t>(d / kSecond), static_cast<suseconds_t>(d % kSecond / kMicrosecond)};
}

// A poll that took so long found nothing at first, and woke for what came.
constexpr Nanos kPollWaited = kMillisecond;

// host:port or [host]:port; libevent's own parser knows no port 0.
bool parse(const std::string& address, sockaddr_storage& out, int& length) {
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos || colon + 1 >= address.size() || address.size() - colon > 6) return false;
    int port = 0;
    for (std::size_t i = colon + 1; i < address.size(); ++i) {
        if (address[i] < '0' || address[i] > '9') return false;
        port = port * 10 + (address[i] - '0');
    }
    if (port > 65'535) return false;
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        auto* in = reinterpret_cast<sockaddr_in6*>(&out);
        in->sin6_family = AF_INET6;
        in->sin6_port = htons(static_cast<std::uint16_t>(port));
        length = sizeof *in;
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &in->sin6_addr) == 1;
    }
    auto* in = reinterpret_cast<sockaddr_in*>(&out);
    in->sin_family = AF_INET;
    in->sin_port = htons(static_cast<std::uint16_t>(port));
    length = sizeof *in;
    return inet_pton(AF_INET, host.c_str(), &in->sin_addr) == 1;
}

std::string text(const sockaddr* a) {
    char host[INET6_ADDRSTRLEN] = "?", out[INET6_ADDRSTRLEN + 10];
    if (a->sa_family == AF_INET6) {
        const auto* in = reinterpret_cast<const sockaddr_in6*>(a);
        inet_ntop(AF_INET6, &in->sin6_addr, host, sizeof host);
        std::snprintf(out, sizeof out, "[%s]:%d", host, ntohs(in->sin6_port));
        return out;
    }
    const auto* in = reinterpret_cast<const sockaddr_in*>(a);
    inet_ntop(AF_INET, &in->sin_addr, host, sizeof host);
    std::snprintf(out, sizeof out, "%s:%d", host, ntohs(in->sin_port));
    return out;
}

class LibeventStream final : public Stream {
public:
    LibeventStream(LibeventLoop& loop, evutil_socket_t fd)
        : loop_(loop), bev_(bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE)) {
        if (!bev_) throw std::runtime_error("no memory for a stream");
        bufferevent_set_max_single_read(bev_, kMaxReadSize);
        if (fd >= 0) no_delay();
    }
    ~LibeventStream() override {
        if (gone_) *gone_ = true;
        loop_.forget(*this);
        if (!lot_.empty() && !aborted_) send_lot();  // what the kernel takes now still goes out
        if (late_) event_free(late_);
        bufferevent_free(bev_);
    }
    LibeventStream(const LibeventStream&) = delete;
    LibeventStream& operator=(const LibeventStream&) = delete;

    void use(StreamHandler& user) {
        user_ = &user;
        bufferevent_setcb(bev_, &on_read, &on_write, &on_event, this);
        bufferevent_setwatermark(bev_, EV_READ, 0, kMaxFrameSize + 4 + kMaxReadSize);
        bufferevent_enable(bev_, EV_READ | EV_WRITE);
    }
    void dial(event_base* base, const std::string& address) {
        sockaddr_storage to{};
        int length = 0;
        dialling_ = true;
        const bool ok = parse(address, to, length) &&
                        bufferevent_socket_connect(bev_, reinterpret_cast<sockaddr*>(&to), length) == 0;
        if (ok) {
            no_delay();
            return;
        }
        failed_ = errno == EMFILE || errno == ENFILE ? CloseReason::out_of_descriptors : CloseReason::refused;
        late_ = event_new(
            base, -1, EV_TIMEOUT,
            [](evutil_socket_t, short, void* self) {
                auto* s = static_cast<LibeventStream*>(self);
                s->loop_.enter();
                s->user_->on_closed(s->failed_);
            },
            this);
        const timeval soon{};
        event_add(late_, &soon);
    }

    // What is written in one pass leaves in one call at its end. Left to the bufferevent alone, each write
    // would cost two more calls to change what is waited for, and a turn of the loop; it takes over where the
    // kernel takes no more.
    void write(std::string_view bytes) override {
        if (finishing_) return;
        written_ += bytes.size();
        if (dialling_ || aborted_ || evbuffer_get_length(bufferevent_get_output(bev_)) > 0) {
            bufferevent_write(bev_, bytes.data(), bytes.size());
            return;
        }
        if (lot_.empty()) loop_.flush_later(*this);
        lot_ += bytes;
    }
    void flush() {
        send_lot();
        if (!lot_.empty()) {
            bufferevent_write(bev_, lot_.data(), lot_.size());
            lot_.clear();
            return;
        }
        if (finishing_) half_close();
        if (user_) user_->on_drained();  // may destroy this
    }
    std::size_t unsent() const override {
        return lot_.size() + evbuffer_get_length(bufferevent_get_output(bev_));
    }
    std::uint64_t handed_over() const override { return written_ - unsent(); }
    void set_reading(bool on) override {
        if (on) bufferevent_enable(bev_, EV_READ);
        else bufferevent_disable(bev_, EV_READ);
    }
    bool has_unread() const override {
        const evutil_socket_t fd = bufferevent_getfd(bev_);
        int bytes = 0;
        return fd >= 0 && ioctl(fd, FIONREAD, &bytes) == 0 && bytes > 0;
    }
    bool peer_closed() const override {
        pollfd of{bufferevent_getfd(bev_), POLLRDHUP, 0};
        return of.fd >= 0 && poll(&of, 1, 0) == 1 && (of.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }
    void shutdown_write() override {
        if (std::exchange(finishing_, true)) return;
        if (!dialling_ && unsent() == 0) half_close();
    }
    void abort() override {
        aborted_ = true;
        const evutil_socket_t fd = bufferevent_getfd(bev_);
        const linger at_once{1, 0};
        if (fd >= 0) setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        bufferevent_disable(bev_, EV_READ | EV_WRITE);
        bufferevent_setfd(bev_, -1);
        if (fd >= 0) evutil_closesocket(fd);
    }
    std::string peer() const override {
        sockaddr_storage a{};
        socklen_t length = sizeof a;
        if (getpeername(bufferevent_getfd(bev_), reinterpret_cast<sockaddr*>(&a), &length) != 0) return "?";
        return text(reinterpret_cast<sockaddr*>(&a));
    }

private:
    void half_close() {
        const evutil_socket_t fd = bufferevent_getfd(bev_);
        if (fd >= 0) shutdown(fd, SHUT_WR);
    }
    void send_lot() {
        const evutil_socket_t fd = bufferevent_getfd(bev_);
        if (fd < 0) return;
        const ssize_t n = send(fd, lot_.data(), lot_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        // An error shows again to the bufferevent, which tells the user in its own time.
        if (n > 0) lot_.erase(0, static_cast<std::size_t>(n));
    }
    void no_delay() {
        const int on = 1;
        setsockopt(bufferevent_getfd(bev_), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    static void on_read(bufferevent* bev, void* self) {
        auto* s = static_cast<LibeventStream*>(self);
        s->loop_.enter();
        evbuffer* in = bufferevent_get_input(bev);
        bool gone = false;
        s->gone_ = &gone;
        const std::size_t length = evbuffer_get_length(in);
        const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(in, -1));
        const std::size_t done = s->user_->on_received({bytes, length});
        if (gone) return;
        s->gone_ = nullptr;
        evbuffer_drain(in, done);
    }
    static void on_write(bufferevent*, void* self) {
        auto* s = static_cast<LibeventStream*>(self);
        s->loop_.enter();
        if (s->dialling_) return;
        if (s->finishing_) s->half_close();
        s->user_->on_drained();
    }
    static void on_event(bufferevent*, short what, void* self) {
        auto* s = static_cast<LibeventStream*>(self);
        s->loop_.enter();
        if (what & BEV_EVENT_CONNECTED) {
            s->dialling_ = false;
            s->no_delay();
            s->user_->on_connected();
        } else if (s->dialling_) s->user_->on_closed(CloseReason::refused);
        else if (what & BEV_EVENT_EOF) s->user_->on_closed(CloseReason::by_peer);
        else if (what & (BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) s->user_->on_closed(CloseReason::reset);
    }

    LibeventLoop& loop_;
    bufferevent* bev_;
    std::string lot_;  // of this pass
    bool aborted_ = false;
    StreamHandler* user_ = nullptr;
    event* late_ = nullptr;
    CloseReason failed_ = CloseReason::refused;
    bool* gone_ = nullptr;
    bool dialling_ = false, finishing_ = false;
    std::uint64_t written_ = 0;
};

class LibeventListener final : public Listener {
public:
    LibeventListener(LibeventLoop& loop, std::function<void(std::unique_ptr<Stream>)> then)
        : loop_(loop), then_(std::move(then)) {}
    ~LibeventListener() override {
        if (again_) event_free(again_);
        if (listener_) evconnlistener_free(listener_);
    }
    bool open(const std::string& address, std::string& error) {
        sockaddr_storage at{};
        int length = 0;
        if (!parse(address, at, length)) {
            error = "not an IP address and port";
            return false;
        }
        listener_ =
            evconnlistener_new_bind(loop_.base(), &on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                    1024, reinterpret_cast<sockaddr*>(&at), length);
        if (!listener_) {
            error = std::strerror(errno);
            return false;
        }
        again_ = event_new(
            loop_.base(), -1, EV_TIMEOUT,
            [](evutil_socket_t, short, void* self) {
                evconnlistener_enable(static_cast<LibeventListener*>(self)->listener_);
            },
            this);
        evconnlistener_set_error_cb(listener_, [](evconnlistener* l, void* self) {
            // No file descriptor left, as a rule. Those who ask wait in the kernel's line while a few are
            // closed: trying at once again would spin.
            evconnlistener_disable(l);
            const timeval pause = span(50 * kMillisecond);
            event_add(static_cast<LibeventListener*>(self)->again_, &pause);
        });
        return true;
    }
    std::string address() const override {
        sockaddr_storage a{};
        socklen_t length = sizeof a;
        getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&a), &length);
        return text(reinterpret_cast<sockaddr*>(&a));
    }
    void accept_pending() override {
        for (;;) {
            const evutil_socket_t fd =
                accept4(evconnlistener_get_fd(listener_), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0) return;
            then_(std::make_unique<LibeventStream>(loop_, fd));
        }
    }

private:
    static void on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        auto* l = static_cast<LibeventListener*>(self);
        l->loop_.enter();
        l->then_(std::make_unique<LibeventStream>(l->loop_, fd));
    }
    LibeventLoop& loop_;
    std::function<void(std::unique_ptr<Stream>)> then_;
    evconnlistener* listener_ = nullptr;
    event* again_ = nullptr;
};

class LibeventTimer final : public Timer {
public:
    LibeventTimer(LibeventLoop& loop, std::function<void()> then)
        : loop_(loop), then_(std::move(then)), event_(event_new(
                                                   loop.base(), -1, EV_TIMEOUT,
                                                   [](evutil_socket_t, short, void* self) {
                                                       auto* t = static_cast<LibeventTimer*>(self);
                                                       t->loop_.enter();
                                                       t->then_();
                                                   },
                                                   this)) {}
    ~LibeventTimer() override { event_free(event_); }
    void arm(Nanos at) override {
        const timeval wait = span(at - loop_.now());
        event_add(event_, &wait);
    }
    void disarm() override { event_del(event_); }

private:
    LibeventLoop& loop_;
    std::function<void()> then_;
    event* event_;
};

}  // namespace

struct LibeventLoop::Signal {
    LibeventLoop& loop;
    std::function<void()> then;
    event* on = nullptr;
    Signal(LibeventLoop& l, std::function<void()> f) : loop(l), then(std::move(f)) {}
    Signal(const Signal&) = delete;
    Signal& operator=(const Signal&) = delete;
    ~Signal() {
        if (on) event_free(on);
    }
};

LibeventLoop::LibeventLoop() : offset_(clock(CLOCK_REALTIME) - clock(CLOCK_MONOTONIC)) {
    std::signal(SIGPIPE, SIG_IGN);
    event_config* with = event_config_new();
    event_config_set_flag(with, EVENT_BASE_FLAG_PRECISE_TIMER);
    base_ = event_base_new_with_config(with);
    event_config_free(with);
    if (!base_) throw std::runtime_error("no event loop can be had from the system");
    flush_ = event_new(
        base_, -1, 0,
        [](evutil_socket_t, short, void* self) {
            auto* loop = static_cast<LibeventLoop*>(self);
            loop->enter();
            loop->flush();
        },
        this);
}
LibeventLoop::~LibeventLoop() {
    signals_.clear();
    event_free(flush_);
    event_base_free(base_);
}

Nanos LibeventLoop::now() const { return clock(CLOCK_MONOTONIC) + offset_; }

Nanos LibeventLoop::unseen_since() const {
    return polled_at_ - poll_began_at_ >= kPollWaited ? polled_at_ : previous_poll_at_;
}

ListenResult LibeventLoop::listen(const std::string& address, AcceptHandler handler) {
    auto listener = std::make_unique<LibeventListener>(*this, std::move(handler));
    std::string reason;
    if (!listener->open(address, reason)) return tl::unexpected(ListenError{address, reason});
    return listener;
}

std::unique_ptr<Stream> LibeventLoop::dial(const std::string& address, StreamHandler& user) {
    auto s = std::make_unique<LibeventStream>(*this, -1);
    s->use(user);
    s->dial(base_, address);
    return s;
}

void LibeventLoop::attach(Stream& s, StreamHandler& user) { static_cast<LibeventStream&>(s).use(user); }

std::unique_ptr<Timer> LibeventLoop::make_timer(std::function<void()> then) {
    return std::make_unique<LibeventTimer>(*this, std::move(then));
}

void LibeventLoop::on_signal(int number, std::function<void()> then) {
    auto s = std::make_unique<Signal>(*this, std::move(then));
    s->on = evsignal_new(
        base_, number,
        [](evutil_socket_t, short, void* self) {
            auto* signal = static_cast<Signal*>(self);
            signal->loop.enter();
            signal->then();
        },
        s.get());
    event_add(s->on, nullptr);
    signals_.push_back(std::move(s));
}

void LibeventLoop::flush_later(Stream& s) {
    if (dirty_.empty()) event_active(flush_, EV_TIMEOUT, 0);  // behind what is active already in this pass
    dirty_.push_back(&s);
}

void LibeventLoop::forget(Stream& s) {
    for (Stream*& d : dirty_)
        if (d == &s) d = nullptr;
    for (Stream*& d : flushing_)
        if (d == &s) d = nullptr;
}

void LibeventLoop::flush() {
    flushing_.swap(dirty_);
    for (std::size_t i = 0; i < flushing_.size(); ++i)
        if (Stream* const s = std::exchange(flushing_[i], nullptr)) static_cast<LibeventStream*>(s)->flush();
    flushing_.clear();
}

void LibeventLoop::run_once(bool wait) {
    previous_poll_at_ = polled_at_ ? polled_at_ : now();
    poll_began_at_ = polled_at_ = now();
    entered_ = false;
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
