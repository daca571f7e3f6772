// Work that must not grow with the fleet size. It is counted in workers and selections, not timed.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <vector>

#include "support/scheduler_rig.h"

using namespace whinpost;

namespace {

// A fleet with room on all of its workers, or on none.
std::unique_ptr<SchedulerRig> fleet_of(int fleet_size, bool with_room) {
    auto rig = std::make_unique<SchedulerRig>();
    for (int i = 0; i < fleet_size; ++i) {
        Worker& worker = rig->scheduler.add_worker(static_cast<std::uint64_t>(i));
        rig->workers.push_back(&worker);
        rig->scheduler.update_endpoint(rig->now, worker,
                                       {0, 0, 0, with_room ? 16.0 : -24.0, 32, EndpointPhase::serving, 0});
    }
    rig->scheduler.on_watch_event_done(rig->now, true);
    return rig;
}
std::size_t considered(const SchedulerRig& rig) {
    std::uint64_t latest = 0;
    for (const Worker* worker : rig.workers) latest = std::max(latest, worker->considered_in);
    return static_cast<std::size_t>(
        std::count_if(rig.workers.begin(), rig.workers.end(),
                      [latest](const Worker* worker) { return worker->considered_in == latest; }));
}

}  // namespace

TEST_CASE("a selection considers about as many workers in a fleet of 14,000 as in one of 400") {
    const auto considered_of = [](int fleet_size) {
        const auto rig = fleet_of(fleet_size, true);
        rig->submit_and_run_round(rig->scheduler.add_service(1));
        REQUIRE(rig->count(DecisionKind::place) == 1);
        return considered(*rig);
    };
    CHECK(considered_of(14'000) <= considered_of(400) + 8);
    CHECK(considered_of(14'000) <= 64);
}

TEST_CASE("in a full fleet, a selection considers each worker once, and all tasks are rejected in time") {
    const auto rig = fleet_of(14'000, false);
    for (int i = 0; i < 5; ++i) rig->submit(rig->scheduler.add_service(static_cast<std::uint64_t>(i)));
    rig->advance(200 * kMillisecond, 50 * kMillisecond);
    CHECK(considered(*rig) == 14'000);
    rig->advance(4 * kSecond, 500 * kMillisecond);
    CHECK(rig->count(DecisionKind::reject) == 5);
    CHECK(rig->count(DecisionKind::place) == 0);
}

TEST_CASE("in a full fleet, selections for waiting tasks repeat the full search only if the fleet is small") {
    const auto selections_of = [](int fleet_size) {
        const auto rig = fleet_of(fleet_size, false);
        for (std::uint64_t i = 0; i < 20; ++i) rig->submit(rig->scheduler.add_service(i));
        rig->advance(2 * kSecond, 20 * kMillisecond);
        return rig->workers[0]->considered_in;  // the number of the latest search of the whole fleet
    };
    CHECK(selections_of(14'000) <= 80);
    CHECK(selections_of(400) > 500);
}

TEST_CASE("a waiting task is placed on the first worker with room in a full large fleet within 300 ms") {
    const auto rig = fleet_of(3000, false);
    Task& task = rig->submit(rig->scheduler.add_service(1));
    rig->advance(kSecond);
    REQUIRE(rig->count(DecisionKind::place) == 0);
    rig->list(*rig->workers[1234], {0, 0, 0, 16, 32, EndpointPhase::serving, 0});
    rig->advance(300 * kMillisecond);
    CHECK(task.worker == rig->workers[1234]);
}

TEST_CASE(
    "a task that finds no worker because of its own earlier rejection does not mark a large fleet as full") {
    const auto rig = fleet_of(3000, false);
    rig->list(*rig->workers[7], {0, 0, 0, 16, 32, EndpointPhase::serving, 0});
    Task& rejected = rig->submit(rig->scheduler.add_service(1));
    rig->advance(100 * kMillisecond);
    REQUIRE(rejected.worker == rig->workers[7]);
    rig->end_attempt(rejected, AttemptOutcome::rejected);  // by the only worker with room
    rig->advance(60 * kMillisecond, 60 * kMillisecond);
    Task& other = rig->submit(rig->scheduler.add_service(2));
    rig->advance(120 * kMillisecond);
    CHECK(other.worker == rig->workers[7]);
}

TEST_CASE("workers that are gone or draining get no tasks, and get tasks again once they are serving") {
    const auto rig = fleet_of(40, true);
    const auto list_as = [&rig](EndpointPhase phase, std::size_t from, std::size_t to) {
        for (std::size_t i = from; i < to; ++i)
            rig->scheduler.update_endpoint(rig->now, *rig->workers[i], {0, 0, 0, 16, 32, phase, 0});
        rig->scheduler.on_watch_event_done(rig->now, false);
    };
    list_as(EndpointPhase::gone, 0, 40);
    rig->submit_and_run_round(rig->scheduler.add_service(1));
    CHECK(rig->count(DecisionKind::place) == 0);
    list_as(EndpointPhase::serving, 7, 8);
    rig->advance(200 * kMillisecond);
    REQUIRE(rig->count(DecisionKind::place) == 1);
    CHECK(rig->decisions.back().worker == rig->workers[7]);
    list_as(EndpointPhase::draining, 7, 8);
    list_as(EndpointPhase::serving, 8, 9);
    rig->submit_and_run_round(rig->scheduler.add_service(2));
    REQUIRE(rig->count(DecisionKind::place) == 2);
    CHECK(rig->decisions.back().worker == rig->workers[8]);
}

TEST_CASE(
    "a fleet updated worker by worker gets the same placements as one updated in a single watch event") {
    const auto seed = GENERATE(take(10, random(1u, 1u << 30)));
    std::ranlux24_base chance(seed);
    const auto at_once = fleet_of(60, true), one_by_one = fleet_of(60, true);
    std::vector<EndpointPhase> phase(60, EndpointPhase::serving);
    for (int step = 0; step < 200; ++step) {
        const std::size_t i = chance() % 60;
        phase[i] = chance() % 2 ? EndpointPhase::serving : EndpointPhase::draining;
        one_by_one->list(*one_by_one->workers[i], {0, 0, 0, 16, 32, phase[i], 0});
    }
    for (std::size_t i = 0; i < 60; ++i)
        at_once->scheduler.update_endpoint(at_once->now, *at_once->workers[i],
                                           {0, 0, 0, 16, 32, phase[i], 0});
    at_once->scheduler.on_watch_event_done(at_once->now, true);
    for (std::uint64_t hash = 0; hash < 30; ++hash) {
        const Worker* first = at_once->submit_and_run_round(at_once->scheduler.add_service(hash)).worker;
        const Worker* second =
            one_by_one->submit_and_run_round(one_by_one->scheduler.add_service(hash)).worker;
        REQUIRE(first);
        REQUIRE(second);
        CHECK(first->name_hash == second->name_hash);
    }
}
