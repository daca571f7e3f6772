// The handle of a worker, with the state that each module of the scheduler keeps for it.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

#include "whinpost/endpoint_state.h"
#include "whinpost/nanos.h"
#include "whinpost/sliding_counter.h"

namespace whinpost {

class Task;
struct Service;

// A service on one worker, from its first attempt there until some time after its last task ended.
struct ColocatedService {
    Service* service = nullptr;
    int tasks = 0;  // with an attempt in flight or running here
    int running = 0;
    Nanos last_ran_at = 0;
};

// State of src/scheduler/endpoint_list.h.
struct WorkerListing {
    bool is_listed = false;      // in the endpoint list
    bool has_changed = false;    // new or with a changed phase in the current watch event
    int latest_watch_event = 0;  // number of the latest watch event that named it
};

// State of src/scheduler/capacity.h.
struct WorkerCapacity {
    WorkerCapacity();
    Nanos blocked_until = 0;  // no attempt is sent there until then
    double rejected_cores = 0, rejected_memory = 0;
    Nanos rejected_until = 0;  // until then, requests of at least these amounts are taken not to fit
    double own_cores = 0, own_memory = 0;  // sum of the requests of this scheduler's tasks there
    // This scheduler's changes that the endpoint list may not show yet.
    SlidingCounter<16> recent_cores, recent_memory;
    int unanswered = 0;          // attempts without an answer yet
    Nanos unanswered_since = 0;  // when the first of them was sent, or the last answer came
    double queue_limit;          // maximum number of unanswered attempts
    double memory_pressure = 0;  // share of memory in use, as reported
    Nanos memory_pressure_at = 0;
    LoadReport load_report;
    Nanos load_report_at = 0;
};

// State of src/scheduler/slow_start.h.
struct WorkerSlowStart {
    explicit WorkerSlowStart(Nanos window) : recent_attempts(window) {}
    SlidingCounter<2> recent_attempts;  // sent while it was warming up
    int admission_tokens = -1;          // attempts left of those that the worker granted; -1: it grants none
};

// State of src/scheduler/outlier_detection.h.
struct WorkerOutlierStats {
    explicit WorkerOutlierStats(std::size_t queue_groups);
    std::vector<SlidingCounter<16>> failed_attempts, started_attempts;  // by queue group
    double residual_slowdown = 0;  // observed slowdown in excess of the prediction, at residual_slowdown_at
    Nanos residual_slowdown_at = 0;
};

// State of src/scheduler/health_check.h.
struct WorkerHealth {
    Nanos check_sent_at = 0, last_report_at = 0;
};

// Plain state, written by the modules in src/scheduler/ only. A worker keeps its address as long as the
// scheduler exists.
struct Worker {
    Worker(std::uint64_t hash, Nanos slow_start_window, std::size_t queue_groups)
        : name_hash(hash), slow_start(slow_start_window), outlier(queue_groups) {}
    // Null if there is no record of the service on this worker.
    ColocatedService* find_service(const Service* service) {
        for (ColocatedService& colocated : services)
            if (colocated.service == service) return &colocated;
        return nullptr;
    }

    std::uint64_t name_hash;  // identifies the worker; the same at every scheduler
    EndpointState endpoint;
    const WorkerKind* kind = nullptr;
    bool on_ring = false;  // written by HashRing only
    bool in_active_set = true;
    std::uint64_t considered_in = 0;  // number of the latest selection that considered it
    std::vector<ColocatedService> services;
    std::vector<Task*> tasks;  // with an attempt in flight or running here
    WorkerListing listing;
    WorkerCapacity capacity;
    WorkerSlowStart slow_start;
    WorkerOutlierStats outlier;
    WorkerHealth health;
    Nanos last_migration_check = 0;
};

}  // namespace whinpost
