#include "platform/worker_pool.h"

#include <algorithm>
#include <utility>

namespace whinpost::platform {
namespace {

// The maximum for one worker: about the number of attempts that a service with many tasks sends to it at
// once.
constexpr std::size_t kMaxConnectionsPerWorker = 12;

}  // namespace

WorkerPool::WorkerPool(net::EventLoop& loop, const log::Logger& log, WorkerHandler& handler,
                       ConnectionReserver& reserver, WorkerPoolOptions options)
    : loop_(loop), log_(log), handler_(handler), reserver_(reserver), options_(options) {}

PooledWorker& WorkerPool::add(const std::string& name) {
    const auto number = static_cast<std::uint32_t>(workers_.size());
    workers_.push_back(std::make_unique<PooledWorker>(
        PooledWorkerOptions{name, number, options_.dial_timeout, options_.idle_timeout, options_.seed,
                            options_.health_checks},
        loop_, log_, handler_, reserver_));
    workers_.back()->set_max_connections(connections_per_worker_);
    return *workers_.back();
}

// Updates the workers only if their limit has changed, not on each watch event.
void WorkerPool::share_connections(std::size_t listed_workers) {
    const std::size_t workers = std::max<std::size_t>(listed_workers, 1);
    const std::size_t each =
        std::clamp<std::size_t>(options_.reserved_connections / workers, 1, kMaxConnectionsPerWorker);
    if (std::exchange(connections_per_worker_, each) == each) return;
    for (const auto& worker : workers_) worker->set_max_connections(each);
}

bool WorkerPool::is_cancelling(const std::string& exclusive_name) const {
    return std::any_of(workers_.begin(), workers_.end(), [&exclusive_name](const auto& worker) {
        return worker->is_cancelling(exclusive_name);
    });
}

bool WorkerPool::has_owed_cancellations() const {
    return std::any_of(workers_.begin(), workers_.end(),
                       [](const auto& worker) { return worker->has_owed_cancellations(); });
}

void WorkerPool::sweep(Nanos now) {
    for (const auto& worker : workers_) worker->sweep(now);
}

void WorkerPool::stop_reading() {
    for (const auto& worker : workers_) worker->stop_reading();
}

}  // namespace whinpost::platform
