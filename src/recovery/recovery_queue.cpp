#include "recovery/recovery_queue.h"

#include <algorithm>
#include <vector>

namespace whinpost::recovery {

namespace {
// Whole lists are asked for while any container waits: soon, since its owner wants to hear, and then ever
// more seldom, since the list service may be what ails.
constexpr Nanos kFirstPause = 500 * kMillisecond, kLongestPause = 8 * kSecond;
// Lists that are always older than the owner's word can't settle it. So long after the word they are believed
// all the same: longer than any list in use is late, and short beside a container's life.
constexpr Nanos kBelieved = 60 * kSecond;
}  // namespace

PendingRecovery& RecoveryQueue::add(Nanos now, std::string_view node, void* tag) {
    pending_.push_back({std::string(node), now, tag});
    const auto at = std::prev(pending_.end());
    by_worker_.emplace(at->worker, at);
    ++statistics_.queued;
    if (has_endpoints_ && !refresh_at_) {
        refresh_at_ = now;
        backoff_ = kFirstPause;
        handler_.wake_at(refresh_at_);
    }
    return *at;
}

void RecoveryQueue::remove(PendingRecovery& h) {
    for (auto [it, last] = by_worker_.equal_range(h.worker); it != last; ++it)
        if (&*it->second == &h) {
            pending_.erase(it->second);
            by_worker_.erase(it);
            return;
        }
}

void RecoveryQueue::finish(ByWorker::iterator at, Nanos now, bool found) {
    const auto it = at->second;
    by_worker_.erase(at);
    PendingRecovery h = std::move(*it);
    pending_.erase(it);
    ++(found ? statistics_.recovered : statistics_.lost);
    if (found) handler_.on_worker_known(now, h);
    else handler_.on_worker_gone(now, h);
}

void RecoveryQueue::on_worker_listed(Nanos now, std::string_view node) {
    for (auto it = by_worker_.find(node); it != by_worker_.end(); it = by_worker_.find(node))
        finish(it, now, true);
}

void RecoveryQueue::on_update(Nanos now, Nanos as_of, bool whole) {
    has_endpoints_ = true;
    if (whole) {
        std::vector<ByWorker::iterator> out;
        for (auto it = by_worker_.begin(); it != by_worker_.end(); ++it)
            if (as_of > it->second->handed_over_at || now - it->second->handed_over_at >= kBelieved)
                out.push_back(it);
        // In the order in which they were handed over: by age, not by name.
        std::stable_sort(out.begin(), out.end(), [](auto& a, auto& b) {
            return a->second->handed_over_at < b->second->handed_over_at;
        });
        for (const auto& it : out) finish(it, now, false);
    }
    if (!pending_.empty() && !refresh_at_) {
        backoff_ = kFirstPause;
        refresh_at_ = now + backoff_;
        handler_.wake_at(refresh_at_);
    }
}

void RecoveryQueue::run_timers(Nanos now) {
    if (!refresh_at_ || now < refresh_at_) return;
    refresh_at_ = 0;
    if (pending_.empty()) return;
    ++statistics_.snapshots_requested;
    refresh_at_ = now + backoff_;
    backoff_ = std::min(kLongestPause, 2 * backoff_);
    handler_.wake_at(refresh_at_);
    handler_.on_snapshot_needed(now);
}

}  // namespace whinpost::recovery
