// A scheduler whose decisions are recorded, with helpers to add workers and tasks.
#pragma once
#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "whinpost/scheduler.h"

namespace whinpost {

enum class DecisionKind { place, reject, fail, migrate, cancel, check_health, watch };

struct Decision {
    DecisionKind kind;
    Task* task = nullptr;
    Worker* worker = nullptr;
    Nanos attempt_timeout = 0;
};

struct SchedulerRig : DecisionHandler {
    explicit SchedulerRig(std::vector<QueueGroup> groups = {QueueGroup{}},
                          SlowStartSettings slow_start = default_slow_start(),
                          DiscoverySettings discovery = {}, int max_attempts = 4,
                          WorkerAcceptance acceptance = {2.5, 1.5}, Prices prices = {})
        : scheduler(*this, 7, 0, std::move(groups), {{16, 32}, {48, 96}}, acceptance, slow_start, discovery,
                    {max_attempts, true}, prices) {}
    static SlowStartSettings default_slow_start() { return {0.25, 10 * kSecond, 3, 2 * kSecond, 40, 4}; }

    void place(Task& task, Worker& worker, Nanos attempt_timeout) override {
        decisions.push_back({DecisionKind::place, &task, &worker, attempt_timeout});
    }
    void reject(Task& task, Nanos) override { decisions.push_back({DecisionKind::reject, &task}); }
    void fail(Task& task) override { decisions.push_back({DecisionKind::fail, &task}); }
    void migrate(Task& task) override { decisions.push_back({DecisionKind::migrate, &task}); }
    void cancel_attempt(Task& task, int) override { decisions.push_back({DecisionKind::cancel, &task}); }
    void check_health(Worker& worker) override {
        decisions.push_back({DecisionKind::check_health, nullptr, &worker});
    }
    void watch_endpoints() override { decisions.push_back({DecisionKind::watch}); }
    void fetch_endpoints() override {}
    void wake_at(Nanos) override {}
    void log(std::string_view) override {}

    // A new worker with 16 cores and a memory of 32, all free.
    Worker& add_worker(int cell = 0, int zone = 0, Nanos started_at = 0) {
        Worker& worker = scheduler.add_worker(workers.size());
        workers.push_back(&worker);
        list(worker, {zone, cell, 0, 16, 32, EndpointPhase::serving, started_at});
        return worker;
    }
    // One watch event that names one worker.
    void list(Worker& worker, EndpointState state) {
        scheduler.update_endpoint(now, worker, state);
        scheduler.on_watch_event_done(now, false);
    }
    Task& submit(Service& service, int queue_group = 0, double cores = 1, Nanos time_left = 5 * kSecond) {
        ResourceRequest request;
        request.cores = cores;
        request.memory = 1;
        request.queue_group = queue_group;
        request.time_left = time_left;
        return scheduler.submit(now, service, request, ++last_tag);
    }
    Task& submit_and_run_round(Service& service, int queue_group = 0) {
        Task& task = submit(service, queue_group);
        scheduler.run_round(now);
        return task;
    }
    void end_attempt(Task& task, AttemptOutcome outcome, OutcomeReason reason = OutcomeReason::unspecified,
                     bool closed = false) {
        task.on_attempt_ended(now, task.attempts - 1, outcome, reason, closed, {});
    }
    void advance(Nanos duration, Nanos step = 20 * kMillisecond) {
        for (const Nanos until = now + duration; now < until;) scheduler.run_round(now += step);
    }
    int count(DecisionKind kind) const {
        return static_cast<int>(
            std::count_if(decisions.begin(), decisions.end(),
                          [kind](const Decision& decision) { return decision.kind == kind; }));
    }

    Nanos now = 1000 * kSecond;
    std::uint64_t last_tag = 0;
    std::vector<Decision> decisions;
    std::vector<Worker*> workers;
    Scheduler scheduler;
};

inline QueueGroup queue_group(Effect effect, FailureDomain deduplicated_by = FailureDomain::all,
                              Nanos deduplication_window = 3 * kSecond) {
    QueueGroup group;
    group.effect = effect;
    group.deduplicated_by = deduplicated_by;
    group.deduplication_window = deduplication_window;
    return group;
}

// Workers that report neither service shares nor memory pressure.
inline WorkerAcceptance without_pressure_reports() {
    WorkerAcceptance acceptance{2.5, 1.5};
    acceptance.reports_pressure = false;
    return acceptance;
}

}  // namespace whinpost
