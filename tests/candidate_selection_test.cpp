// Candidate selection: which workers are drawn, and which of them is picked.
#include <catch2/catch.hpp>
#include <map>

#include "support/scheduler_rig.h"

using namespace whinpost;

TEST_CASE("all schedulers draw the same candidates for a service, whatever order workers were added in") {
    SchedulerRig first, second;
    for (std::uint64_t i = 0; i < 40; ++i) {
        first.list(first.scheduler.add_worker(i), {0, 0, 0, 16, 32, EndpointPhase::serving, 0});
        second.list(second.scheduler.add_worker(39 - i), {0, 0, 0, 16, 32, EndpointPhase::serving, 0});
    }
    std::map<std::uint64_t, int> chosen;
    for (std::uint64_t hash = 100; hash < 160; ++hash) {
        Worker* worker = first.submit_and_run_round(first.scheduler.add_service(hash)).worker;
        CHECK(worker->name_hash ==
              second.submit_and_run_round(second.scheduler.add_service(hash)).worker->name_hash);
        ++chosen[worker->name_hash];
    }
    CHECK(chosen.size() > 20);  // services spread over the fleet
}

TEST_CASE("a tolerant queue group avoids loaded workers of the kind that a sensitive queue group needs") {
    QueueGroup tolerant, sensitive;
    tolerant.degradation_range = 1;
    sensitive.full_service_utilization = 0.8;
    sensitive.degradation_range = 0.15;
    sensitive.worker_kind = 1;
    SchedulerRig rig({tolerant, sensitive}, SchedulerRig::default_slow_start(), {}, 4,
                     without_pressure_reports());
    for (int i = 0; i < 6; ++i)
        rig.list(rig.add_worker(), {0, 0, i % 2, i % 2 ? -4.8 : 0, 32, EndpointPhase::serving, 0});
    for (std::uint64_t hash = 1; hash <= 8; ++hash) {
        Task& task = rig.submit_and_run_round(rig.scheduler.add_service(hash));
        REQUIRE(task.worker);
        CHECK(task.worker->endpoint.kind == 0);
    }
}

TEST_CASE("a service's tasks gather on one worker while it has room, in the scheduler's own zone") {
    QueueGroup group;
    group.start_value_s = 10;
    Prices prices;
    prices.cross_zone = 0.05;
    SchedulerRig rig({group}, SchedulerRig::default_slow_start(), {}, 4, {2.5, 1.5}, prices);
    for (int i = 0; i < 8; ++i) rig.add_worker(0, i % 2);
    Service& service = rig.scheduler.add_service(7);
    Worker* first = rig.submit_and_run_round(service).worker;
    REQUIRE(first);
    CHECK(first->endpoint.zone == 0);
    for (int i = 0; i < 5; ++i) CHECK(rig.submit_and_run_round(service).worker == first);
}
