// How an emulated worker behaves, and the faults that a scenario can inject into one.
#pragma once
#include <cstddef>

#include "whinpost/scheduler.h"

namespace whinpost::emulator {

struct EmulatedWorkerSettings {
    double cores = 16, memory = 32;
    double cores_overcommit = 2.5, memory_overcommit = 1.5;
    int kind = 0;
    // How it admits attempts.
    bool accepts_when_running = false;        // it confirms an attempt only once the task runs
    bool preempts = false;                    // tasks of a lower priority make room
    Nanos admission_time = 2 * kMillisecond;  // for one attempt or health check
    std::size_t queue_limit = 32;             // attempts and health checks that may wait for it
    // How it starts tasks.
    int concurrent_starts = 4;
    Nanos start_time = 20 * kMillisecond;  // with the program's image there, at full capacity
    double missing_image_factor = 5;       // times that without the image
    bool random_start_time = false;        // exponentially distributed about that mean, else always the mean
    Nanos image_kept_for = 5 * kSecond;    // after the last task that used it
    // How it warms up: see WarmUp.
    double initial_capacity = 0.2;
    Nanos warm_up_time = 10 * kSecond;
    double overload_factor = 2;
    double guaranteed_attempts = 8;
    Nanos overload_window = kSecond;
    bool issues_tokens = false;
    // What it reports.
    bool reports_load = true;
    bool reports_use = false;      // free means not in use, else not asked for
    bool reports_pressure = true;  // how its tasks are served
    Nanos report_interval = 200 * kMillisecond;
    Nanos usage_interval = kSecond;
    Nanos remembers_for = 60 * kSecond;  // the ends of attempts, for a placer that connects again
    Nanos drain_interval = 0;            // while it drains, one task is sent away in each; 0: it keeps them
};

// Shares are probabilities for each attempt.
struct ActiveFaults {
    double slowdown = 1;             // times slower, while it still answers
    double rejected_share = 0;       // rejects without a reason
    double failed_start_share = 0;   // answers with an error
    double lost_answer_share = 0;    // accepts, and the answer is never sent
    Nanos answer_delay = 0;          // each answer is sent so much later
    bool silent = false;             // reads and sends nothing; new connections are never greeted
    bool duplicate_accepts = false;  // sends each acceptance twice
    bool input_blocked = false;      // what is sent to it arrives once this ends
    bool output_blocked = false;     // what it sends arrives once this ends
    bool paused = false;             // both, and nothing in it moves
    double other_cores = 0;          // busy with another program's work
    int limited_group = -1;          // of this queue group it accepts only so many a second
    double accepted_per_second = 0;

    bool receives() const { return !silent && !input_blocked && !paused; }
    bool holds_output() const { return output_blocked || paused; }
};

}  // namespace whinpost::emulator
