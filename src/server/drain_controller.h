// The graceful shutdown: nothing more is admitted, every answer that is owed is given and written out, and
// then the embedder is told.
#pragma once
#include <functional>
#include <memory>

#include "server/server_context.h"

namespace whinpost::server {

class ClientEndpoint;

class DrainController {
public:
    explicit DrainController(ServerContext& context) : context_(context) {}

    // `clients` may be null if none were ever served. `done` is called once.
    void start(ClientEndpoint* clients, std::function<void()> done);
    // Calls `done` if everything is answered and written; does nothing before start().
    void check();

private:
    enum class State { serving, draining, drained };

    ServerContext& context_;
    State state_ = State::serving;
    ClientEndpoint* clients_ = nullptr;
    std::function<void()> done_;
    std::unique_ptr<net::Timer> poll_timer_;
    Nanos flush_deadline_ = 0;
};

}  // namespace whinpost::server
