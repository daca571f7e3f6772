#include "net/libevent_listener.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "net/libevent_loop.h"
#include "net/libevent_stream.h"
#include "net/libevent_timer.h"
#include "net/socket_address.h"
#include "net/socket_error.h"

namespace whinpost::net {

namespace {
constexpr int kBacklog = 1024;
// Limit of errors in one accept_pending() call: one for each connection that the backlog may hold. An error
// that persists must not block the loop forever.
constexpr int kMaxAcceptFailures = kBacklog;
// How long accepting is paused after accept(2) failed.
constexpr Nanos kAcceptErrorPause = 50 * kMillisecond;
}  // namespace

LibeventListener::LibeventListener(LibeventLoop& loop, AcceptHandler handler)
    : loop_(loop), handler_(std::move(handler)) {}

LibeventListener::~LibeventListener() {
    if (resume_event_) event_free(resume_event_);
    if (listener_) evconnlistener_free(listener_);
}

ListenResult LibeventListener::open(LibeventLoop& loop, const std::string& address, AcceptHandler handler) {
    std::unique_ptr<LibeventListener> listener(new LibeventListener(loop, std::move(handler)));
    if (std::optional<ListenError> error = listener->bind(address)) return tl::unexpected(std::move(*error));
    return listener;
}

std::optional<ListenError> LibeventListener::bind(const std::string& address) {
    std::optional<SocketAddress> local = parse_socket_address(address);
    if (!local) return ListenError{address, "not an IP address and port"};
    listener_ =
        evconnlistener_new_bind(loop_.base(), &on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                kBacklog, local->get(), static_cast<int>(local->length));
    if (!listener_) {
        // These errors come from a wrong listen address, not from a shortage.
        const bool is_in_use = errno == EADDRINUSE || errno == EADDRNOTAVAIL;
        return ListenError{address, std::strerror(errno), is_resource_shortage(errno) && !is_in_use};
    }
    resume_event_ = event_new(loop_.base(), -1, EV_TIMEOUT, &on_resume, this);
    evconnlistener_set_error_cb(listener_, &on_accept_error);
    return std::nullopt;
}

std::string LibeventListener::address() const {
    SocketAddress local;
    local.length = sizeof local.storage;
    getsockname(evconnlistener_get_fd(listener_), local.get(), &local.length);
    return to_string(local);
}

// An accept(2) error other than a resource shortage concerns a single pending connection or a single call, so
// the connections behind it in the backlog are still accepted.
bool LibeventListener::accept_pending() {
    for (int failures = 0; failures < kMaxAcceptFailures;) {
        const evutil_socket_t descriptor =
            accept4(evconnlistener_get_fd(listener_), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor >= 0) {
            accept_connection(descriptor);
            continue;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) return true;
        if (is_resource_shortage(errno)) return false;
        ++failures;
    }
    return false;
}

void LibeventListener::on_accept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* self) {
    auto* listener = static_cast<LibeventListener*>(self);
    listener->loop_.on_callback();
    listener->accept_connection(descriptor);
}

void LibeventListener::accept_connection(evutil_socket_t descriptor) {
    auto stream = std::make_unique<LibeventStream>(loop_, descriptor);
    stream->detect_dead_peer();
    handler_(std::move(stream));
}

// Usually the process is out of file descriptors. Accepting is paused, since a retry at once would spin;
// meanwhile new connections wait in the kernel's backlog until other descriptors are closed.
void LibeventListener::on_accept_error(evconnlistener* source, void* self) {
    evconnlistener_disable(source);
    const timeval pause = to_timeval(kAcceptErrorPause);
    event_add(static_cast<LibeventListener*>(self)->resume_event_, &pause);
}

void LibeventListener::on_resume(evutil_socket_t, short, void* self) {
    evconnlistener_enable(static_cast<LibeventListener*>(self)->listener_);
}

}  // namespace whinpost::net
