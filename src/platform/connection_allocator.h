// Divides the process's file descriptors among clients and workers.
#pragma once
#include "net/stream.h"
#include "platform/client_server.h"
#include "platform/connection_budget.h"
#include "platform/descriptor_queue.h"
#include "platform/worker_pool.h"

namespace whinpost::platform {

// When the budget has no descriptor left, idle connections to workers are closed to make room. Workers that
// still get none wait in a queue and are served in turn.
class ConnectionAllocator final : public ConnectionReserver {
public:
    ConnectionAllocator(const net::EventLoop&, ConnectionBudget, const ClientServer&, WorkerPool&);

    bool reserve_connection(PooledWorker&) override;
    void on_connection_ended() override { --worker_connections_; }
    // Returns whether one more client may connect; closes an idle connection to a worker if needed.
    bool make_room_for_client();
    // Connects the workers that wait for a descriptor, as far as descriptors can be freed; to be called
    // periodically.
    void serve_queue(Nanos now);
    // The number of open connections to clients and workers.
    std::size_t connections() const { return clients_.size() + worker_connections_; }

private:
    enum class Purpose { close, retire };
    bool worker_fits() const { return budget_.worker_fits(clients_.size(), worker_connections_); }
    bool close_least_useful();
    WorkerConnection* oldest_after_turn(Nanos now, Purpose) const;
    void retire_for_waiting(Nanos now);

    const net::EventLoop& loop_;
    const ConnectionBudget budget_;
    const ClientServer& clients_;
    WorkerPool& pool_;
    DescriptorQueue queue_;
    std::size_t worker_connections_ = 0;
};

}  // namespace whinpost::platform
