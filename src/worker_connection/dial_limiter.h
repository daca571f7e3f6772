// Limits the number of concurrent dials and of dials per second. Connections over the limit queue in FIFO
// order.
//
// So after a network partition a placer does not dial all of its workers at once. Jittered backoffs keep
// several placers from dialling in step. No I/O and no clock.
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
    // when it may try again.
    [[nodiscard]] bool try_acquire(Nanos now, WorkerConnection&);
    void release(WorkerConnection&);
    // Removes the connection from the queue, if it is queued.
    void remove(WorkerConnection&);
    // When the first queued connection may try again; 0: when a permit is released.
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
