// Tracks whether a task that is recorded as running is known to run, and decides when a doubt about it has
// lasted too long. It reads no clock and does no I/O.
//
// A worker sends messages about a task when it accepts it and when it ends, and, depending on the deployment,
// when another placer adopts it and when its usage changes. Between these it may send nothing for as long as
// the task runs, so silence alone raises no doubt. It ends a reported task only where the worker would have
// sent a message: the caller says after what time (Evidence::confirmation_timeout).
#pragma once
#include <limits>
#include <string_view>

#include "whinpost/nanos.h"

namespace whinpost::ledger {

// Why a running task is taken to have ended without a message from its worker.
enum class TaskLossReason {
    worker_restarted,  // the endpoint list reports a later start of the worker
    worker_refused,    // connections to the worker's address are refused
    worker_left,    // no longer in the endpoint list, and its time to report the ends of its tasks has passed
    worker_silent,  // no message and no connection for too long
    unconfirmed,    // a client reported the task, and its worker, which would have, did not confirm it
    interrupted,    // the worker's connections broke, and nothing shows that the same process still runs
    superseded,     // the client reported the task under another id, which the worker confirmed
};
std::string_view to_string(TaskLossReason);

class TaskLiveness {
public:
    // How long a worker may take to confirm a task that a client reported, where workers send a message about
    // each. Clients must have an answer 3 s after they connect. Such workers answer a report within about
    // 20 ms; the rest allows for slow dials.
    static constexpr Nanos kConfirmationTimeout = 2500 * kMillisecond;
    // A worker that reports usage sends a message about each task sooner than this, whether or not it does so
    // when the task is adopted.
    static constexpr Nanos kUsageTimeout = 60 * kSecond;
    // For workers that need not send any message about a running task.
    static constexpr Nanos kNoTimeout = std::numeric_limits<Nanos>::max();
    // How long an unconfirmed task is kept whose client has no connection. Clients keep one open while a task
    // of theirs runs, and reconnect soon if it breaks.
    static constexpr Nanos kClientAbsence = 60 * kSecond;
    // Within this time a working watch on the endpoint list has reported a restart.
    static constexpr Nanos kListDelay = 4 * kSecond;
    // How long an interrupted task is kept. The release must be sent at most 8 s after the end of the task.
    static constexpr Nanos kInterruptionTimeout = 7500 * kMillisecond;

    // A client reported the task, and its worker has not confirmed it yet.
    void on_reported(Nanos now);
    // The worker has accepted the task or sent a message about it.
    void on_worker_message();
    // The last connection to the worker broke: its process may have died, and the task with it.
    void on_interrupted(Nanos now);
    // No data has arrived since `since` on the connection that carried the worker's messages about the task,
    // while the worker answers on a newer one: another process may have replaced the one that ran the task.
    // The endpoint list may report the restart too late.
    void on_may_be_replaced(Nanos since);
    // A dial to the worker's address was refused since. The process that ran the task is gone, unless
    // something other than the worker's host refused the dial.
    void on_dial_refused();
    // A message has shown that the worker's current process already ran at `since`.
    void on_process_confirmed(Nanos since);

    bool in_doubt() const { return is_unconfirmed_ || is_interrupted_; }
    bool is_confirmed() const { return !is_unconfirmed_; }
    // Valid while in doubt: the time of the report if the task is unconfirmed, else of the interruption.
    Nanos doubted_since() const { return is_unconfirmed_ ? reported_at_ : interrupted_at_; }

    // What check() bases its verdict on.
    struct Evidence {
        // The watch on the endpoint list is up and receives data. From kListDelay after an interruption on,
        // this ends the doubt, unless a dial was refused or the process may have been replaced.
        bool list_is_current = false;
        // The worker has sent a message about any task since the doubt began. If none arrives from it, it
        // cannot confirm a report either.
        bool worker_responded = true;
        // The worker of another task that the client reported has confirmed that task.
        bool client_trusted = false;
        // How long after the report the worker would have sent a message about the task if it ran there.
        Nanos confirmation_timeout = kConfirmationTimeout;
        Nanos client_absent_since = 0;  // 0: the client has a connection
    };
    enum class Verdict { keep, unconfirmed, interrupted };
    // Must be called periodically.
    Verdict check(Nanos now, const Evidence&);

private:
    bool is_unconfirmed_too_long(Nanos now, const Evidence&) const;
    void end_interruption();

    bool is_unconfirmed_ = false, is_interrupted_ = false;
    bool may_be_replaced_ = false;  // the worker's process; list_is_current then does not end the doubt
    Nanos reported_at_ = 0, interrupted_at_ = 0;
};

}  // namespace whinpost::ledger
