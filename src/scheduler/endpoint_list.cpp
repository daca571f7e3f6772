#include "scheduler/endpoint_list.h"

#include <utility>

#include "scheduler/numeric.h"

namespace whinpost::scheduler {
namespace {

// Virtual nodes of a worker on the ring. When a worker leaves, its services spread over up to that many
// others.
constexpr std::uint64_t kVirtualNodes = 32;

// Departure from the design (large fleets): above this number of workers, work that is linear in the fleet
// size is done at most four times a second, and not after each watch event or for each task. That is the
// refresh of the active set, and the search that finds no room on any worker. Guards against control work
// that grows with fleet size times load. A worker that becomes free may be noticed a quarter of a second
// late.
constexpr std::size_t kLargeFleet = 2000;

}  // namespace

Worker& EndpointList::add_worker(std::uint64_t name_hash, Nanos slow_start_window, std::size_t queue_groups) {
    return workers_.emplace_back(name_hash, slow_start_window, queue_groups);
}

bool EndpointList::is_large() const { return listed_workers_.size() > kLargeFleet; }

void EndpointList::mark_changed(Worker& worker) {
    if (!std::exchange(worker.listing.has_changed, true)) changed_workers_.push_back(&worker);
}

bool EndpointList::update(Worker& worker, const EndpointState& state) {
    worker.listing.latest_watch_event = watch_events_;
    const bool was_listed = std::exchange(worker.listing.is_listed, true);
    if (!was_listed) listed_workers_.push_back(&worker);
    if (!was_listed || worker.endpoint.phase != state.phase) mark_changed(worker);
    const bool restarted = was_listed && state.started_at > worker.endpoint.started_at;
    worker.endpoint = state;
    worker.kind = &kinds_[static_cast<std::size_t>(state.kind)];
    return restarted;
}

// Except for a complete list, the cost is proportional to the workers that changed. If it were linear in the
// fleet size, a zone that is lost worker by worker would stall the scheduler once per worker.
void EndpointList::finish_watch_event(bool complete) {
    if (complete) {
        for (Worker* worker : listed_workers_) {
            if (worker->listing.latest_watch_event == watch_events_) continue;
            if (worker->endpoint.phase == EndpointPhase::gone) continue;
            worker->endpoint.phase = EndpointPhase::gone;
            mark_changed(*worker);
        }
    }
    ++watch_events_;
    std::vector<Worker*> joined;
    bool any_left = false;
    for (Worker* worker : std::exchange(changed_workers_, {})) {
        worker->listing.has_changed = false;
        if (worker->endpoint.phase == EndpointPhase::gone)
            any_left |= std::exchange(worker->listing.is_listed, false);
        if (worker->endpoint.phase != EndpointPhase::serving) ring_.erase(worker);
        else if (!worker->on_ring) joined.push_back(worker);
    }
    if (any_left) std::erase_if(listed_workers_, [](Worker* worker) { return !worker->listing.is_listed; });
    ring_.insert(joined, [](const Worker& worker, auto add) {
        for (std::uint64_t i = 0; i < kVirtualNodes; ++i) add(series_hash(worker.name_hash, i));
    });
}

}  // namespace whinpost::scheduler
