// The admission queue: attempts and health checks are handled one at a time, each after the admission time.
#include <algorithm>
#include <utility>

#include "emulator/emulated_worker.h"
#include "emulator/hosted_task.h"
#include "whinpost/stable_hash.h"

namespace whinpost::emulator {

namespace {

// How often a silent or paused worker checks whether the fault has ended.
constexpr Nanos kPausePoll = 50 * kMillisecond;

// The share of the requested resources that a task uses: pseudo-random, but the same for the same task key.
double usual_use(const std::string& task) {
    return 0.35 + 0.5 * static_cast<double>(stable_hash(task) % 997) / 997;
}

}  // namespace

void EmulatedWorker::enqueue(std::unique_ptr<QueuedRequest> request) {
    queue_.push_back(std::move(request));
    admit_next();
}

void EmulatedWorker::admit_next() {
    if (admitting_ || queue_.empty()) return;
    admitting_ = true;
    const Nanos now = fleet_.now();
    const auto duration = static_cast<Nanos>(static_cast<double>(settings_.admission_time) *
                                             faults_.slowdown / warm_up_.capacity(now));
    fleet_.schedule(*admission_call_, now + duration);
}

void EmulatedWorker::on_admission_time() {
    admitting_ = false;
    if (queue_.empty()) return;
    if (faults_.silent || faults_.paused) {
        admitting_ = true;
        fleet_.schedule(*admission_call_, fleet_.now() + kPausePoll);
        return;
    }
    const auto request = std::move(queue_.front());
    queue_.pop_front();
    admit(*request);
    admit_next();
}

void EmulatedWorker::admit(QueuedRequest& request) {
    if (request.is_health_check) return answer_health_check(request);
    if (const std::optional<v1::Reason> reason = rejection(request)) return reject(request, *reason);
    if (fleet_.draw(faults_.failed_start_share)) return fail_start(request);
    accept_attempt(request);
}

void EmulatedWorker::answer_health_check(const QueuedRequest& request) {
    v1::FromWorker message;
    message.mutable_health_check_reply()->set_id(request.health_check_id);
    *message.mutable_health_check_reply()->mutable_report() = load_report();
    send(request.placer, message, faults_.answer_delay);
}

std::optional<v1::Reason> EmulatedWorker::rejection(const QueuedRequest& request) {
    const v1::StartAttempt& attempt = request.attempt;
    if (request.cancelled) return v1::UNSPECIFIED;
    if (draining_ || expired(attempt)) return v1::NOT_AVAILABLE;
    if (attempt.queue_group() >= fleet_.group_count()) return v1::NOT_AVAILABLE;
    if (fleet_.draw(faults_.rejected_share)) return v1::UNSPECIFIED;
    const int group = static_cast<int>(attempt.queue_group());
    const int needed_kind = fleet_.group(group).worker_kind;
    if (needed_kind >= 0 && needed_kind != settings_.kind) return v1::NOT_AVAILABLE;
    if (fleet_.is_repeat(fleet_.now(), group, attempt.task(), identity_.zone, identity_.cell))
        return v1::NOT_AVAILABLE;
    if (over_rate(group)) return v1::UNSPECIFIED;
    if (make_room(attempt)) return std::nullopt;
    const double core_limit = settings_.cores * settings_.cores_overcommit;
    return requested_cores_ + attempt.cores() > core_limit ? v1::NO_CORES : v1::NO_MEMORY;
}

void EmulatedWorker::reject(const QueuedRequest& request, v1::Reason reason) {
    v1::FromWorker message;
    message.mutable_ended()->set_attempt(request.attempt.attempt());
    message.mutable_ended()->set_outcome(v1::AttemptEnded::REJECTED);
    message.mutable_ended()->set_reason(reason);
    *message.mutable_ended()->mutable_report() = load_report();
    record(EventKind::attempt_rejected, request.placer, request.attempt);
    remember_end(request.placer, message, "");
    send(request.placer, message, faults_.answer_delay);
}

void EmulatedWorker::fail_start(const QueuedRequest& request) {
    v1::FromWorker message;
    message.mutable_ended()->set_attempt(request.attempt.attempt());
    message.mutable_ended()->set_outcome(v1::AttemptEnded::FAILED);
    record(EventKind::attempt_ended, request.placer, request.attempt, kStartError);
    remember_end(request.placer, message, "");
    send(request.placer, message, faults_.answer_delay);
}

void EmulatedWorker::accept_attempt(const QueuedRequest& request) {
    const Nanos now = fleet_.now();
    const v1::StartAttempt& attempt = request.attempt;
    const int group = static_cast<int>(attempt.queue_group());
    fleet_.mark_accepted(now, group, attempt.task(), identity_.zone, identity_.cell);
    if (group == faults_.limited_group) accepted_of_limited_group_.push_back(now);
    auto task = std::make_unique<HostedTask>();
    task->placer = request.placer;
    task->attempt = attempt;
    task->use = usual_use(attempt.task());
    requested_cores_ += attempt.cores();
    requested_memory_ += attempt.memory();
    task->answers_lost = fleet_.draw(faults_.lost_answer_share);
    record(EventKind::attempt_accepted, request.placer, attempt, task->answers_lost ? "answer lost" : "");
    if (!settings_.accepts_when_running && !task->answers_lost) {
        v1::FromWorker message;
        message.mutable_accepted()->set_attempt(attempt.attempt());
        send(request.placer, message, faults_.answer_delay);
    }
    start_queue_.push_back(task.get());
    tasks_.push_back(std::move(task));
    begin_starts();
}

bool EmulatedWorker::fits(const v1::StartAttempt& attempt, double freed_cores, double freed_memory) const {
    return requested_cores_ - freed_cores + attempt.cores() <= settings_.cores * settings_.cores_overcommit &&
           requested_memory_ - freed_memory + attempt.memory() <=
               settings_.memory * settings_.memory_overcommit;
}

// Evicts tasks of lower priority, but only if that frees enough resources for the attempt.
bool EmulatedWorker::make_room(const v1::StartAttempt& attempt) {
    if (fits(attempt, 0, 0)) return true;
    if (!settings_.preempts) return false;
    const auto priority = [this](const v1::StartAttempt& other) {
        return fleet_.group(static_cast<int>(other.queue_group())).priority;
    };
    double cores = 0, memory = 0;
    std::vector<HostedTask*> evicted;
    for (const auto& task : tasks_) {
        if (priority(task->attempt) >= priority(attempt)) continue;
        if (fits(attempt, cores, memory)) break;
        evicted.push_back(task.get());
        cores += task->attempt.cores();
        memory += task->attempt.memory();
    }
    if (!fits(attempt, cores, memory)) return false;
    for (HostedTask* task : evicted) end_task(*task, v1::AttemptEnded::RESET, v1::PREEMPTED);
    return true;
}

bool EmulatedWorker::over_rate(int group) {
    if (group != faults_.limited_group) return false;
    std::deque<Nanos>& accepted = accepted_of_limited_group_;
    while (!accepted.empty() && fleet_.now() - accepted.front() >= kSecond) accepted.pop_front();
    return static_cast<double>(accepted.size()) >= faults_.accepted_per_second;
}

bool EmulatedWorker::expired(const v1::StartAttempt& attempt) const {
    return attempt.not_after() > 0 && clock() > attempt.not_after();
}

}  // namespace whinpost::emulator
