// Behavior of an emulated worker, and the faults that a scenario can inject into it.
#pragma once
#include <cstddef>

#include "whinpost/scheduler.h"

namespace whinpost::emulator {

struct EmulatedWorkerSettings {
    double cores = 16, memory = 32;
    double cores_overcommit = 2.5, memory_overcommit = 1.5;
    int kind = 0;
    // Admission.
    bool accepts_when_running = false;        // sends AttemptAccepted only once the task runs
    bool preempts = false;                    // evicts tasks of lower priority to make room
    Nanos admission_time = 2 * kMillisecond;  // per attempt or health check
    std::size_t queue_limit = 32;             // attempts and health checks waiting for admission
    // Task starts.
    int concurrent_starts = 4;
    Nanos start_time = 20 * kMillisecond;  // with a cached program image, at full capacity
    double missing_image_factor = 5;       // start_time is multiplied by it without a cached image
    bool random_start_time = false;        // exponentially distributed with that mean, else constant
    Nanos image_kept_for = 5 * kSecond;    // after the end of the last task that used it
    // Slow start: see WarmUp.
    double initial_capacity = 0.2;
    Nanos warm_up_time = 10 * kSecond;
    double overload_factor = 2;
    double guaranteed_attempts = 8;
    Nanos overload_window = kSecond;
    bool issues_tokens = false;
    // Reports.
    bool reports_load = true;
    bool reports_use = false;      // free resources: not in use (true), or not requested by tasks (false)
    bool reports_pressure = true;  // low service shares and high memory utilization
    Nanos report_interval = 200 * kMillisecond;
    Nanos usage_interval = kSecond;
    Nanos remembers_for = 60 * kSecond;  // for a placer that reconnects: how long ends of attempts are kept
    Nanos drain_interval = 0;            // a draining worker evicts one task per interval; 0: none
};

// Shares are probabilities per attempt.
struct ActiveFaults {
    double slowdown = 1;             // factor on admission and start times and on the load
    double rejected_share = 0;       // rejected without a reason
    double failed_start_share = 0;   // answered with an error
    double lost_answer_share = 0;    // accepted, but no answer is sent
    Nanos answer_delay = 0;          // added before each answer is sent
    bool silent = false;             // reads and sends nothing, not even Hello on a new connection
    bool duplicate_accepts = false;  // sends each acceptance twice
    bool input_blocked = false;      // messages to it are delivered after this ends
    bool output_blocked = false;     // messages from it are delivered after this ends
    bool paused = false;             // input and output blocked, and nothing in the worker progresses
    double other_cores = 0;          // in use by another program
    int limited_group = -1;          // this queue group is limited to accepted_per_second
    double accepted_per_second = 0;

    bool receives() const { return !silent && !input_blocked && !paused; }
    bool holds_output() const { return output_blocked || paused; }
};

}  // namespace whinpost::emulator
