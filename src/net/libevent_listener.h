// A listening TCP socket on libevent.
#pragma once
#include <event2/util.h>

#include <memory>
#include <optional>
#include <string>

#include "net/stream.h"

struct evconnlistener;
struct event;
struct sockaddr;

namespace whinpost::net {

class LibeventLoop;

class LibeventListener final : public Listener {
public:
    // The loop must outlive the listener.
    [[nodiscard]] static ListenResult open(LibeventLoop&, const std::string& address, AcceptHandler);
    ~LibeventListener() override;
    LibeventListener(const LibeventListener&) = delete;
    LibeventListener& operator=(const LibeventListener&) = delete;

    std::string address() const override;
    bool accept_pending() override;

private:
    LibeventListener(LibeventLoop&, AcceptHandler);
    // Binds and listens; returns an error if that fails.
    [[nodiscard]] std::optional<ListenError> bind(const std::string& address);
    void accept_connection(evutil_socket_t);
    static void on_accept(evconnlistener*, evutil_socket_t, sockaddr*, int length, void* self);
    static void on_accept_error(evconnlistener*, void* self);
    static void on_resume(evutil_socket_t, short events, void* self);

    LibeventLoop& loop_;
    AcceptHandler handler_;
    evconnlistener* listener_ = nullptr;
    event* resume_event_ = nullptr;
};

}  // namespace whinpost::net
