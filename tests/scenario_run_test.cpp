// Runs emulator/days/bad-day.toml in virtual time with real placers and emulated workers, clients and
// discovery.
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "emulator/scenario_parser.h"
#include "simulation/simulated_environment.h"

using namespace whinpost;

namespace {

std::string read_bad_day() {
    std::ifstream in(std::string(WHINPOST_SOURCE) + "/emulator/days/bad-day.toml");
    return {std::istreambuf_iterator<char>(in), {}};
}

// Describes each violation, with the history of its task.
std::string describe_violations(const emulator::RunResult& result, const emulator::ScenarioRun& run) {
    std::string description;
    for (const emulator::Violation& violation : result.verdict.violations)
        description += emulator::describe(run.events(), violation, run.started_at());
    return description;
}

}  // namespace

// Hidden: run it with `whinpost_scenario_tests "[search]"`. The environment variable SEEDS=first,count
// selects the seeds.
TEST_CASE("the bad day keeps the rules for many seeds", "[.][search]") {
    emulator::Scenario scenario = emulator::parse_scenario(read_bad_day(), "bad-day.toml").value();
    unsigned long first = 1, count = 20;
    if (const char* seeds = std::getenv("SEEDS")) std::sscanf(seeds, "%lu,%lu", &first, &count);
    for (unsigned long seed = first; seed < first + count; ++seed) {
        scenario.seed = seed;
        simulation::SimulatedNetwork network(seed);
        simulation::SimulatedEnvironment environment(network, scenario.placers, scenario.zones);
        emulator::ScenarioRun run(scenario, environment, [](const std::string&) {});
        const emulator::RunResult result = simulation::run_to_end(network, run);
        std::string description = "seed " + std::to_string(seed) + "\n";
        description += describe_violations(result, run);
        INFO(description);
        CHECK(result.verdict.kept());
        CHECK(result.pending == 0);
    }
}

TEST_CASE("the bad day keeps the rules in virtual time, and repeats byte for byte") {
    const auto parsed = emulator::parse_scenario(read_bad_day(), "bad-day.toml");
    REQUIRE(parsed);
    const emulator::Scenario& scenario = *parsed;
    std::uint64_t digests[2];
    for (std::uint64_t& digest : digests) {
        simulation::SimulatedNetwork network(5);
        simulation::SimulatedEnvironment environment(network, scenario.placers, scenario.zones);
        emulator::ScenarioRun run(scenario, environment, [](const std::string&) {});
        const emulator::RunResult result = simulation::run_to_end(network, run);
        UNSCOPED_INFO(describe_violations(result, run));
        INFO(run.table(result));
        CHECK(result.verdict.kept());
        CHECK(result.pending == 0);
        CHECK(result.counts[0].accepted > 2000);
        digest = network.digest();
    }
    CHECK(digests[0] == digests[1]);
}

TEST_CASE(
    "the bad day keeps the rules with acceptance when running, discovery on request, and use reported") {
    std::string text = read_bad_day();
    const auto replace = [&text](const std::string& from, const std::string& to) {
        const std::size_t at = text.find(from);
        REQUIRE(at != std::string::npos);
        text.replace(at, from.size(), to);
    };
    replace("yes_on = \"acceptance\"", "yes_on = \"running\"\nfree_means = \"not_in_use\"");
    replace("list_late_ms = 500", "list_late_ms = 500\nlist_pushes = false");
    const auto parsed = emulator::parse_scenario(text, "bad-day.toml");
    REQUIRE(parsed);
    const emulator::Scenario& scenario = *parsed;
    simulation::SimulatedNetwork network(6);
    simulation::SimulatedEnvironment environment(network, scenario.placers, scenario.zones);
    emulator::ScenarioRun run(scenario, environment, [](const std::string&) {});
    const emulator::RunResult result = simulation::run_to_end(network, run);
    std::string description;
    description += describe_violations(result, run);
    INFO(description);
    CHECK(result.verdict.kept());
    CHECK(result.pending == 0);
    CHECK(result.counts[0].accepted > 2000);
}
