// What each container's launches may have done, and what is owed to its owner. The edge writes here before it
// sends, and sends nothing that is refused here, whoever asked: the last guard of the five rules. It chooses
// no machine and holds no value that a deployment does not state. No I/O, no clock; times are nanoseconds on
// the caller's clock.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "whinpost/scheduler.h"

namespace whinpost::ledger {

// Why the ledger lets something not be sent. Each names a rule or a promise.
enum class Refusal {
    none,
    answered,                      // the owner has its final answer
    accepted,                      // a node holds it
    attempt_in_flight,             // an earlier launch has no end yet
    too_many_attempts,             // launches than are stated
    too_late,                      // the owner has given up
    unknown_worker,                // no list has named it, or it is gone
    draining,                      // its drain was heard of, grace or no
    wrong_kind,                    // the queue group needs another kind of machine
    may_have_run,                  // side-effecting, and an earlier launch may have run
    outside_deduplication_domain,  // fingerprinted: not among the machines that drop the repeat of the first
                                   // that may have run
    past_deduplication_window,  // fingerprinted: they remember it no longer
    spread,                     // over the most of one service in one place
    no_admission_token,         // over this placer's tokens for a machine in slow start
};
std::string_view to_string(Refusal);

enum class Answer { none, placed, rejected, failed, cancelled };

class Ledger;
struct TaskRecord;

struct WorkerRecord {
    std::string name;
    std::uint64_t name_hash = 0;  // of its name
    EndpointState endpoint;
    bool is_listed = false;                              // in the list
    bool drain_listed = false, drain_announced = false;  // by the list; by the node itself
    Nanos drain_known_at = 0;                            // when the first of the two was, while either stands
    std::deque<Nanos> slow_start_sends;                  // to it while cold, those of one turn
    int attempts_in_flight = 0, tasks_held = 0;
    int admission_tokens = -1;  // while cold it lets this placer send so many; -1: it does not say

    bool is_draining() const { return drain_listed || drain_announced; }
};

// One launch. Its end comes exactly once; what comes later is told apart by `over`.
struct Attempt {
    std::uint64_t number = 0;  // never given out twice by one ledger
    TaskRecord* task = nullptr;
    WorkerRecord* worker = nullptr;
    Nanos sent_at = 0, deadline = 0;
    bool ended = false;
    bool accepted = false, running = false;
    bool adopted = false;      // never sent by this placer
    bool may_have_run = true;  // known only once it is over: false where its end proves that it never ran
    AttemptOutcome outcome = AttemptOutcome::unknown;
    std::size_t connection_index = SIZE_MAX;  // the link's own: its place among those that are out
};

// One container of one ask.
struct TaskRecord {
    std::uint64_t number = 0;
    std::string key;  // the owner's key
    std::uint64_t service = 0;
    const QueueGroup* queue_group = nullptr;
    int queue_group_index = 0;
    ResourceRequest request;
    Nanos submitted_at = 0, deadline = 0;
    Answer answer = Answer::none;
    std::vector<Attempt>
        attempts;  // pointers into it hold: room for all that are allowed is made at the start
    Attempt* in_flight = nullptr;         // without an end yet
    Attempt* accepted_attempt = nullptr;  // accepted: the node has it
    bool closed = false;                  // nothing more can come of it
};

// What the ledger promises and how far this placer got: for operators and tests.
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

    // ---- nodes
    WorkerRecord& add_worker(std::string_view name);
    WorkerRecord* find_worker(std::string_view name);
    void on_endpoint(Nanos now, WorkerRecord&, const EndpointState&);  // an entry of the list
    void on_removed(Nanos now, WorkerRecord&);                         // the list names it no longer
    void on_drain_announced(Nanos now, WorkerRecord&,
                            bool drains);         // by the node itself, at its greeting or later
    void on_restarted(Nanos now, WorkerRecord&);  // it holds and knows nothing of before

    // ---- containers
    TaskRecord& create_task(Nanos now, std::string_view container, std::uint64_t service,
                            const ResourceRequest&);
    TaskRecord& adopt_task(Nanos now, std::string_view container, std::uint64_t service,
                           const ResourceRequest&, WorkerRecord&);
    TaskRecord* find_task(std::uint64_t record);
    void erase_task(TaskRecord&);  // once it is over
    bool was_issued(std::uint64_t launch) const { return launch > 0 && launch < next_attempt_; }

    // Whether a launch may be sent now. `listed` of the node must be as last told.
    virtual Refusal check_attempt(Nanos now, const TaskRecord&, const WorkerRecord&) const;
    // Writes the launch; to be sent only after. Null where refused, and why.
    Attempt* start_attempt(Nanos now, TaskRecord&, WorkerRecord&, Nanos time_out, Refusal& why);
    // A launch that was written and may still be unsent, at the moment of handing it to the socket: not to a
    // node whose drain was heard meanwhile, not after the answer, not after its time.
    virtual bool may_still_send(Nanos now, const Attempt&) const;

    // What becomes of a launch. False where it is over already and this says nothing new.
    bool on_accepted(Nanos now, Attempt&);
    bool on_running(Nanos now, Attempt&);
    bool on_ended(Nanos now, Attempt&, AttemptOutcome);

    // ---- answers
    bool may_reject(const TaskRecord&) const;
    // The answer that can honestly be given: deferred if nothing can have run, else killed.
    Answer honest_answer(const TaskRecord& r) const {
        return may_reject(r) ? Answer::rejected : Answer::failed;
    }
    // Gives a final answer. False if there is one, or if it asks to defer what may have run.
    virtual bool record_answer(Nanos now, TaskRecord&, Answer);

    const LedgerStatistics& statistics() const { return statistics_; }
    LedgerStatistics& statistics() { return statistics_; }
    const std::vector<QueueGroup>& groups() const { return groups_; }
    std::size_t open_tasks() const { return tasks_.size(); }

protected:
    const Attempt* first_possible_run(
        const TaskRecord&) const;  // the first launch that may have run, over or still out
    int tasks_in_domain(std::uint64_t service, const WorkerRecord&, FailureDomain) const;
    bool in_slow_start(Nanos now, const WorkerRecord&) const;

private:
    void count_task(const TaskRecord&, WorkerRecord&);
    void release_task(Attempt&);

    std::vector<QueueGroup> groups_;
    RetrySettings retry_;
    SlowStartSettings slow_start_;
    std::map<std::string, WorkerRecord, std::less<>> workers_;
    std::unordered_map<std::uint64_t, TaskRecord> tasks_;  // looked up, never walked
    struct Standing {
        WorkerRecord* worker;
        int count;
    };
    std::unordered_map<std::uint64_t, std::vector<Standing>>
        spread_counts_;  // of a service with a stated spread
    std::uint64_t next_task_ = 1, next_attempt_ = 1;
    LedgerStatistics statistics_;
};

bool same_domain(const WorkerRecord&, const WorkerRecord&, FailureDomain);

}  // namespace whinpost::ledger
