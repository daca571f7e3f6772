// All workers that this scheduler knows, and which of them are in the current endpoint list.
#pragma once
#include <cstddef>
#include <cstdint>
#include <list>
#include <vector>

#include "scheduler/hash_ring.h"
#include "whinpost/endpoint_state.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {

// A watch event is a number of update() calls, which finish_watch_event() applies to the lists below.
class EndpointList {
public:
    // The kinds must outlive the list.
    explicit EndpointList(const std::vector<WorkerKind>& kinds) : kinds_(kinds) {}

    Worker& add_worker(std::uint64_t name_hash, Nanos slow_start_window, std::size_t queue_groups);
    // True if the worker has restarted since its last update, and so has no tasks and no loaded programs.
    [[nodiscard]] bool update(Worker&, const EndpointState&);
    // complete: the event was a full list, and all listed workers that it did not name are gone.
    void finish_watch_event(bool complete);

    // In the order of their first update.
    const std::vector<Worker*>& listed_workers() const { return listed_workers_; }
    const HashRing<Worker>& ring() const { return ring_; }  // the workers that are serving
    // If true, work that is linear in the number of workers is done at intervals and not at each event; see
    // docs/design.md.
    bool is_large() const;

private:
    void mark_changed(Worker&);

    const std::vector<WorkerKind>& kinds_;
    std::list<Worker> workers_;
    std::vector<Worker*> listed_workers_;
    HashRing<Worker> ring_;
    std::vector<Worker*> changed_workers_;  // new or with a changed phase in the current event
    int watch_events_ = 1;                  // number of the current event, from 1
};

}  // namespace whinpost::scheduler
