// Membership: which workers there are, and what may be done with each.
//
// Three sources report on a worker: the endpoint list (late, at times very late, wrong or silent), the worker
// itself when it greets, drains or reports its load, and the connection to it. Each report is kept with its
// source and its age, and the worker's one state is computed from all of them. No I/O and no clock: times are
// nanoseconds on the caller's clock, 0 for never. This package chooses no worker for a task.
//
// The rules, in the order in which they are applied (docs/notes/fleet.md weighs them):
//   1  Of two reports from one source the newer counts, by the time of which they speak, not by their
//   arrival. 2  A drain counts at once, whichever source reports it. Only the same source can revoke it; what
//   a worker
//      reported of itself ends with its incarnation.
//   3  A worker that the list calls gone, or that a snapshot omits, gets no new tasks. The tasks it holds are
//      lost only once it is unreachable as well.
//   4  A snapshot that omits most workers while they are connected is doubted: a new one is requested, and
//   the
//      doubted one counts if no better one arrives within the part of the drain grace kept for it.
//   5  A restart is a new incarnation. Of two reported starts the later counts: a worker is in slow start by
//      its own report before the list knows, and by the list's before it greets.
//   6  A worker that restarted again and again within a minute gets no new tasks for a time, which doubles.
//   7  A worker that can't be reached gets no new tasks until it greets.
//   8  A worker that only a stale list names gets no new tasks until it greets.
//   9  Where the amounts of the list are stale, the worker's own later load report replaces them.
//  10  Of two entries for one worker in one update the more careful value of each field counts; of two
//      addresses the one at which it has greeted, else that of the later start.
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
    serving,      // it may be given tasks
    unconfirmed,  // only a stale list names it, and it has not greeted
    unreachable,  // listed, and it can't be reached
    flapping,     // it restarted too often
    draining,     // by the list or by its own report
    delisted,     // gone by the list, and still connected: no new tasks, and it keeps those it has
    gone,         // gone by the list and unreachable: its tasks are lost
};
std::string_view to_string(WorkerState);

class Membership;

// One worker, by its name.
class WorkerEntry {
public:
    WorkerEntry(Membership&, std::string name, std::uint32_t number);
    const std::string name;
    const std::uint32_t number;  // counted from 0 in the order in which workers were first named

    // ---- what follows from all reports
    WorkerState state = WorkerState::unknown;
    EndpointState effective_endpoint;  // as the planner is to take it
    std::string address;               // where to connect
    Nanos draining_since = 0;          // when it became known that it drains or is gone; 0: it does neither

    // ---- what each source reported
    struct ListedState {
        bool is_known = false;  // a list has named the worker
        EndpointState endpoint;
        Nanos as_of = 0;           // the time of which the list speaks
        Nanos age_on_arrival = 0;  // how old the list was when it arrived
        bool is_omitted = false;   // not called gone, but omitted by a snapshot
    } listed;
    struct ReportedState {
        std::uint64_t incarnation = 0;
        Nanos greeted_at = 0;
        Nanos started_at = 0;  // 0: it did not say, or long ago
        bool is_draining = false;
        LoadReport load;
        Nanos load_reported_at = 0;
    } reported;
    struct Connection {
        bool is_up = false, was_ever_up = false;
        int failed_dials = 0;  // in a row
        Nanos changed_at = 0;
    } connection;

private:
    friend class Membership;
    struct HoldTimer final : timer_wheel::Timer {
        explicit HoldTimer(WorkerEntry& worker) : entry(worker) {}
        void on_deadline(Nanos) override;
        WorkerEntry& entry;
    };
    Membership& membership_;
    HoldTimer hold_timer_;         // the end of the time for which it is held off (rule 6)
    SlidingCounter<12> restarts_;  // within a minute
    Nanos hold_until_ = 0, corrected_at_ = 0;
    std::uint64_t latest_update_ = 0;     // the number of the update that named it last
    bool is_doubtfully_omitted_ = false;  // by a snapshot that is doubted (rule 4)
};

// Told what changes. Called within the calls of Membership; none of those may be made from within it.
class MembershipHandler {
public:
    virtual ~MembershipHandler() = default;
    // `state`, `effective_endpoint` or `address` has changed. `is_urgent`: the worker no longer takes tasks,
    // as it did before, which can't wait.
    virtual void on_worker_changed(Nanos now, WorkerEntry&, bool is_urgent) = 0;
    // Both before on_worker_changed().
    virtual void on_drain_started(Nanos now, WorkerEntry&) = 0;
    virtual void on_drain_revoked(Nanos now, WorkerEntry&) = 0;
    // A snapshot of the endpoint list is to be requested, whatever the mode.
    virtual void on_snapshot_needed(Nanos now) = 0;
    // A later incarnation is at another address: the connection is to be made anew.
    virtual void on_address_changed(Nanos now, WorkerEntry&) = 0;
    // run_timers() is to be called then.
    virtual void wake_at(Nanos at) = 0;
};

// Counters for operators and tests.
struct MembershipStatistics {
    std::uint64_t contradictions = 0, stale_entries = 0, doubtful_snapshots = 0, confirmed_snapshots = 0,
                  restarts = 0, flapping = 0, corrected_amounts = 0, name_mismatches = 0;
};

class Membership {
public:
    // `drain_grace`: over 0; a doubted snapshot may use up a part of it. `report_is_free`: what workers
    // report as free means the same as what the list says is free.
    Membership(MembershipHandler&, Nanos now, Nanos drain_grace, bool report_is_free);
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    WorkerEntry& find_or_add(std::string_view name);
    WorkerEntry* find(std::string_view name);
    WorkerEntry& at(std::uint32_t number) { return *workers_.at(number); }
    std::size_t size() const { return workers_.size(); }

    // ---- endpoint updates: begin_update(), on_endpoint() for each entry, end_update()
    // `age`: how old the discovery service says its view is; 0 where it does not say.
    void begin_update(Nanos now, Nanos age, bool is_snapshot);
    void on_endpoint(Nanos now, WorkerEntry&, const EndpointState&, std::string_view address);
    void end_update(Nanos now);

    // ---- reports of the worker itself
    // `uptime`: 0 where it does not say, or very long.
    void on_greeting(Nanos now, WorkerEntry&, std::uint64_t incarnation, Nanos uptime, bool is_draining,
                     const LoadReport&);
    void on_drain_announced(Nanos now, WorkerEntry&);
    void on_load_report(Nanos now, WorkerEntry&, const LoadReport&);

    // ---- the connection
    void on_disconnected(Nanos now, WorkerEntry&);
    void on_dial_failed(Nanos now, WorkerEntry&);
    // Another worker greeted at an address; the dial counts as failed.
    void on_name_mismatch();

    void run_timers(Nanos now);

    const MembershipStatistics& statistics() const { return statistics_; }
    std::size_t count(WorkerState state) const { return count_by_state_[static_cast<std::size_t>(state)]; }
    // How old the newest endpoint list is; 0 before the first.
    Nanos endpoints_age(Nanos now) const { return endpoints_as_of_ ? now - endpoints_as_of_ : 0; }
    bool has_doubtful_snapshot() const { return doubt_until_ != 0; }
    // For operators: the state and all reports for and against it, with their ages.
    std::string explain(Nanos now, const WorkerEntry&) const;

private:
    friend class WorkerEntry;
    struct DoubtTimer final : timer_wheel::Timer {
        explicit DoubtTimer(Membership& owner) : membership(owner) {}
        void on_deadline(Nanos now) override { membership.on_doubt_timeout(now); }
        Membership& membership;
    };
    // What a snapshot leaves out.
    struct SnapshotGaps {
        std::vector<WorkerEntry*> omitted;
        std::size_t omitted_and_connected = 0;
        std::size_t known = 0;  // workers that the list named before, omitted or not
    };
    SnapshotGaps find_snapshot_gaps() const;
    static bool is_doubtful(const SnapshotGaps&);
    void doubt_snapshot(Nanos now, const SnapshotGaps&);

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
    Nanos doubt_until_ = 0;  // 0: no snapshot is doubted
    Nanos endpoints_as_of_ = 0;
    // Of the update that is being read.
    std::uint64_t update_number_ = 0;
    Nanos update_as_of_ = 0, update_age_ = 0;
    bool update_is_snapshot_ = false;
    std::vector<WorkerEntry*> updated_workers_;
    MembershipStatistics statistics_;
};

}  // namespace whinpost::membership
