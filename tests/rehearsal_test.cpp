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

std::string text_of(const std::string& name) {
    const auto text = simulation::load_scenario(name);
    REQUIRE(text);
    return *text;
}

emulator::Scenario plan_of(const std::string& text) {
    const auto scenario = emulator::parse_scenario(text, "s.toml");
    INFO((scenario ? "" : to_string(scenario.error()[0])));
    REQUIRE(scenario);
    return *scenario;
}

struct Came {
    bool kept = false, met = false;
    std::size_t waiting = 0, placed = 0;
    std::uint64_t digest = 0;
    std::string told;
    std::vector<simulation::CheckedExpectation> checked;
};

Came play(const emulator::Scenario& plan, const std::string& planner = "whinpost") {
    Came c;
    simulation::run_scenario(
        plan, planner, [](const std::string&) {},
        [&](emulator::ScenarioRun& day, const emulator::RunResult& out, std::uint64_t digest) {
            const simulation::RunReport found(day, out);
            c.kept = out.verdict.kept();
            c.met = found.expectations_met();
            c.waiting = out.pending;
            for (const emulator::QueueGroupCounts& g : out.counts) c.placed += g.accepted;
            c.digest = digest;
            c.checked = found.expectations();
            c.told = simulation::to_table(found);
            for (const emulator::Violation& b : out.verdict.violations)
                c.told += "\n" + emulator::describe(day.events(), b, day.started_at());
        });
    return c;
}

}  // namespace

TEST_CASE("each bundled scenario keeps the rules and meets its expectations") {
    REQUIRE(simulation::scenarios().size() >= 12);
    for (const simulation::BundledScenario& s : simulation::scenarios()) {
        const Came c = play(plan_of(text_of(s.name)));
        INFO(s.name << '\n' << c.told);
        CHECK(c.kept);
        CHECK(c.met);
        CHECK(c.waiting == 0);
        CHECK_FALSE(c.checked.empty());
    }
}

TEST_CASE("a rehearsal with the same seed repeats byte for byte; with another seed it differs") {
    emulator::Scenario p = plan_of(text_of("cut-and-burst"));
    const std::uint64_t first = play(p).digest;
    CHECK(play(p).digest == first);
    ++p.seed;
    CHECK(play(p).digest != first);
}

TEST_CASE("generated scenarios depend on the seed only, and keep the rules") {
    CHECK(simulation::generate_scenario(7) == simulation::generate_scenario(7));
    CHECK(simulation::generate_scenario(7) != simulation::generate_scenario(8));
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        const std::string text = simulation::generate_scenario(seed);
        const Came c = play(plan_of(text));
        INFO(text << '\n' << c.told);
        CHECK(c.kept);
        CHECK(c.waiting == 0);
        CHECK(c.placed > 20);
    }
}

// Hidden: run it with `whinpost_rehearsal_tests "[search]"`. The environment variable SEEDS=first,count
// selects the seeds; BIG=1 generates fleets of the size of a deployment.
TEST_CASE("generated scenarios keep the rules for many seeds", "[.][search]") {
    unsigned long first = 1, count = 20;
    if (const char* seeds = std::getenv("SEEDS")) std::sscanf(seeds, "%lu,%lu", &first, &count);
    for (unsigned long seed = first; seed < first + count; ++seed) {
        const std::string text = simulation::generate_scenario(seed, std::getenv("BIG") != nullptr);
        const Came c = play(plan_of(text));
        INFO("seed " << seed << '\n' << c.told.substr(0, 6000));
        CHECK(c.kept);
        CHECK(c.waiting == 0);
        CHECK(c.placed > 20);
    }
}

TEST_CASE("each metric is measured, and an expectation beyond the measured value is not met") {
    const std::string base = text_of("drain-waves");
    const auto with = [&](const std::string& of, const std::string& bound) {
        const Came c = play(plan_of(base + "\n[[expect]]\nof = \"" + of + "\"\n" + bound + "\n"));
        return c.checked.back();
    };
    CHECK_FALSE(with("placed", "at_most = 0.5").met);
    CHECK(with("placed", "at_least = 0.5").met);
    CHECK_FALSE(with("in_time", "at_most = 0.2").met);
    CHECK_FALSE(with("service", "at_least = 1").met);
    CHECK(with("service", "at_least = 0.3").value < 1);
    CHECK(with("worst_second", "at_most = 1\nfrom_s = 3").value <
          with("service", "at_most = 1\nfrom_s = 3").value);
    CHECK_FALSE(with("launches", "at_most = 0.9").met);
    CHECK_FALSE(with("busiest", "at_most = 0.01").met);
    CHECK_FALSE(with("refused", "at_least = 1").met);
    CHECK(with("never", "at_most = 1e9").known);
    CHECK_FALSE(with("back", "from_s = 6\nshare = 1.0\nat_most = 0").met);
    CHECK(with("back", "from_s = 6\nshare = 0.0\nat_most = 0").met);
    const simulation::CheckedExpectation none =
        with("service", "group = \"recon\"\nfrom_s = 0\nto_s = 0.5\nat_least = 0");
    CHECK_FALSE(none.known);  // no task was wanted in the interval: not measured, so not met
    CHECK_FALSE(none.met);
}

TEST_CASE("an invalid scenario is rejected with an error that names the file and the key") {
    const std::string base = text_of("zone-cut");
    const auto refused = [&](const std::string& more, const std::string& why) {
        const auto scenario = emulator::parse_scenario(base + more, "s.toml");
        REQUIRE_FALSE(scenario);
        std::string all;
        for (const config::ConfigError& error : scenario.error()) all += to_string(error) + "\n";
        INFO(more << " -> " << all);
        REQUIRE_FALSE(scenario.error().empty());
        CHECK(all.rfind("s.toml:", 0) == 0);
        CHECK(all.find(why) != std::string::npos);
    };
    const std::string f = "\n[[fault]]\nat_s = 5\n", e = "\n[[expect]]\n";
    refused("\n[weather]\nrain = true\n", "weather");
    refused(f + "do = \"slow\"\nsize = 2\nfor_s = 2\nnode = 500\n", "node");
    refused(f + "do = \"explode\"\n", "do");
    refused(f + "do = \"slow\"\nsize = 2\n", "for_s");
    refused(f + "do = \"refuse\"\nsize = 1.2\nfor_s = 2\n", "size");
    refused(f + "do = \"cut\"\nway = \"sideways\"\nfor_s = 2\n", "way");
    refused(f + "do = \"cut\"\nfor_s = 9\nnode = 1\n", "overlaps");
    refused(f + "do = \"kill\"\nnode = 2\n" + "\n[[fault]]\nat_s = 7\ndo = \"slow\"\nfor_s = 1\nnode = 2\n",
            "killed");
    refused(f + "do = \"drain\"\nfor_s = 1\nnode = 0\ncount = 2\nwaves = 3\nevery_s = 1\n", "waves");
    refused(f + "do = \"drain\"\nfor_s = 1\nnode = 0\ncount = 2\nwaves = 2\nevery_s = 28\n",
            "within the day");
    refused("\n[[fault]]\nat_s = 500\ndo = \"reset\"\n", "at_s");
    refused(f + "do = \"rate\"\nfor_s = 2\nsize = 1\n", "group");
    refused(e + "of = \"service\"\nat_least = 1.5\n", "at_least");
    refused(e + "of = \"service\"\n", "at_least");
    refused(e + "of = \"service\"\nat_least = 0.1\nat_most = 0.2\n", "at_least");
    refused(e + "of = \"service\"\nat_least = 0.5\nfrom_s = 9\nto_s = 4\n", "to_s");
    refused(e + "of = \"drain_lag\"\nat_most = 1\n", "never be checked");
    refused(e + "of = \"fallen\"\nat_most = 0\n", "never be checked");
    refused(e + "of = \"back\"\nshare = 0.9\nat_most = 5\nfrom_s = 1\n", "from_s");
    refused("\n[[queue_group]]\nname = \"idle\"\neffect = \"idempotent\"\nstart_target_ms = 5\n" + e +
                "of = \"placed\"\ngroup = \"idle\"\nat_least = 0.5\n",
            "never be checked");
    refused("\n[list_at_start]\nage_s = 0\nfor_s = 1\n", "age_s");
    refused("\n[[fault]]\nat_s = \"soon\"\ndo = \"reset\"\n", "at_s");
}

TEST_CASE("rehearse reports errors, and its exit status tells an error from a passed run") {
    std::ostringstream to, err;
    simulation::RehearsalOptions w;
    w.quiet = true;
    w.scenario = "no-such-scenario";
    CHECK(simulation::run_rehearsal(w, to, err) == 2);
    CHECK(err.str().find("--list") != std::string::npos);
    CHECK(simulation::load_scenario("zone-cut"));
    w.scenario = "drain-waves";
    w.workers = 5;  // the scenario's drain waves need twelve
    CHECK(simulation::run_rehearsal(w, to, err) == 2);
    w.workers = 0;
    w.planner = "oracle";
    CHECK(simulation::run_rehearsal(w, to, err) == 2);
    w.planner = "whinpost";
    w.explain = "node-2";
    CHECK(simulation::run_rehearsal(w, to, err) == 0);
    CHECK(to.str().find("what was seen of node-2") != std::string::npos);
    CHECK(to.str().find("rules kept") != std::string::npos);
    // The digest of all delivered bytes: 16 hexadecimal digits on their own line.
    const std::size_t digest = to.str().find("\ndigest ");
    REQUIRE(digest != std::string::npos);
    CHECK(to.str().substr(digest + 8).find_first_not_of("0123456789abcdef") == 16);
}
