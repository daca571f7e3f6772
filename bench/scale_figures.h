// The sizes of one measurement of a scheduler's control work, and its figures.
#pragma once

namespace whinpost::bench {

// The sizes of one run. Rates are per second of virtual time, for this scheduler.
struct ScaleSizes {
    int workers = 14'000;
    int placers = 57;
    int services = 200;
    int queue_groups = 4;
    int asks = 33;     // tasks submitted per second
    int running = 50;  // tasks recovered at the start, on the first workers
    int updates = 60;  // workers per second whose free room changes, three per watch event
    int zones = 19;
};

// The results of one run, in processor time of this process. Event times include the round after the event.
struct ScaleFigures {
    double decision_us = 0;         // a round that places one task
    double update_event_ms = 0;     // a watch event with the free room of three workers
    double state_event_ms = 0;      // a watch event in which one worker starts to drain or serves again
    double longest_event_ms = 0;    // the longest of the state events
    double calm_core_share = 0;     // share of a core: submissions, completions and updates at these rates
    double no_room_core_share = 0;  // the same while no worker has room
    double no_room_answered = 0;    // share of the tasks of that run that were answered before their deadline
    double zone_lost_s = 0;         // loss of a zone, in one watch event per worker
    double zone_lost_once_ms = 0;   // loss of a zone in one watch event
    double ready_s = 0;             // endpoint list, recovered tasks and first round of a new scheduler
    double bytes_per_worker = 0;    // heap in use by scheduler, planner and ledger
};

}  // namespace whinpost::bench
