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

PendingRecovery& RecoveryQueue::wait(Nanos now, std::string_view node, void* tag) {
    all_.push_back({std::string(node), now, tag});
    const auto at = std::prev(all_.end());
    by_node_.emplace(at->node, at);
    ++counts_.waited;
    if (list_ && !ask_at_) {
        ask_at_ = now;
        pause_ = kFirstPause;
        port_.wake_at(ask_at_);
    }
    return *at;
}

void RecoveryQueue::drop(PendingRecovery& h) {
    for (auto [it, last] = by_node_.equal_range(h.node); it != last; ++it)
        if (&*it->second == &h) {
            all_.erase(it->second);
            by_node_.erase(it);
            return;
        }
}

void RecoveryQueue::end(Where::iterator at, Nanos now, bool found) {
    const auto it = at->second;
    by_node_.erase(at);
    PendingRecovery h = std::move(*it);
    all_.erase(it);
    ++(found ? counts_.found : counts_.lost);
    if (found) port_.found(now, h);
    else port_.lost(now, h);
}

void RecoveryQueue::named(Nanos now, std::string_view node) {
    for (auto it = by_node_.find(node); it != by_node_.end(); it = by_node_.find(node)) end(it, now, true);
}

void RecoveryQueue::listed(Nanos now, Nanos as_of, bool whole) {
    list_ = true;
    if (whole) {
        std::vector<Where::iterator> out;
        for (auto it = by_node_.begin(); it != by_node_.end(); ++it)
            if (as_of > it->second->since || now - it->second->since >= kBelieved) out.push_back(it);
        // In the order in which they were handed over: by age, not by name.
        std::stable_sort(out.begin(), out.end(),
                         [](auto& a, auto& b) { return a->second->since < b->second->since; });
        for (const auto& it : out) end(it, now, false);
    }
    if (!all_.empty() && !ask_at_) {
        pause_ = kFirstPause;
        ask_at_ = now + pause_;
        port_.wake_at(ask_at_);
    }
}

void RecoveryQueue::turn(Nanos now) {
    if (!ask_at_ || now < ask_at_) return;
    ask_at_ = 0;
    if (all_.empty()) return;
    ++counts_.asked;
    ask_at_ = now + pause_;
    pause_ = std::min(kLongestPause, 2 * pause_);
    port_.wake_at(ask_at_);
    port_.list_again(now);
}

}  // namespace whinpost::recovery
