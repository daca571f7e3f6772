#include "emulator/fault_injector.h"

#include <array>
#include <string>
#include <tuple>
#include <utility>

#include "emulator/scenario_parser.h"

namespace whinpost::emulator {

namespace {

constexpr Nanos kRejoinDelay = 300 * kMillisecond;
// Added to the discovery delay until a killed worker is removed from the list.
constexpr Nanos kKillDetectionDelay = kSecond;
constexpr double kDuplicateFreeCores = 1e6;

}  // namespace

// A fault kind either changes ActiveFaults of the workers (`set`, `clear`) or calls the injector (`inject`,
// `heal`).
struct FaultInjector::Actions {
    FaultKind kind;
    void (*set)(ActiveFaults&, const Fault&) = nullptr;
    void (*clear)(ActiveFaults&) = nullptr;
    void (FaultInjector::*inject)(const Fault&) = nullptr;
    void (FaultInjector::*heal)(const Fault&) = nullptr;  // null: nothing to undo
};

struct FaultInjector::ActionTable {
    using Injector = FaultInjector;
    // In the order of FaultKind.
    inline static const std::array<Actions, 28> entries{{
        {.kind = FaultKind::drain, .inject = &Injector::drain, .heal = &Injector::replace_drained},
        {.kind = FaultKind::kill, .inject = &Injector::kill},
        {.kind = FaultKind::rejoin, .inject = &Injector::rejoin},
        {.kind = FaultKind::silent,
         .set = [](ActiveFaults& faults, const Fault&) { faults.silent = true; },
         .clear = [](ActiveFaults& faults) { faults.silent = false; }},
        {.kind = FaultKind::slow,
         .set = [](ActiveFaults& faults, const Fault& fault) { faults.slowdown = fault.size; },
         .clear = [](ActiveFaults& faults) { faults.slowdown = 1; }},
        {.kind = FaultKind::reject,
         .set = [](ActiveFaults& faults, const Fault& fault) { faults.rejected_share = fault.size; },
         .clear = [](ActiveFaults& faults) { faults.rejected_share = 0; }},
        {.kind = FaultKind::fail_starts,
         .set = [](ActiveFaults& faults, const Fault& fault) { faults.failed_start_share = fault.size; },
         .clear = [](ActiveFaults& faults) { faults.failed_start_share = 0; }},
        {.kind = FaultKind::lose_answers,
         .set = [](ActiveFaults& faults, const Fault& fault) { faults.lost_answer_share = fault.size; },
         .clear = [](ActiveFaults& faults) { faults.lost_answer_share = 0; }},
        {.kind = FaultKind::delay_answers,
         .set = [](ActiveFaults& faults,
                   const Fault& fault) { faults.answer_delay = static_cast<Nanos>(fault.size * 1e9); },
         .clear = [](ActiveFaults& faults) { faults.answer_delay = 0; }},
        {.kind = FaultKind::duplicate_accepts,
         .set = [](ActiveFaults& faults, const Fault&) { faults.duplicate_accepts = true; },
         .clear = [](ActiveFaults& faults) { faults.duplicate_accepts = false; }},
        {.kind = FaultKind::partition, .inject = &Injector::partition, .heal = &Injector::end_partition},
        {.kind = FaultKind::pause,
         .set = [](ActiveFaults& faults, const Fault&) { faults.paused = true; },
         .clear = [](ActiveFaults& faults) { faults.paused = false; }},
        {.kind = FaultKind::limit_rate,
         .set =
             [](ActiveFaults& faults, const Fault& fault) {
                 faults.limited_group = fault.group;
                 faults.accepted_per_second = fault.size;
             },
         .clear = [](ActiveFaults& faults) { faults.limited_group = -1; }},
        {.kind = FaultKind::other_program,
         .set = [](ActiveFaults& faults, const Fault& fault) { faults.other_cores = fault.size; },
         .clear = [](ActiveFaults& faults) { faults.other_cores = 0; }},
        {.kind = FaultKind::reset_connections, .inject = &Injector::reset_connections},
        {.kind = FaultKind::discovery_freeze,
         .inject = &Injector::freeze_discovery,
         .heal = &Injector::unfreeze_discovery},
        {.kind = FaultKind::discovery_rewind, .inject = &Injector::rewind_discovery},
        {.kind = FaultKind::discovery_empty, .inject = &Injector::empty_discovery},
        {.kind = FaultKind::discovery_duplicate, .inject = &Injector::duplicate_discovery},
        {.kind = FaultKind::placer_kill, .inject = &Injector::kill_placer, .heal = &Injector::restart_placer},
        {.kind = FaultKind::placer_stall,
         .inject = &Injector::stall_placer,
         .heal = &Injector::resume_placer},
        {.kind = FaultKind::client_leave, .inject = &Injector::leave},
        {.kind = FaultKind::client_half_message, .inject = &Injector::send_half_message},
        {.kind = FaultKind::client_stop_reading,
         .inject = &Injector::stop_reading,
         .heal = &Injector::resume_reading},
        {.kind = FaultKind::burst, .inject = &Injector::begin_burst, .heal = &Injector::end_burst},
        {.kind = FaultKind::client_cancel, .inject = &Injector::cancel_tasks},
        {.kind = FaultKind::discovery_down,
         .inject = &Injector::stop_discovery,
         .heal = &Injector::restart_discovery},
        {.kind = FaultKind::increase_use, .inject = &Injector::increase_use, .heal = &Injector::restore_use},
    }};
};

const FaultInjector::Actions& FaultInjector::actions_of(FaultKind kind) {
    static_assert(std::tuple_size_v<decltype(ActionTable::entries)> ==
                  static_cast<std::size_t>(FaultKind::increase_use) + 1);
    return ActionTable::entries[static_cast<std::size_t>(kind)];
}

template <class Function>
void FaultInjector::for_each_worker(const Fault& fault, Function function) {
    for (const std::size_t slot : fault.workers)
        if (targets_.workers.worker(slot)) function(slot);
}

void FaultInjector::inject(const Fault& fault) {
    const Actions& actions = actions_of(fault.kind);
    if (actions.inject) return (this->*actions.inject)(fault);
    for_each_worker(fault, [&](std::size_t slot) {
        ActiveFaults faults = targets_.workers.worker(slot)->faults();
        actions.set(faults, fault);
        targets_.workers.begin_fault(slot);
        targets_.workers.worker(slot)->set_faults(faults);
    });
}

void FaultInjector::heal(const Fault& fault) {
    const Actions& actions = actions_of(fault.kind);
    if (actions.heal) return (this->*actions.heal)(fault);
    if (!actions.clear) return;
    for_each_worker(fault, [&](std::size_t slot) {
        ActiveFaults faults = targets_.workers.worker(slot)->faults();
        actions.clear(faults);
        targets_.workers.worker(slot)->set_faults(faults);
        targets_.workers.end_fault(slot);
    });
}

void FaultInjector::record(EventKind kind, std::size_t placer) {
    RecordedEvent event;
    event.at = targets_.fleet.now();
    event.kind = kind;
    event.placer = "placer-" + std::to_string(placer);
    targets_.fleet.events().add(std::move(event));
}

// ---------------------------------------------------------------- workers

void FaultInjector::drain(const Fault& fault) {
    for_each_worker(fault, [&](std::size_t slot) {
        targets_.workers.worker(slot)->drain(fault.announce);
        targets_.workers.publish(slot);
    });
}

// Kills the drained worker and starts a new one, which has to warm up, in its slot.
void FaultInjector::replace_drained(const Fault& fault) {
    for_each_worker(fault, [&](std::size_t slot) {
        targets_.workers.worker(slot)->evict_all();
        targets_.discovery.remove(targets_.workers.name(slot));
        targets_.workers.kill(slot);
        targets_.workers.replace(slot);
    });
}

void FaultInjector::kill(const Fault& fault) {
    for_each_worker(fault, [&](std::size_t slot) {
        const std::string name = targets_.workers.name(slot);
        targets_.workers.kill(slot);
        targets_.schedule(targets_.fleet.now() + targets_.scenario.discovery_delay + kKillDetectionDelay,
                          [this, name] { targets_.discovery.remove(name); });
    });
}

void FaultInjector::rejoin(const Fault& fault) {
    for_each_worker(fault, [&](std::size_t slot) {
        const std::string name = targets_.workers.name(slot);
        const std::string address = targets_.workers.address(slot);
        targets_.workers.kill(slot);
        targets_.schedule(targets_.fleet.now() + kRejoinDelay,
                          [this, slot, name, address] { targets_.workers.restart(slot, name, address); });
    });
}

void FaultInjector::partition(const Fault& fault) {
    for_each_worker(fault, [&](std::size_t slot) {
        targets_.workers.begin_fault(slot);
        EmulatedWorker& worker = *targets_.workers.worker(slot);
        if (targets_.environment.cut(worker.name(), fault.blocks_input, fault.blocks_output)) return;
        ActiveFaults faults = worker.faults();
        faults.input_blocked = fault.blocks_input;
        faults.output_blocked = fault.blocks_output;
        worker.set_faults(faults);
    });
}

void FaultInjector::end_partition(const Fault& fault) {
    for_each_worker(fault, [&](std::size_t slot) {
        EmulatedWorker& worker = *targets_.workers.worker(slot);
        if (!targets_.environment.cut(worker.name(), false, false)) {
            ActiveFaults faults = worker.faults();
            faults.input_blocked = faults.output_blocked = false;
            worker.set_faults(faults);
        }
        targets_.workers.end_fault(slot);
    });
}

void FaultInjector::reset_connections(const Fault& fault) {
    for_each_worker(fault, [&](std::size_t slot) {
        targets_.workers.begin_fault(slot);
        targets_.workers.worker(slot)->drop_connections();
        targets_.workers.end_fault(slot);
    });
}

// ---------------------------------------------------------------- discovery

void FaultInjector::freeze_discovery(const Fault&) { targets_.discovery.set_frozen(true); }
void FaultInjector::unfreeze_discovery(const Fault&) { targets_.discovery.set_frozen(false); }
void FaultInjector::rewind_discovery(const Fault&) { targets_.discovery.replay_old_snapshot(); }
// The list is complete again after the next periodic publication, which names all workers.
void FaultInjector::empty_discovery(const Fault&) { targets_.discovery.send_empty_snapshot(); }
void FaultInjector::stop_discovery(const Fault&) { targets_.discovery.set_down(true); }
void FaultInjector::restart_discovery(const Fault&) { targets_.discovery.set_down(false); }

void FaultInjector::duplicate_discovery(const Fault& fault) {
    for_each_worker(fault, [&](std::size_t slot) {
        v1::Endpoint other;
        other.set_worker(targets_.workers.name(slot));
        other.set_address(targets_.workers.address(slot));
        other.set_phase(v1::Endpoint::SERVING);
        other.set_free_cores(kDuplicateFreeCores);
        targets_.discovery.send_duplicate(targets_.workers.name(slot), other);
    });
}

// ---------------------------------------------------------------- placers

void FaultInjector::kill_placer(const Fault& fault) {
    record(EventKind::placer_killed, fault.target);
    targets_.environment.kill_placer(fault.target);
}

void FaultInjector::restart_placer(const Fault& fault) {
    const std::string listen_address = targets_.environment.placer_address(fault.target);
    targets_.environment.start_placer(
        fault.target,
        placer_configuration(targets_.scenario, fault.target, listen_address, targets_.discovery.address()));
}

void FaultInjector::stall_placer(const Fault& fault) {
    record(EventKind::placer_stalled, fault.target);
    targets_.environment.stall_placer(fault.target, true);
}

void FaultInjector::resume_placer(const Fault& fault) {
    targets_.environment.stall_placer(fault.target, false);
    record(EventKind::placer_resumed, fault.target);
}

// ---------------------------------------------------------------- clients and load

void FaultInjector::leave(const Fault& fault) {
    for (std::size_t i = 0; i < targets_.scenario.placers; ++i) targets_.clients[fault.target]->leave(i);
}

void FaultInjector::send_half_message(const Fault& fault) {
    targets_.clients[fault.target]->send_half_message(0);
}
void FaultInjector::stop_reading(const Fault& fault) {
    targets_.clients[fault.target]->set_reading(0, false);
}
void FaultInjector::resume_reading(const Fault& fault) {
    targets_.clients[fault.target]->set_reading(0, true);
}
void FaultInjector::cancel_tasks(const Fault& fault) {
    targets_.clients[fault.target]->cancel_some(static_cast<std::size_t>(fault.size));
}

void FaultInjector::begin_burst(const Fault& fault) { load_factor_ = fault.size; }
void FaultInjector::end_burst(const Fault&) { load_factor_ = 1; }
void FaultInjector::increase_use(const Fault& fault) {
    targets_.fleet.set_use_factor(fault.group, fault.size);
}
void FaultInjector::restore_use(const Fault& fault) { targets_.fleet.set_use_factor(fault.group, 1); }

}  // namespace whinpost::emulator
