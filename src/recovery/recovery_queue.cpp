#include "recovery/recovery_queue.h"

#include <algorithm>
#include <vector>

namespace whinpost::recovery {

namespace {
// The delays between snapshot requests while any task is pending. The first is short, since the client waits
// for an answer; they double, since the discovery service may be failing.
constexpr Nanos kInitialBackoff = 500 * kMillisecond, kMaxBackoff = 8 * kSecond;
// A snapshot older than the client's report does not show that the worker is gone. If only such snapshots
// arrive, they count once this time has passed since the report: longer than the age of any endpoint list in
// use, and short compared with the run time of a task.
constexpr Nanos kMaxWait = 60 * kSecond;
}  // namespace

PendingRecovery& RecoveryQueue::add(Nanos now, std::string_view worker, void* tag) {
    pending_.push_back({std::string(worker), now, tag});
    const auto at = std::prev(pending_.end());
    by_worker_.emplace(at->worker, at);
    ++statistics_.queued;
    if (has_endpoints_ && !refresh_at_) {
        refresh_at_ = now;
        backoff_ = kInitialBackoff;
        handler_.wake_at(refresh_at_);
    }
    return *at;
}

void RecoveryQueue::remove(PendingRecovery& pending) {
    for (auto [it, last] = by_worker_.equal_range(pending.worker); it != last; ++it)
        if (&*it->second == &pending) {
            pending_.erase(it->second);
            by_worker_.erase(it);
            return;
        }
}

void RecoveryQueue::finish(ByWorker::iterator at, Nanos now, bool is_known) {
    const auto it = at->second;
    by_worker_.erase(at);
    PendingRecovery pending = std::move(*it);
    pending_.erase(it);
    ++(is_known ? statistics_.recovered : statistics_.lost);
    if (is_known) handler_.on_worker_known(now, pending);
    else handler_.on_worker_gone(now, pending);
}

void RecoveryQueue::on_worker_listed(Nanos now, std::string_view worker) {
    for (auto it = by_worker_.find(worker); it != by_worker_.end(); it = by_worker_.find(worker))
        finish(it, now, true);
}

void RecoveryQueue::on_update(Nanos now, Nanos as_of, bool is_snapshot) {
    has_endpoints_ = true;
    if (is_snapshot) end_unlisted(now, as_of);
    if (!pending_.empty() && !refresh_at_) {
        backoff_ = kInitialBackoff;
        refresh_at_ = now + backoff_;
        handler_.wake_at(refresh_at_);
    }
}

void RecoveryQueue::end_unlisted(Nanos now, Nanos as_of) {
    std::vector<ByWorker::iterator> gone;
    for (auto it = by_worker_.begin(); it != by_worker_.end(); ++it) {
        const Nanos handed_over_at = it->second->handed_over_at;
        if (as_of > handed_over_at || now - handed_over_at >= kMaxWait) gone.push_back(it);
    }
    // Handler calls follow the order in which the tasks were handed over, not the order of the worker names.
    std::stable_sort(gone.begin(), gone.end(), [](const auto& first, const auto& second) {
        return first->second->handed_over_at < second->second->handed_over_at;
    });
    for (const auto& it : gone) finish(it, now, false);
}

void RecoveryQueue::run_timers(Nanos now) {
    if (!refresh_at_ || now < refresh_at_) return;
    refresh_at_ = 0;
    if (pending_.empty()) return;
    ++statistics_.snapshots_requested;
    refresh_at_ = now + backoff_;
    backoff_ = std::min(kMaxBackoff, 2 * backoff_);
    handler_.wake_at(refresh_at_);
    handler_.on_snapshot_needed(now);
}

}  // namespace whinpost::recovery
