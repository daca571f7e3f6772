// Keeps the set of known workers and the state of each.
//
// Three sources report on a worker: the endpoint list (which may be late, wrong or missing), the worker
// itself (greetings, drain announcements and load reports), and the connection to it. Each report is stored
// with its source and its time, and one state is computed from all of them. This module does no I/O, reads no
// clock and chooses no worker for a task. Times are nanoseconds on the caller's clock; 0 means never.
//
// The rules, in the order in which they are applied (docs/notes/fleet.md gives the reasons):
//
//   1. Of two reports from one source the one with the later time counts, not the one that arrives later.
//   2. A drain takes effect at once, whichever source reports it, and only the same source can revoke it. The
//      reports of a worker about itself expire with its incarnation.
//   3. A worker that the list reports as gone, or that a snapshot omits, gets no new tasks. Its tasks are
//      lost only once it is also unreachable.
//   4. A snapshot that omits most workers while most of them are connected is doubted. Another snapshot is
//      requested; the doubted one takes effect if none replaces it within half of the drain grace.
//   5. A restart is a new incarnation. Of two reported start times the later counts, so that slow start
//      begins with the first source that reports the restart.
//   6. A worker that restarted several times within a minute gets no new tasks for a hold time, which doubles
//      with each further restart.
//   7. An unreachable worker gets no new tasks until it greets.
//   8. A worker that only a stale list names gets no new tasks until it greets.
//   9. If the list is stale, the worker's own later load report replaces the free amounts of the list.
//  10. If one update has two entries for a worker, the more conservative value of each field counts. Of two
//      addresses the one of the open connection counts, else the one with the later start.
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
    unknown,      // no endpoint list has named it
    serving,      // may get tasks
    unconfirmed,  // only a stale list names it, and it has not greeted
    unreachable,  // listed, but its connection broke or a dial failed
    flapping,     // restarted too often, and its hold time has not passed
    draining,     // as reported by the list or by the worker itself
    delisted,     // gone according to the list, but connected: gets no new tasks, keeps its running ones
    gone,         // gone according to the list, and not connected: its tasks are lost
};
std::string_view to_string(WorkerState);

class Membership;

// One worker, identified by its name: its state and the reports of each source.
class WorkerEntry {
public:
    WorkerEntry(Membership&, std::string name, std::uint32_t number);
    const std::string name;
    const std::uint32_t number;  // index in the order in which workers were added, from 0

    // ---- computed from all reports
    WorkerState state = WorkerState::unknown;
    EndpointState effective_endpoint;  // the endpoint state for the planner
    std::string address;               // where to connect
    Nanos draining_since = 0;          // when it became known that the worker drains or is gone; 0 if neither

    // ---- the reports of each source
    struct ListedState {
        bool is_known = false;  // an endpoint list has named the worker
        EndpointState endpoint;
        Nanos as_of = 0;           // the time to which the list refers: its arrival less its age
        Nanos age_on_arrival = 0;  // how old the list was when it arrived
        bool is_omitted = false;   // a snapshot omitted the worker
    } listed;
    struct ReportedState {
        std::uint64_t incarnation = 0;
        Nanos greeted_at = 0;
        Nanos started_at = 0;  // 0: not reported, or long ago
        bool is_draining = false;
        LoadReport load;
        Nanos load_reported_at = 0;
    } reported;
    struct Connection {
        bool is_up = false, was_ever_up = false;
        int failed_dials = 0;  // consecutive
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
    HoldTimer hold_timer_;         // fires at hold_until_ (rule 6)
    SlidingCounter<12> restarts_;  // within the last minute
    // No new tasks before `hold_until_` (rule 6). A load report last corrected the amounts at `corrected_at_`
    // (rule 9).
    Nanos hold_until_ = 0, corrected_at_ = 0;
    std::uint64_t latest_update_ = 0;     // number of the last update that named the worker
    bool is_doubtfully_omitted_ = false;  // omitted by a doubted snapshot (rule 4)
};

// Receives the events of Membership. Its functions are called from within Membership's and must not call back
// into Membership.
class MembershipHandler {
public:
    virtual ~MembershipHandler() = default;
    // `state`, `effective_endpoint` or `address` has changed. `is_urgent`: the worker may no longer get
    // tasks, as it could before; the planner must learn this at once.
    virtual void on_worker_changed(Nanos now, WorkerEntry&, bool is_urgent) = 0;
    // These two are called before on_worker_changed().
    virtual void on_drain_started(Nanos now, WorkerEntry&) = 0;
    virtual void on_drain_revoked(Nanos now, WorkerEntry&) = 0;
    // Requests a snapshot of the endpoint list, in every discovery mode.
    virtual void on_snapshot_needed(Nanos now) = 0;
    // A later incarnation has another address: the handler must reconnect.
    virtual void on_address_changed(Nanos now, WorkerEntry&) = 0;
    // run_timers() must be called at that time.
    virtual void wake_at(Nanos at) = 0;
};

// Counters for operators and tests.
struct MembershipStatistics {
    std::uint64_t contradictions = 0, stale_entries = 0, doubtful_snapshots = 0, confirmed_snapshots = 0,
                  restarts = 0, flapping = 0, corrected_amounts = 0, name_mismatches = 0;
};

class Membership {
public:
    // `drain_grace`: above 0; a snapshot may be doubted for a part of it. `load_report_replaces_listed`: the
    // free amounts in load reports have the same meaning as those in the endpoint list.
    Membership(MembershipHandler&, Nanos now, Nanos drain_grace, bool load_report_replaces_listed);
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    WorkerEntry& find_or_add(std::string_view name);
    WorkerEntry* find(std::string_view name);
    WorkerEntry& at(std::uint32_t number) { return *workers_.at(number); }
    std::size_t size() const { return workers_.size(); }

    // ---- endpoint updates: begin_update(), on_endpoint() for each entry, end_update()
    // `age`: the age of the update as reported by the discovery service; 0 if not reported.
    void begin_update(Nanos now, Nanos age, bool is_snapshot);
    void on_endpoint(Nanos now, WorkerEntry&, const EndpointState&, std::string_view address);
    void end_update(Nanos now);

    // ---- reports from the worker itself
    // `uptime`: 0 if not reported, or if very long.
    void on_greeting(Nanos now, WorkerEntry&, std::uint64_t incarnation, Nanos uptime, bool is_draining,
                     const LoadReport&);
    void on_drain_announced(Nanos now, WorkerEntry&);
    void on_load_report(Nanos now, WorkerEntry&, const LoadReport&);

    // ---- connection events
    void on_disconnected(Nanos now, WorkerEntry&);
    void on_dial_failed(Nanos now, WorkerEntry&);
    // A worker with another name greeted at the dialled address; the dial counts as failed.
    void on_name_mismatch();

    void run_timers(Nanos now);

    const MembershipStatistics& statistics() const { return statistics_; }
    std::size_t count(WorkerState state) const { return count_by_state_[static_cast<std::size_t>(state)]; }
    // Age of the newest endpoint list; 0 before the first.
    Nanos endpoints_age(Nanos now) const { return endpoints_as_of_ ? now - endpoints_as_of_ : 0; }
    bool has_doubtful_snapshot() const { return doubt_until_ != 0; }
    // A diagnostic text: the state, and the reports behind it with their ages.
    std::string explain(Nanos now, const WorkerEntry&) const;

private:
    friend class WorkerEntry;
    struct DoubtTimer final : timer_wheel::Timer {
        explicit DoubtTimer(Membership& owner) : membership(owner) {}
        void on_deadline(Nanos now) override { membership.on_doubt_timeout(now); }
        Membership& membership;
    };
    // The known workers that a snapshot omits.
    struct SnapshotGaps {
        std::vector<WorkerEntry*> omitted;
        std::size_t omitted_and_connected = 0;
        std::size_t known = 0;  // all workers that were listed and not gone, omitted or not
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
    bool load_report_replaces_listed_;
    timer_wheel::TimerWheel wheel_;
    std::vector<std::unique_ptr<WorkerEntry>> workers_;  // by number
    std::map<std::string, WorkerEntry*, std::less<>> by_name_;
    std::vector<std::size_t> count_by_state_;
    DoubtTimer doubt_timer_;
    Nanos doubt_until_ = 0;  // 0: no snapshot is in doubt
    Nanos endpoints_as_of_ = 0;
    // Of the update between begin_update() and end_update().
    std::uint64_t update_number_ = 0;
    Nanos update_as_of_ = 0, update_age_ = 0;
    bool update_is_snapshot_ = false;
    std::vector<WorkerEntry*> updated_workers_;
    MembershipStatistics statistics_;
};

}  // namespace whinpost::membership
