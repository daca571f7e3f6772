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

#include "whinpost/placer.h"

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
std::string_view words(Refusal);

enum class Answer { none, placed, deferred, killed, withdrawn };

class Ledger;
struct Record;

struct Node {
    std::string name;
    std::uint64_t mark = 0;  // of its name
    Listed listed;
    bool known = false;                             // in the list
    bool drain_listed = false, drain_said = false;  // by the list; by the node itself
    Nanos drain_heard = 0;                          // when the first of the two was, while either stands
    std::deque<Nanos> young_sends;                  // to it while cold, those of one turn
    int launches_out = 0, held = 0;
    int turns = -1;  // while cold it lets this placer send so many; -1: it does not say

    bool drains() const { return drain_listed || drain_said; }
};

// One launch. Its end comes exactly once; what comes later is told apart by `over`.
struct Launch {
    std::uint64_t number = 0;  // never given out twice by one ledger
    Record* record = nullptr;
    Node* node = nullptr;
    Nanos sent = 0, until = 0;
    bool over = false;
    bool accepted = false, running = false;
    bool taken_over = false;   // never sent by this placer
    bool may_have_run = true;  // known only once it is over: false where its end proves that it never ran
    Ending ending = Ending::unknown;
    std::size_t at = SIZE_MAX;  // the link's own: its place among those that are out
};

// One container of one ask.
struct Record {
    std::uint64_t number = 0;
    std::string container;  // the owner's key
    std::uint64_t service = 0;
    const QueueGroup* group = nullptr;
    int group_index = 0;
    Asked asked;
    Nanos taken = 0, until = 0;
    Answer answer = Answer::none;
    std::vector<Launch>
        launches;             // pointers into it hold: room for all that are allowed is made at the start
    Launch* out = nullptr;    // without an end yet
    Launch* holds = nullptr;  // accepted: the node has it
    bool over = false;        // nothing more can come of it
};

// What the ledger promises and how far this placer got: for operators and tests.
struct Tally {
    std::uint64_t taken = 0, placed = 0, deferred = 0, killed = 0, withdrawn = 0, refused_to_planner = 0,
                  late_yes = 0, answered_by_clock = 0;
};

class Ledger {
public:
    Ledger(std::vector<QueueGroup>, LaunchTerms, ColdTerms);
    virtual ~Ledger() = default;
    Ledger(const Ledger&) = delete;
    Ledger& operator=(const Ledger&) = delete;

    // ---- nodes
    Node& meet(std::string_view name);
    Node* find(std::string_view name);
    void listed(Nanos now, Node&, const Listed&);  // an entry of the list
    void gone(Nanos now, Node&);                   // the list names it no longer
    void said(Nanos now, Node&, bool drains);      // by the node itself, at its greeting or later
    void started_anew(Nanos now, Node&);           // it holds and knows nothing of before

    // ---- containers
    Record& take(Nanos now, std::string_view container, std::uint64_t service, const Asked&);
    Record& take_over(Nanos now, std::string_view container, std::uint64_t service, const Asked&, Node&);
    Record* find(std::uint64_t record);
    void forget(Record&);  // once it is over
    bool given(std::uint64_t launch) const { return launch > 0 && launch < next_launch_; }

    // Whether a launch may be sent now. `listed` of the node must be as last told.
    virtual Refusal may_launch(Nanos now, const Record&, const Node&) const;
    // Writes the launch; to be sent only after. Null where refused, and why.
    Launch* launch(Nanos now, Record&, Node&, Nanos time_out, Refusal& why);
    // A launch that was written and may still be unsent, at the moment of handing it to the socket: not to a
    // node whose drain was heard meanwhile, not after the answer, not after its time.
    virtual bool may_still_send(Nanos now, const Launch&) const;

    // What becomes of a launch. False where it is over already and this says nothing new.
    bool accepted(Nanos now, Launch&);
    bool runs(Nanos now, Launch&);
    bool ended(Nanos now, Launch&, Ending);

    // ---- answers
    bool may_defer(const Record&) const;
    // The answer that can honestly be given: deferred if nothing can have run, else killed.
    Answer honest(const Record& r) const { return may_defer(r) ? Answer::deferred : Answer::killed; }
    // Gives a final answer. False if there is one, or if it asks to defer what may have run.
    virtual bool give(Nanos now, Record&, Answer);

    const Tally& tally() const { return tally_; }
    Tally& tally() { return tally_; }
    const std::vector<QueueGroup>& groups() const { return groups_; }
    std::size_t open() const { return records_.size(); }

protected:
    const Launch* first_maybe(const Record&) const;  // the first launch that may have run, over or still out
    int in_place(std::uint64_t service, const Node&, Place) const;
    bool young(Nanos now, const Node&) const;

private:
    void stands(const Record&, Node&);
    void left(Launch&);

    std::vector<QueueGroup> groups_;
    LaunchTerms terms_;
    ColdTerms cold_;
    std::map<std::string, Node, std::less<>> nodes_;
    std::unordered_map<std::uint64_t, Record> records_;  // looked up, never walked
    struct Standing {
        Node* node;
        int count;
    };
    std::unordered_map<std::uint64_t, std::vector<Standing>> standing_;  // of a service with a stated spread
    std::uint64_t next_record_ = 1, next_launch_ = 1;
    Tally tally_;
};

bool same_place(const Node&, const Node&, Place);

}  // namespace whinpost::ledger
