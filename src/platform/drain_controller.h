// Graceful shutdown: from the call to drain until every client has its answers and its connection is closed.
#pragma once
#include <functional>

#include "whinpost/scheduler.h"

namespace whinpost::platform {

// What is drained.
class DrainTarget {
public:
    virtual ~DrainTarget() = default;
    virtual bool has_unanswered_tasks() const = 0;
    virtual void stop_reading_workers() = 0;
    // Closes the clients' connections as they become idle; true once all are closed, or at `deadline`.
    virtual bool close_clients(Nanos now, Nanos deadline) = 0;
};

// Guards against what an exit destroys: answers that are written and have not left, requests that lie unread
// in a socket or in the backlog of the listener, and releases that were read from workers and sent to nobody.
// So, once no answer is owed: workers are read no more, since they repeat what they say to the next one that
// connects; then what clients wrote is read and rejected, what was written to them leaves, and they close
// first.
class DrainController {
public:
    explicit DrainController(DrainTarget& target) : target_(target) {}

    // `done` is called once, from sweep(). A second call changes nothing.
    void start(Nanos now, std::function<void()> done);
    void sweep(Nanos now);  // to be called from time to time
    // Health checks fail from start() on.
    bool is_draining() const { return phase_ != Phase::serving; }
    // New requests are still accepted for a while after start().
    bool accepts_requests(Nanos now) const { return phase_ == Phase::serving || now < reject_from_; }
    // Clients' connections are being closed, and each sweep may be the last.
    bool is_closing() const { return phase_ == Phase::closing || phase_ == Phase::finished; }

private:
    enum class Phase { serving, answering, closing, finished };
    void close(Nanos now);

    DrainTarget& target_;
    Phase phase_ = Phase::serving;
    Nanos reject_from_ = 0, close_deadline_ = 0;
    std::function<void()> done_;
};

}  // namespace whinpost::platform
