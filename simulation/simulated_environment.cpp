#include "simulation/simulated_environment.h"

#include <stdexcept>
#include <utility>

namespace whinpost::simulation {

namespace {

constexpr std::size_t kPlacersPerSubnet = 250;
// The discovery service's address in the placers' configuration files, which accept IP addresses only.
constexpr const char* kDiscoveryIpAddress = "10.255.0.1:1";
constexpr int kLongestRun = 24 * 3600;  // seconds

std::string placer_file(const std::string& configuration, const std::string& discovery_address) {
    std::string text = configuration;
    const std::string address = "address = \"" + discovery_address + "\"";
    text.replace(text.find(address), address.size(),
                 std::string("address = \"") + kDiscoveryIpAddress + "\"");
    if (text.find("[log]") == std::string::npos) text += "\n[log]\nlevel = \"off\"\n";
    return text;
}

}  // namespace

SimulatedEnvironment::SimulatedEnvironment(SimulatedNetwork& network, std::size_t placers,
                                           std::vector<std::string> zones)
    : network_(network), scenario_process_(&network.add_process("script")), zones_(std::move(zones)),
      placer_processes_(placers), placers_(placers) {}

SimulatedEnvironment::~SimulatedEnvironment() = default;

net::EventLoop& SimulatedEnvironment::worker_loop(const std::string& worker, int zone) {
    SimulatedProcess*& process = worker_processes_[worker];
    if (!process || !process->alive()) process = &network_.add_process(worker, zone);
    return *process;
}

// The simulated network accepts any text as a host, but a placer's configuration file accepts IP addresses
// only.
std::string SimulatedEnvironment::placer_address(std::size_t placer) {
    return "10.0." + std::to_string(placer / kPlacersPerSubnet) + "." +
           std::to_string(placer % kPlacersPerSubnet + 1) + ":7400";
}

void SimulatedEnvironment::start_placer(std::size_t number, const std::string& configuration) {
    const std::string address = placer_address(number);
    const std::string host = address.substr(0, address.find(':'));
    placer_processes_[number] = &network_.add_process(host, static_cast<int>(number % zones_.size()));
    config::Document document = config::Document::parse(placer_file(configuration, discovery_address()),
                                                        "placer-" + std::to_string(number));
    ++incarnations_;
    auto created = apps::EmbeddedPlacer::make(*placer_processes_[number], document,
                                              {number * 1000 + incarnations_, incarnations_, make_ledger});
    if (!created) throw std::runtime_error(to_string(created.error().at(0)));
    placers_[number] = std::move(*created);
    apps::EmbeddedPlacer& placer = *placers_[number];
    placer.discovery_address = discovery_address();
    if (on_placer_made) on_placer_made(number, placer);
    if (const auto listening = placer.start(); !listening)
        throw std::runtime_error(placer.listen_address + ": " + to_string(listening.error()));
}

void SimulatedEnvironment::kill_placer(std::size_t placer) {
    network_.kill(*placer_processes_[placer]);
    placers_[placer].reset();
}

void SimulatedEnvironment::stall_placer(std::size_t placer, bool stalled) {
    if (stalled) network_.stall(*placer_processes_[placer]);
    else network_.resume(*placer_processes_[placer]);
}

void SimulatedEnvironment::on_worker_killed(const std::string& worker) {
    const auto it = worker_processes_.find(worker);
    if (it != worker_processes_.end()) network_.kill(*it->second);
}

bool SimulatedEnvironment::cut(const std::string& worker, bool input, bool output) {
    network_.cut_host(worker, input, output);
    return true;
}

NetworkDelays network_delays(const emulator::Scenario& scenario) {
    const emulator::Scenario::NetworkSettings& network = scenario.network;
    return {network.min_delay, network.spread, network.late_share, network.late};
}

emulator::RunResult run_to_end(SimulatedNetwork& network, emulator::ScenarioRun& run) {
    emulator::RunResult result;
    bool done = false;
    const auto started = run.start([&](const emulator::RunResult& outcome) {
        result = outcome;
        done = true;
    });
    if (!started) throw std::runtime_error(to_string(started.error()));
    for (int second = 0; !done && second < kLongestRun; ++second) network.run_until(network.now() + kSecond);
    if (!done) throw std::runtime_error("the scenario has not ended after 24 hours of virtual time");
    return result;
}

}  // namespace whinpost::simulation
