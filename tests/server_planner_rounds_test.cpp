// The scheduling of the planner's rounds, and the server's timers, in virtual time.
#include <catch2/catch.hpp>
#include <vector>

#include "server/planner_rounds.h"
#include "server/server_timers.h"
#include "simulation/simulated_network.h"

using namespace whinpost;

namespace {
struct RecordedRounds final : server::RoundHandler {
    void run_round(Nanos now) override {
        rounds.push_back(now);
        if (in_round) in_round();
    }
    void after_round(Nanos) override { ++completed; }
    std::vector<Nanos> rounds;
    std::size_t completed = 0;
    std::function<void()> in_round;
};

struct TestRounds {
    void run_for(Nanos duration) { network.run_until(network.now() + duration); }

    simulation::SimulatedNetwork network{1};
    simulation::SimulatedProcess& process = network.add_process("placer");
    RecordedRounds handler;
    server::PlannerRounds rounds{process, handler};
};

struct RecordedTimer final : timer_wheel::Timer {
    void on_deadline(Nanos now) override { fired.push_back(now); }
    std::vector<Nanos> fired;
};
}  // namespace

TEST_CASE(
    "rounds scheduled within one pace are merged into one, and without events a round runs every 250 ms") {
    TestRounds test;
    for (int i = 0; i < 10; ++i) test.rounds.schedule_round();
    test.run_for(kMillisecond);
    CHECK(test.handler.rounds.size() == 1);
    test.rounds.schedule_round();
    test.rounds.schedule_round();
    test.run_for(10 * kMillisecond);
    REQUIRE(test.handler.rounds.size() == 2);
    CHECK(test.handler.rounds[1] - test.handler.rounds[0] >= kMillisecond);
    test.run_for(kSecond);
    CHECK(test.handler.rounds.size() == 6);  // every 250 ms
    CHECK(test.handler.completed == 6);
}

TEST_CASE("a round runs at the time of the planner's wake-up, also if another round ran before it") {
    TestRounds test;
    const Nanos wake_at = test.network.now() + 100 * kMillisecond;
    test.rounds.wake_at(wake_at);
    test.rounds.schedule_round();
    test.run_for(99 * kMillisecond);
    CHECK(test.handler.rounds.size() == 1);
    test.run_for(2 * kMillisecond);
    REQUIRE(test.handler.rounds.size() == 2);
    CHECK(test.handler.rounds[1] == wake_at);
}

TEST_CASE("a call deferred before a round runs ahead of the planner, one deferred within it afterwards") {
    TestRounds test;
    std::vector<int> order;
    test.handler.in_round = [&] {
        if (order.size() > 1) return;
        order.push_back(2);
        test.rounds.defer([&] { order.push_back(3); });
        CHECK(order.size() == 2);
    };
    test.rounds.defer([&] { order.push_back(1); });
    CHECK(order.empty());
    test.run_for(kMillisecond);
    CHECK(order == std::vector<int>{1, 2, 3});
}

TEST_CASE("the server's timers fire at their deadlines, whatever the order in which they were armed") {
    TestRounds test;
    server::ServerTimers timers(test.process);
    RecordedTimer early, late, disarmed;
    const Nanos start = test.network.now();
    timers.arm(late, start + 500 * kMillisecond);
    timers.arm(early, start + 20 * kMillisecond);
    timers.arm(disarmed, start + 30 * kMillisecond);
    disarmed.disarm();
    test.run_for(kSecond);
    REQUIRE(early.fired.size() == 1);
    REQUIRE(late.fired.size() == 1);
    CHECK(early.fired[0] >= start + 20 * kMillisecond);
    CHECK(early.fired[0] < start + 25 * kMillisecond);
    CHECK(late.fired[0] >= start + 500 * kMillisecond);
    CHECK(late.fired[0] < start + 505 * kMillisecond);
    CHECK(disarmed.fired.empty());
}
