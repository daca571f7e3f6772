#include "platform/endpoint_list.h"

#include <algorithm>
#include <vector>

#include "whinpost/stable_hash.h"

namespace whinpost::platform {
namespace {

// Fields that are absent from the update keep their value.
void merge(EndpointState& state, const discovery::EndpointUpdate& update) {
    if (update.zone) state.zone = *update.zone;
    if (update.kind) state.kind = *update.kind;
    if (update.cell) state.cell = *update.cell;
    if (update.phase) state.phase = *update.phase;
    if (update.free_cores) state.free_cores = *update.free_cores;
    if (update.free_memory) state.free_memory = *update.free_memory;
}

}  // namespace

void EndpointList::apply(Nanos now, const discovery::WatchEvent& event, planner::Planner& planner) {
    for (const discovery::EndpointUpdate& endpoint : event.endpoints) update(now, endpoint, planner);
    if (event.is_snapshot) remove_unnamed(now, event);
    pool_.share_connections(listed_);
}

// Returns true if the update names a new start of the worker. Any other start time counts, also an earlier
// one, since the clock that it comes from may have been set back.
bool EndpointList::apply_start(Endpoint& endpoint, const discovery::EndpointUpdate& update) const {
    if (!update.started_at || *update.started_at == endpoint.received_start) return false;
    endpoint.received_start = *update.started_at;
    if (endpoint.received_start == 0) return false;
    const Nanos before = endpoint.state.started_at;
    endpoint.state.started_at = std::max(before + 1, loop_.from_unix_time(endpoint.received_start));
    return true;
}

void EndpointList::update(Nanos now, const discovery::EndpointUpdate& update, planner::Planner& planner) {
    Endpoint& endpoint = endpoints_[update.worker];
    const bool restarted = apply_start(endpoint, update);
    const bool was_listed = endpoint.is_listed();
    if (update.address) endpoint.address = *update.address;
    merge(endpoint.state, update);
    if (endpoint.address.empty()) return;
    if (!endpoint.worker) {
        if (endpoint.state.phase == EndpointPhase::gone) return;  // it was never listed here
        endpoint.worker = &pool_.add(update.worker);
        endpoint.record = &ledger_.add_worker(update.worker);
    }
    listed_ = listed_ + endpoint.is_listed() - was_listed;
    endpoint.worker->update_endpoint(endpoint.address, endpoint.state.phase);
    ledger_.on_endpoint(now, *endpoint.record, endpoint.state);
    planner.on_endpoint(now, endpoint.worker->number(), stable_hash(update.worker), endpoint.state);
    // Guards against a worker that restarts before the loss of its connections is noticed: it answers, so it
    // does not count as lost, but the tasks that ran on it are gone.
    if (restarted) endpoint.worker->on_restarted(endpoint.state.started_at);
}

void EndpointList::remove_unnamed(Nanos now, const discovery::WatchEvent& snapshot) {
    std::vector<std::string_view> named;
    for (const discovery::EndpointUpdate& endpoint : snapshot.endpoints) named.push_back(endpoint.worker);
    std::sort(named.begin(), named.end());
    for (auto& [name, endpoint] : endpoints_) {
        if (!endpoint.is_listed() || std::binary_search(named.begin(), named.end(), std::string_view(name)))
            continue;
        endpoint.state.phase = EndpointPhase::gone;
        --listed_;
        endpoint.worker->update_endpoint(endpoint.address, EndpointPhase::gone);
        ledger_.on_removed(now, *endpoint.record);
    }
}

const EndpointList::Endpoint* EndpointList::find(std::string_view worker_name) const {
    const auto it = endpoints_.find(worker_name);
    return it == endpoints_.end() || !it->second.worker ? nullptr : &it->second;
}

}  // namespace whinpost::platform
