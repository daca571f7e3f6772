// The record of which attempts of each task may have run, and which answer its client is owed.
//
// A server writes to the ledger before it sends, and sends nothing that the ledger refuses, whatever the
// planner asked for: the ledger is the last guard of the five placement rules. It chooses no worker and holds
// no value that the configuration does not state. No I/O and no clock: times are nanoseconds on the caller's
// clock.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

#include "whinpost/scheduler.h"

namespace whinpost::ledger {

// Why an attempt may not be sent. Each names a rule or a promise.
enum class Refusal {
    none,
    answered,                      // the client has its final answer
    accepted,                      // a worker has accepted the task
    attempt_in_flight,             // an earlier attempt has not ended yet
    too_many_attempts,             // as many attempts as are configured were made
    too_late,                      // the client's deadline has passed
    unknown_worker,                // no endpoint list has named the worker, or it is gone
    draining,                      // the worker's drain is known, whether or not its grace period has passed
    wrong_kind,                    // the queue group requires workers of another kind
    may_have_run,                  // side-effecting, and an earlier attempt may have run
    outside_deduplication_domain,  // keyed: not among the workers that drop a repeat of the first attempt
                                   // that may have run
    past_deduplication_window,     // keyed: they no longer remember that attempt
    spread,                        // the failure domain has its maximum of the service
    no_admission_token,            // the worker is in slow start and this placer has no token for it left
};
std::string_view to_string(Refusal);

// The final answer to a client. An accepted task is `placed`; whatever becomes of it later is an outcome and
// not an answer.
enum class Answer { none, placed, rejected, failed, cancelled };

class Ledger;
struct TaskRecord;

// One worker as far as the rules go. The embedder keeps `admission_tokens` up to date.
struct WorkerRecord {
    std::string name;
    std::uint64_t name_hash = 0;
    EndpointState endpoint;
    bool is_listed = false;              // the endpoint list names it
    bool drain_listed = false;           // the endpoint list says that it is draining
    bool drain_announced = false;        // the worker itself says so
    Nanos drain_known_at = 0;            // when the first of the two was heard; valid while either holds
    std::deque<Nanos> slow_start_sends;  // attempts sent to it in the present window of its slow start
    int attempts_in_flight = 0, tasks_held = 0;
    int admission_tokens = -1;  // attempts it allows this placer while in slow start; -1: it issues no tokens

    bool is_draining() const { return drain_listed || drain_announced; }
};

// One attempt to start a task on a worker. It ends exactly once.
struct Attempt {
    std::uint64_t number = 0;  // never used twice by one ledger
    TaskRecord* task = nullptr;
    WorkerRecord* worker = nullptr;
    Nanos sent_at = 0, deadline = 0;
    bool ended = false;
    bool accepted = false, running = false;
    bool adopted = false;      // never sent by this placer: another one started it
    bool may_have_run = true;  // valid once it has ended: false where its outcome proves that it never ran
    AttemptOutcome outcome = AttemptOutcome::unknown;
    std::size_t connection_index = SIZE_MAX;  // the worker connection's own: its index among those in flight
};

// One task of one request of a client.
struct TaskRecord {
    std::uint64_t number = 0;
    std::string key;  // the client's key
    std::uint64_t service = 0;
    const QueueGroup* queue_group = nullptr;
    int queue_group_index = 0;
    ResourceRequest request;
    Nanos submitted_at = 0, deadline = 0;
    Answer answer = Answer::none;
    // Never reallocated, since others point into it: create_task() reserves space for all that are allowed.
    std::vector<Attempt> attempts;
    Attempt* in_flight = nullptr;         // the attempt that has not ended
    Attempt* accepted_attempt = nullptr;  // the attempt that a worker has accepted
    bool closed = false;                  // nothing more can come of the task
};

// Counters for operators and tests.
struct LedgerStatistics {
    std::uint64_t submitted = 0, accepted = 0, rejected = 0, failed = 0, cancelled = 0,
                  refused_to_planner = 0, late_accepts = 0, answered_by_deadline = 0;
};

class Ledger {
public:
    Ledger(std::vector<QueueGroup>, RetrySettings, SlowStartSettings);
    virtual ~Ledger() = default;
    Ledger(const Ledger&) = delete;
    Ledger& operator=(const Ledger&) = delete;

    // ---- workers
    WorkerRecord& add_worker(std::string_view name);  // or the one that exists
    WorkerRecord* find_worker(std::string_view name);
    void on_endpoint(Nanos now, WorkerRecord&, const EndpointState&);
    // A snapshot of the endpoint list no longer names the worker.
    void on_removed(Nanos now, WorkerRecord&);
    // The worker itself said whether it is draining, in its greeting or later.
    void on_drain_announced(Nanos now, WorkerRecord&, bool draining);
    // The worker restarted: it holds and knows nothing from before.
    void on_restarted(Nanos now, WorkerRecord&);

    // ---- tasks
    TaskRecord& create_task(Nanos now, std::string_view key, std::uint64_t service, const ResourceRequest&);
    // A task that runs on the worker already, started by another placer: placed from the outset.
    TaskRecord& adopt_task(Nanos now, std::string_view key, std::uint64_t service, const ResourceRequest&,
                           WorkerRecord&);
    TaskRecord* find_task(std::uint64_t number);
    void erase_task(TaskRecord&);
    // Whether this ledger ever used the number for an attempt.
    bool was_issued(std::uint64_t attempt) const { return attempt > 0 && attempt < next_attempt_; }

    // Whether an attempt may be sent now, by what is known of the worker at present.
    virtual Refusal check_attempt(Nanos now, const TaskRecord&, const WorkerRecord&) const;
    // Records an attempt, which may be sent only after this. It lives as long as its task. `time_out` of less
    // than a millisecond is taken as one.
    [[nodiscard]] tl::expected<Attempt*, Refusal> start_attempt(Nanos now, TaskRecord&, WorkerRecord&,
                                                                Nanos time_out);
    // Asked again at the moment at which a recorded attempt is handed to the socket: it must not go to a
    // worker whose drain was heard meanwhile, nor after the answer, nor after its deadline.
    virtual bool may_still_send(Nanos now, const Attempt&) const;

    // The course of an attempt. False where it has ended already and the event changes nothing.
    bool on_accepted(Nanos now, Attempt&);
    bool on_running(Nanos now, Attempt&);
    bool on_ended(Nanos now, Attempt&, AttemptOutcome);

    // ---- answers
    bool may_reject(const TaskRecord&) const;
    // The answer that can be given truthfully: rejected if nothing can have run, else failed.
    Answer honest_answer(const TaskRecord& task) const {
        return may_reject(task) ? Answer::rejected : Answer::failed;
    }
    // Records a final answer. False if there is one already, or if a task that may have run would be
    // rejected.
    virtual bool record_answer(Nanos now, TaskRecord&, Answer);

    const LedgerStatistics& statistics() const { return statistics_; }
    LedgerStatistics& statistics() { return statistics_; }
    const std::vector<QueueGroup>& groups() const { return groups_; }
    std::size_t open_tasks() const { return tasks_.size(); }

protected:
    // The first attempt that may have run, ended or still in flight; null if there is none.
    const Attempt* first_possible_run(const TaskRecord&) const;
    int tasks_in_domain(std::uint64_t service, const WorkerRecord&, FailureDomain) const;
    bool in_slow_start(Nanos now, const WorkerRecord&) const;

private:
    struct WorkerTasks {
        WorkerRecord* worker;
        int count;
    };

    // The parts of check_attempt(), in the order in which they are applied.
    Refusal check_task(Nanos now, const TaskRecord&) const;
    Refusal check_worker(const TaskRecord&, const WorkerRecord&) const;
    Refusal check_retry(Nanos now, const TaskRecord&, const WorkerRecord&) const;
    Refusal check_spread(const TaskRecord&, const WorkerRecord&) const;
    Refusal check_slow_start(Nanos now, const WorkerRecord&) const;

    bool repeat_expired(Nanos now, const Attempt&) const;
    bool slow_start_window_passed(Nanos now, const Attempt&) const;
    bool same_window(Nanos first, Nanos second) const;  // of slow start

    Attempt& add_attempt(TaskRecord&, WorkerRecord&);
    void record_slow_start_send(Nanos now, WorkerRecord&);
    void count_task(const TaskRecord&, WorkerRecord&);
    void release_task(Attempt&);

    std::vector<QueueGroup> groups_;
    RetrySettings retry_;
    SlowStartSettings slow_start_;
    std::map<std::string, WorkerRecord, std::less<>> workers_;
    std::unordered_map<std::uint64_t, TaskRecord> tasks_;  // looked up, never iterated
    // By service, of those with a configured spread.
    std::unordered_map<std::uint64_t, std::vector<WorkerTasks>> spread_counts_;
    std::uint64_t next_task_ = 1, next_attempt_ = 1;
    LedgerStatistics statistics_;
};

// Whether both workers are in one failure domain of that kind.
bool same_domain(const WorkerRecord&, const WorkerRecord&, FailureDomain);

}  // namespace whinpost::ledger
