// What a run came to: measured from what the emulated workers, clients and discovery service saw, and held
// against what the scenario expects. How it is shown: report_table.h, report_json.h, report_plots.h.
#pragma once
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "emulator/scenario_run.h"

namespace whinpost::simulation {

// Times in all of these count from the begin of the run.

// One task, from its client's side.
struct TaskHistory {
    int group = 0;
    Nanos submitted = 0, until = 0;  // until 0: no client submitted it
    Nanos placed = 0;                // 0: never, or after its client gave up
    int attempts = 0;
};

struct WorkerRow {
    std::string name;
    std::uint64_t attempts = 0, accepted = 0, rejected = 0, errors = 0, started = 0;
    bool overloaded = false;
};

// One placer's knowledge of one worker's drain.
struct DrainRow {
    std::string worker, placer;
    Nanos known_at = 0;
    Nanos last_attempt_at = 0;  // the placer's last attempt that arrived there afterwards; 0: none
};

struct AttemptRow {
    Nanos at;
    std::size_t worker;  // index of its WorkerRow
    bool rejected;
};

struct CheckedExpectation {
    emulator::Expectation expect;
    bool known = true;  // false: this run has nothing to measure it by
    bool met = false;
    double value = 0;
};

// A value of Metric::recovery_time: service did not recover.
inline constexpr double kNever = std::numeric_limits<double>::infinity();

class RunReport {
public:
    // The run must outlive the report. `digest`: of all bytes that were delivered, if it was in virtual time.
    RunReport(const emulator::ScenarioRun&, const emulator::RunResult&,
              std::optional<std::uint64_t> digest = {});

    const emulator::ScenarioRun& run() const { return run_; }
    const emulator::RunResult& result() const { return result_; }
    const std::vector<WorkerRow>& workers() const { return workers_; }
    const std::vector<DrainRow>& drains() const { return drains_; }
    const std::vector<AttemptRow>& attempts() const { return attempts_; }
    const std::vector<CheckedExpectation>& expectations() const { return expectations_; }
    bool expectations_met() const;
    // Sixteen hex digits; empty if there is none.
    std::string digest() const;
    // Share of the service that was wanted in [from, to), of a group or of all (-1). Below 0: none was
    // wanted.
    double service(int group, Nanos from, Nanos to) const;

private:
    std::size_t row_of(const std::string& worker);
    void observe(const emulator::RecordedEvent&);
    void observe_client(const emulator::RecordedEvent&, Nanos at);
    void observe_attempt(const emulator::RecordedEvent&, Nanos at);
    void observe_task(const emulator::RecordedEvent&);
    void observe_drain(const emulator::RecordedEvent&, Nanos at);

    struct Measurement {
        double value = 0;
        bool known = true;
    };
    CheckedExpectation check(const emulator::Expectation&) const;
    Measurement measure(const emulator::Expectation&) const;
    Measurement measure_tasks(const emulator::Expectation&) const;
    Measurement measure_attempts_per_task(const emulator::Expectation&) const;
    Measurement measure_rejected(const emulator::Expectation&) const;
    Measurement measure_busiest(const emulator::Expectation&) const;
    Measurement measure_worst_second(const emulator::Expectation&) const;
    Measurement measure_recovery_time(const emulator::Expectation&) const;
    Measurement measure_drain_lag(const emulator::Expectation&) const;

    const emulator::ScenarioRun& run_;
    const emulator::Scenario& scenario_;
    emulator::RunResult result_;
    std::optional<std::uint64_t> digest_;
    std::map<std::string, TaskHistory> tasks_;
    std::vector<WorkerRow> workers_;
    std::vector<DrainRow> drains_;
    std::vector<AttemptRow> attempts_;
    std::vector<Nanos> wrongly_lost_;
    std::vector<CheckedExpectation> expectations_;
    // Only while the events are read.
    std::map<std::string, std::size_t> worker_rows_;
    std::map<std::pair<std::string, std::uint64_t>, std::size_t> attempt_rows_;  // by placer, number
    std::map<std::pair<std::string, std::string>, std::size_t> open_drains_;     // by placer, worker
    std::map<std::string, std::vector<std::string>> running_;                    // by task: its workers
};

// All that concerns one worker, a line each.
std::vector<std::string> worker_history_of(const emulator::EventLog&, const std::string& worker, Nanos start);

}  // namespace whinpost::simulation
