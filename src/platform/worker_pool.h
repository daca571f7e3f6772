// All workers that have ever been in the endpoint list, indexed by the planner's worker number.
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
    std::size_t reserved_connections = 0;  // divided among the listed workers
    std::uint64_t seed = 0;                // for the ids of health checks
    bool health_checks = false;            // whether they may be sent
};

// Workers are never removed, so pointers to them stay valid as long as the pool exists.
class WorkerPool {
public:
    WorkerPool(net::EventLoop&, const log::Logger&, WorkerHandler&, ConnectionReserver&, WorkerPoolOptions);

    std::size_t size() const { return workers_.size(); }
    const std::vector<std::unique_ptr<PooledWorker>>& workers() const { return workers_; }
    PooledWorker& at(planner::WorkerNumber number) { return *workers_.at(number); }
    PooledWorker& add(const std::string& name);
    // Divides the reserved connections evenly among `listed_workers` workers.
    void share_connections(std::size_t listed_workers);
    // Whether any worker may still run a copy of the task that must not run twice and has this name.
    bool is_cancelling(const std::string& exclusive_name) const;
    // Whether any worker has not confirmed a cancellation yet.
    bool has_owed_cancellations() const;
    void sweep(Nanos now);
    // Stops reading from all workers; they send unread messages again to the next placer that connects.
    void stop_reading();

private:
    net::EventLoop& loop_;
    const log::Logger& log_;
    WorkerHandler& handler_;
    ConnectionReserver& reserver_;
    const WorkerPoolOptions options_;
    std::size_t connections_per_worker_ = 0;  // current limit of each worker
    std::vector<std::unique_ptr<PooledWorker>> workers_;
};

}  // namespace whinpost::platform
