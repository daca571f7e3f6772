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

enum class Effect { idempotent, fingerprinted, side_effecting };
enum class FailureDomain { none, machine, cell, zone, all };
enum class EndpointPhase { serving, draining, gone };

// How a launch ended. Only refused, unconnected and unsent prove that it never ran.
enum class AttemptOutcome {
    served,
    error,
    refused,
    timed_out,
    unconnected,
    reset,
    cancelled,
    unsent,
    unknown
};
enum class OutcomeReason {
    untold,
    no_cores,
    no_memory,
    queue_full,
    not_here,
    evicted,
    pushed_out,
    sent_away
};

struct QueueGroup {
    Effect effect = Effect::idempotent;
    FailureDomain repeats_dropped_by =
        FailureDomain::all;  // fingerprinted: the machines that together drop repeats
    Nanos repeat_window = 0;
    Nanos start_target = 0;
    double importance = 1;
    double start_worth_s = 0;   // a first start in time is worth so many seconds of service
    double calm = 1, fade = 1;  // served in full up to calm cores busy, not at all from calm + fade
    int kind = -1;              // the machine kind it needs, -1 for any
    FailureDomain spread = FailureDomain::none;
    int most = 0;
    int priority = 0;
};

struct WorkerKind {
    double cores = 0, memory = 0;
};

// What machines say yes to, and what the amounts they report as free are free of.
struct WorkerAcceptance {
    double cores_multiple = 1, memory_multiple = 1;
    bool reports_use = false;  // free means not in use; else not asked for
    bool can_probe = false;
    bool yes_on_running = false;  // else yes comes on acceptance
    bool preempts = false;
    bool notes_pressure = true;  // notes say how a container is served and how full its machine's memory is
};

struct SlowStartSettings {
    double from = 1;
    Nanos warm_after = 0;
    double multiple = 1;
    Nanos window = 0;
    double always_borne = 0;  // offers in a window, from all placers, that a cold machine always bears
    int placers = 1, me = 0;  // how many, and which of them this one is, from 0
};

struct DiscoverySettings {
    bool on_request = false;
    Nanos ask_every = 0;
};

struct RetrySettings {
    int most = 1;
    bool can_stop = false;
};

struct Prices {
    double machines_in_use = 0, moves = 0, waste = 0, probes = 0, across_zones = 0, list_lines = 0,
           refused = 0;
};

struct LoadReport {
    double free_cores = 0, free_memory = 0, busy = 0, queued = 0;
    bool has_free_cores = false, has_free_memory = false, has_busy = false, has_queued = false;
};

struct EndpointState {
    int zone = 0, cell = 0, kind = 0;
    double free_cores = 0, free_memory = 0;
    EndpointPhase stage = EndpointPhase::serving;
    Nanos started = 0;  // 0: long ago
};

struct ResourceRequest {
    double cores = 0, memory = 0;
    int group = 0;
    Nanos time_left = 0;  // until its client gives up
    Nanos life_left = 0;  // rough; 0: not told
    bool came_again = false;
};

class Scheduler;
class Task;
struct Worker;

struct PairInterference {
    double value = 0, weight = 1;
};

struct Service {
    Service(int its_number, std::uint64_t its_mark) : number(its_number), mark(its_mark) {}
    int number;
    std::uint64_t mark;  // says only that it is the same one, alike at every placer
    int containers = 0;
    std::vector<Worker*> at;                 // where it runs or lately ran, as far as this placer knows
    std::map<int, PairInterference> beside;  // by the neighbour's number
    double mean_value = 0, mean_cores = 0, cores_notes = 0;
    double mean_life_s = 0;
    std::vector<double> warm;  // the latest warm start latencies, seconds, in a ring
    std::size_t warm_next = 0;
    double median_warm = 0, median_cold = 0;
    Nanos last_seen = 0;
};

struct ColocatedService {
    Service* service = nullptr;
    int containers = 0;  // launched or running here
    int running = 0;
    Nanos last_ran = 0;
};

struct Worker {
    Worker(int its_number, std::uint64_t its_mark, Nanos turn);
    int number;
    std::uint64_t mark;  // says only that it is the same one, alike at every placer
    EndpointState listed;
    const WorkerKind* size = nullptr;
    bool known = false;         // in a list of this placer
    bool on_ring = false;       // the ring's own
    bool changed = false;       // in changed_
    std::uint64_t seen_in = 0;  // the latest choice that considered it
    int named_in = 0;           // the latest list that named it
    Nanos blocked_until = 0;    // it said that it would take nothing
    double refused_cores = 0, refused_memory = 0;
    Nanos refused_until = 0;
    std::vector<ColocatedService> neighbours;
    std::vector<Task*> held;  // launched or running here
    double own_cores = 0, own_memory = 0;
    SlidingCounter<16> new_cores, new_memory;  // own change that the view cannot show yet
    std::vector<SlidingCounter<16>> failed,
        begun;                 // launches of this placer, by queue group and how they went
    SlidingCounter<2> offers;  // binds while young, by turn
    int turns = -1;            // it lets have so many while young; -1: it does not say
    int waiting = 0;           // launches without an answer yet
    Nanos waiting_since = 0;   // since the first of them, or the last answer
    double line;               // how many may wait at once
    double excess = 0;         // observed slow-down beyond the predicted, newest first
    Nanos excess_at = 0;
    double memory_used = 0;  // noted share, and when
    Nanos memory_noted = 0;
    Nanos relieved_at = 0;
    LoadReport report;
    Nanos reported_at = 0;
    bool working = true;
    Nanos probed_at = 0, heard_at = 0;
};

// Everything a placer does leaves through here.
class DecisionHandler {
public:
    virtual ~DecisionHandler() = default;
    virtual void bind(Task&, Worker&, Nanos time_out) = 0;
    virtual void defer(Task&, Nanos stay_away) = 0;
    virtual void kill(Task&) = 0;
    virtual void move(Task&) = 0;
    virtual void stop_waiting(Task&, int launch) = 0;
    virtual void probe(Worker&) = 0;
    virtual void follow_list() = 0;
    virtual void fetch_list() = 0;
    virtual void wake(Nanos at) = 0;
    virtual void log(std::string_view line) = 0;
};

// The handle of one container. All that happens to it after it was taken is a call on this.
class Task {
public:
    void accepted(Nanos now, int launch);  // the machine said yes
    void runs(Nanos now, int launch);      // it runs, where yes came earlier
    void uses_cores(Nanos now, int launch, double cores);
    void uses_memory(Nanos now, int launch, double memory);
    void served_share(Nanos now, int launch, double share);
    void machine_memory(Nanos now, int launch, double share);
    void ended(Nanos now, int launch, AttemptOutcome, OutcomeReason, bool closed, const LoadReport&);
    void withdrawn(Nanos now);                         // its owner wants it no more
    bool finished() const { return settled && !out; }  // nothing more can come; release() it

    // Plain state, for the door and for tests to read.
    std::uint64_t tag = 0;  // the door's own
    ResourceRequest asked;
    Service* service = nullptr;
    const QueueGroup* group = nullptr;
    Nanos taken = 0, until = 0;
    bool settled = false;  // it has its final answer, or ended
    bool placed = false;   // a machine said yes
    bool running = false, noted_quality = false, warm_start = false;
    int launches = 0;
    Worker* out = nullptr;  // where its launch or run is
    Nanos sent = 0, launch_until = 0;
    Worker* first_maybe = nullptr;  // where the first launch that may have run went
    Nanos first_maybe_at = 0;
    int rounds_without = 0;
    std::size_t looks = 0;
    Nanos not_before = 0;
    double order = 0, cores_used = 0;
    std::vector<Worker*> turned_down;
    Worker* erred_at = nullptr;  // where its first launch that ended in an error was
    bool faulty = false;         // and it erred elsewhere too

private:
    friend class Scheduler;
    Scheduler* placer_ = nullptr;
    std::list<std::unique_ptr<Task>>::iterator self_;
    std::list<Task*>::iterator queued_;
    bool in_queue_ = false;
};

class Scheduler {
public:
    Scheduler(DecisionHandler&, std::uint64_t seed, int zone, std::vector<QueueGroup>,
              std::vector<WorkerKind>, WorkerAcceptance, SlowStartSettings, DiscoverySettings, RetrySettings,
              Prices);

    Worker& meet_machine(std::uint64_t mark);  // the door keeps the id
    Service& meet_service(std::uint64_t mark);
    void list_entry(Nanos now, Worker&, const EndpointState&);
    void turns(Worker& m, int held) { m.turns = held; }
    void list_done(Nanos now, bool whole);  // whole: machines it did not name are gone
    void list_failed(Nanos now);
    void begin(Nanos now);  // once the first list is in
    Task& take(Nanos now, Service&, const ResourceRequest&, std::uint64_t tag);
    Task& take_over(Nanos now, Service&, const ResourceRequest&, Worker&, std::uint64_t tag);
    void release(Task&);                                // after finished()
    void heard(Nanos now, Worker&, const LoadReport&);  // a load report, from a probe
    void round(Nanos now);                              // after the events of one moment were told

    double predicted(const Worker&,
                     const Service&) const;  // the design's weighted sum, for readers and tests
    bool may_bind(Nanos now, const Task&, const Worker&) const;
    bool may_defer(const Task&) const;
    // How many attempts this placer may send in the turn of `now` to a machine in slow start that bears that
    // mark. Over all placers and any two turns they are no more than the machine always bears.
    static std::int64_t slow_start_tokens(const SlowStartSettings&, std::uint64_t mark, Nanos now);

private:
    friend class Task;
    void settle(Task&);
    void answer(Nanos now, Task&);
    void enqueue(Task&);
    void leave(Nanos now, Task&);
    void put(Nanos now, Task&, Worker&);
    void launch(Nanos now, Task&, Worker&);
    void started(Nanos now, Task&);
    bool stalled(Nanos now) const;
    void observe(Task&, double slow_down);
    void choose_working(Nanos now);
    void relieve(Nanos now, Task&);
    bool look_first(Nanos now, Task&, Worker&);
    double slow_down(Nanos now, Task&, Worker&, double wary, double& start);
    double excess(Nanos now, const Worker&) const;
    double late_start(const Task&, Nanos now) const;
    double failing(Nanos now, Worker&, std::size_t group) const;
    bool young(Nanos now, const Worker&) const;
    bool young_bears(Nanos now, Worker&) const;
    bool has_room(Nanos now, const Task&, Worker&) const;
    struct Load {
        double asked_cores, asked_memory, used_cores, used_memory;
    };
    Load load(Nanos now, Worker&, const ResourceRequest& more) const;
    Worker* pick(Nanos now, Task&, bool under_bound);
    bool fits_nowhere(Nanos now, const Task&) const;
    Nanos time_out(Nanos now, const Task&) const;
    void wake_by(Nanos now, Nanos at);
    int in_place(const Task&, const Worker&, FailureDomain) const;

    DecisionHandler& port_;
    std::ranlux24_base chance_;
    int zone_;
    std::vector<QueueGroup> groups_;
    std::vector<WorkerKind> kinds_;
    WorkerAcceptance accepts_;
    SlowStartSettings cold_;
    DiscoverySettings list_;
    RetrySettings launch_;
    Prices prices_;
    std::vector<const QueueGroup*> steepest_;  // by machine kind, of those that may run there
    double calm_;                              // the least of any queue group's
    std::list<Worker> machines_;
    std::vector<Worker*> fleet_;  // the listed ones, in the order they were met
    std::list<Service> services_;
    std::list<std::unique_ptr<Task>> containers_;
    std::list<Task*> queue_;
    HashRing<Worker> ring_;         // the serving machines
    std::vector<Worker*> changed_;  // entries since the last list_done that changed who is there or serves
    std::uint64_t looks_ = 0;       // choices made
    struct NoRoom {
        double cores = 0, memory = 0;
        Nanos until = 0;
    };
    std::vector<NoRoom> no_room_;  // by queue group: asks from this size on fit nowhere, until then
    int lists_ = 1;                // told so far
    double mean_value_;
    double use_cores_ = 0, use_memory_ = 0, ask_cores_ = 0,
           ask_memory_ = 0;            // fading sums behind the use ratios
    std::vector<double> usual_start_;  // seconds, by queue group, without and with the program known there
    double answer_s_;                  // usual time to a yes
    Nanos begun_ = 0, last_round_ = 0, next_wake_ = 0, next_working_ = 0;
    Nanos retry_list_ = 0, retry_gap_ = 0;
    Nanos short_until_ =
        0;  // until then the working set is one machine larger for each round that found none
    int widen_ = 0;
    double fleet_fill_ = 0;  // of what the serving machines may be filled to
};

}  // namespace whinpost
