// Accepted tasks: starts, ends, resource use and reports.
#include <algorithm>
#include <map>
#include <utility>

#include "emulator/emulated_worker.h"
#include "emulator/hosted_task.h"

namespace whinpost::emulator {

namespace {

constexpr Nanos kPausePoll = 50 * kMillisecond;
constexpr Nanos kDefaultRuntime = 10 * kSecond;
constexpr double kMinServiceShare = 0.05;
constexpr double kMinDegradationRange = 0.01;
// Pressure is reported below this service share and above this memory utilization.
constexpr double kReportedServiceShare = 0.95;
constexpr double kReportedMemoryUtilization = 0.85;

}  // namespace

// ---------------------------------------------------------------- starts and ends

bool EmulatedWorker::has_image(const std::string& service, Nanos now) const {
    for (const auto& task : tasks_)
        if (task->running && task->attempt.service() == service) return true;
    const auto it = image_last_used_.find(service);
    return it != image_last_used_.end() && now - it->second < settings_.image_kept_for;
}

void EmulatedWorker::begin_starts() {
    const Nanos now = fleet_.now();
    while (starting_ < settings_.concurrent_starts && !start_queue_.empty()) {
        HostedTask& task = *start_queue_.front();
        start_queue_.pop_front();
        const double image_factor =
            has_image(task.attempt.service(), now) ? 1 : settings_.missing_image_factor;
        const double random_factor = settings_.random_start_time ? fleet_.draw_exponential() : 1;
        const double duration =
            static_cast<double>(settings_.start_time) * image_factor * faults_.slowdown * random_factor;
        ++starting_;
        task.starting = true;
        task.start_call = std::make_unique<ScheduledCall>([this, &task] {
            if (faults_.paused) return fleet_.schedule(*task.start_call, fleet_.now() + kPausePoll);
            --starting_;
            task.starting = false;
            on_started(task);
            begin_starts();
        });
        fleet_.schedule(*task.start_call, now + static_cast<Nanos>(duration / warm_up_.capacity(now)));
    }
}

void EmulatedWorker::on_started(HostedTask& task) {
    task.running = true;
    RecordedEvent event = make_event(EventKind::task_started, task.placer.label, task.attempt.task());
    event.attempt = task.attempt.attempt();
    event.group = static_cast<int>(task.attempt.queue_group());
    fleet_.events().add(std::move(event));
    if (!task.answers_lost) {
        v1::FromWorker message;
        if (settings_.accepts_when_running) {
            message.mutable_accepted()->set_attempt(task.attempt.attempt());
            send(task.placer, message, faults_.answer_delay);
        }
        message.mutable_running()->set_attempt(task.attempt.attempt());
        send(task.placer, message, faults_.answer_delay);
    }
    const Nanos runtime =
        task.attempt.expected_runtime() > 0 ? task.attempt.expected_runtime() : kDefaultRuntime;
    task.end_call = std::make_unique<ScheduledCall>([this, &task] {
        if (faults_.paused) return fleet_.schedule(*task.end_call, fleet_.now() + kPausePoll);
        end_task(task, v1::AttemptEnded::COMPLETED, v1::UNSPECIFIED);
    });
    fleet_.schedule(*task.end_call, fleet_.now() + runtime);
    update_use();
}

void EmulatedWorker::end_task(HostedTask& task, v1::AttemptEnded::Outcome outcome, v1::Reason reason) {
    requested_cores_ -= task.attempt.cores();
    requested_memory_ -= task.attempt.memory();
    if (task.starting) --starting_;
    std::erase(start_queue_, &task);
    if (task.running) image_last_used_[task.attempt.service()] = fleet_.now();
    record(task.running ? EventKind::task_stopped : EventKind::attempt_ended, task.placer, task.attempt,
           v1::AttemptEnded::Outcome_Name(outcome));
    v1::FromWorker message;
    message.mutable_ended()->set_attempt(task.attempt.attempt());
    message.mutable_ended()->set_outcome(outcome);
    message.mutable_ended()->set_reason(reason);
    *message.mutable_ended()->mutable_report() = load_report();
    remember_end(task.placer, message, task.attempt.task());
    if (!task.answers_lost) send(task.placer, message);
    // This may destroy the ScheduledCall that is running; it runs on a copy of its callback.
    tasks_.erase(std::find_if(tasks_.begin(), tasks_.end(),
                              [&task](const auto& other) { return other.get() == &task; }));
    update_use();
    begin_starts();
}

void EmulatedWorker::evict_one() {
    if (tasks_.empty() || overloaded_) return;
    end_task(*tasks_.front(), v1::AttemptEnded::RESET, v1::DRAINED);
    fleet_.schedule(*eviction_call_, fleet_.now() + settings_.drain_interval);
}

void EmulatedWorker::evict_all() {
    while (!tasks_.empty()) end_task(*tasks_.front(), v1::AttemptEnded::RESET, v1::DRAINED);
}

// ---------------------------------------------------------------- use and service

void EmulatedWorker::update_use() {
    used_cores_ = faults_.other_cores;
    used_memory_ = 0;
    for (const auto& task : tasks_) {
        if (!task->running) continue;
        const double use = task->use * fleet_.use_factor(static_cast<int>(task->attempt.queue_group()));
        used_cores_ += task->attempt.cores() * use;
        used_memory_ += task->attempt.memory() * use;
    }
}

// Above the queue group's full-service utilization, the share falls linearly over its degradation range.
double EmulatedWorker::service_share(int group_number) const {
    const QueueGroup& group = fleet_.group(group_number);
    const double utilization = used_cores_ * faults_.slowdown / settings_.cores;
    const double range = std::max(group.degradation_range, kMinDegradationRange);
    return std::clamp(1 - (utilization - group.full_service_utilization) / range, kMinServiceShare, 1.0);
}

void EmulatedWorker::add_service(std::vector<double>& running, std::vector<double>& served) const {
    for (const auto& task : tasks_) {
        if (!task->running || faults_.paused) continue;
        running[task->attempt.queue_group()] += 1;
        served[task->attempt.queue_group()] += service_share(static_cast<int>(task->attempt.queue_group()));
    }
}

// ---------------------------------------------------------------- reports

v1::LoadReport EmulatedWorker::load_report() {
    if (!settings_.reports_load) return {};
    const Nanos now = fleet_.now();
    if (now - reported_at_ < settings_.report_interval) return report_;
    reported_at_ = now;
    report_.set_free_cores(settings_.cores - (settings_.reports_use ? used_cores_ : requested_cores_));
    report_.set_free_memory(settings_.memory - (settings_.reports_use ? used_memory_ : requested_memory_));
    report_.set_utilization(std::min(1.0, used_cores_ * faults_.slowdown / settings_.cores));
    report_.set_queue_length(static_cast<double>(queue_.size() + start_queue_.size()));
    return report_;
}

void EmulatedWorker::report_usage() {
    fleet_.schedule(*usage_call_, fleet_.now() + settings_.usage_interval);
    if (faults_.silent || faults_.paused) return;
    update_use();
    const double memory_utilization = used_memory_ / settings_.memory;
    evict_over_memory();
    for (const auto& task : tasks_) {
        if (!task->running || task->answers_lost) continue;
        const double use = task->use * fleet_.use_factor(static_cast<int>(task->attempt.queue_group()));
        send_usage(*task, v1::UsageReport::CORES, task->attempt.cores() * use);
        send_usage(*task, v1::UsageReport::MEMORY, task->attempt.memory() * use);
    }
    if (settings_.reports_pressure) send_pressure(memory_utilization);
}

void EmulatedWorker::evict_over_memory() {
    const auto priority = [this](const HostedTask& task) {
        return fleet_.group(static_cast<int>(task.attempt.queue_group())).priority;
    };
    while (used_memory_ > settings_.memory) {
        HostedTask* lowest = nullptr;
        for (const auto& task : tasks_)
            if (task->running && (!lowest || priority(*task) < priority(*lowest))) lowest = task.get();
        if (!lowest) return;
        end_task(*lowest, v1::AttemptEnded::RESET, v1::EVICTED);
    }
}

void EmulatedWorker::send_usage(const HostedTask& task, v1::UsageReport::Kind kind, double value) {
    v1::FromWorker message;
    message.mutable_usage()->set_attempt(task.attempt.attempt());
    message.mutable_usage()->set_kind(kind);
    message.mutable_usage()->set_value(value);
    send(task.placer, message);
}

// Sends one report per placer, with the attempt number of the placer's first running task.
void EmulatedWorker::send_pressure(double memory_utilization) {
    std::map<std::string, const HostedTask*> first_tasks;  // by placer label
    for (const auto& task : tasks_)
        if (task->running && !task->answers_lost) first_tasks.emplace(task->placer.label, task.get());
    for (const auto& [placer, task] : first_tasks) {
        const double share = service_share(static_cast<int>(task->attempt.queue_group()));
        if (share < kReportedServiceShare) send_usage(*task, v1::UsageReport::SERVICE_SHARE, share);
        if (memory_utilization > kReportedMemoryUtilization)
            send_usage(*task, v1::UsageReport::WORKER_MEMORY, std::min(1.0, memory_utilization));
    }
}

}  // namespace whinpost::emulator
