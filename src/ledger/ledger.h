// Records which attempts of each task may have run and which final answer its client has received.
//
// A server records each attempt in the ledger before it sends it, and sends nothing that the ledger refuses,
// whatever the planner decided: the ledger enforces the five placement rules. It chooses no worker, and all
// of its limits come from the configuration. It does no I/O and reads no clock: times are nanoseconds on the
// caller's clock.
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

// Why an attempt may not be sent.
enum class Refusal {
    none,
    answered,           // the client has its final answer
    accepted,           // a worker has accepted the task
    attempt_in_flight,  // an earlier attempt has not ended yet
    too_many_attempts,  // the task has used its maximum number of attempts
    too_late,           // the client's deadline has passed
    unknown_worker,     // no endpoint list has named the worker, or it is gone
    draining,           // the worker is known to drain, whether or not its grace period has passed
    wrong_kind,         // the queue group requires workers of another kind
    may_have_run,       // side-effecting task: an earlier attempt may have run
    // Keyed task: the worker is not one of those that drop a repeat of the first attempt that may have run.
    outside_deduplication_domain,
    past_deduplication_window,  // keyed task: those workers no longer remember that attempt
    spread,                     // the failure domain holds the maximum number of the service's tasks
    no_admission_token,         // the worker is in slow start and this placer has no token left for it
};
std::string_view to_string(Refusal);

// The final answer to a client. A task that a worker accepted is `placed`; how it ends later is recorded as
// an AttemptOutcome.
enum class Answer { none, placed, rejected, failed, cancelled };

class Ledger;
struct TaskRecord;

// The state of a worker that the placement rules depend on. The embedder keeps `admission_tokens` up to date.
struct WorkerRecord {
    std::string name;
    std::uint64_t name_hash = 0;
    EndpointState endpoint;
    bool is_listed = false;              // the worker is in the endpoint list
    bool drain_listed = false;           // the endpoint list announced a drain
    bool drain_announced = false;        // the worker itself announced a drain
    Nanos drain_known_at = 0;            // when the first of the two was received; valid while is_draining()
    std::deque<Nanos> slow_start_sends;  // when attempts were sent in the current slow-start window
    int attempts_in_flight = 0, tasks_held = 0;
    int admission_tokens = -1;  // attempts it may be sent while in slow start; -1: it issues no tokens

    bool is_draining() const { return drain_listed || drain_announced; }
};

// One attempt to start a task on a worker. It ends exactly once.
struct Attempt {
    std::uint64_t number = 0;  // unique within one ledger
    TaskRecord* task = nullptr;
    WorkerRecord* worker = nullptr;
    Nanos sent_at = 0, deadline = 0;
    bool ended = false;
    bool accepted = false, running = false;
    bool adopted = false;      // started by another placer, never sent by this one
    bool may_have_run = true;  // valid once ended; false if the outcome proves that the attempt never ran
    AttemptOutcome outcome = AttemptOutcome::unknown;
    std::size_t connection_index = SIZE_MAX;  // index in WorkerConnection's list of attempts in flight
};

// One task that a client submitted or handed over.
struct TaskRecord {
    std::uint64_t number = 0;
    std::string key;  // the client's key
    std::uint64_t service = 0;
    const QueueGroup* queue_group = nullptr;
    int queue_group_index = 0;
    ResourceRequest request;
    Nanos submitted_at = 0, deadline = 0;
    Answer answer = Answer::none;
    // Never reallocated, since callers keep pointers to its elements: create_task() reserves the maximum
    // size.
    std::vector<Attempt> attempts;
    Attempt* in_flight = nullptr;         // the attempt that has not ended
    Attempt* accepted_attempt = nullptr;  // the attempt that a worker has accepted
    bool closed = false;                  // answered, and no attempt is in flight
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
    WorkerRecord& add_worker(std::string_view name);  // returns the existing record if there is one
    WorkerRecord* find_worker(std::string_view name);
    void on_endpoint(Nanos now, WorkerRecord&, const EndpointState&);
    // A snapshot of the endpoint list omits the worker.
    void on_removed(Nanos now, WorkerRecord&);
    // The worker reported whether it is draining, in its greeting or later.
    void on_drain_announced(Nanos now, WorkerRecord&, bool draining);
    // The worker restarted, and has lost its tasks and its memory of earlier attempts.
    void on_restarted(Nanos now, WorkerRecord&);

    // ---- tasks
    TaskRecord& create_task(Nanos now, std::string_view key, std::uint64_t service, const ResourceRequest&);
    // Records a task that already runs on the worker and was started by another placer. Its answer is
    // `placed`.
    TaskRecord& adopt_task(Nanos now, std::string_view key, std::uint64_t service, const ResourceRequest&,
                           WorkerRecord&);
    TaskRecord* find_task(std::uint64_t number);
    void erase_task(TaskRecord&);
    // Whether this ledger has assigned the number to an attempt.
    bool was_issued(std::uint64_t attempt) const { return attempt > 0 && attempt < next_attempt_; }

    // Whether an attempt may be sent to the worker now, and if not, why.
    virtual Refusal check_attempt(Nanos now, const TaskRecord&, const WorkerRecord&) const;
    // Records an attempt; only a recorded attempt may be sent. The attempt lives as long as its task. A
    // `time_out` below 1 ms is raised to 1 ms.
    [[nodiscard]] tl::expected<Attempt*, Refusal> start_attempt(Nanos now, TaskRecord&, WorkerRecord&,
                                                                Nanos time_out);
    // Checked again when a recorded attempt is about to be written to the socket. False if the worker's drain
    // has become known since, the client has its answer, or the attempt's deadline has passed.
    virtual bool may_still_send(Nanos now, const Attempt&) const;

    // Attempt events. Each returns false if it changes nothing, for example because the attempt has already
    // ended.
    bool on_accepted(Nanos now, Attempt&);
    bool on_running(Nanos now, Attempt&);
    bool on_ended(Nanos now, Attempt&, AttemptOutcome);

    // ---- answers
    bool may_reject(const TaskRecord&) const;
    // `rejected` if may_reject(), else `failed`.
    Answer rejected_or_failed(const TaskRecord& task) const {
        return may_reject(task) ? Answer::rejected : Answer::failed;
    }
    // Records a final answer. Returns false, and records nothing, if the task already has an answer, or if
    // `rejected` is given and may_reject() is false.
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
    bool same_window(Nanos first, Nanos second) const;  // of slow start, on this placer's clock

    Attempt& add_attempt(TaskRecord&, WorkerRecord&);
    void record_slow_start_send(Nanos now, WorkerRecord&);
    void count_task(const TaskRecord&, WorkerRecord&);
    void release_task(Attempt&);

    std::vector<QueueGroup> groups_;
    RetrySettings retry_;
    SlowStartSettings slow_start_;
    std::map<std::string, WorkerRecord, std::less<>> workers_;
    std::unordered_map<std::uint64_t, TaskRecord> tasks_;  // looked up, never iterated
    // Tasks of each service per worker, for queue groups with a spread domain.
    std::unordered_map<std::uint64_t, std::vector<WorkerTasks>> spread_counts_;
    std::uint64_t next_task_ = 1, next_attempt_ = 1;
    LedgerStatistics statistics_;
};

// Whether both workers are in the same failure domain of that kind.
bool same_domain(const WorkerRecord&, const WorkerRecord&, FailureDomain);

}  // namespace whinpost::ledger
