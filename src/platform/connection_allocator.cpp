#include "platform/connection_allocator.h"

#include <utility>

namespace whinpost::platform {
namespace {

// Where there are more workers than descriptors, each in turn has one for so long; all have had theirs well
// before a worker that is not connected counts as lost.
constexpr Nanos kTurn = kSecond;

}  // namespace

ConnectionAllocator::ConnectionAllocator(const net::EventLoop& loop, ConnectionBudget budget,
                                         const ClientServer& clients, WorkerPool& pool)
    : loop_(loop), budget_(budget), clients_(clients), pool_(pool) {}

// A worker that finds no descriptor waits in the queue, and nobody passes it: otherwise workers that are used
// all the time would keep theirs for good, and the others would never be reached.
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
    return budget_.workers_make_room(clients_.size()) && close_least_useful();
}

// Guards against more workers than descriptors: the watch on the endpoint list, or a client, would find none.
// Connections to workers where nothing runs are closed first.
bool ConnectionAllocator::close_least_useful() {
    const Nanos now = loop_.now();
    WorkerConnection* chosen = nullptr;
    std::pair<bool, Nanos> least;
    for (const auto& worker : pool_.workers()) {
        WorkerConnection* connection = worker->longest_idle_connection();
        if (!connection) continue;
        const std::pair usefulness(worker->has_running_tasks(), connection->idle_since());
        const bool in_its_turn = usefulness.first && now - usefulness.second < kTurn;
        if (in_its_turn || (chosen && least <= usefulness)) continue;
        chosen = connection;
        least = usefulness;
    }
    if (chosen) chosen->close();
    return chosen != nullptr;
}

// Of the connections that have had their turn, the one that is up for the longest.
WorkerConnection* ConnectionAllocator::oldest_past_its_turn(Nanos now, Wanted wanted) const {
    WorkerConnection* oldest = nullptr;
    for (const auto& worker : pool_.workers()) {
        WorkerConnection* connection = worker->oldest_connection(now - kTurn);
        if (!connection) continue;
        if (wanted == Wanted::closable ? !connection->is_empty() : connection->is_retired()) continue;
        if (!oldest || connection->up_since() < oldest->up_since()) oldest = connection;
    }
    return oldest;
}

// A connection that is used all the time is never idle; once its turn is over it carries nothing new, and is
// closed as soon as no attempt is on it. So a worker waits at most as many turns as there are workers to each
// descriptor, and the time of an attempt.
void ConnectionAllocator::serve_queue(Nanos now) {
    while (!queue_.empty()) {
        PooledWorker& worker = pool_.at(queue_.front());
        if (worker.is_gone() || worker.has_connection()) {
            queue_.pop();
            continue;
        }
        if (!worker_fits()) {
            if (WorkerConnection* connection = oldest_past_its_turn(now, Wanted::closable))
                connection->close();
            else if (!close_least_useful()) break;
        }
        if (!worker.connect()) break;
        queue_.pop();
    }
    retire_for_waiting(now);
}

void ConnectionAllocator::retire_for_waiting(Nanos now) {
    for (std::size_t left = queue_.size(); left > 0; --left) {
        WorkerConnection* connection = oldest_past_its_turn(now, Wanted::replaceable);
        if (!connection) break;
        connection->retire();
    }
}

}  // namespace whinpost::platform
