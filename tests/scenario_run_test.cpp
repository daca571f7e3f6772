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

std::string bad_day() {
    std::ifstream in(std::string(WHINPOST_SOURCE) + "/emulator/days/bad-day.toml");
    return {std::istreambuf_iterator<char>(in), {}};
}

// Describes each violation, with the history of its task.
std::string told(const emulator::RunResult& out, const emulator::ScenarioRun& day) {
    std::string all;
    for (const emulator::Violation& b : out.verdict.violations)
        all += emulator::describe(day.events(), b, day.started_at());
    return all;
}

}  // namespace

// Hidden: run it with `whinpost_scenario_tests "[search]"`. The environment variable SEEDS=first,count
// selects the seeds.
TEST_CASE("the bad day keeps the rules for many seeds", "[.][search]") {
    emulator::Scenario plan = emulator::parse_scenario(bad_day(), "bad-day.toml").value();
    unsigned long first = 1, count = 20;
    if (const char* seeds = std::getenv("SEEDS")) std::sscanf(seeds, "%lu,%lu", &first, &count);
    for (unsigned long seed = first; seed < first + count; ++seed) {
        plan.seed = seed;
        simulation::SimulatedNetwork world(seed);
        simulation::SimulatedEnvironment ground(world, plan.placers, plan.zones);
        emulator::ScenarioRun day(plan, ground, [](const std::string&) {});
        const emulator::RunResult out = simulation::run_to_end(world, day);
        std::string all = "seed " + std::to_string(seed) + "\n";
        all += told(out, day);
        INFO(all);
        CHECK(out.verdict.kept());
        CHECK(out.pending == 0);
    }
}

TEST_CASE("the bad day keeps the rules in virtual time, and repeats byte for byte") {
    const auto parsed = emulator::parse_scenario(bad_day(), "bad-day.toml");
    REQUIRE(parsed);
    const emulator::Scenario& plan = *parsed;
    std::uint64_t digests[2];
    for (std::uint64_t& digest : digests) {
        simulation::SimulatedNetwork world(5);
        simulation::SimulatedEnvironment ground(world, plan.placers, plan.zones);
        emulator::ScenarioRun day(plan, ground, [](const std::string&) {});
        const emulator::RunResult out = simulation::run_to_end(world, day);
        UNSCOPED_INFO(told(out, day));
        INFO(day.table(out));
        CHECK(out.verdict.kept());
        CHECK(out.pending == 0);
        CHECK(out.counts[0].accepted > 2000);
        digest = world.digest();
    }
    CHECK(digests[0] == digests[1]);
}

TEST_CASE(
    "the bad day keeps the rules with acceptance when running, discovery on request, and use reported") {
    std::string text = bad_day();
    const auto swap = [&text](const std::string& from, const std::string& to) {
        const std::size_t at = text.find(from);
        REQUIRE(at != std::string::npos);
        text.replace(at, from.size(), to);
    };
    swap("yes_on = \"acceptance\"", "yes_on = \"running\"\nfree_means = \"not_in_use\"");
    swap("list_late_ms = 500", "list_late_ms = 500\nlist_pushes = false");
    const auto parsed = emulator::parse_scenario(text, "bad-day.toml");
    REQUIRE(parsed);
    const emulator::Scenario& plan = *parsed;
    simulation::SimulatedNetwork world(6);
    simulation::SimulatedEnvironment ground(world, plan.placers, plan.zones);
    emulator::ScenarioRun day(plan, ground, [](const std::string&) {});
    const emulator::RunResult out = simulation::run_to_end(world, day);
    std::string all;
    all += told(out, day);
    INFO(all);
    CHECK(out.verdict.kept());
    CHECK(out.pending == 0);
    CHECK(out.counts[0].accepted > 2000);
}
