// The emulated workers of a scenario: each slot of the fleet has one worker at a time, which may be killed
// and replaced.
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
    std::string component;  // a worker's name, or the discovery service
    std::string address;    // a worker's; else empty
    net::ListenError error;
};
std::string to_string(const StartError&);

class WorkerPool {
public:
    // All must outlive the pool.
    WorkerPool(const Scenario&, TestEnvironment&, EmulatedFleet&, DiscoveryService&);

    [[nodiscard]] tl::expected<void, StartError> start_all();
    std::size_t size() const { return slots_.size(); }
    // Null: it was killed and not replaced yet.
    EmulatedWorker* worker(std::size_t slot) { return slots_[slot].worker.get(); }
    const std::string& name(std::size_t slot) const { return slots_[slot].name; }
    const std::string& address(std::size_t slot) const { return slots_[slot].address; }
    // Of all workers that there ever were.
    const std::vector<WorkerLocation>& locations() const { return locations_; }

    // Tells discovery how the slot's worker is now, if there is one.
    void publish(std::size_t slot);
    void publish_all();
    // As by SIGKILL. The slot must have a worker.
    void kill(std::size_t slot);
    // A new worker under a new name, that has just started.
    void replace(std::size_t slot);
    // A new worker under the same name and address, that has just started.
    void restart(std::size_t slot, const std::string& name, const std::string& address);
    // A worker is faulty from the first of the faults that overlap to the end of the last: that is recorded.
    void begin_fault(std::size_t slot);
    void end_fault(std::size_t slot);

private:
    struct Slot {
        std::string name, address;
        int zone = 0, cell = 0, kind = 0;
        Nanos started = 0;  // 0: long ago
        int faults = 0;
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
