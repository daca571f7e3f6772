// The emulated workers of a scenario. Each slot holds at most one worker, which can be killed and replaced.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "emulator/discovery_service.h"
#include "emulator/emulated_worker.h"
#include "emulator/invariant_checker.h"
#include "emulator/scenario.h"
#include "emulator/test_environment.h"

namespace whinpost::emulator {

struct StartError {
    std::string component;  // the worker's name, or "the discovery service"
    std::string address;    // empty for the discovery service
    net::ListenError error;
};
std::string to_string(const StartError&);

class WorkerPool {
public:
    // All must outlive the pool.
    WorkerPool(const Scenario&, TestEnvironment&, EmulatedFleet&, DiscoveryService&);

    [[nodiscard]] tl::expected<void, StartError> start_all();
    std::size_t size() const { return slots_.size(); }
    // Null if the slot's worker was killed and is not replaced yet.
    EmulatedWorker* worker(std::size_t slot) { return slots_[slot].worker.get(); }
    const std::string& name(std::size_t slot) const { return slots_[slot].name; }
    const std::string& address(std::size_t slot) const { return slots_[slot].address; }
    // The locations of all workers of the run, including killed ones.
    const std::vector<WorkerLocation>& locations() const { return locations_; }

    // Publishes the current state of the slot's worker to discovery, if there is one.
    void publish(std::size_t slot);
    void publish_all();
    // Destroys the worker without any message, like SIGKILL. The slot must have a worker.
    void kill(std::size_t slot);
    // Starts a new worker under a new name; it has to warm up.
    void replace(std::size_t slot);
    // Starts a new worker under the given name and address; it has to warm up.
    void restart(std::size_t slot, const std::string& name, const std::string& address);
    // Overlapping faults are counted: only the first begin and the last end are recorded in the event log.
    void begin_fault(std::size_t slot);
    void end_fault(std::size_t slot);

private:
    struct Slot {
        std::string name, address;
        int zone = 0, cell = 0, kind = 0;
        Nanos started = 0;  // 0: before the run
        int faults = 0;     // begun and not ended
        std::unique_ptr<EmulatedWorker> worker;
    };
    [[nodiscard]] tl::expected<void, StartError> start(Slot&, const std::string& name,
                                                       const std::string& address, Nanos started);
    std::string next_name() { return "node-" + std::to_string(next_worker_++); }

    const Scenario& scenario_;
    TestEnvironment& environment_;
    EmulatedFleet& fleet_;
    DiscoveryService& discovery_;
    std::vector<Slot> slots_;
    std::vector<WorkerLocation> locations_;
    std::uint64_t next_incarnation_ = 1, next_worker_ = 0;
};

}  // namespace whinpost::emulator
