// Runs a scenario against real placers. The TestEnvironment decides whether they are child processes on
// sockets or objects in virtual time.
#pragma once
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "emulator/discovery_service.h"
#include "emulator/emulated_client.h"
#include "emulator/fault_injector.h"
#include "emulator/invariant_checker.h"
#include "emulator/scenario.h"
#include "emulator/test_environment.h"
#include "emulator/worker_pool.h"

namespace whinpost::emulator {

// A sample taken each second, by queue group: tasks wanted and running, and the sum of their service shares.
struct ServiceSample {
    Nanos at = 0;  // since the start of the run
    std::vector<double> wanted, running, served;
};

struct RunResult {
    Verdict verdict;
    std::vector<QueueGroupCounts> counts;  // by queue group
    std::size_t pending = 0;               // tasks that were still waiting for a placement at the end
};

class ScenarioRun {
public:
    using ProgressHandler = std::function<void(const std::string& line)>;
    using DoneHandler = std::function<void(const RunResult&)>;

    // The environment must outlive the run.
    ScenarioRun(const Scenario&, TestEnvironment&, ProgressHandler);
    ~ScenarioRun();
    ScenarioRun(const ScenarioRun&) = delete;
    ScenarioRun& operator=(const ScenarioRun&) = delete;

    // `done` is called once, on the environment's loop, when the run has ended.
    [[nodiscard]] tl::expected<void, StartError> start(DoneHandler done);

    const Scenario& scenario() const { return scenario_; }
    const EventLog& events() const { return events_; }
    Nanos started_at() const { return started_at_; }
    const std::vector<ServiceSample>& samples() const { return samples_; }
    const std::vector<WorkerLocation>& locations() const { return workers_->locations(); }
    // Formats the counts as a text table.
    std::string table(const RunResult&) const;

private:
    void begin_stale_discovery();
    void start_placers_and_clients();
    void await_connections(Nanos deadline);
    void begin();
    void on_arrival(std::size_t load);
    void submit_batch(const LoadProfile&);
    Nanos draw_gap(const LoadProfile&);
    std::size_t draw_index(std::size_t count) { return static_cast<std::size_t>(random_()) % count; }
    EmulatedClient& draw_client();
    void inject(const Fault&);
    void publish_workers();
    void report_progress();
    void sample();
    void finish();
    std::size_t waiting() const;
    std::vector<QueueGroupCounts> total_counts() const;
    void schedule(Nanos at, std::function<void()>);

    Scenario scenario_;
    TestEnvironment& environment_;
    ProgressHandler progress_;
    DoneHandler done_;
    EventLog events_;
    std::unique_ptr<EmulatedFleet> fleet_;
    std::unique_ptr<DiscoveryService> discovery_;
    std::unique_ptr<WorkerPool> workers_;
    std::vector<std::unique_ptr<EmulatedClient>> clients_;
    std::unique_ptr<FaultInjector> injector_;
    std::vector<std::unique_ptr<ScheduledCall>> scheduled_;
    std::ranlux24_base random_;  // for the load only
    std::vector<ServiceSample> samples_;
    Nanos started_at_ = 0;
    std::uint64_t next_task_ = 1;
    bool finished_ = false;
};

}  // namespace whinpost::emulator
