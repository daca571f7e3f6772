// The scheduler of one process: it decides which worker runs which task. It knows no wire, no clock and no
// thread: the embedder passes the time and reports what endpoint lists, workers and clients say, by calls on
// Scheduler and on its Task handles; then it calls run_round() once for each moment. Decisions leave through
// DecisionHandler. The design: docs/design.md.
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

// Not thread-safe. Handles keep their addresses and live as long as the scheduler, tasks until remove().
class Scheduler {
public:
    // The handler must outlive the scheduler. There must be at least one queue group.
    Scheduler(DecisionHandler&, std::uint64_t seed, int zone, std::vector<QueueGroup>,
              std::vector<WorkerKind>, WorkerAcceptance, SlowStartSettings, DiscoverySettings, RetrySettings,
              Prices);
    ~Scheduler();
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;

    // The hash identifies the worker, or service, alike at every scheduler; see stable_hash().
    Worker& add_worker(std::uint64_t name_hash);
    Service& add_service(std::uint64_t name_hash);

    void update_endpoint(Nanos now, Worker&, const EndpointState&);
    void on_watch_event_done(Nanos now, bool complete);  // complete: workers that it did not name are gone
    void on_watch_failed(Nanos now);
    // Called when a worker tells how many attempts it grants while it warms up; -1: it grants none.
    void set_admission_tokens(Worker&, int tokens);
    void on_load_report(Nanos now, Worker&, const LoadReport&);  // the answer to a health check

    void start(Nanos now);  // once the first endpoint list is in
    Task& submit(Nanos now, Service&, const ResourceRequest&, std::uint64_t tag);
    // A task that runs on this worker already, from before a restart.
    Task& adopt(Nanos now, Service&, const ResourceRequest&, Worker&, std::uint64_t tag);
    void remove(Task&);         // only once it is finished()
    void run_round(Nanos now);  // after the events of one moment

    // For readers and tests.
    double predicted_slowdown(const Worker&, const Service&) const;
    bool may_place(Nanos now, const Task&, const Worker&) const;
    bool may_reject(const Task&) const;

    // How many attempts this scheduler may send, in the window that `now` falls into, to the worker of that
    // hash while it warms up. Over all schedulers and any two windows they are no more than a worker bears.
    static std::int64_t slow_start_tokens(const SlowStartSettings&, std::uint64_t name_hash, Nanos now);

private:
    std::unique_ptr<SchedulerCore> core_;
};

}  // namespace whinpost
