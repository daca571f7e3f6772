// The scheduler of one process, which decides which worker runs which task. It uses no network, clock or
// threads. The embedder passes the time, and reports events of the endpoint list, workers and clients by
// calls on Scheduler and its Task handles; after all events of one point in time it calls run_round().
// Decisions are passed to DecisionHandler. The design: docs/design.md.
#pragma once
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "whinpost/attempt_outcome.h"
#include "whinpost/decision_handler.h"
#include "whinpost/endpoint_state.h"
#include "whinpost/nanos.h"
#include "whinpost/queue_group.h"
#include "whinpost/resource_request.h"
#include "whinpost/scheduler_settings.h"
#include "whinpost/service.h"
#include "whinpost/task.h"
#include "whinpost/worker.h"

namespace whinpost {

class SchedulerCore;

// Not thread-safe. Handles keep their addresses. They live as long as the scheduler, but tasks only until
// remove().
class Scheduler {
public:
    // The handler must outlive the scheduler. There must be at least one queue group.
    Scheduler(DecisionHandler&, std::uint64_t seed, int zone, std::vector<QueueGroup>,
              std::vector<WorkerKind>, WorkerAcceptance, SlowStartSettings, DiscoverySettings, RetrySettings,
              Prices);
    ~Scheduler();
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    // name_hash must be the same at every scheduler for the same worker or service; see stable_hash().
    Worker& add_worker(std::uint64_t name_hash);
    Service& add_service(std::uint64_t name_hash);

    void update_endpoint(Nanos now, Worker&, const EndpointState&);
    void on_watch_event_done(Nanos now, bool complete);  // complete: workers that it did not name are gone
    void on_watch_failed(Nanos now);
    // tokens: number of attempts that a worker grants this scheduler while it is warming up; -1: it grants
    // none.
    void set_admission_tokens(Worker&, int tokens);
    void on_load_report(Nanos now, Worker&, const LoadReport&);  // the answer to a health check

    void start(Nanos now);  // after the first endpoint list
    Task& submit(Nanos now, Service&, const ResourceRequest&, std::uint64_t tag);
    // Adds a task that already runs on this worker, from before a restart of the scheduler.
    Task& adopt(Nanos now, Service&, const ResourceRequest&, Worker&, std::uint64_t tag);
    void remove(Task&);         // only if it is finished()
    void run_round(Nanos now);  // after all events of one point in time

    // For diagnostics and tests.
    double predicted_slowdown(const Worker&, const Service&) const;
    bool may_place(Nanos now, const Task&, const Worker&) const;
    bool may_reject(const Task&) const;

    // Number of attempts that this scheduler may send, in the window of `now`, to the worker with this name
    // hash while it is warming up. Summed over all schedulers and any two consecutive windows, it is at most
    // SlowStartSettings::guaranteed_attempts.
    static std::int64_t slow_start_tokens(const SlowStartSettings&, std::uint64_t name_hash, Nanos now);

private:
    std::unique_ptr<SchedulerCore> core_;
};

}  // namespace whinpost
