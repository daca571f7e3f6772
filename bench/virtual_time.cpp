// Runs a scenario in virtual time and prints simulated seconds per second, steps, and peak memory.
#include <sys/resource.h>
#include <time.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <iostream>

#include "emulator/scenario_parser.h"
#include "simulation/rehearsal.h"
#include "simulation/simulated_environment.h"

int main(int argc, char** argv) {
    using namespace whinpost;
    CLI::App app{"whinpost_virtual_time: measures the speed of virtual time"};
    std::string path;
    std::size_t nodes = 0, placers = 0;
    double seconds = 0, rate = 1;
    app.add_option("scenario", path, "A scenario's name or file (TOML)")->required();
    app.add_option("--nodes", nodes, "Number of nodes, instead of the scenario's");
    app.add_option("--placers", placers, "Number of placers, instead of the scenario's");
    app.add_option("--seconds", seconds, "Length, instead of the scenario's");
    app.add_option("--rate", rate, "Factor on the scenario's load");
    CLI11_PARSE(app, argc, argv);
    const auto text = simulation::load_scenario(path);
    if (!text) {
        std::cerr << to_string(text.error()) << '\n';
        return 2;
    }
    auto parsed = emulator::parse_scenario(*text, path, {placers, nodes});
    if (!parsed) {
        for (const config::ConfigError& error : parsed.error()) std::cerr << to_string(error) << '\n';
        return 2;
    }
    emulator::Scenario& plan = *parsed;
    if (seconds > 0) plan.length = static_cast<Nanos>(seconds * 1e9);
    for (emulator::LoadProfile& l : plan.loads) l.per_second *= rate;
    simulation::SimulatedNetwork world(plan.seed, simulation::network_delays(plan));
    simulation::SimulatedEnvironment ground(world, plan.placers, plan.zones);
    emulator::ScenarioRun day(plan, ground, [](const std::string&) {});
    const Nanos from = world.now();
    const auto began = std::chrono::steady_clock::now();
    const emulator::RunResult out = simulation::run_to_end(world, day);
    const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    const double simulated = static_cast<double>(world.now() - from) / 1e9;
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    std::cout << plan.placers << " placers, " << plan.workers << " nodes: " << simulated << " s simulated in "
              << took << " s: " << simulated / took << " per second; " << world.steps() << " steps; "
              << used.ru_maxrss / 1024 << " MiB peak\n"
              << day.table(out) << out.verdict.summary() << '\n';
    return 0;
}
