// Injects the faults of a scenario and ends them.
#pragma once
#include <functional>
#include <memory>
#include <vector>

#include "emulator/discovery_service.h"
#include "emulator/emulated_client.h"
#include "emulator/scenario.h"
#include "emulator/test_environment.h"
#include "emulator/worker_pool.h"

namespace whinpost::emulator {

class FaultInjector {
public:
    // The components that faults act on. All must outlive the injector.
    struct Targets {
        const Scenario& scenario;
        TestEnvironment& environment;
        EmulatedFleet& fleet;
        DiscoveryService& discovery;
        WorkerPool& workers;
        std::vector<std::unique_ptr<EmulatedClient>>& clients;
        std::function<void(Nanos at, std::function<void()>)> schedule;
    };
    explicit FaultInjector(Targets targets) : targets_(std::move(targets)) {}

    void inject(const Fault&);
    // Ends a fault; called when its duration is over.
    void heal(const Fault&);
    // Multiplier on the load: the size of the current burst, else 1.
    double load_factor() const { return load_factor_; }

private:
    struct Actions;
    struct ActionTable;
    static const Actions& actions_of(FaultKind);

    template <class Function>
    void for_each_worker(const Fault&, Function);
    void record(EventKind, std::size_t placer);

    void drain(const Fault&);
    void replace_drained(const Fault&);
    void kill(const Fault&);
    void rejoin(const Fault&);
    void partition(const Fault&);
    void end_partition(const Fault&);
    void reset_connections(const Fault&);
    void freeze_discovery(const Fault&);
    void unfreeze_discovery(const Fault&);
    void rewind_discovery(const Fault&);
    void empty_discovery(const Fault&);
    void duplicate_discovery(const Fault&);
    void stop_discovery(const Fault&);
    void restart_discovery(const Fault&);
    void kill_placer(const Fault&);
    void restart_placer(const Fault&);
    void stall_placer(const Fault&);
    void resume_placer(const Fault&);
    void leave(const Fault&);
    void send_half_message(const Fault&);
    void stop_reading(const Fault&);
    void resume_reading(const Fault&);
    void cancel_tasks(const Fault&);
    void begin_burst(const Fault&);
    void end_burst(const Fault&);
    void increase_use(const Fault&);
    void restore_use(const Fault&);

    Targets targets_;
    double load_factor_ = 1;
};

}  // namespace whinpost::emulator
