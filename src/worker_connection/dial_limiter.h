// Limits how many connections are made at once and how many a second, first come first served.
//
// After a network partition a hundred workers are not dialled in one moment, nor by each placer in the same
// rhythm, since the backoffs are jittered. No I/O and no clock.
#pragma once
#include <deque>

#include "whinpost/scheduler.h"

namespace whinpost::worker_connection {

class WorkerConnection;

class DialLimiter {
public:
    DialLimiter(int max_concurrent, int max_per_second)
        : max_concurrent_(max_concurrent), max_per_second_(max_per_second) {}

    // True: the connection may dial now and holds a permit until release(). False: it is queued, and is woken
    // when its turn comes.
    [[nodiscard]] bool try_acquire(Nanos now, WorkerConnection&);
    void release(WorkerConnection&);
    // The connection no longer waits for a permit.
    void remove(WorkerConnection&);
    // When the first of the queue may try again; 0: once a permit is released.
    Nanos next_dial_at(Nanos now) const;
    bool is_first(const WorkerConnection& connection) const {
        return !queue_.empty() && queue_.front() == &connection;
    }
    int dialling() const { return dialling_; }

private:
    void wake_first(Nanos now);

    int max_concurrent_, max_per_second_;
    int dialling_ = 0;                     // permits held
    std::deque<WorkerConnection*> queue_;  // not owned; a connection removes itself when it is destroyed
    std::deque<Nanos> recent_dials_;       // within the last second
};

}  // namespace whinpost::worker_connection
