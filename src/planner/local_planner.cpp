#include "planner/local_planner.h"

#include <utility>

namespace whinpost::planner {

LocalPlanner::LocalPlanner(PlannerHandler& bindings, std::uint64_t seed, int zone,
                           std::vector<QueueGroup> groups, std::vector<WorkerKind> kinds,
                           WorkerAcceptance accepts, SlowStartSettings cold, DiscoverySettings list,
                           RetrySettings launch, Prices prices)
    : bindings_(bindings),
      placer_(*this, seed, zone, std::move(groups), std::move(kinds), accepts, cold, list, launch, prices) {}

Task* LocalPlanner::find(TaskNumber number) {
    const auto it = containers_.find(number);
    return it == containers_.end() ? nullptr : it->second;
}

Service& LocalPlanner::service(std::uint64_t mark) {
    Service*& s = services_[mark];
    if (!s) s = &placer_.meet_service(mark);
    return *s;
}

void LocalPlanner::drop_if_finished(Task& c) {
    if (!c.finished()) return;
    containers_.erase(c.tag);
    placer_.release(c);
}

void LocalPlanner::node(Nanos now, WorkerNumber number, std::uint64_t mark, const EndpointState& listed) {
    if (machines_.size() <= number) machines_.resize(number + 1);
    Worker*& m = machines_[number];
    if (!m) {
        m = &placer_.meet_machine(mark);
        numbers_[m] = number;
    }
    placer_.list_entry(now, *m, listed);
}
void LocalPlanner::list_done(Nanos now, bool whole) { placer_.list_done(now, whole); }
void LocalPlanner::list_failed(Nanos now) { placer_.list_failed(now); }
void LocalPlanner::begin(Nanos now) { placer_.begin(now); }

void LocalPlanner::take(Nanos now, TaskNumber number, std::uint64_t mark, const ResourceRequest& asked) {
    containers_[number] = &placer_.take(now, service(mark), asked, number);
}
void LocalPlanner::take_over(Nanos now, TaskNumber number, std::uint64_t mark, const ResourceRequest& asked,
                             WorkerNumber on) {
    containers_[number] = &placer_.take_over(now, service(mark), asked, *machines_.at(on), number);
}

void LocalPlanner::accepted(Nanos now, TaskNumber n, int launch) {
    if (Task* c = find(n)) c->accepted(now, launch);
}
void LocalPlanner::runs(Nanos now, TaskNumber n, int launch) {
    if (Task* c = find(n)) c->runs(now, launch);
}
void LocalPlanner::uses_cores(Nanos now, TaskNumber n, int launch, double x) {
    if (Task* c = find(n)) c->uses_cores(now, launch, x);
}
void LocalPlanner::uses_memory(Nanos now, TaskNumber n, int launch, double x) {
    if (Task* c = find(n)) c->uses_memory(now, launch, x);
}
void LocalPlanner::served_share(Nanos now, TaskNumber n, int launch, double x) {
    if (Task* c = find(n)) c->served_share(now, launch, x);
}
void LocalPlanner::machine_memory(Nanos now, TaskNumber n, int launch, double x) {
    if (Task* c = find(n)) c->machine_memory(now, launch, x);
}
void LocalPlanner::ended(Nanos now, TaskNumber n, int launch, AttemptOutcome how, OutcomeReason why,
                         bool closed, const LoadReport& r) {
    Task* c = find(n);
    if (!c) return;
    c->ended(now, launch, how, why, closed, r);
    drop_if_finished(*c);
}
void LocalPlanner::withdrawn(Nanos now, TaskNumber n) {
    Task* c = find(n);
    if (!c) return;
    c->withdrawn(now);
    drop_if_finished(*c);
}
void LocalPlanner::heard(Nanos now, WorkerNumber on, const LoadReport& r) {
    if (on < machines_.size() && machines_[on]) placer_.heard(now, *machines_[on], r);
}

void LocalPlanner::turns(Nanos, WorkerNumber on, int held) {
    if (on < machines_.size() && machines_[on]) placer_.turns(*machines_[on], held);
}

void LocalPlanner::round(Nanos now) {
    placer_.round(now);
    for (const TaskNumber n : std::exchange(answered_, {}))
        if (Task* c = find(n)) drop_if_finished(*c);
}

void LocalPlanner::bind(Task& c, Worker& m, Nanos time_out) {
    bindings_.bind(c.tag, numbers_.at(&m), time_out);
}
void LocalPlanner::defer(Task& c, Nanos stay_away) {
    answered_.push_back(c.tag);
    bindings_.defer(c.tag, stay_away);
}
void LocalPlanner::kill(Task& c) {
    answered_.push_back(c.tag);
    bindings_.kill(c.tag);
}
void LocalPlanner::move(Task& c) { bindings_.move(c.tag); }
void LocalPlanner::stop_waiting(Task& c, int launch) { bindings_.stop_waiting(c.tag, launch); }
void LocalPlanner::probe(Worker& m) { bindings_.probe(numbers_.at(&m)); }

}  // namespace whinpost::planner
