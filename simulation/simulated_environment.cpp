#include "simulation/simulated_environment.h"

#include <stdexcept>

namespace whinpost::simulation {

SimulatedEnvironment::SimulatedEnvironment(SimulatedNetwork& w, std::size_t placers,
                                           std::vector<std::string> zones)
    : world_(w), script_(&w.process("script")), zones_(std::move(zones)), processes_(placers),
      placers_(placers) {}

SimulatedEnvironment::~SimulatedEnvironment() = default;

net::EventLoop& SimulatedEnvironment::worker_loop(const std::string& node, int zone) {
    SimulatedProcess*& p = nodes_[node];
    if (!p || !p->alive()) p = &world_.process(node, zone);
    return *p;
}

// The simulated network knows no addresses but a placer's file does: these are read as IP addresses and stand
// for hosts.
std::string SimulatedEnvironment::placer_address(std::size_t i) {
    return "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7400";
}

void SimulatedEnvironment::start_placer(std::size_t i, const std::string& file) {
    const std::string at = placer_address(i);
    processes_[i] = &world_.process(at.substr(0, at.find(':')), static_cast<int>(i % zones_.size()));
    // The list's address is a host's name here.
    std::string text = file;
    const std::string list = "address = \"" + discovery_address() + "\"";
    text.replace(text.find(list), list.size(), "address = \"10.255.0.1:1\"");
    if (text.find("[log]") == std::string::npos) text += "\n[log]\nlevel = \"off\"\n";
    config::Document document = config::Document::parse(text, "placer-" + std::to_string(i));
    ++incarnations_;
    auto placer = apps::EmbeddedPlacer::make(*processes_[i], document,
                                             {i * 1000 + incarnations_, incarnations_, ledger});
    if (!placer) throw std::runtime_error(to_string(placer.error().at(0)));
    placers_[i] = std::move(*placer);
    placers_[i]->discovery_address = discovery_address();
    if (made) made(i, *placers_[i]);
    if (const auto listening = placers_[i]->start(); !listening)
        throw std::runtime_error(placers_[i]->listen_address + ": " + to_string(listening.error()));
}

void SimulatedEnvironment::kill_placer(std::size_t i) {
    world_.kill(*processes_[i]);
    placers_[i].reset();
}

void SimulatedEnvironment::stall_placer(std::size_t i, bool on) {
    if (on) world_.stall(*processes_[i]);
    else world_.resume(*processes_[i]);
}

void SimulatedEnvironment::on_worker_killed(const std::string& node) {
    if (const auto it = nodes_.find(node); it != nodes_.end()) world_.kill(*it->second);
}

NetworkDelays network_delays(const emulator::Scenario& plan) {
    const emulator::Scenario::NetworkSettings& n = plan.network;
    return {n.least, n.spread, n.late_share, n.late};
}

emulator::RunResult run_to_end(SimulatedNetwork& world, emulator::ScenarioRun& day) {
    emulator::RunResult out;
    bool over = false;
    const std::string wrong = day.start([&](const emulator::RunResult& o) {
        out = o;
        over = true;
    });
    if (!wrong.empty()) throw std::runtime_error(wrong);
    for (int second = 0; !over && second < 24 * 3600; ++second) world.run_until(world.now() + kSecond);
    if (!over) throw std::runtime_error("the day does not end");
    return out;
}

}  // namespace whinpost::simulation
