#include "scale.h"

#include <malloc.h>

#include <functional>
#include <random>
#include <utility>
#include <vector>

#include "scale_world.h"

namespace whinpost::bench {
namespace {

constexpr Nanos kStep = 20 * kMillisecond;  // of virtual time
constexpr int kWorkersPerUpdate = 3;        // in one watch event
constexpr double kMaxMemory = 12e9;         // bytes: half of the memory of the users' machine
constexpr double kBytesPerWorkerGuess = 8'000;
constexpr int kWorldsAtOnce = 3;
constexpr unsigned kSeed = 7;
constexpr int kDecisions = 200, kUpdateEvents = 50, kStateEvents = 20;

// Bytes in use on the heap, without freed memory that the allocator keeps from earlier runs.
double heap_bytes() {
    const struct mallinfo2 heap = mallinfo2();
    return static_cast<double>(heap.uordblks + heap.hblkhd);
}

// Delivers a watch event that changes the free cores of three random workers by too little to affect
// decisions.
void update_random_workers(ScaleWorld& world, const ScaleSizes& sizes, std::ranlux24_base& random) {
    std::vector<int> updated;
    for (int i = 0; i < kWorkersPerUpdate; ++i) {
        const int worker = static_cast<int>(random() % static_cast<unsigned>(sizes.workers));
        world.endpoint(worker).free_cores += random() % 2 ? 1e-3 : -1e-3;
        updated.push_back(worker);
    }
    world.watch_event(updated);
}

// Submits tasks and updates workers at the rates in `sizes` for `duration` of virtual time. Returns the
// processor time used, as a share of a core.
double run_for(ScaleWorld& world, const ScaleSizes& sizes, Nanos duration, std::ranlux24_base& random) {
    const double before = processor_seconds();
    const Nanos start = world.now();
    double submissions = 0, updates = 0;
    while (world.now() < start + duration) {
        world.advance(kStep);
        const double step_s = static_cast<double>(kStep) / 1e9;
        submissions += sizes.asks * step_s;
        updates += sizes.updates * step_s / kWorkersPerUpdate;
        for (; updates >= 1; updates -= 1) update_random_workers(world, sizes, random);
        world.submit_tasks(static_cast<int>(submissions));
        submissions -= static_cast<int>(submissions);
        world.run_round();
    }
    return (processor_seconds() - before) / (static_cast<double>(duration) / 1e9);
}

// Returns the average processor seconds of a call.
double average_seconds(int times, const std::function<void(int)>& call) {
    const double before = processor_seconds();
    for (int i = 0; i < times; ++i) call(i);
    return (processor_seconds() - before) / times;
}

// Returns the processor seconds to process the loss of a zone, in one watch event or in one per worker.
double zone_lost_seconds(const ScaleSizes& sizes, bool in_one_event) {
    ScaleWorld world(sizes);
    world.list_all_workers(false);
    std::vector<int> zone;
    for (int i = 0; i < sizes.workers; i += sizes.zones) zone.push_back(i);
    for (const int worker : zone) world.endpoint(worker).phase = EndpointPhase::gone;
    const double before = processor_seconds();
    if (in_one_event) world.watch_event(zone);
    else
        for (const int worker : zone) world.watch_event({worker});
    return processor_seconds() - before;
}

void measure_events(ScaleWorld& world, const ScaleSizes& sizes, ScaleFigures& figures) {
    figures.decision_us = 1e6 * average_seconds(kDecisions, [&](int) {
                              world.advance(kMillisecond);
                              world.submit_tasks(1);
                              world.run_round();
                          });
    figures.update_event_ms = 1e3 * average_seconds(kUpdateEvents, [&](int event) {
                                  world.advance(kMillisecond);
                                  world.submit_tasks(1);
                                  world.watch_event({event % sizes.workers, (event + 7) % sizes.workers,
                                                     (event + 11) % sizes.workers});
                              });
    world.reset_longest();
    figures.state_event_ms = 1e3 * average_seconds(kStateEvents, [&](int event) {
                                 const int worker = event / 2 % sizes.workers;
                                 world.endpoint(worker).phase =
                                     event % 2 ? EndpointPhase::serving : EndpointPhase::draining;
                                 world.advance(kMillisecond);
                                 world.watch_event({worker});
                             });
    figures.longest_event_ms = 1e3 * world.longest_seconds();
}

void measure_full_fleet(const ScaleSizes& sizes, ScaleFigures& figures, std::ranlux24_base& random) {
    ScaleWorld world(sizes);
    world.list_all_workers(true);
    figures.no_room_core_share = run_for(world, sizes, kSecond, random);
    ScaleSizes idle = sizes;
    idle.asks = idle.updates = 0;
    const int submitted = world.submitted();
    run_for(world, idle, kQueueTimeout, random);
    figures.no_room_answered = submitted ? static_cast<double>(world.answered_in_time()) / submitted : 1;
}

}  // namespace

std::string to_string(const InvalidSize& invalid) { return invalid.option + ": " + invalid.problem; }

std::optional<InvalidSize> check(const ScaleSizes& sizes) {
    const std::pair<const char*, int> at_least_one[] = {{"--workers", sizes.workers},
                                                        {"--placers", sizes.placers},
                                                        {"--services", sizes.services},
                                                        {"--zones", sizes.zones},
                                                        {"--groups", sizes.queue_groups}};
    for (const auto& [option, value] : at_least_one)
        if (value < 1) return InvalidSize{option, "must be one or more"};
    const std::pair<const char*, int> not_negative[] = {
        {"--asks", sizes.asks}, {"--running", sizes.running}, {"--updates", sizes.updates}};
    for (const auto& [option, value] : not_negative)
        if (value < 0) return InvalidSize{option, "must not be below zero"};
    if (sizes.workers * kBytesPerWorkerGuess * kWorldsAtOnce > kMaxMemory)
        return InvalidSize{"--workers", "would pass half of the machine's memory"};
    return std::nullopt;
}

ScaleFigures measure(const ScaleSizes& sizes) {
    ScaleFigures figures;
    std::ranlux24_base random(kSeed);
    const double memory_before = heap_bytes();
    ScaleWorld world(sizes);
    const double start = processor_seconds();
    world.list_all_workers(false);
    world.adopt_tasks(sizes.running);
    world.run_round();
    figures.ready_s = processor_seconds() - start;
    figures.bytes_per_worker = (heap_bytes() - memory_before) / sizes.workers;
    figures.calm_core_share = run_for(world, sizes, 2 * kSecond, random);
    measure_events(world, sizes, figures);
    figures.zone_lost_s = zone_lost_seconds(sizes, false);
    figures.zone_lost_once_ms = 1e3 * zone_lost_seconds(sizes, true);
    measure_full_fleet(sizes, figures, random);
    return figures;
}

}  // namespace whinpost::bench
