// Runs a scenario in virtual time or on loopback sockets and reports on it.
#pragma once
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <tl/expected.hpp>

#include "emulator/scenario_run.h"
#include "simulation/run_report.h"

namespace whinpost::simulation {

struct RehearsalOptions {
    std::string scenario;    // the name of a bundled scenario, or a file
    std::uint64_t seed = 0;  // 0: the scenario's own; so also for placers and workers
    std::size_t placers = 0, workers = 0;
    bool sockets = false;              // false: virtual time
    std::string planner = "whinpost";  // or a baseline's name, in virtual time only
    std::string out;                   // directory for the report and logs; empty: no report files
    std::string explain;               // a task or worker whose events are printed at the end
    std::string program;               // path of the placer's program, used on sockets
    bool quiet = false;
};

struct ScenarioLoadError {
    enum class Kind { unknown_scenario, unknown_base } kind;
    std::string name;
};
std::string to_string(const ScenarioLoadError&);

// Returns the scenario's text. If it contains `like = "name"`, the tables of that base scenario that it does
// not define itself are appended, so that the line numbers in error messages stay those of the scenario.
[[nodiscard]] tl::expected<std::string, ScenarioLoadError> load_scenario(const std::string& name_or_file);

// Runs the scenario and writes progress and the report to `out`, errors to `err`. Returns the exit status: 0
// if no rule was violated, every expectation was met, every placer exited cleanly and no task was left
// pending; 1 if not; 2 if the scenario could not be run.
int run_rehearsal(const RehearsalOptions&, std::ostream& out, std::ostream& err);

// Runs a scenario in virtual time and calls `inspect` while the run and its environment still exist.
void run_scenario(const emulator::Scenario&, const std::string& planner,
                  const emulator::ScenarioRun::ProgressHandler& progress,
                  const std::function<void(emulator::ScenarioRun&, const emulator::RunResult&,
                                           std::uint64_t digest)>& inspect);

}  // namespace whinpost::simulation
