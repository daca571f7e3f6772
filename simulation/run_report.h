// The results of a run: measured from the events that the emulated workers, clients and discovery service
// recorded, and compared with the scenario's expectations. For output see report_table.h, report_json.h and
// report_plots.h.
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

// All times in these structs are relative to the start of the run.

// One task as its client saw it.
struct TaskHistory {
    int group = 0;
    Nanos submitted = 0;
    Nanos deadline = 0;  // the client's; 0: never submitted by a client
    Nanos placed = 0;    // 0: never placed, or only after the client's deadline
    int attempts = 0;
};

struct WorkerRow {
    std::string name;
    std::uint64_t attempts = 0, accepted = 0, rejected = 0, errors = 0, started = 0;
    bool overloaded = false;
};

// One worker's drain as one placer learned of it.
struct DrainRow {
    std::string worker, placer;
    Nanos known_at = 0;
    Nanos last_attempt_at = 0;  // last attempt from the placer that the worker received afterwards; 0: none
};

struct AttemptRow {
    Nanos at;
    std::size_t worker;  // index of its WorkerRow
    bool rejected;
};

struct CheckedExpectation {
    emulator::Expectation expect;
    bool known = true;  // false: the run has no data to measure it
    bool met = false;
    double value = 0;
};

// The value of Metric::recovery_time if service did not recover.
inline constexpr double kNever = std::numeric_limits<double>::infinity();

class RunReport {
public:
    // The run must outlive the report. `digest`: of all bytes delivered, if the run was in virtual time.
    RunReport(const emulator::ScenarioRun&, const emulator::RunResult&,
              std::optional<std::uint64_t> digest = {});

    const emulator::ScenarioRun& run() const { return run_; }
    const emulator::RunResult& result() const { return result_; }
    const std::vector<WorkerRow>& workers() const { return workers_; }
    const std::vector<DrainRow>& drains() const { return drains_; }
    const std::vector<AttemptRow>& attempts() const { return attempts_; }
    const std::vector<CheckedExpectation>& expectations() const { return expectations_; }
    bool expectations_met() const;
    // Sixteen hexadecimal digits; empty if the run had no digest.
    std::string digest() const;
    // Service delivered in [from, to) as a share of the service wanted, for one queue group or for all (-1).
    // Negative if none was wanted.
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
    // Used only while the constructor reads the events.
    std::map<std::string, std::size_t> worker_rows_;
    std::map<std::pair<std::string, std::uint64_t>, std::size_t> attempt_rows_;  // by placer, attempt
    std::map<std::pair<std::string, std::string>, std::size_t> open_drains_;     // by placer, worker
    std::map<std::string, std::vector<std::string>> running_;  // workers that run it, by task
};

// Returns one line for each event of the worker, except its listings as serving. Times are relative to
// `start`.
std::vector<std::string> worker_history_of(const emulator::EventLog&, const std::string& worker, Nanos start);

}  // namespace whinpost::simulation
