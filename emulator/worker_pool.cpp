#include "emulator/worker_pool.h"

#include <utility>

namespace whinpost::emulator {

std::string to_string(const StartError& error) {
    return error.component + " cannot listen" + (error.address.empty() ? "" : " on " + error.address) + ": " +
           to_string(error.error);
}

WorkerPool::WorkerPool(const Scenario& scenario, TestEnvironment& environment, EmulatedFleet& fleet,
                       DiscoveryService& discovery)
    : scenario_(scenario), environment_(environment), fleet_(fleet), discovery_(discovery) {}

tl::expected<void, StartError> WorkerPool::start_all() {
    const int zones = static_cast<int>(scenario_.zones.size());
    const int cells = scenario_.cells_per_zone;
    for (std::size_t i = 0; i < scenario_.workers; ++i) {
        Slot& slot = slots_.emplace_back();
        slot.zone = static_cast<int>(i) % zones;
        slot.cell = slot.zone * cells + static_cast<int>(i) / zones % cells;
        slot.kind = static_cast<int>(i % scenario_.kinds.size());
        const std::string name = next_name();
        if (auto started = start(slot, name, environment_.worker_address(name), 0); !started) return started;
        publish(i);
    }
    return {};
}

tl::expected<void, StartError> WorkerPool::start(Slot& slot, const std::string& name,
                                                 const std::string& address, Nanos started) {
    EmulatedWorkerSettings settings = scenario_.worker;
    settings.cores = scenario_.kinds[static_cast<std::size_t>(slot.kind)].cores;
    settings.memory = scenario_.kinds[static_cast<std::size_t>(slot.kind)].memory;
    settings.kind = slot.kind;
    slot.worker = std::make_unique<EmulatedWorker>(
        fleet_, environment_.worker_loop(name, slot.zone),
        WorkerIdentity{name, slot.zone, slot.cell, next_incarnation_++}, settings, started);
    if (const auto listening = slot.worker->listen(address); !listening)
        return tl::unexpected(StartError{name, address, listening.error()});
    slot.name = name;
    slot.address = slot.worker->address();
    slot.started = started;
    locations_.push_back({name, slot.zone, slot.cell});
    return {};
}

void WorkerPool::publish(std::size_t number) {
    const Slot& slot = slots_[number];
    if (!slot.worker) return;
    v1::Endpoint endpoint;
    endpoint.set_worker(slot.name);
    endpoint.set_address(slot.address);
    endpoint.set_zone(static_cast<std::uint32_t>(slot.zone));
    endpoint.set_cell(static_cast<std::uint32_t>(slot.cell));
    endpoint.set_kind(static_cast<std::uint32_t>(slot.kind));
    endpoint.set_free_cores(slot.worker->free_cores());
    endpoint.set_free_memory(slot.worker->free_memory());
    endpoint.set_phase(slot.worker->draining() ? v1::Endpoint::DRAINING : v1::Endpoint::SERVING);
    discovery_.publish(endpoint, slot.started);
}

void WorkerPool::publish_all() {
    for (std::size_t i = 0; i < slots_.size(); ++i) publish(i);
}

void WorkerPool::kill(std::size_t number) {
    Slot& slot = slots_[number];
    RecordedEvent event;
    event.at = fleet_.now();
    event.kind = EventKind::fault_began;
    event.worker = slot.worker->name();
    event.text = kWorkerDead;
    fleet_.events().add(std::move(event));
    environment_.on_worker_killed(slot.worker->name());
    slot.worker.reset();
}

void WorkerPool::replace(std::size_t number) {
    const std::string name = next_name();
    // If the worker cannot listen, placers cannot connect to it; the scenario continues without it.
    static_cast<void>(start(slots_[number], name, environment_.worker_address(name), fleet_.now()));
    publish(number);
}

void WorkerPool::restart(std::size_t number, const std::string& name, const std::string& address) {
    static_cast<void>(start(slots_[number], name, address, fleet_.now()));
    RecordedEvent event;
    event.at = fleet_.now();
    event.kind = EventKind::fault_ended;
    event.worker = name;
    fleet_.events().add(std::move(event));
    publish(number);
}

void WorkerPool::begin_fault(std::size_t number) {
    Slot& slot = slots_[number];
    if (slot.faults++ == 0 && slot.worker) slot.worker->record_fault(true);
}

void WorkerPool::end_fault(std::size_t number) {
    Slot& slot = slots_[number];
    if (--slot.faults == 0 && slot.worker) slot.worker->record_fault(false);
}

}  // namespace whinpost::emulator
