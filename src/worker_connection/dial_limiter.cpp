#include "worker_connection/dial_limiter.h"

#include "worker_connection/worker_connection.h"

namespace whinpost::worker_connection {

bool DialLimiter::try_acquire(Nanos now, WorkerConnection& connection) {
    while (!recent_dials_.empty() && now - recent_dials_.front() >= kSecond) recent_dials_.pop_front();
    const bool is_next = queue_.empty() || queue_.front() == &connection;
    if (is_next && dialling_ < max_concurrent_ && static_cast<int>(recent_dials_.size()) < max_per_second_) {
        if (!queue_.empty()) queue_.pop_front();
        connection.awaits_permit_ = false;
        ++dialling_;
        recent_dials_.push_back(now);
        wake_first(now);
        return true;
    }
    if (!connection.awaits_permit_) queue_.push_back(&connection);
    connection.awaits_permit_ = true;
    return false;
}

// Wakes only the first connection of the queue, which wakes the next when it dials. Otherwise, with ten
// thousand workers to dial, every queued connection would retry whenever one permit is released.
void DialLimiter::wake_first(Nanos now) {
    if (const Nanos at = next_dial_at(now); at && !queue_.empty())
        queue_.front()->handler_.wake_at(*queue_.front(), at);
}

void DialLimiter::release(WorkerConnection&) {
    --dialling_;
    if (!queue_.empty()) queue_.front()->handler_.wake_at(*queue_.front(), 0);
}

void DialLimiter::remove(WorkerConnection& connection) {
    if (!connection.awaits_permit_) return;
    const bool is_next = queue_.front() == &connection;
    std::erase(queue_, &connection);
    connection.awaits_permit_ = false;
    if (is_next && !queue_.empty()) queue_.front()->handler_.wake_at(*queue_.front(), 0);
}

Nanos DialLimiter::next_dial_at(Nanos now) const {
    if (dialling_ >= max_concurrent_) return 0;
    return static_cast<int>(recent_dials_.size()) < max_per_second_ ? now : recent_dials_.front() + kSecond;
}

}  // namespace whinpost::worker_connection
