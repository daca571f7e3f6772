// The sizes of one measurement of a scheduler's control work, and its figures.
#pragma once

namespace whinpost::bench {

// One run's sizes. Rates are per second of virtual time, for this scheduler.
struct ScaleSizes {
    int workers = 14'000;
    int placers = 57;
    int services = 200;
    int queue_groups = 4;
    int asks = 33;     // tasks to start
    int running = 50;  // tasks recovered at the start, on the first workers
    int updates = 60;  // workers whose free room is told, three to an event
    int zones = 19;
};

// What was measured. Times are processor time of this process.
struct ScaleFigures {
    double decision_us = 0;       // of one round that places one task
    double update_event_ms = 0;   // told and followed by a round: three workers' free room
    double state_event_ms = 0;    // told and followed by a round: one worker starts to drain, or serves again
    double longest_event_ms = 0;  // of all events and rounds after the start
    double calm_core_share = 0;   // submissions, ends and updates at the stated rates
    double no_room_core_share = 0;  // the same where no worker has room
    double no_room_answered = 0;    // share of its tasks that were answered before their time
    double zone_lost_s = 0;         // one zone, told worker by worker, with a round after each
    double zone_lost_once_ms = 0;   // the same in one event
    double ready_s = 0;             // list and recovered tasks told to a new scheduler
    double bytes_per_worker = 0;    // heap in use by scheduler, planner and ledger
};

}  // namespace whinpost::bench
