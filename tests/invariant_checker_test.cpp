// For each rule, a planner breaks it on purpose, with a ledger that permits it: the checker must report a
// violation. With the real ledger the same planner must not cause any violation.
#include <catch2/catch.hpp>

#include "emulator/scenario_parser.h"
#include "simulation/simulated_environment.h"
#include "support/quiet_planner.h"

using namespace whinpost;
using emulator::Rule;

namespace {

struct PermissiveLedger final : ledger::Ledger {
    PermissiveLedger(std::vector<QueueGroup> groups, RetrySettings retry, SlowStartSettings slow_start,
                     bool drops_answers)
        : Ledger(std::move(groups), retry, slow_start), drops_answers_(drops_answers) {}
    ledger::Refusal check_attempt(Nanos, const ledger::TaskRecord& task,
                                  const ledger::WorkerRecord&) const override {
        return task.attempts.size() < 4 ? ledger::Refusal::none : ledger::Refusal::too_many_attempts;
    }
    bool may_still_send(Nanos, const ledger::Attempt&) const override { return true; }
    bool record_answer(Nanos now, ledger::TaskRecord& task, ledger::Answer answer) override {
        return !drops_answers_ && Ledger::record_answer(now, task, answer);
    }
    bool drops_answers_;
};

enum class Misbehavior { places_twice, ignores_drains, overloads_new_worker, ignores_spread, never_answers };

// Places each task at once, and breaks the rule that `misbehavior` selects.
struct RuleBreakingPlanner final : QuietPlanner {
    RuleBreakingPlanner(server::PlacerServer& server, Misbehavior kind)
        : placer_server(server), misbehavior(kind) {}
    void on_endpoint(Nanos, planner::WorkerNumber worker, std::uint64_t,
                     const EndpointState& endpoint) override {
        if (endpoints.size() <= worker) endpoints.resize(worker + 1);
        endpoints[worker] = endpoint;
    }
    void run_round(Nanos) override {
        if (endpoints.empty()) return;
        for (const planner::TaskNumber task : std::exchange(submitted, {})) {
            const auto count = static_cast<planner::WorkerNumber>(endpoints.size());
            planner::WorkerNumber worker = next_worker++ % count;
            if (misbehavior == Misbehavior::ignores_spread || misbehavior == Misbehavior::ignores_drains)
                worker = 0;
            if (misbehavior == Misbehavior::overloads_new_worker)
                for (planner::WorkerNumber i = 0; i < count; ++i)
                    if (endpoints[i].started_at) worker = i;
            if (misbehavior == Misbehavior::never_answers) continue;
            placer_server.place(task, worker, 60 * kSecond);
            if (misbehavior == Misbehavior::places_twice)
                placer_server.place(task, (worker + 1) % count, 60 * kSecond);
        }
    }
    server::PlacerServer& placer_server;
    Misbehavior misbehavior;
    std::vector<EndpointState> endpoints;
    planner::WorkerNumber next_worker = 0;
};

constexpr const char* kScenario = R"(
[day]
length_s = 12
seed = 3
list_late_ms = 100
[fleet]
nodes = 6
zones = ["a", "b"]
judge_ms = 1
start_ms = 20
[[machine_kind]]
name = "std"
cores = 400
memory = 800
[cold]
warm_after_ms = 8000
always_borne = 4
window_ms = 1000
from = 0.1
[[queue_group]]
name = "once"
effect = "side-effecting"
start_target_ms = 500
spread = "machine"
most = 6
[[load]]
group = "once"
a_second = 20
services = 1
cores = 1
memory = 1
queue_timeout_ms = 2000
life_least_ms = 3000
life_most_ms = 4000
[[fault]]
at_s = 3
for_s = 7
do = "drain"
node = 0
tell = false
[[fault]]
at_s = 2
do = "rejoin"
node = 3
)";

emulator::RunResult run_scenario(Misbehavior misbehavior, bool permissive) {
    const auto parsed = emulator::parse_scenario(kScenario, "day");
    REQUIRE(parsed);
    const emulator::Scenario& scenario = *parsed;
    simulation::SimulatedNetwork network(9);
    simulation::SimulatedEnvironment environment(network, scenario.placers, scenario.zones);
    std::vector<std::unique_ptr<RuleBreakingPlanner>> planners;
    if (permissive)
        environment.make_ledger = [misbehavior](std::vector<QueueGroup> groups, RetrySettings retry,
                                                SlowStartSettings slow_start) {
            return std::make_unique<PermissiveLedger>(std::move(groups), retry, slow_start,
                                                      misbehavior == Misbehavior::never_answers);
        };
    environment.on_placer_made = [&](std::size_t, apps::EmbeddedPlacer& placer) {
        planners.push_back(std::make_unique<RuleBreakingPlanner>(placer.server, misbehavior));
        placer.server.set_planner(*planners.back());
    };
    emulator::ScenarioRun run(scenario, environment, [](const std::string&) {});
    return simulation::run_to_end(network, run);
}

}  // namespace

TEST_CASE("the checker reports a violation of each rule, and the real ledger prevents each one") {
    const auto [misbehavior, rule] =
        GENERATE(table<Misbehavior, Rule>({{Misbehavior::places_twice, Rule::twice},
                                           {Misbehavior::ignores_drains, Rule::drain},
                                           {Misbehavior::overloads_new_worker, Rule::overload},
                                           {Misbehavior::ignores_spread, Rule::spread},
                                           {Misbehavior::never_answers, Rule::lost}}));
    const emulator::RunResult unguarded = run_scenario(misbehavior, true);
    INFO(unguarded.verdict.summary());
    CHECK(unguarded.verdict.count(rule) > 0);
    const emulator::RunResult guarded = run_scenario(misbehavior, false);
    INFO(guarded.verdict.summary());
    CHECK(guarded.verdict.kept());
}
