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
    emulator::Scenario& scenario = *parsed;
    if (seconds > 0) scenario.length = static_cast<Nanos>(seconds * 1e9);
    for (emulator::LoadProfile& load : scenario.loads) load.per_second *= rate;
    simulation::SimulatedNetwork network(scenario.seed, simulation::network_delays(scenario));
    simulation::SimulatedEnvironment environment(network, scenario.placers, scenario.zones);
    emulator::ScenarioRun run(scenario, environment, [](const std::string&) {});
    const Nanos from = network.now();
    const auto started = std::chrono::steady_clock::now();
    const emulator::RunResult result = simulation::run_to_end(network, run);
    const double elapsed_s =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    const double simulated_s = static_cast<double>(network.now() - from) / 1e9;
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    std::cout << scenario.placers << " placers, " << scenario.workers << " nodes: " << simulated_s
              << " s simulated in " << elapsed_s << " s: " << simulated_s / elapsed_s << " per second; "
              << network.steps() << " steps; " << used.ru_maxrss / 1024 << " MiB peak\n"
              << run.table(result) << result.verdict.summary() << '\n';
    return 0;
}
