// A scenario: a fleet of workers, clients with their load, faults at their times, and what is expected.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/emulated_fleet.h"
#include "emulator/worker_settings.h"
#include "whinpost/scheduler.h"

namespace whinpost::emulator {

// In the order of the words of the scenario files (scenario_parser.cpp) and of the actions
// (fault_injector.cpp).
enum class FaultKind {
    drain,          // announced by discovery and, where `announce`, by the worker; it dies `duration` later
    kill,           // without a word; discovery finds out later
    rejoin,         // killed, and another comes up at its address under its name at once
    silent,         // reads and sends nothing
    slow,           // `size` times
    reject,         // the share `size`, without a reason
    fail_starts,    // the share `size`
    lose_answers,   // the share `size`
    delay_answers,  // by `size` seconds
    duplicate_accepts,  // sends each acceptance twice
    partition,          // nothing arrives at it, or nothing that it sends arrives, or both
    pause,              // nothing in it moves, and then goes on
    limit_rate,         // accepts only `size` a second of `group`, whatever room it has
    other_program,      // another program there keeps `size` cores busy
    reset_connections,
    discovery_freeze,
    discovery_rewind,
    discovery_empty,
    discovery_duplicate,
    placer_kill,  // and started again after `duration`
    placer_stall,
    client_leave,         // closes its connections with all that waits
    client_half_message,  // sends half a message, and nothing more
    client_stop_reading,
    burst,           // `size` times the load
    client_cancel,   // `size` of what waits
    discovery_down,  // nobody listens at the discovery service
    increase_use,    // tasks of `group` use `size` times their usual
};
std::string_view to_string(FaultKind);

struct Fault {
    Nanos at = 0, duration = 0;  // duration 0: nothing to heal
    FaultKind kind{};
    std::vector<std::size_t> workers;
    std::size_t target = 0;  // placer or client
    double size = 1;
    bool announce = true;
    int group = -1;                                  // -1: all
    bool blocks_input = true, blocks_output = true;  // of a partition
};

// What a scenario is held to, beyond the rules.
enum class Metric {
    placed,         // share of the tasks submitted in the time that were placed before their client gave up
    in_time,        // share of those placed within their start objective
    service,        // share of the full service that was wanted in the time
    worst_second,   // the same, of the worst second
    recovery_time,  // seconds from the start of the time until service is at `share` again and stays there
    attempts,       // attempts for each placed task
    rejected,       // share of attempts that workers rejected
    drain_lag,      // seconds from when a placer knows of a drain to its last attempt that arrives there
    overloaded,     // workers that failed while they were warming up
    wrongly_lost,   // tasks called lost that ran on
    never_placed,   // tasks whose client gave up
    busiest,        // share of all attempts that the busiest worker got
};
// As in scenario files and reports.
std::string_view to_string(Metric);

struct Expectation {
    Metric metric{};
    int group = -1;  // -1: all
    Nanos from = 0, to = 0;
    bool at_least = false;  // else at most
    double bound = 0;
    double share = 0;  // of Metric::recovery_time
};

struct LoadProfile {
    int group = 0;
    double per_second = 1;
    int services = 4, batch_size = 1;
    std::vector<double> cores, memory;  // the shapes of tasks; each service has one
    Nanos queue_timeout = 5 * kSecond, min_runtime = 5 * kSecond, max_runtime = 15 * kSecond;
};

struct Scenario {
    std::string name;
    Nanos length = 30 * kSecond;
    std::uint64_t seed = 1;
    std::size_t placers = 1, clients = 1, workers = 1;
    std::vector<std::string> zones;
    int cells_per_zone = 1;
    bool discovery_pushes = true;
    Nanos discovery_delay = 500 * kMillisecond;
    EmulatedWorkerSettings worker;
    RetrySettings retry;
    std::vector<WorkerKind> kinds;
    std::vector<NamedQueueGroup> groups;
    std::vector<LoadProfile> loads;
    std::vector<Fault> faults;
    std::vector<Expectation> expectations;
    double first_placer_share = 0;  // of all requests, those that go to the first placer out of turn
    struct StaleDiscovery {
        Nanos age = 0, lasts = 0;  // age 0: discovery is right from the start
        std::size_t ghosts = 0;    // workers in the list that are no more
        std::size_t missing = 0;   // workers that the list does not name
    } stale_discovery;
    // The simulated network's delays, one way; on sockets they are the machine's own.
    struct NetworkSettings {
        Nanos least = 200 * kMicrosecond, spread = 300 * kMicrosecond, late = 0;
        double late_share = 0;
    } network;
    Nanos drain_grace = kSecond;
    Nanos slack = 50 * kMillisecond;  // the checker's; on a busy machine's sockets more is needed
    std::string placer_tables;        // TOML: what all placers' files have in common
};

}  // namespace whinpost::emulator
