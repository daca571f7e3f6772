#include "scheduler/scheduler_core.h"

#include <algorithm>
#include <utility>

#include "scheduler/colocation.h"
#include "scheduler/numeric.h"

namespace whinpost {
namespace {

// Delay until a task without a worker is tried again; a small part of a start objective.
constexpr Nanos kRoundInterval = 40 * kMillisecond;
constexpr Nanos kMinWakeDelay = kMillisecond;

// Folds the seed into the fewer bits that the random engine takes.
std::ranlux24_base::result_type fold_seed(std::uint64_t seed) {
    return static_cast<std::ranlux24_base::result_type>(seed ^ (seed >> 24) ^ (seed >> 48));
}

}  // namespace

SchedulerCore::SchedulerCore(DecisionHandler& handler, std::uint64_t seed, scheduler::SchedulerConfig config)
    : handler_(handler), config_(std::move(config)), random_(fold_seed(seed)), endpoints_(config_.kinds),
      watch_retry_(config_.discovery.poll_interval), slow_start_(config_.slow_start),
      capacity_(config_.acceptance, config_.groups, slow_start_),
      outliers_(config_.groups.size(), config_.acceptance.reports_pressure, slow_start_),
      health_checks_(config_.acceptance, config_.prices),
      retry_(config_.retry, config_.acceptance.accepts_when_running),
      active_set_(config_, capacity_, outliers_), migration_(config_.prices),
      candidates_(config_,
                  {endpoints_, interference_, capacity_, slow_start_, outliers_, retry_, health_checks_}) {}

Worker& SchedulerCore::add_worker(std::uint64_t name_hash) {
    return endpoints_.add_worker(name_hash, config_.slow_start.window, config_.groups.size());
}

Service& SchedulerCore::add_service(std::uint64_t name_hash) {
    Service& service = services_.emplace_back(static_cast<int>(services_.size()), name_hash);
    interference_.init(service);
    return service;
}

void SchedulerCore::start(Nanos now) {
    slow_start_.start(now);
    if (config_.discovery.poll) handler_.watch_endpoints();
}

void SchedulerCore::update_endpoint(Worker& worker, const EndpointState& state) {
    if (!endpoints_.update(worker, state)) return;
    outliers_.on_restarted(worker);
    capacity_.on_restarted(worker);
    scheduler::forget_programs(worker);
}

void SchedulerCore::on_watch_event_done(Nanos now, bool complete) {
    endpoints_.finish_watch_event(complete);
    watch_retry_.on_success();
    if (!endpoints_.is_large()) active_set_.refresh_at(now);
}

void SchedulerCore::on_watch_failed(Nanos now) {
    wake_no_later_than(now, watch_retry_.on_failure(now, static_cast<unsigned>(random_() % 1000)));
}

Task& SchedulerCore::submit(Nanos now, Service& service, const ResourceRequest& request, std::uint64_t tag) {
    Task& task = *tasks_.emplace_back(std::make_unique<Task>());
    task.self_ = std::prev(tasks_.end());
    task.scheduler_ = this;
    task.tag = tag;
    task.request = request;
    task.service = &service;
    task.queue_group = &config_.groups[static_cast<std::size_t>(request.queue_group)];
    task.submitted_at = now;
    task.deadline = now + request.time_left;
    enqueue(task);
    return task;
}

Task& SchedulerCore::adopt(Nanos now, Service& service, const ResourceRequest& request, Worker& worker,
                           std::uint64_t tag) {
    Task& task = submit(now, service, request, tag);
    dequeue(task);
    task.attempts = 1;
    scheduler::attach_task(now, task, worker);
    capacity_.on_attempt_sent(now, task, worker);
    capacity_.on_adopted(worker);
    task.accepted = task.running = true;
    scheduler::mark_running(now, task);
    return task;
}

void SchedulerCore::remove(Task& task) {
    close(task);
    tasks_.erase(task.self_);
}

void SchedulerCore::enqueue(Task& task) {
    task.queue_position_ = queue_.insert(queue_.end(), &task);
    task.in_queue_ = true;
}

void SchedulerCore::dequeue(Task& task) {
    if (std::exchange(task.in_queue_, false)) queue_.erase(task.queue_position_);
}

void SchedulerCore::close(Task& task) {
    task.settled = true;
    dequeue(task);
}

void SchedulerCore::send_answer(Task& task) {
    if (task.settled) return;
    const bool reject = retry_.may_reject(task);
    close(task);
    if (reject) handler_.reject(task, 0);
    else handler_.fail(task);
}

void SchedulerCore::run_round(Nanos now) {
    if (watch_retry_.take_due(now)) handler_.watch_endpoints();
    last_round_at_ = now;
    if (queue_.empty()) return;
    active_set_.refresh_if_due(now, endpoints_.listed_workers());
    for (Task* task : queue_in_order()) {
        if (now >= task->not_before) {
            if (try_to_place(now, *task)) continue;
            wait_for_room(now, *task);
        }
        if (now >= retry_.give_up_at(*task)) send_answer(*task);
    }
    wake_for_queue(now);
}

std::vector<Task*> SchedulerCore::queue_in_order() {
    std::vector<Task*> ordered;
    for (Task* task : queue_) {
        task->order = interference_.placement_order(*task);
        ordered.push_back(task);
    }
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const Task* left, const Task* right) { return left->order > right->order; });
    return ordered;
}

// True if an attempt was sent, or a health check that must be answered first.
bool SchedulerCore::try_to_place(Nanos now, Task& task) {
    using scheduler::SelectionScope;
    Worker* worker = candidates_.select(now, task, SelectionScope::active_set);
    if (!worker && task.rounds_without_worker > 0)
        worker = candidates_.select(now, task, SelectionScope::whole_fleet);
    if (!worker) return false;
    if (!health_checks_.check_first(now, task, *worker, handler_)) send_attempt(now, task, *worker);
    return true;
}

void SchedulerCore::send_attempt(Nanos now, Task& task, Worker& worker) {
    dequeue(task);
    const Nanos timeout = retry_.attempt_timeout(now, task, capacity_.mean_answer_time_s());
    scheduler::attach_task(now, task, worker);
    capacity_.on_attempt_sent(now, task, worker);
    ++task.attempts;
    slow_start_.on_attempt_sent(now, worker);
    handler_.place(task, worker, timeout);
}

void SchedulerCore::wait_for_room(Nanos now, Task& task) {
    if (++task.rounds_without_worker == 2) active_set_.widen(now, endpoints_.listed_workers().size());
    task.rejected_by.clear();
    task.not_before = now + kRoundInterval;
}

void SchedulerCore::wake_for_queue(Nanos now) {
    Nanos next = 0;
    for (const Task* task : queue_)
        if (!next || task->not_before < next) next = task->not_before;
    if (next) wake_no_later_than(now, std::max(next, now + kMinWakeDelay));
}

void SchedulerCore::wake_no_later_than(Nanos now, Nanos at) {
    if (next_wake_at_ > now && next_wake_at_ <= at) return;
    next_wake_at_ = at;
    handler_.wake_at(at);
}

}  // namespace whinpost
