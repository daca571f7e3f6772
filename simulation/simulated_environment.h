// Runs a scenario in virtual time: each worker and each placer is a separate process on the simulated
// network.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "embedded_placer.h"
#include "emulator/scenario_run.h"
#include "simulation/simulated_network.h"

namespace whinpost::simulation {

class SimulatedEnvironment final : public emulator::TestEnvironment {
public:
    // The network must outlive the environment.
    SimulatedEnvironment(SimulatedNetwork&, std::size_t placers, std::vector<std::string> zones);
    ~SimulatedEnvironment() override;

    net::EventLoop& loop() override { return *scenario_process_; }
    net::EventLoop& worker_loop(const std::string& worker, int zone) override;
    std::string worker_address(const std::string& worker) override { return worker + ":1"; }
    std::string discovery_address() override { return "script:1"; }
    std::string dead_address(std::size_t number) override {
        return "nowhere-" + std::to_string(number) + ":1";
    }
    std::string placer_address(std::size_t placer) override;
    void start_placer(std::size_t placer, const std::string& configuration) override;
    void kill_placer(std::size_t placer) override;
    void stall_placer(std::size_t placer, bool stalled) override;
    void on_worker_killed(const std::string& worker) override;
    bool cut(const std::string& worker, bool input, bool output) override;

    // For tests: called with each placer before it starts, for example to replace its planner.
    std::function<void(std::size_t, apps::EmbeddedPlacer&)> on_placer_made;
    // For tests: replaces the factory of the placers' ledgers.
    apps::LedgerFactory make_ledger;

private:
    SimulatedNetwork& network_;
    SimulatedProcess* scenario_process_;
    std::vector<std::string> zones_;
    std::vector<SimulatedProcess*> placer_processes_;
    std::vector<std::unique_ptr<apps::EmbeddedPlacer>> placers_;
    std::map<std::string, SimulatedProcess*> worker_processes_;
    std::uint64_t incarnations_ = 0;
};

// The network delays that the scenario's [network] table sets.
NetworkDelays network_delays(const emulator::Scenario&);

// Runs a scenario to its end. Throws std::runtime_error if it can't start or has not ended after 24 hours of
// virtual time.
emulator::RunResult run_to_end(SimulatedNetwork&, emulator::ScenarioRun&);

}  // namespace whinpost::simulation
