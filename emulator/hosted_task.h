// Private to EmulatedWorker: what it keeps of each request and of each task.
#pragma once
#include <cstdint>
#include <memory>

#include "emulator/emulated_worker.h"

namespace whinpost::emulator {

struct EmulatedWorker::QueuedRequest {
    PlacerId placer;
    v1::StartAttempt attempt;
    std::uint64_t health_check_id = 0;
    bool is_health_check = false, cancelled = false;
};

struct EmulatedWorker::HostedTask {
    PlacerId placer;
    v1::StartAttempt attempt;
    bool running = false, starting = false;
    bool answers_lost = false;  // its placer hears of it only in a greeting
    double use = 1;             // of what was asked
    std::unique_ptr<ScheduledCall> start_call, end_call;
};

}  // namespace whinpost::emulator
