// For each rule, a planner breaks it on purpose, with a ledger that permits it: the checker must report a
// violation. With the real ledger the same planner must not cause any violation.
#include <catch2/catch.hpp>

#include "emulator/scenario_parser.h"
#include "simulation/simulated_environment.h"
#include "support/quiet_planner.h"

using namespace whinpost;
using emulator::Rule;

namespace {

struct Lax final : ledger::Ledger {
    Lax(std::vector<QueueGroup> g, RetrySettings t, SlowStartSettings c, bool mute)
        : Ledger(std::move(g), t, c), mute_(mute) {}
    ledger::Refusal check_attempt(Nanos, const ledger::TaskRecord& r,
                                  const ledger::WorkerRecord&) const override {
        return r.attempts.size() < 4 ? ledger::Refusal::none : ledger::Refusal::too_many_attempts;
    }
    bool may_still_send(Nanos, const ledger::Attempt&) const override { return true; }
    bool record_answer(Nanos now, ledger::TaskRecord& r, ledger::Answer a) override {
        return !mute_ && Ledger::record_answer(now, r, a);
    }
    bool mute_;
};

enum class Does { binds_twice, ignores_drains, floods_the_cold, crowds, says_nothing };

// Places each task at once, and breaks the rule that `does` selects.
struct Rogue final : QuietPlanner {
    Rogue(server::PlacerServer& e, Does d) : edge(e), does(d) {}
    void on_endpoint(Nanos, planner::WorkerNumber n, std::uint64_t, const EndpointState& l) override {
        if (known.size() <= n) known.resize(n + 1);
        known[n] = l;
    }
    void run_round(Nanos) override {
        if (known.empty()) return;
        for (const planner::TaskNumber c : std::exchange(submitted, {})) {
            const auto n = static_cast<planner::WorkerNumber>(known.size());
            planner::WorkerNumber to = turn++ % n;
            if (does == Does::crowds || does == Does::ignores_drains) to = 0;
            if (does == Does::floods_the_cold)
                for (planner::WorkerNumber i = 0; i < n; ++i)
                    if (known[i].started_at) to = i;
            if (does == Does::says_nothing) continue;
            edge.place(c, to, 60 * kSecond);
            if (does == Does::binds_twice) edge.place(c, (to + 1) % n, 60 * kSecond);
        }
    }
    server::PlacerServer& edge;
    Does does;
    std::vector<EndpointState> known;
    planner::WorkerNumber turn = 0;
};

constexpr const char* kDay = R"(
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

emulator::RunResult play(Does does, bool lax) {
    const auto parsed = emulator::parse_scenario(kDay, "day");
    REQUIRE(parsed);
    const emulator::Scenario& plan = *parsed;
    simulation::SimulatedNetwork world(9);
    simulation::SimulatedEnvironment ground(world, plan.placers, plan.zones);
    std::vector<std::unique_ptr<Rogue>> rogues;
    if (lax)
        ground.make_ledger = [does](std::vector<QueueGroup> g, RetrySettings t, SlowStartSettings c) {
            return std::make_unique<Lax>(std::move(g), t, c, does == Does::says_nothing);
        };
    ground.on_placer_made = [&](std::size_t, apps::EmbeddedPlacer& placer) {
        rogues.push_back(std::make_unique<Rogue>(placer.server, does));
        placer.server.set_planner(*rogues.back());
    };
    emulator::ScenarioRun day(plan, ground, [](const std::string&) {});
    return simulation::run_to_end(world, day);
}

}  // namespace

TEST_CASE("the checker reports a violation of each rule, and the real ledger prevents each one") {
    const auto [does, rule] = GENERATE(table<Does, Rule>({{Does::binds_twice, Rule::twice},
                                                          {Does::ignores_drains, Rule::drain},
                                                          {Does::floods_the_cold, Rule::overload},
                                                          {Does::crowds, Rule::spread},
                                                          {Does::says_nothing, Rule::lost}}));
    const emulator::RunResult broken = play(does, true);
    INFO(broken.verdict.summary());
    CHECK(broken.verdict.count(rule) > 0);
    const emulator::RunResult guarded = play(does, false);
    INFO(guarded.verdict.summary());
    CHECK(guarded.verdict.kept());
}
