// A scripted day: a fleet, owners with their load, and faults at their times, read from TOML and played
// through real placers. Where they run (child processes on sockets, or objects in virtual time) is the
// ground's to say.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "config/document.h"
#include "emulator/discovery_service.h"
#include "emulator/emulated_client.h"
#include "emulator/emulated_worker.h"
#include "emulator/invariant_checker.h"

namespace whinpost::emulator {

enum class FaultKind {
    drain,         // told by the list and, where `tell`, by the node; it dies `for_s` later
    kill,          // without a word; the list finds out later
    rejoin,        // killed, and another stands at its address under its name at once
    silent,        // reads nothing and says nothing
    slow,          // `size` times
    refuse,        // the share `size`, without a reason
    fail_starts,   // the share `size`
    lose_answers,  // the share `size`
    late_yes,      // by `size` seconds
    twice,         // says each yes twice
    cut,           // nothing arrives at it, or nothing that it sends arrives, or both: by `way`
    pause,         // nothing in it moves, and then goes on
    rate,          // takes only `size` a second of `group`, whatever room it has
    other,         // another program there keeps `size` cores busy
    reset,         // all its connections break off
    list_still,
    list_backwards,
    list_none,
    list_twice,
    placer_kill,  // and started again after `for_s`
    placer_stall,
    owner_leave,  // closes its connection with all that waits
    owner_half,   // sends half a message, and nothing more
    owner_deaf,   // reads nothing
    burst,        // `size` times the load
    withdraw,     // the owner takes back `size` of what waits
    list_down,    // nobody listens at the list service
    swell,        // containers of `group` use `size` times their usual
};

struct Fault {
    Nanos at = 0, duration = 0;
    FaultKind kind{};
    std::vector<std::size_t> nodes;
    std::size_t target = 0;  // placer or owner
    double size = 1;
    bool announce = true;
    int group = -1;              // -1: all
    bool in = true, out = true;  // of a cut
};

// What a scenario is held to, beyond the rules.
enum class Metric {
    placed,        // share of those asked for in the time that were placed before their owner gave up
    in_time,       // share of those placed within their start target
    service,       // share of the full service that was wanted in the time
    worst_second,  // the same, of the worst second
    back,          // seconds from the start of the time until service is at `share` again and stays there
    launches,      // launches a placed container
    refused,       // share of launches that nodes turned away
    drain_lag,     // seconds from a placer's hearing of a drain to the last launch of its that arrives there
    fallen,        // nodes pushed over while cold
    wrongly_lost,  // containers called lost that ran on
    never,         // containers whose owner gave up
    busiest,       // share of all launches that the busiest node got
};
std::string_view to_string(Metric);

struct Expectation {
    Metric metric{};
    int group = -1;  // -1: all
    Nanos from = 0, to = 0;
    bool at_least = false;
    double bound = 0, share = 0;
};

struct LoadProfile {
    int group = 0;
    double per_second = 1;
    int services = 4, batch_size = 1;
    std::vector<double> cores, memory;
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
    double first_placer_share = 0;  // share of all asks that goes to the first placer
    struct StaleDiscovery {
        Nanos age = 0, lasts = 0;
        std::size_t ghosts = 0, missing = 0;  // names that are no more; nodes that it does not know
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

// Numbers that replace the script's own, where they are not 0.
struct ScenarioOverrides {
    std::size_t placers = 0, workers = 0;
};
// Checks the script whole. `name`: the file's, in errors.
[[nodiscard]] tl::expected<Scenario, config::ConfigErrors> parse_scenario(const std::string& text,
                                                                          const std::string& name,
                                                                          const ScenarioOverrides& = {});
// A whole placer's file.
std::string placer_configuration(const Scenario&, std::size_t placer, const std::string& listen,
                                 const std::string& list);

// Where the day is played.
class TestEnvironment {
public:
    virtual ~TestEnvironment() = default;
    virtual net::EventLoop& loop() = 0;  // of list service, owners, and the script
    virtual net::EventLoop& worker_loop(const std::string& node, int zone) = 0;
    virtual std::string worker_address(const std::string& node) = 0;  // to listen on
    virtual std::string discovery_address() = 0;
    virtual std::string dead_address(std::size_t) = 0;  // an address at which nobody listens
    virtual std::string placer_address(std::size_t) = 0;
    virtual void start_placer(std::size_t, const std::string& file) = 0;
    virtual void kill_placer(std::size_t) = 0;
    virtual void stall_placer(std::size_t, bool) = 0;
    virtual void on_worker_killed(const std::string&) {}
    // False where this ground has no network to cut: the node then plays deaf and mute.
    virtual bool cut(const std::string& node, bool in, bool out) {
        (void)node, (void)in, (void)out;
        return false;
    }
};

// One second of the day, by queue group.
struct ServiceSample {
    Nanos at = 0;  // since its begin
    std::vector<double> wanted, running, served;
};

struct RunResult {
    Verdict verdict;
    std::vector<QueueGroupCounts> counts;
    std::size_t pending = 0;
};

class ScenarioRun {
public:
    ScenarioRun(const Scenario&, TestEnvironment&, std::function<void(const std::string&)> progress);
    ~ScenarioRun();
    // Empty, or what could not be started. `done` is called when the day is over.
    std::string start(std::function<void(const RunResult&)> done);
    const EventLog& events() const { return events_; }
    Nanos started_at() const { return started_at_; }
    const Scenario& scenario() const { return scenario_; }
    const std::vector<ServiceSample>& samples() const { return samples_; }
    const std::vector<WorkerLocation>& locations() const { return locations_; }
    EmulatedFleet& fleet() { return *fleet_; }
    EmulatedWorker* worker(std::size_t i) { return workers_[i].get(); }
    EmulatedClient& client(std::size_t i) { return *clients_[i]; }
    DiscoveryService& discovery() { return *discovery_; }
    std::string table(const RunResult&) const;

private:
    void await_connections(Nanos give_up);
    void begin();
    void on_arrival(std::size_t load);
    void inject(const Fault&);
    void heal(const Fault&);
    void publish(std::size_t node);
    void publish_all();
    void tell_progress();
    void sample();
    void finish();
    std::string start_worker(std::size_t node, const std::string& name, const std::string& address,
                             Nanos started);
    void schedule(Nanos at, std::function<void()>);
    void mark_fault(std::size_t node, bool on);

    Scenario scenario_;
    TestEnvironment& environment_;
    std::function<void(const std::string&)> progress_;
    std::function<void(const RunResult&)> done_;
    EventLog events_;
    std::unique_ptr<EmulatedFleet> fleet_;
    std::unique_ptr<DiscoveryService> discovery_;
    struct WorkerSlot {
        std::string name, address;
        int zone, cell, kind;
        Nanos started;
        int troubles = 0;
    };
    std::vector<WorkerSlot> slots_;
    std::vector<WorkerLocation> locations_;
    std::vector<std::unique_ptr<EmulatedWorker>> workers_, dead_workers_;
    std::vector<std::unique_ptr<EmulatedClient>> clients_;
    std::vector<std::unique_ptr<ScheduledCall>> scheduled_;
    std::ranlux24_base random_;
    std::vector<ServiceSample> samples_;
    Nanos started_at_ = 0;
    double burst_ = 1;
    std::uint64_t next_task_ = 1, next_incarnation_ = 1, next_worker_ = 0;
    bool finished_ = false;
};

}  // namespace whinpost::emulator
