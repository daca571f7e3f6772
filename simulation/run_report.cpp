#include "simulation/run_report.h"

#include <algorithm>
#include <cstdio>

namespace whinpost::simulation {

using emulator::EventKind;
using emulator::Expectation;
using emulator::Metric;
using emulator::RecordedEvent;
using emulator::ServiceSample;

namespace {

// Service must stay at the required share for this long to count as recovered.
constexpr Nanos kRecoveredFor = 3 * kSecond;

double seconds(Nanos time) { return static_cast<double>(time) / 1e9; }

bool within(const Expectation& expectation, Nanos at) {
    return at >= expectation.from && at < expectation.to;
}

bool concerns(const Expectation& expectation, const TaskHistory& task) {
    return task.deadline && (expectation.group < 0 || expectation.group == task.group) &&
           within(expectation, task.submitted);
}

}  // namespace

RunReport::RunReport(const emulator::ScenarioRun& run, const emulator::RunResult& result,
                     std::optional<std::uint64_t> digest)
    : run_(run), scenario_(run.scenario()), result_(result), digest_(digest) {
    for (const emulator::WorkerLocation& location : run_.locations()) row_of(location.worker);
    for (const RecordedEvent& event : run_.events().events()) observe(event);
    for (const Expectation& expectation : scenario_.expectations) expectations_.push_back(check(expectation));
}

std::string RunReport::digest() const {
    if (!digest_) return "";
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(*digest_));
    return text;
}

bool RunReport::expectations_met() const {
    return std::all_of(expectations_.begin(), expectations_.end(),
                       [](const CheckedExpectation& checked) { return checked.met; });
}

// ---------------------------------------------------------------- reading the events

std::size_t RunReport::row_of(const std::string& worker) {
    const auto [it, added] = worker_rows_.emplace(worker, workers_.size());
    if (added) workers_.push_back({worker});
    return it->second;
}

void RunReport::observe(const RecordedEvent& event) {
    const Nanos at = event.at - run_.started_at();
    observe_client(event, at);
    observe_attempt(event, at);
    observe_task(event);
    observe_drain(event, at);
}

void RunReport::observe_client(const RecordedEvent& event, Nanos at) {
    if (event.kind == EventKind::submitted) {
        TaskHistory& task = tasks_[event.task];
        if (task.deadline) return;  // only the first submission counts
        task.group = event.group;
        task.submitted = at;
        task.deadline = event.deadline - run_.started_at();
    } else if (event.kind == EventKind::placed) {
        TaskHistory& task = tasks_[event.task];
        if (!task.placed && at <= task.deadline) task.placed = std::max<Nanos>(at, 1);
    } else if (event.kind == EventKind::ended) {
        if (event.text == "LOST" && !running_[event.task].empty()) wrongly_lost_.push_back(at);
    }
}

void RunReport::observe_attempt(const RecordedEvent& event, Nanos at) {
    switch (event.kind) {
        case EventKind::attempt_received: {
            const std::size_t row = row_of(event.worker);
            ++workers_[row].attempts;
            attempt_rows_[{event.placer, event.attempt}] = attempts_.size();
            attempts_.push_back({at, row, false});
            ++tasks_[event.task].attempts;
            const auto drain = open_drains_.find({event.placer, event.worker});
            if (drain != open_drains_.end()) drains_[drain->second].last_attempt_at = at;
            return;
        }
        case EventKind::attempt_rejected: {
            ++workers_[row_of(event.worker)].rejected;
            const auto attempt = attempt_rows_.find({event.placer, event.attempt});
            if (attempt != attempt_rows_.end()) attempts_[attempt->second].rejected = true;
            return;
        }
        case EventKind::attempt_accepted:
            ++workers_[row_of(event.worker)].accepted;
            return;
        case EventKind::attempt_ended:
            workers_[row_of(event.worker)].errors += event.text == emulator::kStartError;
            return;
        case EventKind::worker_overloaded:
            workers_[row_of(event.worker)].overloaded = true;
            return;
        default:
            return;
    }
}

void RunReport::observe_task(const RecordedEvent& event) {
    const auto remove = [&event](std::vector<std::string>& workers) { std::erase(workers, event.worker); };
    if (event.kind == EventKind::task_started) {
        ++workers_[row_of(event.worker)].started;
        std::vector<std::string>& workers = running_[event.task];
        remove(workers);  // list each worker once, even if it starts the task again
        workers.push_back(event.worker);
    } else if (event.kind == EventKind::task_stopped) {
        remove(running_[event.task]);
    } else if (event.kind == EventKind::fault_began && event.text == emulator::kWorkerDead) {
        for (auto& [task, workers] : running_) remove(workers);
    }
}

void RunReport::observe_drain(const RecordedEvent& event, Nanos at) {
    switch (event.kind) {
        case EventKind::drain_announced:
        case EventKind::listed_draining:
        case EventKind::listed_gone:
            if (open_drains_.try_emplace({event.placer, event.worker}, drains_.size()).second)
                drains_.push_back({event.worker, event.placer, at, 0});
            return;
        case EventKind::listed_serving:
            open_drains_.erase({event.placer, event.worker});
            return;
        default:
            return;
    }
}

// ---------------------------------------------------------------- expectations

double RunReport::service(int group, Nanos from, Nanos to) const {
    double wanted = 0, served = 0;
    for (const ServiceSample& sample : run_.samples()) {
        if (sample.at < from || sample.at >= to) continue;
        for (std::size_t i = 0; i < sample.wanted.size(); ++i) {
            if (group >= 0 && static_cast<int>(i) != group) continue;
            wanted += sample.wanted[i];
            served += sample.served[i];
        }
    }
    return wanted > 0 ? served / wanted : -1;
}

CheckedExpectation RunReport::check(const Expectation& expectation) const {
    const Measurement measured = measure(expectation);
    CheckedExpectation checked;
    checked.expect = expectation;
    checked.known = measured.known;
    checked.value = measured.value;
    const bool in_bound =
        expectation.at_least ? measured.value >= expectation.bound : measured.value <= expectation.bound;
    checked.met = measured.known && in_bound;
    return checked;
}

RunReport::Measurement RunReport::measure(const Expectation& expectation) const {
    switch (expectation.metric) {
        case Metric::placed:
        case Metric::in_time:
        case Metric::never_placed:
            return measure_tasks(expectation);
        case Metric::attempts:
            return measure_attempts_per_task(expectation);
        case Metric::rejected:
            return measure_rejected(expectation);
        case Metric::busiest:
            return measure_busiest(expectation);
        case Metric::service: {
            const double share = service(expectation.group, expectation.from, expectation.to);
            return {share, share >= 0};
        }
        case Metric::worst_second:
            return measure_worst_second(expectation);
        case Metric::recovery_time:
            return measure_recovery_time(expectation);
        case Metric::drain_lag:
            return measure_drain_lag(expectation);
        case Metric::overloaded:
            return {static_cast<double>(std::count_if(workers_.begin(), workers_.end(),
                                                      [](const WorkerRow& row) { return row.overloaded; }))};
        case Metric::wrongly_lost:
            return {static_cast<double>(
                std::count_if(wrongly_lost_.begin(), wrongly_lost_.end(),
                              [&expectation](Nanos at) { return within(expectation, at); }))};
    }
    return {};
}

RunReport::Measurement RunReport::measure_tasks(const Expectation& expectation) const {
    double total = 0, counted = 0;
    for (const auto& [name, task] : tasks_) {
        if (!concerns(expectation, task)) continue;
        const bool placed = task.placed > 0;
        if (expectation.metric == Metric::in_time) {
            const Nanos objective =
                scenario_.groups[static_cast<std::size_t>(task.group)].queue_group.start_objective;
            total += placed;
            counted += placed && task.placed - task.submitted <= objective;
        } else {
            total += 1;
            counted += placed == (expectation.metric == Metric::placed);
        }
    }
    if (expectation.metric == Metric::never_placed) return {counted, total > 0};
    return {total > 0 ? counted / total : 0, total > 0};
}

RunReport::Measurement RunReport::measure_attempts_per_task(const Expectation& expectation) const {
    double placed = 0, attempts = 0;
    for (const auto& [name, task] : tasks_) {
        if (!concerns(expectation, task)) continue;
        placed += task.placed > 0;
        attempts += task.attempts;
    }
    return {placed > 0 ? attempts / placed : 0, placed > 0};
}

RunReport::Measurement RunReport::measure_rejected(const Expectation& expectation) const {
    double total = 0, rejected = 0;
    for (const AttemptRow& attempt : attempts_) {
        if (!within(expectation, attempt.at)) continue;
        total += 1;
        rejected += attempt.rejected;
    }
    return {total > 0 ? rejected / total : 0, total > 0};
}

RunReport::Measurement RunReport::measure_busiest(const Expectation& expectation) const {
    double total = 0;
    std::vector<double> by_worker(workers_.size(), 0);
    for (const AttemptRow& attempt : attempts_) {
        if (!within(expectation, attempt.at)) continue;
        by_worker[attempt.worker] += 1;
        total += 1;
    }
    const double most = by_worker.empty() ? 0 : *std::max_element(by_worker.begin(), by_worker.end());
    return {total > 0 ? most / total : 0, total > 0};
}

RunReport::Measurement RunReport::measure_worst_second(const Expectation& expectation) const {
    Measurement worst{1, false};
    for (const ServiceSample& sample : run_.samples()) {
        if (!within(expectation, sample.at)) continue;
        const double share = service(expectation.group, sample.at, sample.at + 1);
        if (share < 0) continue;
        worst.known = true;
        worst.value = std::min(worst.value, share);
    }
    return worst;
}

RunReport::Measurement RunReport::measure_recovery_time(const Expectation& expectation) const {
    Nanos recovered_at = -1;
    for (const ServiceSample& sample : run_.samples()) {
        if (!within(expectation, sample.at)) continue;
        const double share = service(expectation.group, sample.at, sample.at + 1);
        if (share >= 0 && share < expectation.share) recovered_at = -1;
        else if (recovered_at < 0) recovered_at = sample.at;
        if (recovered_at >= 0 && sample.at - recovered_at >= kRecoveredFor)
            return {seconds(recovered_at - expectation.from)};
    }
    return {kNever};
}

RunReport::Measurement RunReport::measure_drain_lag(const Expectation& expectation) const {
    Measurement longest{0, !drains_.empty()};
    for (const DrainRow& drain : drains_)
        if (drain.last_attempt_at && within(expectation, drain.known_at))
            longest.value = std::max(longest.value, seconds(drain.last_attempt_at - drain.known_at));
    return longest;
}

std::vector<std::string> worker_history_of(const emulator::EventLog& events, const std::string& worker,
                                           Nanos start) {
    std::vector<std::string> lines;
    for (const RecordedEvent& event : events.events())
        if (event.worker == worker && event.kind != EventKind::listed_serving)
            lines.push_back(to_string(event, start));
    return lines;
}

}  // namespace whinpost::simulation
