// Scheduling of the planner's rounds in the platform's server, and the calls deferred until a round is over.
#include "platform/planner_rounds.h"

#include <catch2/catch.hpp>
#include <string>

#include "simulation/simulated_network.h"
#include "support/quiet_planner.h"

using namespace whinpost;

namespace {

struct RoundsFixture : platform::RoundHandler {
    struct RecordingPlanner : QuietPlanner {
        explicit RecordingPlanner(RoundsFixture& owner) : fixture(owner) {}
        void run_round(Nanos) override {
            fixture.order += fixture.rounds.in_round() ? "round " : "? ";
            fixture.rounds.defer([this] { fixture.order += fixture.rounds.in_round() ? "? " : "deferred "; });
        }
        RoundsFixture& fixture;
    };
    RoundsFixture() { rounds.set_planner(planner); }
    void on_round_done() override { order += "done "; }

    simulation::SimulatedNetwork world{1};
    simulation::SimulatedProcess& process = world.add_process("10.0.0.1");
    std::string order;
    platform::PlannerRounds rounds{process, *this};
    RecordingPlanner planner{*this};
};

}  // namespace

TEST_CASE("several requests for a round before it runs cause one round, and deferred calls run after it") {
    RoundsFixture fixture;
    fixture.rounds.schedule();
    fixture.rounds.schedule();
    CHECK(fixture.order.empty());
    fixture.world.run_until(fixture.world.now() + 10 * kMillisecond);
    CHECK(fixture.order == "round deferred done ");
}

TEST_CASE("rounds are a millisecond apart, and wake_at() runs a round at the given time") {
    RoundsFixture fixture;
    const Nanos start = fixture.world.now();
    fixture.rounds.schedule();
    fixture.world.run_until(start + kMillisecond / 2);
    fixture.order.clear();
    fixture.rounds.schedule();
    fixture.world.run_until(start + kMillisecond / 2 + 1);
    CHECK(fixture.order.empty());
    fixture.world.run_until(start + 2 * kMillisecond);
    CHECK(fixture.order == "round deferred done ");
    fixture.rounds.wake_at(start + kSecond);
    fixture.world.run_until(start + kSecond + 1);
    CHECK(fixture.order == "round deferred done round deferred done ");
}
