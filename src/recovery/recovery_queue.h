// Running tasks that clients report to a placer which does not know their workers yet, as after its restart.
//
// The placer's endpoint list may be late, old, or not to be had at all. The tasks run all the same, and to
// report one as lost while it runs would make its client start it a second time. So each is kept here until
// its worker is listed, or until a snapshot that is younger than the client's report omits the worker. No I/O
// and no clock: times are nanoseconds on the caller's clock.
#pragma once
#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <string_view>

#include "whinpost/scheduler.h"

namespace whinpost::recovery {

// One task that was handed over. Owned by the queue.
struct PendingRecovery {
    std::string worker;
    Nanos handed_over_at = 0;
    void* tag = nullptr;  // the caller's own
};

class RecoveryHandler {
public:
    virtual ~RecoveryHandler() = default;
    // The task's worker is listed, or is gone. The entry has left the queue, and ends with this call.
    virtual void on_worker_known(Nanos now, PendingRecovery&) = 0;
    virtual void on_worker_gone(Nanos now, PendingRecovery&) = 0;
    // A snapshot of the endpoint list is to be requested.
    virtual void on_snapshot_needed(Nanos now) = 0;
    // run_timers() is to be called then.
    virtual void wake_at(Nanos at) = 0;
};

// Counters for operators and tests.
struct RecoveryStatistics {
    std::uint64_t queued = 0, recovered = 0, lost = 0, snapshots_requested = 0;
};

class RecoveryQueue {
public:
    explicit RecoveryQueue(RecoveryHandler& handler) : handler_(handler) {}
    RecoveryQueue(const RecoveryQueue&) = delete;
    RecoveryQueue& operator=(const RecoveryQueue&) = delete;

    // A task on a worker that no list has named. The entry is valid until the handler is told of it, or until
    // remove().
    PendingRecovery& add(Nanos now, std::string_view worker, void* tag);
    void remove(PendingRecovery&);

    // An endpoint update names the worker, and not as gone.
    void on_worker_listed(Nanos now, std::string_view worker);
    // After on_worker_listed() for all entries of an update. `as_of`: the time of which the update speaks.
    void on_update(Nanos now, Nanos as_of, bool is_snapshot);
    void run_timers(Nanos now);

    std::size_t size() const { return pending_.size(); }
    const RecoveryStatistics& statistics() const { return statistics_; }

private:
    using ByWorker = std::multimap<std::string, std::list<PendingRecovery>::iterator, std::less<>>;
    // Ends those that a snapshot of that age shows to be gone.
    void end_unlisted(Nanos now, Nanos as_of);
    void finish(ByWorker::iterator, Nanos now, bool is_known);

    RecoveryHandler& handler_;
    std::list<PendingRecovery> pending_;  // the oldest first
    ByWorker by_worker_;
    bool has_endpoints_ = false;  // any update has arrived
    Nanos refresh_at_ = 0;        // 0: no snapshot is to be requested
    Nanos backoff_ = 0;
    RecoveryStatistics statistics_;
};

}  // namespace whinpost::recovery
