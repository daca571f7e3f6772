// A rehearsal: a scenario run in one environment, with its report.
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
    std::string scenario;    // the name of one that comes with the program, or a file
    std::uint64_t seed = 0;  // 0: the scenario's own, as the following
    std::size_t placers = 0, workers = 0;
    bool sockets = false;              // else in virtual time
    std::string planner = "whinpost";  // or a baseline's name, in virtual time only
    std::string out;                   // a directory for report and logs; empty: nothing is written
    std::string explain;               // a task or a worker, whose record is printed at the end
    std::string program;               // the placer's, on sockets
    bool quiet = false;
};

struct ScenarioLoadError {
    enum class Kind { unknown_scenario, unknown_base } kind;
    std::string name;
};
std::string to_string(const ScenarioLoadError&);

// The scenario's text. Where it says `like = "name"`, the tables of that base that it does not have itself
// stand after its own, so that its lines keep their numbers.
[[nodiscard]] tl::expected<std::string, ScenarioLoadError> load_scenario(const std::string& name_or_file);

// Runs it, writes progress and report to `out`, and what is wrong to `err`. 0: the rules were kept and all
// that is expected was met; 1: not; 2: it could not be run.
int run_rehearsal(const RehearsalOptions&, std::ostream& out, std::ostream& err);

// In virtual time: runs a scenario and calls `inspect` before all is destroyed.
void run_scenario(const emulator::Scenario&, const std::string& planner,
                  const emulator::ScenarioRun::ProgressHandler& progress,
                  const std::function<void(emulator::ScenarioRun&, const emulator::RunResult&,
                                           std::uint64_t digest)>& inspect);

}  // namespace whinpost::simulation
