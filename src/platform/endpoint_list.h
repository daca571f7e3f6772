// The endpoint list, built from the watch events of discovery.
#pragma once
#include <map>
#include <string>
#include <string_view>

#include "discovery/event_stream.h"
#include "ledger/ledger.h"
#include "net/stream.h"
#include "planner/planner.h"
#include "platform/worker_pool.h"

namespace whinpost::platform {

// Applies each change to the worker pool, the ledger and the planner, in this order.
class EndpointList {
public:
    EndpointList(const net::EventLoop& loop, WorkerPool& pool, ledger::Ledger& ledger)
        : loop_(loop), pool_(pool), ledger_(ledger) {}

    struct Endpoint {
        PooledWorker* worker = nullptr;  // null until its address is known
        ledger::WorkerRecord* record = nullptr;
        std::string address;
        EndpointState state;       // with started_at on the event loop's clock
        Nanos received_start = 0;  // started_at as received, in Unix time
        bool is_listed() const { return worker && state.phase != EndpointPhase::gone; }
    };

    void apply(Nanos now, const discovery::WatchEvent&, planner::Planner&);
    // Null if no event has given the worker's address yet.
    const Endpoint* find(std::string_view worker_name) const;

private:
    bool apply_start(Endpoint&, const discovery::EndpointUpdate&) const;
    void update(Nanos now, const discovery::EndpointUpdate&, planner::Planner&);
    void remove_unnamed(Nanos now, const discovery::WatchEvent& snapshot);

    const net::EventLoop& loop_;
    WorkerPool& pool_;
    ledger::Ledger& ledger_;
    std::map<std::string, Endpoint, std::less<>> endpoints_;
    std::size_t listed_ = 0;  // number of endpoints for which is_listed() holds
};

}  // namespace whinpost::platform
