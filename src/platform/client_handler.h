// What the clients' side of the server tells the rest of it, and asks of it.
#pragma once
#include <cstdint>

#include "platform_codec/message.h"
#include "whinpost/scheduler.h"

namespace whinpost::platform {

class ClientConnection;

class ClientHandler {
public:
    virtual ~ClientHandler() = default;
    // `since`: the message came no earlier than that, and may have lain unread since then.
    virtual void on_place_task(ClientConnection&, const platform_codec::Message&, Nanos since) = 0;
    // A request is cancelled, or a running task no longer wanted.
    virtual void on_release(ClientConnection&, std::uint64_t task) = 0;
    virtual bool is_healthy() const = 0;  // the answer to health checks
    virtual void on_health_check() = 0;   // after it was answered
    // Whether there is a descriptor for one more connection.
    virtual bool make_room_for_client() = 0;
    // It is a client's, and not one that only checks health; once, before the message that shows it is
    // handled.
    virtual void on_client_identified(ClientConnection&) = 0;
    // The client says that it has received the end of that task.
    virtual void on_release_ack(ClientConnection&, std::uint64_t task) = 0;
    // This side closes the connection: what is owed on it is to be answered now.
    virtual void on_client_ending(ClientConnection&) = 0;
    // Whether it has reported a running task of which nothing is known yet.
    virtual bool has_pending_report(const ClientConnection&) const = 0;
    // The connection is not to be used after this call.
    virtual void on_client_left(ClientConnection&) = 0;
    // ClientServer::end_stalled() is to be called soon, but not from here.
    virtual void on_client_stalled() = 0;
};

}  // namespace whinpost::platform
