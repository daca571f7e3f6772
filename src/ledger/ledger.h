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
    answered,         // the owner has its final answer
    placed,           // a node holds it
    launch_out,       // an earlier launch has no end yet
    too_many,         // launches than are stated
    too_late,         // the owner has given up
    unknown_node,     // no list has named it, or it is gone
    draining,         // its drain was heard of, grace or no
    wrong_kind,       // the queue group needs another kind of machine
    may_have_run,     // side-effecting, and an earlier launch may have run
    outside_repeats,  // fingerprinted: not among the machines that drop the repeat of the first that may have
                      // run
    past_window,      // fingerprinted: they remember it no longer
    spread,           // over the most of one service in one place
    cold,             // over this placer's tokens for a machine in slow start
};
std::string_view to_string(Refusal);

enum class Answer { none, placed, deferred, killed, withdrawn };

class Ledger;
struct TaskRecord;

struct WorkerRecord {
    std::string name;
    std::uint64_t mark = 0;  // of its name
    EndpointState listed;
    bool known = false;                             // in the list
    bool drain_listed = false, drain_said = false;  // by the list; by the node itself
    Nanos drain_heard = 0;                          // when the first of the two was, while either stands
    std::deque<Nanos> young_sends;                  // to it while cold, those of one turn
    int launches_out = 0, held = 0;
    int turns = -1;  // while cold it lets this placer send so many; -1: it does not say

    bool drains() const { return drain_listed || drain_said; }
};

// One launch. Its end comes exactly once; what comes later is told apart by `over`.
struct Attempt {
    std::uint64_t number = 0;  // never given out twice by one ledger
    TaskRecord* record = nullptr;
    WorkerRecord* node = nullptr;
    Nanos sent = 0, until = 0;
    bool over = false;
    bool accepted = false, running = false;
    bool taken_over = false;   // never sent by this placer
    bool may_have_run = true;  // known only once it is over: false where its end proves that it never ran
    AttemptOutcome ending = AttemptOutcome::unknown;
    std::size_t at = SIZE_MAX;  // the link's own: its place among those that are out
};

// One container of one ask.
struct TaskRecord {
    std::uint64_t number = 0;
    std::string container;  // the owner's key
    std::uint64_t service = 0;
    const QueueGroup* group = nullptr;
    int group_index = 0;
    ResourceRequest asked;
    Nanos taken = 0, until = 0;
    Answer answer = Answer::none;
    std::vector<Attempt>
        launches;              // pointers into it hold: room for all that are allowed is made at the start
    Attempt* out = nullptr;    // without an end yet
    Attempt* holds = nullptr;  // accepted: the node has it
    bool over = false;         // nothing more can come of it
};

// What the ledger promises and how far this placer got: for operators and tests.
struct LedgerStatistics {
    std::uint64_t taken = 0, placed = 0, deferred = 0, killed = 0, withdrawn = 0, refused_to_planner = 0,
                  late_yes = 0, answered_by_clock = 0;
};

class Ledger {
public:
    Ledger(std::vector<QueueGroup>, RetrySettings, SlowStartSettings);
    virtual ~Ledger() = default;
    Ledger(const Ledger&) = delete;
    Ledger& operator=(const Ledger&) = delete;

    // ---- nodes
    WorkerRecord& meet(std::string_view name);
    WorkerRecord* find(std::string_view name);
    void listed(Nanos now, WorkerRecord&, const EndpointState&);  // an entry of the list
    void gone(Nanos now, WorkerRecord&);                          // the list names it no longer
    void said(Nanos now, WorkerRecord&, bool drains);  // by the node itself, at its greeting or later
    void started_anew(Nanos now, WorkerRecord&);       // it holds and knows nothing of before

    // ---- containers
    TaskRecord& take(Nanos now, std::string_view container, std::uint64_t service, const ResourceRequest&);
    TaskRecord& take_over(Nanos now, std::string_view container, std::uint64_t service,
                          const ResourceRequest&, WorkerRecord&);
    TaskRecord* find(std::uint64_t record);
    void forget(TaskRecord&);  // once it is over
    bool given(std::uint64_t launch) const { return launch > 0 && launch < next_launch_; }

    // Whether a launch may be sent now. `listed` of the node must be as last told.
    virtual Refusal may_launch(Nanos now, const TaskRecord&, const WorkerRecord&) const;
    // Writes the launch; to be sent only after. Null where refused, and why.
    Attempt* launch(Nanos now, TaskRecord&, WorkerRecord&, Nanos time_out, Refusal& why);
    // A launch that was written and may still be unsent, at the moment of handing it to the socket: not to a
    // node whose drain was heard meanwhile, not after the answer, not after its time.
    virtual bool may_still_send(Nanos now, const Attempt&) const;

    // What becomes of a launch. False where it is over already and this says nothing new.
    bool accepted(Nanos now, Attempt&);
    bool runs(Nanos now, Attempt&);
    bool ended(Nanos now, Attempt&, AttemptOutcome);

    // ---- answers
    bool may_defer(const TaskRecord&) const;
    // The answer that can honestly be given: deferred if nothing can have run, else killed.
    Answer honest(const TaskRecord& r) const { return may_defer(r) ? Answer::deferred : Answer::killed; }
    // Gives a final answer. False if there is one, or if it asks to defer what may have run.
    virtual bool give(Nanos now, TaskRecord&, Answer);

    const LedgerStatistics& tally() const { return tally_; }
    LedgerStatistics& tally() { return tally_; }
    const std::vector<QueueGroup>& groups() const { return groups_; }
    std::size_t open() const { return records_.size(); }

protected:
    const Attempt* first_maybe(
        const TaskRecord&) const;  // the first launch that may have run, over or still out
    int in_place(std::uint64_t service, const WorkerRecord&, FailureDomain) const;
    bool young(Nanos now, const WorkerRecord&) const;

private:
    void stands(const TaskRecord&, WorkerRecord&);
    void left(Attempt&);

    std::vector<QueueGroup> groups_;
    RetrySettings terms_;
    SlowStartSettings cold_;
    std::map<std::string, WorkerRecord, std::less<>> nodes_;
    std::unordered_map<std::uint64_t, TaskRecord> records_;  // looked up, never walked
    struct Standing {
        WorkerRecord* node;
        int count;
    };
    std::unordered_map<std::uint64_t, std::vector<Standing>> standing_;  // of a service with a stated spread
    std::uint64_t next_record_ = 1, next_launch_ = 1;
    LedgerStatistics tally_;
};

bool same_place(const WorkerRecord&, const WorkerRecord&, FailureDomain);

}  // namespace whinpost::ledger
