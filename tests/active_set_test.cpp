// The active set: the smallest set of workers that holds the present load.
#include "scheduler/active_set.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "support/scheduler_rig.h"

using namespace whinpost;

TEST_CASE("all schedulers choose the same active set, whatever tasks each has placed") {
    Prices prices;
    prices.workers_in_use = 0.25;
    SchedulerRig first({QueueGroup{}}, SchedulerRig::default_slow_start(), {}, 4, {2.5, 1.5}, prices),
        second({QueueGroup{}}, SchedulerRig::default_slow_start(), {}, 4, {2.5, 1.5}, prices);
    for (SchedulerRig* rig : {&first, &second})
        for (int i = 0; i < 10; ++i)
            rig->list(rig->add_worker(), {0, 0, 0, 16.0 - i, 32, EndpointPhase::serving, 0});
    for (std::uint64_t hash = 1; hash < 40; ++hash)
        first.submit_and_run_round(first.scheduler.add_service(hash));
    first.advance(kSecond);
    first.submit_and_run_round(first.scheduler.add_service(50));
    second.advance(kSecond);
    second.submit_and_run_round(second.scheduler.add_service(50));
    int active = 0;
    for (std::size_t i = 0; i < 10; ++i) {
        CHECK(first.workers[i]->in_active_set == second.workers[i]->in_active_set);
        active += first.workers[i]->in_active_set;
    }
    CHECK((active > 0 && active < 10));
}

TEST_CASE("the fullest workers that hold the load are active, and one more for two seconds after widen()") {
    scheduler::SchedulerConfig config;
    config.groups = {QueueGroup{}};
    config.kinds = {{16, 32}};
    config.prices.workers_in_use = 0.1;
    const scheduler::SlowStart slow_start(SchedulerRig::default_slow_start());
    const scheduler::Capacity capacity(config.acceptance, config.groups, slow_start);
    const scheduler::OutlierDetection outliers(1, true, slow_start);
    scheduler::ActiveSet active_set(config, capacity, outliers);
    std::vector<Worker> workers;
    for (int i = 0; i < 4; ++i) workers.emplace_back(static_cast<std::uint64_t>(i), kSecond, 1);
    std::vector<Worker*> listed;
    for (Worker& worker : workers) {
        worker.kind = &config.kinds[0];
        worker.endpoint.free_cores = 16;
        worker.endpoint.free_memory = 32;
        listed.push_back(&worker);
    }
    workers[2].endpoint.free_cores = 8;
    const auto active = [&] {
        return std::count_if(listed.begin(), listed.end(),
                             [](const Worker* worker) { return worker->in_active_set; });
    };
    Nanos now = 1000 * kSecond;
    active_set.refresh_if_due(now, listed);
    CHECK(active_set.fleet_utilization() == Approx(0.125));
    CHECK(active() == 1);
    CHECK(workers[2].in_active_set);
    active_set.widen(now, listed.size());
    active_set.refresh_if_due(now + 200 * kMillisecond, listed);
    CHECK(active() == 1);  // not due yet
    active_set.refresh_if_due(now + 250 * kMillisecond, listed);
    CHECK(active() == 2);
    active_set.refresh_if_due(now + 2 * kSecond, listed);
    CHECK(active() == 1);
}
