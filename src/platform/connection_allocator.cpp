#include "platform/connection_allocator.h"

#include <utility>

namespace whinpost::platform {
namespace {

// When there are more workers than descriptors, each worker in turn keeps a connection for this long. Every
// worker gets a turn well before a worker without a connection counts as lost.
constexpr Nanos kTurn = kSecond;

}  // namespace

ConnectionAllocator::ConnectionAllocator(const net::EventLoop& loop, ConnectionBudget budget,
                                         const ClientServer& clients, WorkerPool& pool)
    : loop_(loop), budget_(budget), clients_(clients), pool_(pool) {}

// A worker for which no descriptor is free waits in the queue, and no other worker is served before it.
// Otherwise workers in constant use would keep their descriptors for good, and the others would never be
// connected.
bool ConnectionAllocator::reserve_connection(PooledWorker& worker) {
    const bool fits = worker_fits();
    if (!queue_.others_first(worker.number()) && (fits || close_least_useful())) {
        ++worker_connections_;
        return true;
    }
    if (!worker.has_connection()) queue_.join(worker.number());
    return false;
}

bool ConnectionAllocator::make_room_for_client() {
    if (budget_.client_fits(clients_.size(), worker_connections_)) return true;
    return budget_.client_may_displace_worker(clients_.size()) && close_least_useful();
}

// Guards against a lack of descriptors for the discovery watch or a client when there are more workers than
// descriptors. Closes an idle connection: first those to workers without running tasks, and among these the
// one that has been idle for the longest.
bool ConnectionAllocator::close_least_useful() {
    const Nanos now = loop_.now();
    WorkerConnection* chosen = nullptr;
    std::pair<bool, Nanos> chosen_order;
    for (const auto& worker : pool_.workers()) {
        WorkerConnection* connection = worker->longest_idle_connection();
        if (!connection) continue;
        const std::pair closing_order(worker->has_running_tasks(), connection->idle_since());
        const bool is_within_turn = closing_order.first && now - closing_order.second < kTurn;
        if (is_within_turn || (chosen && chosen_order <= closing_order)) continue;
        chosen = connection;
        chosen_order = closing_order;
    }
    if (chosen) chosen->close();
    return chosen != nullptr;
}

// Of the connections whose turn is over, returns the one that has been up for the longest and can be closed
// or retired, as `purpose` says; null if there is none.
WorkerConnection* ConnectionAllocator::oldest_after_turn(Nanos now, Purpose purpose) const {
    WorkerConnection* oldest = nullptr;
    for (const auto& worker : pool_.workers()) {
        WorkerConnection* connection = worker->oldest_connection(now - kTurn);
        if (!connection) continue;
        if (purpose == Purpose::close ? !connection->is_empty() : connection->is_retired()) continue;
        if (!oldest || connection->up_since() < oldest->up_since()) oldest = connection;
    }
    return oldest;
}

// A connection in constant use is never idle. Once its turn is over it is retired, so that no new attempts
// are sent on it, and it is closed as soon as it has none left. So the longest wait for a connection is one
// turn for each worker ahead in the queue, divided by the number of descriptors, plus the time of an attempt.
void ConnectionAllocator::serve_queue(Nanos now) {
    while (!queue_.empty()) {
        PooledWorker& worker = pool_.at(queue_.front());
        if (worker.is_gone() || worker.has_connection()) {
            queue_.pop();
            continue;
        }
        if (!worker_fits()) {
            if (WorkerConnection* connection = oldest_after_turn(now, Purpose::close)) connection->close();
            else if (!close_least_useful()) break;
        }
        if (!worker.connect()) break;
        queue_.pop();
    }
    retire_for_waiting(now);
}

void ConnectionAllocator::retire_for_waiting(Nanos now) {
    for (std::size_t left = queue_.size(); left > 0; --left) {
        WorkerConnection* connection = oldest_after_turn(now, Purpose::retire);
        if (!connection) break;
        connection->retire();
    }
}

}  // namespace whinpost::platform
