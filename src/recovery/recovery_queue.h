// Holds running tasks that clients hand over to a placer that does not know their workers yet, for example
// after its restart.
//
// The placer's endpoint list may be late, old or unavailable. If the placer reported a running task as lost,
// the client would start it a second time. So each task is held until its worker is listed, or until a
// snapshot newer than the client's report omits the worker. No I/O and no clock: times are nanoseconds on the
// caller's clock.
#pragma once
#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <string_view>

#include "whinpost/scheduler.h"

namespace whinpost::recovery {

// One task that a client handed over. Owned by the queue.
struct PendingRecovery {
    std::string worker;
    Nanos handed_over_at = 0;
    void* tag = nullptr;  // for use by the caller
};

class RecoveryHandler {
public:
    virtual ~RecoveryHandler() = default;
    // The task's worker is listed, or is gone. The entry is no longer in the queue, and is destroyed after
    // the call.
    virtual void on_worker_known(Nanos now, PendingRecovery&) = 0;
    virtual void on_worker_gone(Nanos now, PendingRecovery&) = 0;
    // Requests a snapshot of the endpoint list.
    virtual void on_snapshot_needed(Nanos now) = 0;
    // run_timers() must be called at that time.
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

    // Adds a task on a worker that no endpoint list has named. The entry is valid until remove() or until a
    // call of RecoveryHandler with it returns.
    PendingRecovery& add(Nanos now, std::string_view worker, void* tag);
    void remove(PendingRecovery&);

    // An endpoint update lists the worker, and not as gone.
    void on_worker_listed(Nanos now, std::string_view worker);
    // Must be called after on_worker_listed() for all entries of an update. `as_of`: the time to which the
    // update refers.
    void on_update(Nanos now, Nanos as_of, bool is_snapshot);
    void run_timers(Nanos now);

    std::size_t size() const { return pending_.size(); }
    const RecoveryStatistics& statistics() const { return statistics_; }

private:
    using ByWorker = std::multimap<std::string, std::list<PendingRecovery>::iterator, std::less<>>;
    // Finishes the tasks whose workers a snapshot taken at `as_of` shows to be gone.
    void end_unlisted(Nanos now, Nanos as_of);
    void finish(ByWorker::iterator, Nanos now, bool is_known);

    RecoveryHandler& handler_;
    std::list<PendingRecovery> pending_;  // oldest first
    ByWorker by_worker_;
    bool has_endpoints_ = false;  // an endpoint update has arrived
    Nanos refresh_at_ = 0;        // when the next snapshot is requested; 0: none
    Nanos backoff_ = 0;
    RecoveryStatistics statistics_;
};

}  // namespace whinpost::recovery
