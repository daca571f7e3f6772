// A scenario: a fleet of workers, the clients and their load, timed faults, and expectations on the result.
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

// The tables kFaults (scenario_parser.cpp) and ActionTable (fault_injector.cpp) have the same order. `size`,
// `duration`, `announce` and `group` are the fields of Fault.
enum class FaultKind {
    drain,        // reported by discovery and, if `announce`, by the worker, which is killed after `duration`
    kill,         // unannounced; discovery removes the worker later
    rejoin,       // killed and soon restarted with the same name and address
    silent,       // worker reads and sends nothing
    slow,         // worker is `size` times slower
    reject,       // rejects the share `size` of attempts, without a reason
    fail_starts,  // answers the share `size` of attempts with an error
    lose_answers,       // accepts the share `size` of attempts without answering
    delay_answers,      // sends answers `size` seconds late
    duplicate_accepts,  // sends each acceptance twice
    partition,          // messages to the worker, from it, or both are held back
    pause,              // the worker stops, and later continues
    limit_rate,         // accepts at most `size` attempts of `group` per second
    other_program,      // another program on the worker uses `size` cores
    reset_connections,
    discovery_freeze,
    discovery_rewind,
    discovery_empty,
    discovery_duplicate,
    placer_kill,  // restarted after `duration`, if not 0
    placer_stall,
    client_leave,         // closes all its connections and never reconnects
    client_half_message,  // sends part of a message and never the rest
    client_stop_reading,
    burst,           // multiplies the load by `size`
    client_cancel,   // cancels up to `size` requests that are not placed yet
    discovery_down,  // closes the discovery service's listener and connections
    increase_use,    // tasks of `group` use `size` times their usual resources
};
std::string_view to_string(FaultKind);

struct Fault {
    Nanos at = 0, duration = 0;  // `at` since the start of the run; duration 0: heal() is not called
    FaultKind kind{};
    std::vector<std::size_t> workers;
    std::size_t target = 0;  // index of the placer or client
    double size = 1;
    bool announce = true;
    int group = -1;                                  // -1: all queue groups
    bool blocks_input = true, blocks_output = true;  // of a partition, as seen by the worker
};

// Quantities that an expectation can bound. "Interval": from Expectation::from to Expectation::to.
enum class Metric {
    placed,   // share of the tasks submitted in the interval that were placed before their client gave up
    in_time,  // share of those placed within their start objective
    service,  // delivered share of the service that was wanted in the interval
    worst_second,   // the lowest such share of any second in the interval
    recovery_time,  // seconds from the interval's start until service is back at `share` and stays there
    attempts,       // attempts for each placed task
    rejected,       // share of attempts that workers rejected
    drain_lag,      // seconds from when a placer knows of a drain until its last attempt arrives there
    overloaded,     // workers that failed during their warm-up
    wrongly_lost,   // tasks reported as lost that were still running
    never_placed,   // tasks whose client gave up before they were placed
    busiest,        // share of all attempts that went to the busiest worker
};
// The name used in scenario files and reports.
std::string_view to_string(Metric);

struct Expectation {
    Metric metric{};
    int group = -1;  // -1: all queue groups
    Nanos from = 0, to = 0;
    bool at_least = false;  // else at most
    double bound = 0;
    double share = 0;  // only for Metric::recovery_time
};

struct LoadProfile {
    int group = 0;
    double per_second = 1;
    int services = 4, batch_size = 1;
    std::vector<double> cores, memory;  // possible task sizes; each service uses one of them
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
    double first_placer_share = 0;  // of requests; the rest is distributed round-robin
    struct StaleDiscovery {
        Nanos age = 0, lasts = 0;  // age 0: discovery is correct from the start
        std::size_t ghosts = 0;    // listed workers that no longer exist
        std::size_t missing = 0;   // existing workers that are not listed
    } stale_discovery;
    // One-way delays of the simulated network. `late` is the upper bound of an extra delay for `late_share`.
    struct NetworkSettings {
        Nanos min_delay = 200 * kMicrosecond, spread = 300 * kMicrosecond, late = 0;
        double late_share = 0;
    } network;
    Nanos drain_grace = kSecond;
    Nanos slack = 50 * kMillisecond;  // RuleSettings::slack; on sockets of a busy machine more is needed
    std::string placer_tables;        // TOML: the part shared by all placers' configuration files
};

}  // namespace whinpost::emulator
