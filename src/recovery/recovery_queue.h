// What a placer that has just started is still told about by owners: containers that run already, on nodes
// that it does not know yet. Its list may be late, old, or not to be had at all; the containers run all the
// same, and to call one lost that runs would make its owner start it a second time. So each is kept until its
// node is named, or until a list that is younger than the word of its owner leaves the node out. No I/O, no
// clock: times are nanoseconds on the caller's clock.
#pragma once
#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <string_view>

#include "whinpost/scheduler.h"

namespace whinpost::recovery {

// One container that was handed over. The owner of the handle is the embedder; drop() ends it.
struct PendingRecovery {
    std::string worker;
    Nanos handed_over_at = 0;
    void* tag = nullptr;  // the embedder's own
};

class RecoveryHandler {
public:
    virtual ~RecoveryHandler() = default;
    virtual void on_worker_known(Nanos now, PendingRecovery&) = 0;  // its node is known; the handle has ended
    virtual void on_worker_gone(Nanos now,
                                PendingRecovery&) = 0;  // its node is not there; the handle has ended
    virtual void on_snapshot_needed(Nanos now) = 0;     // ask for the whole list
    virtual void wake_at(Nanos at) = 0;                 // call turn() then
};

struct RecoveryStatistics {
    std::uint64_t queued = 0, recovered = 0, lost = 0, snapshots_requested = 0;
};

class RecoveryQueue {
public:
    explicit RecoveryQueue(RecoveryHandler& port) : handler_(port) {}
    RecoveryQueue(const RecoveryQueue&) = delete;
    RecoveryQueue& operator=(const RecoveryQueue&) = delete;

    // A container on a node that no list has named. Valid until found(), lost() or drop().
    PendingRecovery& add(Nanos now, std::string_view node, void* tag);
    void remove(PendingRecovery&);

    void on_worker_listed(Nanos now, std::string_view node);  // a list names it, and not as gone
    // All entries of a message were told by named(). `as_of`: the time of which it speaks.
    void on_update(Nanos now, Nanos as_of, bool whole);
    void run_timers(Nanos now);

    std::size_t size() const { return pending_.size(); }
    const RecoveryStatistics& statistics() const { return statistics_; }

private:
    using ByWorker = std::multimap<std::string, std::list<PendingRecovery>::iterator, std::less<>>;
    void ask(Nanos now);
    void finish(ByWorker::iterator, Nanos now, bool found);

    RecoveryHandler& handler_;
    std::list<PendingRecovery> pending_;  // by age
    ByWorker by_worker_;
    bool has_endpoints_ = false;  // any came
    Nanos refresh_at_ = 0, backoff_ = 0;
    RecoveryStatistics statistics_;
};

}  // namespace whinpost::recovery
