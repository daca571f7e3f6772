// Membership: which nodes there are, and what may be done with each. Several speak of one node: the list
// (late, at times very late, wrong or silent), the node itself when it greets and when it drains, and the
// connection to it. Each thing said is kept with its source and its age; what follows from all of it is one
// standing. No I/O, no clock: times are nanoseconds on the caller's clock, 0 for never. It chooses no node
// for a container.
//
// The rules, in the order in which they are applied (docs/notes/fleet.md weighs them):
//   1  Of two words of one source the newer stands, by the time they speak of, not by when they come.
//   2  A drain is believed at once from whoever says it. Only the source that said it takes it back; what a
//      node said of itself ends with its life.
//   3  A node that the list calls gone, or a whole list leaves out, gets nothing new. What it holds is lost
//      only once it can't be reached either.
//   4  A whole list that leaves out most nodes, while they answer, is doubted: it is asked for again, and
//      believed if nothing better comes within the part of the drain grace that is kept for it.
//   5  A life of a node is its incarnation. Of two times of its start the later stands: a node is young by
//   its
//      own word before the list knows, and by the list's before it greets.
//   6  A node that came back again and again within a minute gets nothing new for a while, which doubles.
//   7  A node that can't be reached gets nothing new until it greets.
//   8  A node that only an old list names gets nothing new until it greets.
//   9  Where the list's amounts are old, what the node itself reported since stands for them.
//  10  Named twice in one message: the more careful of the two in each respect, and of the addresses the one
//      where it has greeted, else that of the later start.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "timer_wheel/timer_wheel.h"
#include "whinpost/scheduler.h"
#include "whinpost/sliding_counter.h"

namespace whinpost::membership {

enum class WorkerState {
    unknown,      // no list has named it
    serving,      // it may be given work
    unconfirmed,  // only an old list names it, and it has not greeted
    away,         // named, and it can't be reached
    unsteady,     // it came back too often
    draining,     // by the list or by its own word
    leaving,      // gone by the list, and it still answers: nothing new, what it holds is held
    gone,         // and it can't be reached: what it held is lost
};
std::string_view to_string(WorkerState);

class Membership;

// One node, by its name.
class WorkerEntry {
public:
    WorkerEntry(Membership&, std::string name, std::uint32_t number);
    const std::string name;
    const std::uint32_t number;  // counted from 0 in the order in which they were met

    // ---- what follows
    WorkerState standing = WorkerState::unknown;
    EndpointState told;      // as the planner is to take it
    std::string address;     // where it is to be dialled
    Nanos drains_since = 0;  // it drains or is gone, and since when that is known

    // ---- what was said, and by whom
    struct ByList {
        bool ever = false;
        EndpointState entry;
        Nanos as_of = 0;          // the time of which it speaks
        Nanos age_when_told = 0;  // how old that was when it came
        bool left_out = false;    // not called gone, but in a whole list no more
    } list;
    struct ByNode {
        std::uint64_t incarnation = 0;
        Nanos greeted = 0, started = 0;  // started: 0 where it has not said, or long ago
        bool drains = false;
        LoadReport report;
        Nanos reported = 0;
    } node;
    struct Connection {
        bool up = false, ever = false;
        int failed = 0;  // dials in a row
        Nanos since = 0;
    } connection;

private:
    friend class Membership;
    struct Held final : timer_wheel::Timer {
        explicit Held(WorkerEntry& m) : member(m) {}
        void on_deadline(Nanos) override;
        WorkerEntry& member;
    };
    Membership& fleet_;
    Held held_;                 // the end of a time in which it gets nothing new
    SlidingCounter<12> lives_;  // new ones, over a minute
    Nanos steady_at_ = 0, corrected_ = 0;
    std::uint64_t turn_ = 0;  // the list message that named it last
    bool doubted_ = false;
};

// What the fleet asks of its embedder. Called within the calls below; none may be made from within them.
class MembershipHandler {
public:
    virtual ~MembershipHandler() = default;
    // `told`, `standing` or `address` changed. Careful: it may take less than before, and this can't wait.
    virtual void stands(Nanos now, WorkerEntry&, bool careful) = 0;
    virtual void drains(Nanos now, WorkerEntry&) = 0;     // first heard now; before stands()
    virtual void back(Nanos now, WorkerEntry&) = 0;       // it drains no more; before stands()
    virtual void list_again(Nanos now) = 0;               // ask for the whole list, whatever the mode
    virtual void dial_anew(Nanos now, WorkerEntry&) = 0;  // another life of it stands at another address
    virtual void turn_at(Nanos at) = 0;                   // call turn() then
};

struct MembershipStatistics {
    std::uint64_t contradictions = 0, older = 0, doubts = 0, doubts_right = 0, lives = 0, unsteady = 0,
                  corrected = 0, strange = 0;
};

class Membership {
public:
    // `drain_grace`: of which a doubted list may use a part, in nanoseconds, over 0. `report_is_free`: what
    // nodes report as free means the same as what the list says is free.
    Membership(MembershipHandler&, Nanos now, Nanos drain_grace, bool report_is_free);
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    WorkerEntry& meet(std::string_view name);
    WorkerEntry* find(std::string_view name);
    WorkerEntry& at(std::uint32_t number) { return *members_.at(number); }
    std::size_t size() const { return members_.size(); }

    // ---- the list: one message is list_begins, its entries, list_ends
    // `age`: how old the list service says its view is; 0 where it says nothing.
    void list_begins(Nanos now, Nanos age, bool whole);
    void entry(Nanos now, WorkerEntry&, const EndpointState&, std::string_view address);
    void list_ends(Nanos now);

    // ---- the node itself
    // `up_for`: 0 where it does not say, or very long.
    void greeted(Nanos now, WorkerEntry&, std::uint64_t incarnation, Nanos up_for, bool drains,
                 const LoadReport&);
    void says_drain(Nanos now, WorkerEntry&);
    void reported(Nanos now, WorkerEntry&, const LoadReport&);

    // ---- the connection
    void broken(Nanos now, WorkerEntry&);
    void dial_failed(Nanos now, WorkerEntry&);
    void stranger();  // another node greeted at an address; the dial counts as failed

    void turn(Nanos now);

    const MembershipStatistics& counts() const { return counts_; }
    std::size_t count(WorkerState s) const { return by_standing_[static_cast<std::size_t>(s)]; }
    // How old the newest word of the list is; 0 before the first.
    Nanos list_age(Nanos now) const { return list_as_of_ ? now - list_as_of_ : 0; }
    bool doubts() const { return doubt_until_ != 0; }
    // For people: the standing and all that speaks for and against it, with ages.
    std::string why(Nanos now, const WorkerEntry&) const;

private:
    friend class WorkerEntry;
    struct Doubt final : timer_wheel::Timer {
        explicit Doubt(Membership& f) : fleet(f) {}
        void on_deadline(Nanos now) override { fleet.doubt_over(now); }
        Membership& fleet;
    };
    WorkerState judge(Nanos now, const WorkerEntry&) const;
    EndpointState tell(Nanos now, const WorkerEntry&) const;
    void settle(Nanos now, WorkerEntry&);
    void leave_out(Nanos now, WorkerEntry&, Nanos as_of);
    void named_twice(WorkerEntry&, const EndpointState&, std::string_view address);
    void new_life(Nanos now, WorkerEntry&);
    void doubt_over(Nanos now);
    void arm(timer_wheel::Timer&, Nanos at);

    MembershipHandler& port_;
    Nanos drain_grace_;
    bool report_is_free_;
    timer_wheel::TimerWheel wheel_;
    std::vector<std::unique_ptr<WorkerEntry>> members_;  // by number
    std::map<std::string, WorkerEntry*, std::less<>> names_;
    std::vector<std::size_t> by_standing_;
    Doubt doubt_;
    Nanos doubt_until_ = 0, list_as_of_ = 0;
    // of the message that is being read
    std::uint64_t turn_ = 0;
    Nanos turn_as_of_ = 0, turn_age_ = 0;
    bool turn_whole_ = false;
    std::vector<WorkerEntry*> named_;
    MembershipStatistics counts_;
};

}  // namespace whinpost::membership
