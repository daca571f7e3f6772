#include "planner/local_planner.h"

#include <utility>

namespace whinpost::planner {

LocalPlanner::LocalPlanner(PlannerHandler& bindings, std::uint64_t seed, int zone,
                           std::vector<QueueGroup> groups, std::vector<WorkerKind> kinds,
                           WorkerAcceptance accepts, SlowStartSettings cold, DiscoverySettings list,
                           RetrySettings launch, Prices prices)
    : handler_(bindings), scheduler_(*this, seed, zone, std::move(groups), std::move(kinds), accepts, cold,
                                     list, launch, prices) {}

Task* LocalPlanner::find(TaskNumber number) {
    const auto it = tasks_.find(number);
    return it == tasks_.end() ? nullptr : it->second;
}

Service& LocalPlanner::service(std::uint64_t mark) {
    Service*& s = services_[mark];
    if (!s) s = &scheduler_.add_service(mark);
    return *s;
}

void LocalPlanner::drop_if_finished(Task& c) {
    if (!c.finished()) return;
    tasks_.erase(c.tag);
    scheduler_.remove(c);
}

void LocalPlanner::on_endpoint(Nanos now, WorkerNumber number, std::uint64_t mark,
                               const EndpointState& listed) {
    if (workers_.size() <= number) workers_.resize(number + 1);
    Worker*& m = workers_[number];
    if (!m) {
        m = &scheduler_.add_worker(mark);
        numbers_[m] = number;
    }
    scheduler_.update_endpoint(now, *m, listed);
}
void LocalPlanner::on_watch_event_done(Nanos now, bool whole) { scheduler_.on_watch_event_done(now, whole); }
void LocalPlanner::on_watch_failed(Nanos now) { scheduler_.on_watch_failed(now); }
void LocalPlanner::start(Nanos now) { scheduler_.start(now); }

void LocalPlanner::submit(Nanos now, TaskNumber number, std::uint64_t mark, const ResourceRequest& asked) {
    tasks_[number] = &scheduler_.submit(now, service(mark), asked, number);
}
void LocalPlanner::adopt(Nanos now, TaskNumber number, std::uint64_t mark, const ResourceRequest& asked,
                         WorkerNumber on) {
    tasks_[number] = &scheduler_.adopt(now, service(mark), asked, *workers_.at(on), number);
}

void LocalPlanner::on_accepted(Nanos now, TaskNumber n, int launch) {
    if (Task* c = find(n)) c->on_accepted(now, launch);
}
void LocalPlanner::on_running(Nanos now, TaskNumber n, int launch) {
    if (Task* c = find(n)) c->on_running(now, launch);
}
void LocalPlanner::on_cores_used(Nanos now, TaskNumber n, int launch, double x) {
    if (Task* c = find(n)) c->on_cores_used(now, launch, x);
}
void LocalPlanner::on_memory_used(Nanos now, TaskNumber n, int launch, double x) {
    if (Task* c = find(n)) c->on_memory_used(now, launch, x);
}
void LocalPlanner::on_service_share(Nanos now, TaskNumber n, int launch, double x) {
    if (Task* c = find(n)) c->on_service_share(now, launch, x);
}
void LocalPlanner::on_worker_memory(Nanos now, TaskNumber n, int launch, double x) {
    if (Task* c = find(n)) c->on_worker_memory(now, launch, x);
}
void LocalPlanner::on_attempt_ended(Nanos now, TaskNumber n, int launch, AttemptOutcome how,
                                    OutcomeReason why, bool closed, const LoadReport& r) {
    Task* c = find(n);
    if (!c) return;
    c->on_attempt_ended(now, launch, how, why, closed, r);
    drop_if_finished(*c);
}
void LocalPlanner::cancel(Nanos now, TaskNumber n) {
    Task* c = find(n);
    if (!c) return;
    c->cancel(now);
    drop_if_finished(*c);
}
void LocalPlanner::on_load_report(Nanos now, WorkerNumber on, const LoadReport& r) {
    if (on < workers_.size() && workers_[on]) scheduler_.on_load_report(now, *workers_[on], r);
}

void LocalPlanner::set_admission_tokens(Nanos, WorkerNumber on, int held) {
    if (on < workers_.size() && workers_[on]) scheduler_.set_admission_tokens(*workers_[on], held);
}

void LocalPlanner::run_round(Nanos now) {
    scheduler_.run_round(now);
    for (const TaskNumber n : std::exchange(answered_tasks_, {}))
        if (Task* c = find(n)) drop_if_finished(*c);
}

void LocalPlanner::place(Task& c, Worker& m, Nanos time_out) {
    handler_.place(c.tag, numbers_.at(&m), time_out);
}
void LocalPlanner::reject(Task& c, Nanos stay_away) {
    answered_tasks_.push_back(c.tag);
    handler_.reject(c.tag, stay_away);
}
void LocalPlanner::fail(Task& c) {
    answered_tasks_.push_back(c.tag);
    handler_.fail(c.tag);
}
void LocalPlanner::migrate(Task& c) { handler_.migrate(c.tag); }
void LocalPlanner::cancel_attempt(Task& c, int launch) { handler_.cancel_attempt(c.tag, launch); }
void LocalPlanner::check_health(Worker& m) { handler_.check_health(numbers_.at(&m)); }

}  // namespace whinpost::planner
