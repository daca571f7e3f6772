// The interface of one placer: plain types, the port that decisions leave through, and the handles.
// Nothing here decides anything; src/decide.cpp does. No wire, no clock, no thread: whoever embeds it passes
// the time.
#pragma once
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string_view>
#include <utility>
#include <vector>

#include "whinpost/hash_ring.h"
#include "whinpost/sliding_counter.h"

namespace whinpost {

using Nanos = std::int64_t;
constexpr Nanos kMicrosecond = 1'000, kMillisecond = 1'000'000, kSecond = 1'000'000'000;

enum class Effect { idempotent, keyed, side_effecting };
enum class FailureDomain { none, worker, cell, zone, all };
enum class EndpointPhase { serving, draining, gone };

// How a launch ended. Only refused, unconnected and unsent prove that it never ran.
enum class AttemptOutcome {
    completed,
    failed,
    rejected,
    timed_out,
    connect_failed,
    reset,
    cancelled,
    not_sent,
    unknown
};
enum class OutcomeReason {
    unspecified,
    no_cores,
    no_memory,
    queue_full,
    not_available,
    evicted,
    preempted,
    drained
};

struct QueueGroup {
    Effect effect = Effect::idempotent;
    FailureDomain deduplicated_by =
        FailureDomain::all;  // fingerprinted: the machines that together drop repeats
    Nanos deduplication_window = 0;
    Nanos start_objective = 0;
    double priority_weight = 1;
    double start_value_s = 0;  // a first start in time is worth so many seconds of service
    double full_service_utilization = 1,
           degradation_range = 1;  // served in full up to calm cores busy, not at all from calm + fade
    int worker_kind = -1;          // the machine kind it needs, -1 for any
    FailureDomain spread_domain = FailureDomain::none;
    int max_per_domain = 0;
    int priority = 0;
};

struct WorkerKind {
    double cores = 0, memory = 0;
};

// What machines say yes to, and what the amounts they report as free are free of.
struct WorkerAcceptance {
    double cores_overcommit = 1, memory_overcommit = 1;
    bool reports_use = false;  // free means not in use; else not asked for
    bool health_checks = false;
    bool accepts_when_running = false;  // else yes comes on acceptance
    bool preempts = false;
    bool reports_pressure = true;  // notes say how a container is served and how full its machine's memory is
};

struct SlowStartSettings {
    double initial_capacity = 1;
    Nanos warm_up_time = 0;
    double overload_factor = 1;
    Nanos window = 0;
    double guaranteed_attempts = 0;  // offers in a window, from all placers, that a cold machine always bears
    int placers = 1, placer_index = 0;  // how many, and which of them this one is, from 0
};

struct DiscoverySettings {
    bool poll = false;
    Nanos poll_interval = 0;
};

struct RetrySettings {
    int max_attempts = 1;
    bool can_cancel = false;
};

struct Prices {
    double workers_in_use = 0, migrations = 0, waste = 0, health_checks = 0, cross_zone = 0,
           discovery_entries = 0, rejections = 0;
};

struct LoadReport {
    double free_cores = 0, free_memory = 0, utilization = 0, queue_length = 0;
    bool has_free_cores = false, has_free_memory = false, has_utilization = false, has_queue_length = false;
};

struct EndpointState {
    int zone = 0, cell = 0, kind = 0;
    double free_cores = 0, free_memory = 0;
    EndpointPhase phase = EndpointPhase::serving;
    Nanos started_at = 0;  // 0: long ago
};

struct ResourceRequest {
    double cores = 0, memory = 0;
    int queue_group = 0;
    Nanos time_left = 0;         // until its client gives up
    Nanos expected_runtime = 0;  // rough; 0: not told
    bool is_retry = false;
};

class Scheduler;
class Task;
struct Worker;

struct PairInterference {
    double slowdown = 0, weight = 1;
};

struct Service {
    Service(int its_number, std::uint64_t its_mark) : number(its_number), name_hash(its_mark) {}
    int number;
    std::uint64_t name_hash;  // says only that it is the same one, alike at every placer
    int tasks = 0;
    std::vector<Worker*> workers;                // where it runs or lately ran, as far as this placer knows
    std::map<int, PairInterference> neighbours;  // by the neighbour's number
    double mean_slowdown = 0, mean_cores = 0, core_reports = 0;
    double mean_runtime_s = 0;
    std::vector<double> warm_starts_s;  // the latest warm start latencies, seconds, in a ring
    std::size_t next_warm_start = 0;
    double median_warm_start_s = 0, median_cold_start_s = 0;
    Nanos last_submitted_at = 0;
};

struct ColocatedService {
    Service* service = nullptr;
    int tasks = 0;  // launched or running here
    int running = 0;
    Nanos last_ran_at = 0;
};

struct Worker {
    Worker(int its_number, std::uint64_t its_mark, Nanos turn);
    int number;
    std::uint64_t name_hash;  // says only that it is the same one, alike at every placer
    EndpointState endpoint;
    const WorkerKind* kind = nullptr;
    bool is_listed = false;           // in a list of this placer
    bool on_ring = false;             // the ring's own
    bool has_changed = false;         // in changed_
    std::uint64_t considered_in = 0;  // the latest choice that considered it
    int named_in_watch = 0;           // the latest list that named it
    Nanos blocked_until = 0;          // it said that it would take nothing
    double rejected_cores = 0, rejected_memory = 0;
    Nanos rejected_until = 0;
    std::vector<ColocatedService> services;
    std::vector<Task*> tasks;  // launched or running here
    double own_cores = 0, own_memory = 0;
    SlidingCounter<16> recent_cores, recent_memory;  // own change that the view cannot show yet
    std::vector<SlidingCounter<16>> failed_attempts,
        started_attempts;                   // launches of this placer, by queue group and how they went
    SlidingCounter<2> slow_start_attempts;  // binds while young, by turn
    int admission_tokens = -1;              // it lets have so many while young; -1: it does not say
    int unanswered = 0;                     // launches without an answer yet
    Nanos unanswered_since = 0;             // since the first of them, or the last answer
    double queue_limit;                     // how many may wait at once
    double residual_slowdown = 0;           // observed slow-down beyond the predicted, newest first
    Nanos residual_slowdown_at = 0;
    double memory_pressure = 0;  // noted share, and when
    Nanos memory_pressure_at = 0;
    Nanos last_migration_check = 0;
    LoadReport load_report;
    Nanos load_report_at = 0;
    bool in_active_set = true;
    Nanos health_check_sent_at = 0, last_report_at = 0;
};

// Everything a placer does leaves through here.
class DecisionHandler {
public:
    virtual ~DecisionHandler() = default;
    virtual void place(Task&, Worker&, Nanos time_out) = 0;
    virtual void reject(Task&, Nanos stay_away) = 0;
    virtual void fail(Task&) = 0;
    virtual void migrate(Task&) = 0;
    virtual void cancel_attempt(Task&, int launch) = 0;
    virtual void check_health(Worker&) = 0;
    virtual void watch_endpoints() = 0;
    virtual void fetch_endpoints() = 0;
    virtual void wake_at(Nanos at) = 0;
    virtual void log(std::string_view line) = 0;
};

// The handle of one container. All that happens to it after it was taken is a call on this.
class Task {
public:
    void on_accepted(Nanos now, int launch);  // the machine said yes
    void on_running(Nanos now, int launch);   // it runs, where yes came earlier
    void on_cores_used(Nanos now, int launch, double cores);
    void on_memory_used(Nanos now, int launch, double memory);
    void on_service_share(Nanos now, int launch, double share);
    void on_worker_memory(Nanos now, int launch, double share);
    void on_attempt_ended(Nanos now, int launch, AttemptOutcome, OutcomeReason, bool closed,
                          const LoadReport&);
    void cancel(Nanos now);                               // its owner wants it no more
    bool finished() const { return settled && !worker; }  // nothing more can come; release() it

    // Plain state, for the door and for tests to read.
    std::uint64_t tag = 0;  // the door's own
    ResourceRequest request;
    Service* service = nullptr;
    const QueueGroup* queue_group = nullptr;
    Nanos submitted_at = 0, deadline = 0;
    bool settled = false;   // it has its final answer, or ended
    bool accepted = false;  // a machine said yes
    bool running = false, has_service_report = false, warm_start = false;
    int attempts = 0;
    Worker* worker = nullptr;  // where its launch or run is
    Nanos sent_at = 0, attempt_deadline = 0;
    Worker* first_possible_run = nullptr;  // where the first launch that may have run went
    Nanos first_possible_run_at = 0;
    int rounds_without_worker = 0;
    std::size_t health_checks = 0;
    Nanos not_before = 0;
    double order = 0, cores_used = 0;
    std::vector<Worker*> rejected_by;
    Worker* first_failed_on = nullptr;  // where its first launch that ended in an error was
    bool faulty = false;                // and it erred elsewhere too

private:
    friend class Scheduler;
    Scheduler* scheduler_ = nullptr;
    std::list<std::unique_ptr<Task>>::iterator self_;
    std::list<Task*>::iterator queue_position_;
    bool in_queue_ = false;
};

class Scheduler {
public:
    Scheduler(DecisionHandler&, std::uint64_t seed, int zone, std::vector<QueueGroup>,
              std::vector<WorkerKind>, WorkerAcceptance, SlowStartSettings, DiscoverySettings, RetrySettings,
              Prices);

    Worker& add_worker(std::uint64_t mark);  // the door keeps the id
    Service& add_service(std::uint64_t mark);
    void update_endpoint(Nanos now, Worker&, const EndpointState&);
    void set_admission_tokens(Worker& m, int held) { m.admission_tokens = held; }
    void on_watch_event_done(Nanos now, bool whole);  // whole: machines it did not name are gone
    void on_watch_failed(Nanos now);
    void start(Nanos now);  // once the first list is in
    Task& submit(Nanos now, Service&, const ResourceRequest&, std::uint64_t tag);
    Task& adopt(Nanos now, Service&, const ResourceRequest&, Worker&, std::uint64_t tag);
    void remove(Task&);                                          // after finished()
    void on_load_report(Nanos now, Worker&, const LoadReport&);  // a load report, from a probe
    void run_round(Nanos now);                                   // after the events of one moment were told

    double predicted_slowdown(const Worker&,
                              const Service&) const;  // the design's weighted sum, for readers and tests
    bool may_place(Nanos now, const Task&, const Worker&) const;
    bool may_reject(const Task&) const;
    // How many attempts this placer may send in the turn of `now` to a machine in slow start that bears that
    // mark. Over all placers and any two turns they are no more than the machine always bears.
    static std::int64_t slow_start_tokens(const SlowStartSettings&, std::uint64_t mark, Nanos now);

private:
    friend class Task;
    void close(Task&);
    void send_answer(Nanos now, Task&);
    void enqueue(Task&);
    void detach(Nanos now, Task&);
    void attach(Nanos now, Task&, Worker&);
    void send_attempt(Nanos now, Task&, Worker&);
    void on_started(Nanos now, Task&);
    bool was_stalled(Nanos now) const;
    void observe(Task&, double slow_down);
    void choose_active_set(Nanos now);
    void consider_migration(Nanos now, Task&);
    bool check_health_first(Nanos now, Task&, Worker&);
    double expected_slowdown(Nanos now, Task&, Worker&, double wary, double& start);
    double residual_slowdown(Nanos now, const Worker&) const;
    double late_start_slowdown(const Task&, Nanos now) const;
    double failure_rate(Nanos now, Worker&, std::size_t group) const;
    bool in_slow_start(Nanos now, const Worker&) const;
    bool slow_start_allows(Nanos now, Worker&) const;
    bool has_capacity(Nanos now, const Task&, Worker&) const;
    struct Load {
        double asked_cores, asked_memory, used_cores, used_memory;
    };
    Load load(Nanos now, Worker&, const ResourceRequest& more) const;
    Worker* select_worker(Nanos now, Task&, bool under_bound);
    bool fits_nowhere(Nanos now, const Task&) const;
    Nanos attempt_timeout(Nanos now, const Task&) const;
    void wake_no_later_than(Nanos now, Nanos at);
    int tasks_in_domain(const Task&, const Worker&, FailureDomain) const;

    DecisionHandler& handler_;
    std::ranlux24_base random_;
    int zone_;
    std::vector<QueueGroup> groups_;
    std::vector<WorkerKind> kinds_;
    WorkerAcceptance acceptance_;
    SlowStartSettings slow_start_;
    DiscoverySettings discovery_;
    RetrySettings retry_;
    Prices prices_;
    std::vector<const QueueGroup*> most_sensitive_group_;  // by machine kind, of those that may run there
    double least_full_service_utilization_;                // the least of any queue group's
    std::list<Worker> workers_;
    std::vector<Worker*> listed_workers_;  // the listed ones, in the order they were met
    std::list<Service> services_;
    std::list<std::unique_ptr<Task>> tasks_;
    std::list<Task*> queue_;
    HashRing<Worker> ring_;  // the serving machines
    std::vector<Worker*>
        changed_workers_;           // entries since the last list_done that changed who is there or serves
    std::uint64_t selections_ = 0;  // choices made
    struct NoRoom {
        double cores = 0, memory = 0;
        Nanos until = 0;
    };
    std::vector<NoRoom> no_room_;  // by queue group: asks from this size on fit nowhere, until then
    int watch_events_ = 1;         // told so far
    double mean_slowdown_;
    double used_cores_ = 0, used_memory_ = 0, requested_cores_ = 0,
           requested_memory_ = 0;        // fading sums behind the use ratios
    std::vector<double> usual_start_s_;  // seconds, by queue group, without and with the program known there
    double usual_answer_s_;              // usual time to a yes
    Nanos started_at_ = 0, last_round_at_ = 0, next_wake_at_ = 0, next_active_set_at_ = 0;
    Nanos watch_retry_at_ = 0, watch_backoff_ = 0;
    Nanos widened_until_ =
        0;  // until then the working set is one machine larger for each round that found none
    int extra_workers_ = 0;
    double fleet_utilization_ = 0;  // of what the serving machines may be filled to
};

}  // namespace whinpost
