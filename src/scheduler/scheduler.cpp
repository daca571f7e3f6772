// The public classes: they forward to the scheduler's core.
#include "whinpost/scheduler.h"

#include <utility>

#include "scheduler/scheduler_core.h"
#include "scheduler/slow_start.h"

namespace whinpost {

Scheduler::Scheduler(DecisionHandler& handler, std::uint64_t seed, int zone, std::vector<QueueGroup> groups,
                     std::vector<WorkerKind> kinds, WorkerAcceptance acceptance, SlowStartSettings slow_start,
                     DiscoverySettings discovery, RetrySettings retry, Prices prices)
    : core_(std::make_unique<SchedulerCore>(
          handler, seed,
          scheduler::SchedulerConfig{zone, std::move(groups), std::move(kinds), acceptance, slow_start,
                                     discovery, retry, prices})) {}
Scheduler::~Scheduler() = default;

Worker& Scheduler::add_worker(std::uint64_t name_hash) { return core_->add_worker(name_hash); }
Service& Scheduler::add_service(std::uint64_t name_hash) { return core_->add_service(name_hash); }
void Scheduler::update_endpoint(Nanos, Worker& worker, const EndpointState& state) {
    core_->update_endpoint(worker, state);
}
void Scheduler::on_watch_event_done(Nanos now, bool complete) { core_->on_watch_event_done(now, complete); }
void Scheduler::on_watch_failed(Nanos now) { core_->on_watch_failed(now); }
void Scheduler::set_admission_tokens(Worker& worker, int tokens) {
    worker.slow_start.admission_tokens = tokens;
}
void Scheduler::on_load_report(Nanos now, Worker& worker, const LoadReport& report) {
    core_->on_load_report(now, worker, report);
}

void Scheduler::start(Nanos now) { core_->start(now); }
Task& Scheduler::submit(Nanos now, Service& service, const ResourceRequest& request, std::uint64_t tag) {
    return core_->submit(now, service, request, tag);
}
Task& Scheduler::adopt(Nanos now, Service& service, const ResourceRequest& request, Worker& worker,
                       std::uint64_t tag) {
    return core_->adopt(now, service, request, worker, tag);
}
void Scheduler::remove(Task& task) { core_->remove(task); }
void Scheduler::run_round(Nanos now) { core_->run_round(now); }

double Scheduler::predicted_slowdown(const Worker& worker, const Service& service) const {
    return core_->interference().predict(worker, service);
}
bool Scheduler::may_place(Nanos now, const Task& task, const Worker& worker) const {
    return core_->retry().may_place(now, task, worker);
}
bool Scheduler::may_reject(const Task& task) const { return core_->retry().may_reject(task); }
std::int64_t Scheduler::slow_start_tokens(const SlowStartSettings& settings, std::uint64_t name_hash,
                                          Nanos now) {
    return scheduler::SlowStart::tokens(settings, name_hash, now);
}

void Task::on_accepted(Nanos now, int) { scheduler_->on_accepted(now, *this); }
void Task::on_running(Nanos now, int) { scheduler_->on_running(now, *this); }
void Task::on_cores_used(Nanos, int, double cores) { scheduler_->on_cores_used(*this, cores); }
void Task::on_memory_used(Nanos, int, double memory) { scheduler_->on_memory_used(*this, memory); }
void Task::on_service_share(Nanos now, int, double share) { scheduler_->on_service_share(now, *this, share); }
void Task::on_worker_memory(Nanos now, int, double share) { scheduler_->on_worker_memory(now, *this, share); }
void Task::on_attempt_ended(Nanos now, int, AttemptOutcome outcome, OutcomeReason reason, bool closed,
                            const LoadReport& report) {
    scheduler_->on_attempt_ended(now, *this, outcome, reason, closed, report);
}
void Task::cancel(Nanos) { scheduler_->close(*this); }

}  // namespace whinpost
