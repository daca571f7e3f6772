#include "planner/local_planner.h"

#include <utility>

namespace whinpost::planner {

LocalPlanner::LocalPlanner(PlannerHandler& handler, std::uint64_t seed, int zone,
                           std::vector<QueueGroup> groups, std::vector<WorkerKind> kinds,
                           WorkerAcceptance accepts, SlowStartSettings slow_start,
                           DiscoverySettings discovery, RetrySettings retry, Prices prices)
    : handler_(handler), scheduler_(*this, seed, zone, std::move(groups), std::move(kinds), accepts,
                                    slow_start, discovery, retry, prices) {}

Task* LocalPlanner::find(TaskNumber number) {
    const auto it = tasks_.find(number);
    return it == tasks_.end() ? nullptr : it->second;
}

Service& LocalPlanner::service(std::uint64_t hash) {
    Service*& service = services_[hash];
    if (!service) service = &scheduler_.add_service(hash);
    return *service;
}

void LocalPlanner::drop_if_finished(Task& task) {
    if (!task.finished()) return;
    tasks_.erase(task.tag);
    scheduler_.remove(task);
}

void LocalPlanner::on_endpoint(Nanos now, WorkerNumber number, std::uint64_t hash,
                               const EndpointState& endpoint) {
    if (workers_.size() <= number) workers_.resize(number + 1);
    Worker*& worker = workers_[number];
    if (!worker) {
        worker = &scheduler_.add_worker(hash);
        numbers_[worker] = number;
    }
    scheduler_.update_endpoint(now, *worker, endpoint);
}
void LocalPlanner::on_watch_event_done(Nanos now, bool is_snapshot) {
    scheduler_.on_watch_event_done(now, is_snapshot);
}
void LocalPlanner::on_watch_failed(Nanos now) { scheduler_.on_watch_failed(now); }
void LocalPlanner::start(Nanos now) { scheduler_.start(now); }

void LocalPlanner::submit(Nanos now, TaskNumber number, std::uint64_t hash, const ResourceRequest& request) {
    tasks_[number] = &scheduler_.submit(now, service(hash), request, number);
}
void LocalPlanner::adopt(Nanos now, TaskNumber number, std::uint64_t hash, const ResourceRequest& request,
                         WorkerNumber on) {
    tasks_[number] = &scheduler_.adopt(now, service(hash), request, *workers_.at(on), number);
}

void LocalPlanner::on_accepted(Nanos now, TaskNumber number, int attempt) {
    if (Task* task = find(number)) task->on_accepted(now, attempt);
}
void LocalPlanner::on_running(Nanos now, TaskNumber number, int attempt) {
    if (Task* task = find(number)) task->on_running(now, attempt);
}
void LocalPlanner::on_cores_used(Nanos now, TaskNumber number, int attempt, double value) {
    if (Task* task = find(number)) task->on_cores_used(now, attempt, value);
}
void LocalPlanner::on_memory_used(Nanos now, TaskNumber number, int attempt, double value) {
    if (Task* task = find(number)) task->on_memory_used(now, attempt, value);
}
void LocalPlanner::on_service_share(Nanos now, TaskNumber number, int attempt, double value) {
    if (Task* task = find(number)) task->on_service_share(now, attempt, value);
}
void LocalPlanner::on_worker_memory(Nanos now, TaskNumber number, int attempt, double value) {
    if (Task* task = find(number)) task->on_worker_memory(now, attempt, value);
}
void LocalPlanner::on_attempt_ended(Nanos now, TaskNumber number, int attempt, AttemptOutcome outcome,
                                    OutcomeReason reason, bool closed, const LoadReport& report) {
    Task* task = find(number);
    if (!task) return;
    task->on_attempt_ended(now, attempt, outcome, reason, closed, report);
    drop_if_finished(*task);
}
void LocalPlanner::cancel(Nanos now, TaskNumber number) {
    Task* task = find(number);
    if (!task) return;
    task->cancel(now);
    drop_if_finished(*task);
}
void LocalPlanner::on_load_report(Nanos now, WorkerNumber on, const LoadReport& report) {
    if (on < workers_.size() && workers_[on]) scheduler_.on_load_report(now, *workers_[on], report);
}

void LocalPlanner::set_admission_tokens(Nanos, WorkerNumber on, int held) {
    if (on < workers_.size() && workers_[on]) scheduler_.set_admission_tokens(*workers_[on], held);
}

void LocalPlanner::run_round(Nanos now) {
    scheduler_.run_round(now);
    for (const TaskNumber number : std::exchange(answered_tasks_, {}))
        if (Task* task = find(number)) drop_if_finished(*task);
}

void LocalPlanner::place(Task& task, Worker& worker, Nanos time_out) {
    handler_.place(task.tag, numbers_.at(&worker), time_out);
}
void LocalPlanner::reject(Task& task, Nanos retry_after) {
    answered_tasks_.push_back(task.tag);
    handler_.reject(task.tag, retry_after);
}
void LocalPlanner::fail(Task& task) {
    answered_tasks_.push_back(task.tag);
    handler_.fail(task.tag);
}
void LocalPlanner::migrate(Task& task) { handler_.migrate(task.tag); }
void LocalPlanner::cancel_attempt(Task& task, int attempt) { handler_.cancel_attempt(task.tag, attempt); }
void LocalPlanner::check_health(Worker& worker) { handler_.check_health(numbers_.at(&worker)); }

}  // namespace whinpost::planner
