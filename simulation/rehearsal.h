// A rehearsal: a scenario played on one ground, with its report.
#pragma once
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "emulator/scenario_run.h"
#include "simulation/run_report.h"

namespace whinpost::simulation {

struct RehearsalOptions {
    std::string scenario;    // the name of one that comes with the program, or a file
    std::uint64_t seed = 0;  // 0: the scenario's own, as the following
    std::size_t placers = 0, workers = 0;
    bool sockets = false;
    std::string planner = "whinpost";  // or a baseline's name, in virtual time only
    std::string out;                   // a directory for report and logs; empty: nothing is written
    std::string explain;               // a container or a node
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

// Plays it, writes progress and report to `to`, problems to `err`. 0: the rules held and all that is expected
// was met; 1: not; 2: it could not be played.
int run_rehearsal(const RehearsalOptions&, std::ostream& to, std::ostream& err);

// In virtual time, for tests and searches: plays a plan and calls `then` before all is taken down.
void run_scenario(const emulator::Scenario&, const std::string& planner,
                  const std::function<void(const std::string&)>& progress,
                  const std::function<void(emulator::ScenarioRun&, const emulator::RunResult&,
                                           std::uint64_t digest)>& then);

}  // namespace whinpost::simulation
