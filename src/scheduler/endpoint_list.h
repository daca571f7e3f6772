// The workers that this scheduler knows of, and which of them the endpoint list names.
#pragma once
#include <cstddef>
#include <cstdint>
#include <list>
#include <vector>

#include "scheduler/hash_ring.h"
#include "whinpost/endpoint_state.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {

// Watch events arrive worker by worker and take effect in finish_watch_event(), at a cost by what changed.
class EndpointList {
public:
    // The kinds must outlive the list.
    explicit EndpointList(const std::vector<WorkerKind>& kinds) : kinds_(kinds) {}

    Worker& add_worker(std::uint64_t name_hash, Nanos slow_start_window, std::size_t queue_groups);
    // True if the worker has restarted since its last state, so that it holds and knows nothing.
    [[nodiscard]] bool update(Worker&, const EndpointState&);
    // complete: listed workers that were not named since the last event are gone.
    void finish_watch_event(bool complete);

    const std::vector<Worker*>& listed_workers() const { return listed_workers_; }  // in order of their entry
    const HashRing<Worker>& ring() const { return ring_; }                          // the serving workers
    // Work for each listed worker is then done at intervals, not at each event; see docs/design.md.
    bool is_large() const;

private:
    void mark_changed(Worker&);

    const std::vector<WorkerKind>& kinds_;
    std::list<Worker> workers_;
    std::vector<Worker*> listed_workers_;
    HashRing<Worker> ring_;
    std::vector<Worker*> changed_workers_;  // entered, or changed their phase, since the last event's end
    int watch_events_ = 1;                  // begun so far
};

}  // namespace whinpost::scheduler
