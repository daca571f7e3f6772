// Graceful shutdown: answers all requests, then closes the connections of all clients.
#pragma once
#include <functional>

#include "whinpost/scheduler.h"

namespace whinpost::platform {

// The server that is drained.
class DrainTarget {
public:
    virtual ~DrainTarget() = default;
    virtual bool has_unanswered_tasks() const = 0;
    // Whether workers have not confirmed yet that they read the cancellations that were sent to them.
    virtual bool has_unconfirmed_cancellations() const = 0;
    virtual void stop_reading_workers() = 0;
    // Closes the connections of clients as they become idle. True once all are closed, or at `deadline`.
    virtual bool close_clients(Nanos now, Nanos deadline) = 0;
};

// Guards against what an exit would lose: answers that are written but not sent, requests that are unread in
// a socket or in the listener's backlog, cancellations that no worker has read, and releases that were read
// from workers but not passed on. Once all requests are answered and the workers have had time to confirm the
// cancellations, workers are no longer read; they repeat their releases on the next connection. Then
// unread requests are read and rejected, unsent answers are sent, and clients close their side.
class DrainController {
public:
    explicit DrainController(DrainTarget& target) : target_(target) {}

    // `done` is called once, from sweep(). A second start() is ignored.
    void start(Nanos now, std::function<void()> done);
    void sweep(Nanos now);  // to be called periodically
    // Health checks fail from start() on.
    bool is_draining() const { return phase_ != Phase::serving; }
    // New requests are still accepted for a while after start().
    bool accepts_requests(Nanos now) const { return phase_ == Phase::serving || now < reject_from_; }
    // The connections of clients are being closed; any sweep may finish the drain.
    bool is_closing() const { return phase_ == Phase::closing || phase_ == Phase::finished; }

private:
    enum class Phase { serving, answering, closing, finished };
    bool waits_for_confirmations(Nanos now);
    void close(Nanos now);

    DrainTarget& target_;
    Phase phase_ = Phase::serving;
    Nanos reject_from_ = 0, close_deadline_ = 0;
    Nanos confirmation_deadline_ = 0;  // 0: not all requests are answered yet
    std::function<void()> done_;
};

}  // namespace whinpost::platform
