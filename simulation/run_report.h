// What a played scenario came to: worked out from what the stand-ins saw, and held against what the scenario
// expects.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "emulator/scenario_run.h"

namespace whinpost::simulation {

// One container of the day, from its owner's side. Times since the day's begin.
struct TaskHistory {
    int group = 0;
    Nanos asked = 0, until = 0;
    Nanos placed = 0;  // 0: never, or after its owner gave up
    int launches = 0;
};

struct WorkerRow {
    std::string name;
    std::uint64_t attempts = 0, accepted = 0, rejected = 0, errors = 0, started = 0;
    bool fell = false;
};

// One placer's knowledge of one node's drain.
struct DrainRow {
    std::string worker, placer;
    Nanos known_at = 0;
    Nanos last_attempt_at = 0;  // the last launch of that placer that arrived there afterwards; 0: none
};

struct CheckedExpectation {
    emulator::Expectation expect;
    bool known = true;  // false: this run has nothing to measure it by
    bool met = false;
    double value = 0;
};

class RunReport {
public:
    // `digest`: of all bytes that were delivered, where the run was in virtual time.
    RunReport(const emulator::ScenarioRun&, const emulator::RunResult&,
              std::optional<std::uint64_t> digest = {});

    const std::vector<WorkerRow>& workers() const { return nodes_; }
    const std::vector<DrainRow>& drains() const { return drains_; }
    const std::vector<CheckedExpectation>& expectations() const { return checked_; }
    bool expectations_met() const;
    // The digest as sixteen hex digits; empty where there is none.
    std::string digest() const;
    // Share of the service that was wanted in [from, to), of a group or of all (-1); below 0: none was
    // wanted.
    double service(int group, Nanos from, Nanos to) const;
    std::string table() const;
    std::string json() const;
    // Writes report.json and the data and script of the plots; gives back what was written. Throws where it
    // can't.
    std::vector<std::string> write(const std::string& dir) const;

private:
    void read();
    CheckedExpectation check(const emulator::Expectation&) const;

    const emulator::ScenarioRun& play_;
    const emulator::Scenario& plan_;
    emulator::RunResult outcome_;
    std::optional<std::uint64_t> digest_;
    std::map<std::string, TaskHistory> courses_;
    std::vector<WorkerRow> nodes_;
    std::vector<DrainRow> drains_;
    struct Sent {
        Nanos at;
        std::size_t node;
        bool refused;
    };
    std::vector<Sent> sent_;
    std::vector<Nanos> wrongly_lost_;
    std::vector<CheckedExpectation> checked_;
};

// All that concerns one node, a line each.
std::vector<std::string> worker_history_of(const emulator::EventLog&, const std::string& node, Nanos start);

}  // namespace whinpost::simulation
