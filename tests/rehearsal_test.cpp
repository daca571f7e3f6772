// Rehearsals of bundled and generated scenarios, their expectations, and errors in scenario files and
// options.
#include "simulation/rehearsal.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <sstream>

#include "emulator/scenario_parser.h"
#include "simulation/bundled_scenarios.h"
#include "simulation/report_table.h"
#include "simulation/scenario_generator.h"

using namespace whinpost;

namespace {

std::string load_text(const std::string& name) {
    const auto text = simulation::load_scenario(name);
    REQUIRE(text);
    return *text;
}

emulator::Scenario parse(const std::string& text) {
    const auto scenario = emulator::parse_scenario(text, "s.toml");
    INFO((scenario ? "" : to_string(scenario.error()[0])));
    REQUIRE(scenario);
    return *scenario;
}

struct Outcome {
    bool rules_kept = false, expectations_met = false;
    std::size_t waiting = 0, placed = 0;
    std::uint64_t digest = 0;
    std::string report;
    std::vector<simulation::CheckedExpectation> checked;
};

Outcome run(const emulator::Scenario& scenario, const std::string& planner = "whinpost") {
    Outcome outcome;
    simulation::run_scenario(
        scenario, planner, [](const std::string&) {},
        [&](emulator::ScenarioRun& scenario_run, const emulator::RunResult& result, std::uint64_t digest) {
            const simulation::RunReport report(scenario_run, result);
            outcome.rules_kept = result.verdict.kept();
            outcome.expectations_met = report.expectations_met();
            outcome.waiting = result.pending;
            for (const emulator::QueueGroupCounts& group : result.counts) outcome.placed += group.accepted;
            outcome.digest = digest;
            outcome.checked = report.expectations();
            outcome.report = simulation::to_table(report);
            for (const emulator::Violation& violation : result.verdict.violations)
                outcome.report +=
                    "\n" + emulator::describe(scenario_run.events(), violation, scenario_run.started_at());
        });
    return outcome;
}

}  // namespace

TEST_CASE("each bundled scenario keeps the rules and meets its expectations") {
    REQUIRE(simulation::scenarios().size() >= 12);
    for (const simulation::BundledScenario& scenario : simulation::scenarios()) {
        const Outcome outcome = run(parse(load_text(scenario.name)));
        INFO(scenario.name << '\n' << outcome.report);
        CHECK(outcome.rules_kept);
        CHECK(outcome.expectations_met);
        CHECK(outcome.waiting == 0);
        CHECK_FALSE(outcome.checked.empty());
    }
}

TEST_CASE("a rehearsal with the same seed repeats byte for byte; with another seed it differs") {
    emulator::Scenario scenario = parse(load_text("cut-and-burst"));
    const std::uint64_t first = run(scenario).digest;
    CHECK(run(scenario).digest == first);
    ++scenario.seed;
    CHECK(run(scenario).digest != first);
}

TEST_CASE("generated scenarios depend on the seed only, and keep the rules") {
    CHECK(simulation::generate_scenario(7) == simulation::generate_scenario(7));
    CHECK(simulation::generate_scenario(7) != simulation::generate_scenario(8));
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        const std::string text = simulation::generate_scenario(seed);
        const Outcome outcome = run(parse(text));
        INFO(text << '\n' << outcome.report);
        CHECK(outcome.rules_kept);
        CHECK(outcome.waiting == 0);
        CHECK(outcome.placed > 20);
    }
}

// Hidden: run it with `whinpost_rehearsal_tests "[search]"`. The environment variable SEEDS=first,count
// selects the seeds; BIG=1 generates fleets of the size of a deployment.
TEST_CASE("generated scenarios keep the rules for many seeds", "[.][search]") {
    unsigned long first = 1, count = 20;
    if (const char* seeds = std::getenv("SEEDS")) std::sscanf(seeds, "%lu,%lu", &first, &count);
    for (unsigned long seed = first; seed < first + count; ++seed) {
        const std::string text = simulation::generate_scenario(seed, std::getenv("BIG") != nullptr);
        const Outcome outcome = run(parse(text));
        INFO("seed " << seed << '\n' << outcome.report.substr(0, 6000));
        CHECK(outcome.rules_kept);
        CHECK(outcome.waiting == 0);
        CHECK(outcome.placed > 20);
    }
}

TEST_CASE("each metric is measured, and an expectation beyond the measured value is not met") {
    const std::string base = load_text("drain-waves");
    const auto check_expectation = [&](const std::string& metric, const std::string& bound) {
        const Outcome outcome = run(parse(base + "\n[[expect]]\nof = \"" + metric + "\"\n" + bound + "\n"));
        return outcome.checked.back();
    };
    CHECK_FALSE(check_expectation("placed", "at_most = 0.5").met);
    CHECK(check_expectation("placed", "at_least = 0.5").met);
    CHECK_FALSE(check_expectation("in_time", "at_most = 0.2").met);
    CHECK_FALSE(check_expectation("service", "at_least = 1").met);
    CHECK(check_expectation("service", "at_least = 0.3").value < 1);
    CHECK(check_expectation("worst_second", "at_most = 1\nfrom_s = 3").value <
          check_expectation("service", "at_most = 1\nfrom_s = 3").value);
    CHECK_FALSE(check_expectation("launches", "at_most = 0.9").met);
    CHECK_FALSE(check_expectation("busiest", "at_most = 0.01").met);
    CHECK_FALSE(check_expectation("refused", "at_least = 1").met);
    CHECK(check_expectation("never", "at_most = 1e9").known);
    CHECK_FALSE(check_expectation("back", "from_s = 6\nshare = 1.0\nat_most = 0").met);
    CHECK(check_expectation("back", "from_s = 6\nshare = 0.0\nat_most = 0").met);
    const simulation::CheckedExpectation not_measured =
        check_expectation("service", "group = \"recon\"\nfrom_s = 0\nto_s = 0.5\nat_least = 0");
    CHECK_FALSE(not_measured.known);  // no task was wanted in the interval: not measured, so not met
    CHECK_FALSE(not_measured.met);
}

TEST_CASE("an invalid scenario is rejected with an error that names the file and the key") {
    const std::string base = load_text("zone-cut");
    const auto check_rejected = [&](const std::string& addition, const std::string& expected) {
        const auto scenario = emulator::parse_scenario(base + addition, "s.toml");
        REQUIRE_FALSE(scenario);
        std::string errors;
        for (const config::ConfigError& error : scenario.error()) errors += to_string(error) + "\n";
        INFO(addition << " -> " << errors);
        REQUIRE_FALSE(scenario.error().empty());
        CHECK(errors.rfind("s.toml:", 0) == 0);
        CHECK(errors.find(expected) != std::string::npos);
    };
    const std::string fault = "\n[[fault]]\nat_s = 5\n", expectation = "\n[[expect]]\n";
    check_rejected("\n[weather]\nrain = true\n", "weather");
    check_rejected(fault + "do = \"slow\"\nsize = 2\nfor_s = 2\nnode = 500\n", "node");
    check_rejected(fault + "do = \"explode\"\n", "do");
    check_rejected(fault + "do = \"slow\"\nsize = 2\n", "for_s");
    check_rejected(fault + "do = \"refuse\"\nsize = 1.2\nfor_s = 2\n", "size");
    check_rejected(fault + "do = \"cut\"\nway = \"sideways\"\nfor_s = 2\n", "way");
    check_rejected(fault + "do = \"cut\"\nfor_s = 9\nnode = 1\n", "overlaps");
    check_rejected(
        fault + "do = \"kill\"\nnode = 2\n" + "\n[[fault]]\nat_s = 7\ndo = \"slow\"\nfor_s = 1\nnode = 2\n",
        "killed");
    check_rejected(fault + "do = \"drain\"\nfor_s = 1\nnode = 0\ncount = 2\nwaves = 3\nevery_s = 1\n",
                   "waves");
    check_rejected(fault + "do = \"drain\"\nfor_s = 1\nnode = 0\ncount = 2\nwaves = 2\nevery_s = 28\n",
                   "within the day");
    check_rejected("\n[[fault]]\nat_s = 500\ndo = \"reset\"\n", "at_s");
    check_rejected(fault + "do = \"rate\"\nfor_s = 2\nsize = 1\n", "group");
    check_rejected(expectation + "of = \"service\"\nat_least = 1.5\n", "at_least");
    check_rejected(expectation + "of = \"service\"\n", "at_least");
    check_rejected(expectation + "of = \"service\"\nat_least = 0.1\nat_most = 0.2\n", "at_least");
    check_rejected(expectation + "of = \"service\"\nat_least = 0.5\nfrom_s = 9\nto_s = 4\n", "to_s");
    check_rejected(expectation + "of = \"drain_lag\"\nat_most = 1\n", "never be checked");
    check_rejected(expectation + "of = \"fallen\"\nat_most = 0\n", "never be checked");
    check_rejected(expectation + "of = \"back\"\nshare = 0.9\nat_most = 5\nfrom_s = 1\n", "from_s");
    check_rejected("\n[[queue_group]]\nname = \"idle\"\neffect = \"idempotent\"\nstart_target_ms = 5\n" +
                       expectation + "of = \"placed\"\ngroup = \"idle\"\nat_least = 0.5\n",
                   "never be checked");
    check_rejected("\n[list_at_start]\nage_s = 0\nfor_s = 1\n", "age_s");
    check_rejected("\n[[fault]]\nat_s = \"soon\"\ndo = \"reset\"\n", "at_s");
}

TEST_CASE("rehearse reports errors, and its exit status tells an error from a passed run") {
    std::ostringstream out, err;
    simulation::RehearsalOptions options;
    options.quiet = true;
    options.scenario = "no-such-scenario";
    CHECK(simulation::run_rehearsal(options, out, err) == 2);
    CHECK(err.str().find("--list") != std::string::npos);
    CHECK(simulation::load_scenario("zone-cut"));
    options.scenario = "drain-waves";
    options.workers = 5;  // the scenario's drain waves need twelve
    CHECK(simulation::run_rehearsal(options, out, err) == 2);
    options.workers = 0;
    options.planner = "oracle";
    CHECK(simulation::run_rehearsal(options, out, err) == 2);
    options.planner = "whinpost";
    options.explain = "node-2";
    CHECK(simulation::run_rehearsal(options, out, err) == 0);
    CHECK(out.str().find("what was seen of node-2") != std::string::npos);
    CHECK(out.str().find("rules kept") != std::string::npos);
    // The digest of all delivered bytes: 16 hexadecimal digits on their own line.
    const std::size_t digest = out.str().find("\ndigest ");
    REQUIRE(digest != std::string::npos);
    CHECK(out.str().substr(digest + 8).find_first_not_of("0123456789abcdef") == 16);
}
