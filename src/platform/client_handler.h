// Callbacks from ClientServer and its connections to the rest of the server.
#pragma once
#include <cstdint>

#include "platform_codec/message.h"
#include "whinpost/scheduler.h"

namespace whinpost::platform {

class ClientConnection;

class ClientHandler {
public:
    virtual ~ClientHandler() = default;
    // `since`: the message arrived no earlier than this and may have been unread since then.
    virtual void on_place_task(ClientConnection&, const platform_codec::Message&, Nanos since) = 0;
    // The client cancels a request or a running task.
    virtual void on_release(ClientConnection&, std::uint64_t task) = 0;
    virtual bool is_healthy() const = 0;  // decides the reply to health checks
    virtual void on_health_check() = 0;   // called after the reply
    // Whether a descriptor is available for one more connection; may close a connection to a worker for it.
    virtual bool make_room_for_client() = 0;
    // Called once per connection, when a message shows that the peer is a client and not a health checker;
    // before that message is handled.
    virtual void on_client_identified(ClientConnection&) = 0;
    // The client acknowledges the release of that task.
    virtual void on_release_ack(ClientConnection&, std::uint64_t task) = 0;
    // This side is closing the connection: its open requests are to be answered now.
    virtual void on_client_ending(ClientConnection&) = 0;
    // Whether a report of a running task on this connection may still lead to a release on it.
    virtual bool has_pending_report(const ClientConnection&) const = 0;
    // Whether connections are closed on which nothing was asked for but the end of tasks that no worker has
    // confirmed.
    virtual bool closes_unconfirmed_clients() const = 0;
    // The connection has ended and must not be used after this call.
    virtual void on_client_left(ClientConnection&) = 0;
    // Has ClientServer::end_stalled() called soon, but not within this call.
    virtual void on_client_stalled() = 0;
};

}  // namespace whinpost::platform
