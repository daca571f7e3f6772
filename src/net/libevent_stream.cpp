#include "net/libevent_stream.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>
#include <stdexcept>
#include <utility>

#include "net/libevent_loop.h"
#include "net/socket_address.h"
#include "net/socket_error.h"

namespace whinpost::net {

namespace {

// Long enough that a connection survives a network partition of a few seconds; see tcp(7).
constexpr int kKeepaliveIdleSeconds = 10, kKeepaliveIntervalSeconds = 5, kKeepaliveCount = 4;
constexpr unsigned kUserTimeoutMs = 20'000;

}  // namespace

LibeventStream::LibeventStream(LibeventLoop& loop, evutil_socket_t descriptor)
    : loop_(loop), bufferevent_(bufferevent_socket_new(loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE)) {
    if (!bufferevent_) throw std::runtime_error("bufferevent_socket_new: out of memory");
    bufferevent_set_max_single_read(bufferevent_, kMaxReadSize);
    if (descriptor >= 0) disable_nagle();
}

LibeventStream::~LibeventStream() {
    if (destroyed_) *destroyed_ = true;
    loop_.cancel_flush(*this);
    // Bytes that the kernel accepts in this call are still sent.
    if (!pending_.empty() && state_ == State::established) send_pending();
    close_connecting();
    bufferevent_free(bufferevent_);
}

void LibeventStream::set_handler(StreamHandler& handler) {
    handler_ = &handler;
    bufferevent_setcb(bufferevent_, &on_read, &on_write, &on_event, this);
    bufferevent_setwatermark(bufferevent_, EV_READ, 0, kMaxFrameSize + 4 + kMaxReadSize);
    if (state_ == State::established) bufferevent_enable(bufferevent_, EV_READ | EV_WRITE);
}

// Does not use bufferevent_socket_connect(), which does not distinguish a refusal by the peer from a local
// error.
void LibeventStream::connect(const std::string& address) {
    state_ = State::connecting;
    std::optional<SocketAddress> to = parse_socket_address(address);
    if (!to) return report_connect_failure(EINVAL);
    connecting_ = socket(to->get()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (connecting_ < 0) return report_connect_failure(errno);
    const bool failed = ::connect(connecting_, to->get(), to->length) != 0;
    if (failed && errno != EINPROGRESS && errno != EINTR) return report_connect_failure(errno);
    const auto on_writable = [](evutil_socket_t, short, void* self) {
        auto* stream = static_cast<LibeventStream*>(self);
        stream->loop_.on_callback();
        stream->on_connect_finished();
    };
    connect_event_ = event_new(loop_.base(), connecting_, EV_WRITE, on_writable, this);
    event_add(connect_event_, nullptr);
}

void LibeventStream::on_connect_finished() {
    event_free(std::exchange(connect_event_, nullptr));
    int error = 0;
    socklen_t length = sizeof error;
    if (getsockopt(connecting_, SOL_SOCKET, SO_ERROR, &error, &length) != 0) error = errno;
    if (error != 0) return handler_->on_closed(connect_failure(error));  // may destroy this
    state_ = State::established;
    bufferevent_setfd(bufferevent_, std::exchange(connecting_, -1));
    bufferevent_enable(bufferevent_, EV_READ | EV_WRITE);
    disable_nagle();
    if (!pending_.empty()) loop_.flush_after_pass(*this);
    else if (write_shut_down_) shutdown_socket();
    handler_->on_connected();
}

void LibeventStream::report_connect_failure(int error) {
    connect_failure_ = connect_failure(error);
    const auto on_timeout = [](evutil_socket_t, short, void* self) {
        auto* stream = static_cast<LibeventStream*>(self);
        stream->loop_.on_callback();
        stream->handler_->on_closed(stream->connect_failure_);
    };
    connect_event_ = event_new(loop_.base(), -1, EV_TIMEOUT, on_timeout, this);
    const timeval at_once{};
    event_add(connect_event_, &at_once);
}

// Has an effect only while the connection is being established, or after that has failed.
void LibeventStream::close_connecting() {
    if (connect_event_) event_free(std::exchange(connect_event_, nullptr));
    if (connecting_ >= 0) evutil_closesocket(std::exchange(connecting_, -1));
}

// Buffers the bytes: all that is written in one pass of the loop is sent with one system call at its end.
// With the bufferevent alone, each write would cost two more system calls to change the polled events, and
// another pass. The bufferevent is used only for the bytes that the kernel does not accept.
void LibeventStream::write(std::string_view bytes) {
    if (write_shut_down_ || state_ == State::aborted) return;
    written_ += bytes.size();
    if (state_ == State::connecting) {
        pending_ += bytes;
        return;
    }
    if (evbuffer_get_length(bufferevent_get_output(bufferevent_)) > 0) {
        bufferevent_write(bufferevent_, bytes.data(), bytes.size());
        return;
    }
    if (pending_.empty()) loop_.flush_after_pass(*this);
    pending_ += bytes;
}

void LibeventStream::flush() {
    send_pending();
    if (!pending_.empty()) {
        bufferevent_write(bufferevent_, pending_.data(), pending_.size());
        pending_.clear();
        return;
    }
    if (write_shut_down_) shutdown_socket();
    if (handler_) handler_->on_drained();  // may destroy this
}

std::size_t LibeventStream::unsent() const {
    return pending_.size() + evbuffer_get_length(bufferevent_get_output(bufferevent_));
}

void LibeventStream::set_reading(bool on) {
    if (on) bufferevent_enable(bufferevent_, EV_READ);
    else bufferevent_disable(bufferevent_, EV_READ);
}

bool LibeventStream::has_unread() const {
    const evutil_socket_t descriptor = bufferevent_getfd(bufferevent_);
    int bytes = 0;
    return descriptor >= 0 && ioctl(descriptor, FIONREAD, &bytes) == 0 && bytes > 0;
}

bool LibeventStream::peer_closed() const {
    pollfd polled{bufferevent_getfd(bufferevent_), POLLRDHUP, 0};
    if (polled.fd < 0 || poll(&polled, 1, 0) != 1) return false;
    return (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void LibeventStream::shutdown_write() {
    if (std::exchange(write_shut_down_, true)) return;
    if (state_ != State::connecting && unsent() == 0) shutdown_socket();
}

void LibeventStream::abort() {
    state_ = State::aborted;
    close_connecting();
    const evutil_socket_t descriptor = bufferevent_getfd(bufferevent_);
    const linger discard_at_once{1, 0};
    if (descriptor >= 0)
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &discard_at_once, sizeof discard_at_once);
    bufferevent_disable(bufferevent_, EV_READ | EV_WRITE);
    bufferevent_setfd(bufferevent_, -1);
    if (descriptor >= 0) evutil_closesocket(descriptor);
}

std::string LibeventStream::peer() const {
    SocketAddress address;
    address.length = sizeof address.storage;
    if (getpeername(bufferevent_getfd(bufferevent_), address.get(), &address.length) != 0) return "?";
    return to_string(address);
}

void LibeventStream::shutdown_socket() {
    const evutil_socket_t descriptor = bufferevent_getfd(bufferevent_);
    if (descriptor >= 0) shutdown(descriptor, SHUT_WR);
}

void LibeventStream::send_pending() {
    const evutil_socket_t descriptor = bufferevent_getfd(bufferevent_);
    if (descriptor < 0) return;
    const ssize_t sent = send(descriptor, pending_.data(), pending_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    // An error is ignored here: the bufferevent gets it again and reports it to the handler in a later pass.
    if (sent > 0) pending_.erase(0, static_cast<std::size_t>(sent));
}

// Guards against peers that vanish without a reset: they never acknowledge the bytes written to them, and an
// idle connection shows no error at all. Failures of setsockopt() are ignored: the connection then works
// without the option.
void LibeventStream::detect_dead_peer() {
    const evutil_socket_t descriptor = bufferevent_getfd(bufferevent_);
    const int enabled = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepaliveIdleSeconds, sizeof kKeepaliveIdleSeconds);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepaliveIntervalSeconds,
               sizeof kKeepaliveIntervalSeconds);
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &kKeepaliveCount, sizeof kKeepaliveCount);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof kUserTimeoutMs);
}

void LibeventStream::disable_nagle() {
    const int enabled = 1;
    setsockopt(bufferevent_getfd(bufferevent_), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

void LibeventStream::on_read(bufferevent* source, void* self) {
    auto* stream = static_cast<LibeventStream*>(self);
    stream->loop_.on_callback();
    evbuffer* input = bufferevent_get_input(source);
    bool destroyed = false;
    stream->destroyed_ = &destroyed;
    const std::size_t length = evbuffer_get_length(input);
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    const std::size_t consumed = stream->handler_->on_received({bytes, length});
    if (destroyed) return;
    stream->destroyed_ = nullptr;
    evbuffer_drain(input, consumed);
}

void LibeventStream::on_write(bufferevent*, void* self) {
    auto* stream = static_cast<LibeventStream*>(self);
    stream->loop_.on_callback();
    if (stream->write_shut_down_) stream->shutdown_socket();
    stream->handler_->on_drained();
}

void LibeventStream::on_event(bufferevent*, short events, void* self) {
    auto* stream = static_cast<LibeventStream*>(self);
    stream->loop_.on_callback();
    if (events & BEV_EVENT_EOF) return stream->handler_->on_closed(CloseReason::by_peer);
    if (events & (BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) stream->handler_->on_closed(CloseReason::reset);
}

}  // namespace whinpost::net
