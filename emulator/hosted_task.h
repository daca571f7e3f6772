// Private to EmulatedWorker: its records of queued requests and of accepted tasks.
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
    bool answers_lost = false;  // no message about it is sent until its placer connects again
    double use = 1;             // share of the requested resources that it uses
    std::unique_ptr<ScheduledCall> start_call, end_call;
};

}  // namespace whinpost::emulator
