// A scripted day in virtual time: every node and placer a process of its own on the simulated network.
#pragma once
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
    SimulatedEnvironment(SimulatedNetwork&, std::size_t placers, std::vector<std::string> zones);
    ~SimulatedEnvironment() override;
    net::EventLoop& loop() override { return *script_; }
    net::EventLoop& worker_loop(const std::string& node, int zone) override;
    std::string worker_address(const std::string& node) override { return node + ":1"; }
    std::string discovery_address() override { return "script:1"; }
    std::string placer_address(std::size_t i) override;
    void start_placer(std::size_t, const std::string& file) override;
    void kill_placer(std::size_t) override;
    void stall_placer(std::size_t, bool) override;
    void on_worker_killed(const std::string&) override;
    std::string dead_address(std::size_t i) override { return "nowhere-" + std::to_string(i) + ":1"; }
    bool cut(const std::string& node, bool in, bool out) override {
        world_.cut_host(node, in, out);
        return true;
    }

    apps::EmbeddedPlacer* placer(std::size_t i) { return placers_[i].get(); }
    SimulatedProcess& placer_process(std::size_t i) { return *processes_[i]; }
    // To change a placer before it starts: a test's own planner or ledger.
    std::function<void(std::size_t, apps::EmbeddedPlacer&)> made;
    apps::LedgerFactory ledger;

private:
    SimulatedNetwork& world_;
    SimulatedProcess* script_;
    std::vector<std::string> zones_;
    std::vector<SimulatedProcess*> processes_;
    std::vector<std::unique_ptr<apps::EmbeddedPlacer>> placers_;
    std::map<std::string, SimulatedProcess*> nodes_;
    std::uint64_t incarnations_ = 0;
};

// Of the network that the plan asks for.
NetworkDelays network_delays(const emulator::Scenario&);

// Plays a whole day; gives back its outcome. `steps` at most, to end what would not.
emulator::RunResult run_to_end(SimulatedNetwork&, emulator::ScenarioRun&);

}  // namespace whinpost::simulation
