#include "ledger/ledger.h"

#include <algorithm>

#include "whinpost/stable_hash.h"

namespace whinpost::ledger {

std::string_view to_string(Refusal refusal) {
    switch (refusal) {
        case Refusal::none:
            return "allowed";
        case Refusal::answered:
            return "the client already has its final answer";
        case Refusal::accepted:
            return "a worker has accepted the task";
        case Refusal::attempt_in_flight:
            return "an earlier attempt is still in flight";
        case Refusal::too_many_attempts:
            return "the task has used all of its attempts";
        case Refusal::too_late:
            return "the client's deadline has passed";
        case Refusal::unknown_worker:
            return "the worker is not in the endpoint list";
        case Refusal::draining:
            return "the worker is draining";
        case Refusal::wrong_kind:
            return "the queue group requires another worker kind";
        case Refusal::may_have_run:
            return "side-effecting task: an earlier attempt may have run";
        case Refusal::outside_deduplication_domain:
            return "keyed task: the worker is outside the deduplication domain";
        case Refusal::past_deduplication_window:
            return "keyed task: the deduplication window has passed";
        case Refusal::spread:
            return "the failure domain holds the maximum number of the service's tasks";
        case Refusal::no_admission_token:
            return "the worker is in slow start and no admission token is left";
    }
    return "unknown";
}

namespace {
bool proves_not_run(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::connect_failed ||
           outcome == AttemptOutcome::not_sent;
}

// Whether the workers may have forgotten `first`, the first attempt that may have run. They would then accept
// a repeat of it as a new task.
bool past_deduplication_window(Nanos now, const TaskRecord& task, const Attempt& first) {
    return now - first.sent_at >= task.queue_group->deduplication_window;
}
}  // namespace

bool same_domain(const WorkerRecord& first, const WorkerRecord& second, FailureDomain domain) {
    switch (domain) {
        case FailureDomain::none:
            return false;
        case FailureDomain::worker:
            return &first == &second;
        case FailureDomain::cell:
            return first.endpoint.cell == second.endpoint.cell;
        case FailureDomain::zone:
            return first.endpoint.zone == second.endpoint.zone;
        case FailureDomain::all:
            return true;
    }
    return false;
}

Ledger::Ledger(std::vector<QueueGroup> groups, RetrySettings retry, SlowStartSettings slow_start)
    : groups_(std::move(groups)), retry_(retry), slow_start_(slow_start) {}

// ---------------------------------------------------------------- workers

WorkerRecord& Ledger::add_worker(std::string_view name) {
    auto it = workers_.find(name);
    if (it == workers_.end()) {
        it = workers_.emplace(std::string(name), WorkerRecord{}).first;
        it->second.name = name;
        it->second.name_hash = stable_hash(name);
    }
    return it->second;
}

WorkerRecord* Ledger::find_worker(std::string_view name) {
    const auto it = workers_.find(name);
    return it == workers_.end() ? nullptr : &it->second;
}

// An endpoint list may revoke a drain that an earlier endpoint list announced (the drain was cancelled). A
// drain that the worker itself announced can be revoked only by the worker, so that a list requested before
// the drain and received after it does not make the worker eligible again.
void Ledger::on_endpoint(Nanos now, WorkerRecord& worker, const EndpointState& entry) {
    if (worker.is_listed && entry.started_at > worker.endpoint.started_at) on_restarted(now, worker);
    worker.endpoint = entry;
    worker.is_listed = entry.phase != EndpointPhase::gone;
    if (entry.phase != EndpointPhase::serving && !worker.is_draining()) worker.drain_known_at = now;
    worker.drain_listed = entry.phase != EndpointPhase::serving;
}

void Ledger::on_removed(Nanos now, WorkerRecord& worker) {
    worker.is_listed = false;
    worker.endpoint.phase = EndpointPhase::gone;
    if (!worker.is_draining()) worker.drain_known_at = now;
    worker.drain_listed = true;
}

void Ledger::on_drain_announced(Nanos now, WorkerRecord& worker, bool drains) {
    if (drains && !worker.is_draining()) worker.drain_known_at = now;
    worker.drain_announced = drains;
}

void Ledger::on_restarted(Nanos, WorkerRecord& worker) {
    worker.drain_announced = false;
    worker.slow_start_sends.clear();
}

// ---------------------------------------------------------------- tasks

TaskRecord& Ledger::create_task(Nanos now, std::string_view key, std::uint64_t service,
                                const ResourceRequest& request) {
    TaskRecord& task = tasks_[next_task_];
    task.number = next_task_++;
    task.key = key;
    task.service = service;
    task.queue_group_index = request.queue_group;
    task.queue_group = &groups_[static_cast<std::size_t>(request.queue_group)];
    task.request = request;
    task.submitted_at = now;
    task.deadline = now + request.time_left;
    task.attempts.reserve(static_cast<std::size_t>(std::max(1, retry_.max_attempts)));
    ++statistics_.submitted;
    return task;
}

TaskRecord& Ledger::adopt_task(Nanos now, std::string_view key, std::uint64_t service,
                               const ResourceRequest& request, WorkerRecord& worker) {
    TaskRecord& task = create_task(now, key, service, request);
    Attempt& attempt = add_attempt(task, worker);
    attempt.sent_at = now;
    attempt.deadline = now;
    attempt.accepted = attempt.running = attempt.adopted = true;
    task.accepted_attempt = &attempt;
    task.answer = Answer::placed;
    ++worker.tasks_held;
    ++statistics_.accepted;
    count_task(task, worker);
    return task;
}

TaskRecord* Ledger::find_task(std::uint64_t number) {
    const auto it = tasks_.find(number);
    return it == tasks_.end() ? nullptr : &it->second;
}

void Ledger::erase_task(TaskRecord& task) {
    if (task.in_flight) release_task(*task.in_flight);
    tasks_.erase(task.number);
}

// ---------------------------------------------------------------- placement rules

const Attempt* Ledger::first_possible_run(const TaskRecord& task) const {
    for (const Attempt& attempt : task.attempts)
        if (!attempt.ended || attempt.may_have_run) return &attempt;
    return nullptr;
}

int Ledger::tasks_in_domain(std::uint64_t service, const WorkerRecord& worker, FailureDomain domain) const {
    const auto it = spread_counts_.find(service);
    if (it == spread_counts_.end()) return 0;
    int count = 0;
    for (const WorkerTasks& entry : it->second)
        if (same_domain(*entry.worker, worker, domain)) count += entry.count;
    return count;
}

bool Ledger::same_window(Nanos first, Nanos second) const {
    return first / slow_start_.window == second / slow_start_.window;
}

bool Ledger::in_slow_start(Nanos now, const WorkerRecord& worker) const {
    return worker.endpoint.started_at > 0 && now - worker.endpoint.started_at < slow_start_.warm_up_time;
}

Refusal Ledger::check_task(Nanos now, const TaskRecord& task) const {
    if (task.accepted_attempt) return Refusal::accepted;
    if (task.answer != Answer::none || task.closed) return Refusal::answered;
    if (task.in_flight) return Refusal::attempt_in_flight;
    if (static_cast<int>(task.attempts.size()) >= retry_.max_attempts) return Refusal::too_many_attempts;
    if (now >= task.deadline) return Refusal::too_late;
    return Refusal::none;
}

Refusal Ledger::check_worker(const TaskRecord& task, const WorkerRecord& worker) const {
    if (!worker.is_listed) return Refusal::unknown_worker;
    if (worker.is_draining()) return Refusal::draining;
    const int kind = task.queue_group->worker_kind;
    if (kind >= 0 && worker.endpoint.kind != kind) return Refusal::wrong_kind;
    return Refusal::none;
}

Refusal Ledger::check_retry(Nanos now, const TaskRecord& task, const WorkerRecord& worker) const {
    const Attempt* first = first_possible_run(task);
    if (!first) return Refusal::none;
    switch (task.queue_group->effect) {
        case Effect::idempotent:
            return Refusal::none;
        case Effect::side_effecting:
            return Refusal::may_have_run;
        case Effect::keyed:
            if (past_deduplication_window(now, task, *first)) return Refusal::past_deduplication_window;
            if (!same_domain(*first->worker, worker, task.queue_group->deduplicated_by))
                return Refusal::outside_deduplication_domain;
            return Refusal::none;
    }
    return Refusal::none;
}

Refusal Ledger::check_spread(const TaskRecord& task, const WorkerRecord& worker) const {
    const FailureDomain domain = task.queue_group->spread_domain;
    if (domain == FailureDomain::none) return Refusal::none;
    const bool full = tasks_in_domain(task.service, worker, domain) >= task.queue_group->max_per_domain;
    return full ? Refusal::spread : Refusal::none;
}

Refusal Ledger::check_slow_start(Nanos now, const WorkerRecord& worker) const {
    if (!in_slow_start(now, worker)) return Refusal::none;
    if (worker.admission_tokens >= 0)
        return worker.admission_tokens == 0 ? Refusal::no_admission_token : Refusal::none;
    // The worker issues no tokens. Placers exchange no messages: the sum of their attempts stays bounded only
    // because every placer uses the same division of the worker's capacity.
    std::int64_t sent_in_window = 0;
    for (const Nanos sent_at : worker.slow_start_sends) sent_in_window += same_window(sent_at, now);
    return sent_in_window >= Scheduler::slow_start_tokens(slow_start_, worker.name_hash, now)
               ? Refusal::no_admission_token
               : Refusal::none;
}

Refusal Ledger::check_attempt(Nanos now, const TaskRecord& task, const WorkerRecord& worker) const {
    if (const Refusal refusal = check_task(now, task); refusal != Refusal::none) return refusal;
    if (const Refusal refusal = check_worker(task, worker); refusal != Refusal::none) return refusal;
    if (const Refusal refusal = check_retry(now, task, worker); refusal != Refusal::none) return refusal;
    if (const Refusal refusal = check_spread(task, worker); refusal != Refusal::none) return refusal;
    return check_slow_start(now, worker);
}

tl::expected<Attempt*, Refusal> Ledger::start_attempt(Nanos now, TaskRecord& task, WorkerRecord& worker,
                                                      Nanos time_out) {
    Refusal refusal = check_attempt(now, task, worker);
    // Callers keep pointers to attempts, so the vector must not grow beyond the capacity that create_task()
    // reserved. Only a ledger in a test, whose check_attempt() allows more attempts than are configured, can
    // reach that capacity here.
    if (refusal == Refusal::none && task.attempts.size() == task.attempts.capacity())
        refusal = Refusal::too_many_attempts;
    if (refusal != Refusal::none) {
        ++statistics_.refused_to_planner;
        return tl::unexpected(refusal);
    }
    Attempt& attempt = add_attempt(task, worker);
    attempt.sent_at = now;
    attempt.deadline = std::min(task.deadline, now + std::max<Nanos>(time_out, kMillisecond));
    ++worker.attempts_in_flight;
    if (in_slow_start(now, worker)) record_slow_start_send(now, worker);
    count_task(task, worker);
    return &attempt;
}

Attempt& Ledger::add_attempt(TaskRecord& task, WorkerRecord& worker) {
    Attempt& attempt = task.attempts.emplace_back();
    attempt.number = next_attempt_++;
    attempt.task = &task;
    attempt.worker = &worker;
    task.in_flight = &attempt;
    return attempt;
}

void Ledger::record_slow_start_send(Nanos now, WorkerRecord& worker) {
    std::deque<Nanos>& sends = worker.slow_start_sends;
    while (!sends.empty() && !same_window(sends.front(), now)) sends.pop_front();
    sends.push_back(now);
}

bool Ledger::may_still_send(Nanos now, const Attempt& attempt) const {
    return !attempt.ended && attempt.task->answer == Answer::none && now < attempt.deadline &&
           attempt.worker->is_listed && !attempt.worker->is_draining() && !repeat_expired(now, attempt) &&
           !slow_start_window_passed(now, attempt);
}

// Guards against a repeat that check_attempt() allowed, that then waited for its connection, and that would
// reach its worker after the deduplication window.
bool Ledger::repeat_expired(Nanos now, const Attempt& attempt) const {
    const TaskRecord& task = *attempt.task;
    if (task.queue_group->effect != Effect::keyed) return false;
    const Attempt* first = first_possible_run(task);
    return first && first != &attempt && past_deduplication_window(now, task, *first);
}

// Guards against sending a worker in slow start more attempts than its capacity. An attempt that waited for
// its connection may leave in a later window than the one whose token it used; an attempt recorded before the
// worker's restart used no token at all.
bool Ledger::slow_start_window_passed(Nanos now, const Attempt& attempt) const {
    const WorkerRecord& worker = *attempt.worker;
    if (!in_slow_start(now, worker) || worker.admission_tokens >= 0) return false;
    return !same_window(attempt.sent_at, now) || attempt.sent_at < worker.endpoint.started_at;
}

// ---------------------------------------------------------------- attempt events

// An acceptance counts only while the attempt is in flight and the client has no answer. Otherwise the worker
// has accepted a copy that no client waits for: the caller cancels it or tells the client on which worker it
// is.
bool Ledger::on_accepted(Nanos, Attempt& attempt) {
    if (attempt.accepted) return false;
    TaskRecord& task = *attempt.task;
    if (attempt.ended || task.in_flight != &attempt || task.answer != Answer::none) {
        ++statistics_.late_accepts;
        return false;
    }
    attempt.accepted = true;
    task.accepted_attempt = &attempt;
    task.answer = Answer::placed;
    ++statistics_.accepted;
    --attempt.worker->attempts_in_flight;
    ++attempt.worker->tasks_held;
    return true;
}

bool Ledger::on_running(Nanos, Attempt& attempt) {
    if (attempt.ended || attempt.running || !attempt.accepted) return false;
    attempt.running = true;
    return true;
}

// Adds the task to the count of its service's tasks on the worker if the queue group has a spread domain;
// release_task() subtracts it.
void Ledger::count_task(const TaskRecord& task, WorkerRecord& worker) {
    if (task.queue_group->spread_domain == FailureDomain::none) return;
    auto& workers = spread_counts_[task.service];
    const auto it = std::find_if(workers.begin(), workers.end(),
                                 [&worker](const WorkerTasks& entry) { return entry.worker == &worker; });
    if (it == workers.end()) workers.push_back({&worker, 1});
    else ++it->count;
}

void Ledger::release_task(Attempt& attempt) {
    TaskRecord& task = *attempt.task;
    if (attempt.accepted) --attempt.worker->tasks_held;
    else --attempt.worker->attempts_in_flight;
    if (task.queue_group->spread_domain == FailureDomain::none) return;
    const auto it = spread_counts_.find(task.service);
    if (it == spread_counts_.end()) return;
    auto& workers = it->second;
    const auto entry = std::find_if(workers.begin(), workers.end(), [&attempt](const WorkerTasks& tasks) {
        return tasks.worker == attempt.worker;
    });
    if (entry != workers.end() && --entry->count == 0) workers.erase(entry);
    if (workers.empty()) spread_counts_.erase(it);
}

bool Ledger::on_ended(Nanos, Attempt& attempt, AttemptOutcome outcome) {
    if (attempt.ended) return false;
    TaskRecord& task = *attempt.task;
    release_task(attempt);
    attempt.ended = true;
    attempt.outcome = outcome;
    attempt.may_have_run = attempt.accepted || !proves_not_run(outcome);
    if (task.in_flight == &attempt) task.in_flight = nullptr;
    if (task.accepted_attempt == &attempt) {
        task.accepted_attempt = nullptr;
        task.closed = true;  // a placed task is closed once its accepted attempt has ended
    }
    if (task.answer == Answer::rejected || task.answer == Answer::failed || task.answer == Answer::cancelled)
        task.closed = true;
    return true;
}

// ---------------------------------------------------------------- answers

// A rejection tells the client that it may safely submit the task again.
bool Ledger::may_reject(const TaskRecord& task) const {
    if (task.queue_group->effect == Effect::idempotent) return true;
    if (task.in_flight) return false;
    if (!first_possible_run(task)) return true;
    return task.queue_group->effect == Effect::keyed &&
           task.queue_group->deduplicated_by == FailureDomain::all;
}

bool Ledger::record_answer(Nanos, TaskRecord& task, Answer answer) {
    if (task.answer != Answer::none || answer == Answer::none || answer == Answer::placed) return false;
    if (answer == Answer::rejected && !may_reject(task)) return false;
    task.answer = answer;
    if (answer == Answer::rejected) ++statistics_.rejected;
    if (answer == Answer::failed) ++statistics_.failed;
    if (answer == Answer::cancelled) ++statistics_.cancelled;
    if (!task.in_flight) task.closed = true;
    return true;
}

}  // namespace whinpost::ledger
