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
    unreachable,  // named, and it can't be reached
    flapping,     // it came back too often
    draining,     // by the list or by its own word
    delisted,     // gone by the list, and it still answers: nothing new, what it holds is held
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
    WorkerState state = WorkerState::unknown;
    EndpointState effective_endpoint;  // as the planner is to take it
    std::string address;               // where it is to be dialled
    Nanos draining_since = 0;          // it drains or is gone, and since when that is known

    // ---- what was said, and by whom
    struct ListedState {
        bool is_known = false;
        EndpointState endpoint;
        Nanos as_of = 0;           // the time of which it speaks
        Nanos age_on_arrival = 0;  // how old that was when it came
        bool is_omitted = false;   // not called gone, but in a whole list no more
    } listed;
    struct ReportedState {
        std::uint64_t incarnation = 0;
        Nanos greeted_at = 0, started_at = 0;  // started: 0 where it has not said, or long ago
        bool is_draining = false;
        LoadReport load;
        Nanos load_reported_at = 0;
    } reported;
    struct Connection {
        bool is_up = false, was_ever_up = false;
        int failed_dials = 0;  // dials in a row
        Nanos changed_at = 0;
    } connection;

private:
    friend class Membership;
    struct HoldTimer final : timer_wheel::Timer {
        explicit HoldTimer(WorkerEntry& m) : entry(m) {}
        void on_deadline(Nanos) override;
        WorkerEntry& entry;
    };
    Membership& membership_;
    HoldTimer hold_timer_;         // the end of a time in which it gets nothing new
    SlidingCounter<12> restarts_;  // new ones, over a minute
    Nanos hold_until_ = 0, corrected_at_ = 0;
    std::uint64_t latest_update_ = 0;  // the list message that named it last
    bool is_doubtfully_omitted_ = false;
};

// What the fleet asks of its embedder. Called within the calls below; none may be made from within them.
class MembershipHandler {
public:
    virtual ~MembershipHandler() = default;
    // `told`, `standing` or `address` changed. Careful: it may take less than before, and this can't wait.
    virtual void on_worker_changed(Nanos now, WorkerEntry&, bool careful) = 0;
    virtual void on_drain_started(Nanos now, WorkerEntry&) = 0;  // first heard now; before stands()
    virtual void on_drain_revoked(Nanos now, WorkerEntry&) = 0;  // it drains no more; before stands()
    virtual void on_snapshot_needed(Nanos now) = 0;              // ask for the whole list, whatever the mode
    virtual void on_address_changed(Nanos now,
                                    WorkerEntry&) = 0;  // another life of it stands at another address
    virtual void wake_at(Nanos at) = 0;                 // call turn() then
};

struct MembershipStatistics {
    std::uint64_t contradictions = 0, stale_entries = 0, doubtful_snapshots = 0, confirmed_snapshots = 0,
                  restarts = 0, flapping = 0, corrected_amounts = 0, name_mismatches = 0;
};

class Membership {
public:
    // `drain_grace`: of which a doubted list may use a part, in nanoseconds, over 0. `report_is_free`: what
    // nodes report as free means the same as what the list says is free.
    Membership(MembershipHandler&, Nanos now, Nanos drain_grace, bool report_is_free);
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    WorkerEntry& find_or_add(std::string_view name);
    WorkerEntry* find(std::string_view name);
    WorkerEntry& at(std::uint32_t number) { return *workers_.at(number); }
    std::size_t size() const { return workers_.size(); }

    // ---- the list: one message is list_begins, its entries, list_ends
    // `age`: how old the list service says its view is; 0 where it says nothing.
    void begin_update(Nanos now, Nanos age, bool whole);
    void on_endpoint(Nanos now, WorkerEntry&, const EndpointState&, std::string_view address);
    void end_update(Nanos now);

    // ---- the node itself
    // `up_for`: 0 where it does not say, or very long.
    void on_greeting(Nanos now, WorkerEntry&, std::uint64_t incarnation, Nanos up_for, bool drains,
                     const LoadReport&);
    void on_drain_announced(Nanos now, WorkerEntry&);
    void on_load_report(Nanos now, WorkerEntry&, const LoadReport&);

    // ---- the connection
    void on_disconnected(Nanos now, WorkerEntry&);
    void on_dial_failed(Nanos now, WorkerEntry&);
    void on_name_mismatch();  // another node greeted at an address; the dial counts as failed

    void run_timers(Nanos now);

    const MembershipStatistics& statistics() const { return statistics_; }
    std::size_t count(WorkerState s) const { return count_by_state_[static_cast<std::size_t>(s)]; }
    // How old the newest word of the list is; 0 before the first.
    Nanos endpoints_age(Nanos now) const { return endpoints_as_of_ ? now - endpoints_as_of_ : 0; }
    bool has_doubtful_snapshot() const { return doubt_until_ != 0; }
    // For people: the standing and all that speaks for and against it, with ages.
    std::string explain(Nanos now, const WorkerEntry&) const;

private:
    friend class WorkerEntry;
    struct DoubtTimer final : timer_wheel::Timer {
        explicit DoubtTimer(Membership& f) : membership(f) {}
        void on_deadline(Nanos now) override { membership.on_doubt_timeout(now); }
        Membership& membership;
    };
    WorkerState evaluate_state(Nanos now, const WorkerEntry&) const;
    EndpointState effective_endpoint(Nanos now, const WorkerEntry&) const;
    void update_worker(Nanos now, WorkerEntry&);
    void omit(Nanos now, WorkerEntry&, Nanos as_of);
    void merge_duplicate(WorkerEntry&, const EndpointState&, std::string_view address);
    void on_restart(Nanos now, WorkerEntry&);
    void on_doubt_timeout(Nanos now);
    void arm(timer_wheel::Timer&, Nanos at);

    MembershipHandler& handler_;
    Nanos drain_grace_;
    bool report_is_free_;
    timer_wheel::TimerWheel wheel_;
    std::vector<std::unique_ptr<WorkerEntry>> workers_;  // by number
    std::map<std::string, WorkerEntry*, std::less<>> by_name_;
    std::vector<std::size_t> count_by_state_;
    DoubtTimer doubt_timer_;
    Nanos doubt_until_ = 0, endpoints_as_of_ = 0;
    // of the message that is being read
    std::uint64_t update_number_ = 0;
    Nanos update_as_of_ = 0, update_age_ = 0;
    bool update_is_snapshot_ = false;
    std::vector<WorkerEntry*> updated_workers_;
    MembershipStatistics statistics_;
};

}  // namespace whinpost::membership
