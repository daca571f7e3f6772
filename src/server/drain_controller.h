// The graceful shutdown: stops admitting tasks, waits until every waiting task has its answer and the answers
// are written out, and then calls back.
#pragma once
#include <functional>
#include <memory>

#include "server/server_context.h"

namespace whinpost::server {

class ClientEndpoint;

class DrainController {
public:
    explicit DrainController(ServerContext& context) : context_(context) {}

    // `clients` may be null if the server never listened. `done` is called once.
    void start(ClientEndpoint* clients, std::function<void()> done);
    // Calls `done` if every task is answered and the answers are written, or the flush has timed out. Does
    // nothing before start().
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
