// All workers that the endpoint list has ever named, by the planner's number.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "planner/planner.h"
#include "platform/pooled_worker.h"

namespace whinpost::platform {

struct WorkerPoolOptions {
    Nanos dial_timeout = 0;
    Nanos idle_timeout = 0;                // after which workers close an idle connection
    std::size_t reserved_connections = 0;  // that are divided among the listed workers
    std::uint64_t seed = 0;                // of the ids of health checks
    bool health_checks = false;            // may be sent
};

// Workers are never removed, so pointers to them hold as long as the pool.
class WorkerPool {
public:
    WorkerPool(net::EventLoop&, const log::Logger&, WorkerHandler&, ConnectionReserver&, WorkerPoolOptions);

    std::size_t size() const { return workers_.size(); }
    const std::vector<std::unique_ptr<PooledWorker>>& workers() const { return workers_; }
    PooledWorker& at(planner::WorkerNumber number) { return *workers_.at(number); }
    PooledWorker& add(const std::string& name);
    // Divides the reserved connections among so many workers.
    void share_connections(std::size_t listed_workers);
    void sweep(Nanos now);
    // What workers say from now on is left for the next placer that connects to them.
    void stop_reading();

private:
    net::EventLoop& loop_;
    const log::Logger& log_;
    WorkerHandler& handler_;
    ConnectionReserver& reserver_;
    const WorkerPoolOptions options_;
    std::size_t connections_each_ = 0;  // as last told to all workers
    std::vector<std::unique_ptr<PooledWorker>> workers_;
};

}  // namespace whinpost::platform
