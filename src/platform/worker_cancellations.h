// Delivers the cancellations that are owed to one worker: writes each to a connection, and again to others
// until the worker has confirmed it.
#pragma once
#include <string>
#include <vector>

#include "ledger/owed_cancellations.h"
#include "platform_codec/message.h"
#include "whinpost/nanos.h"

namespace whinpost::platform {

class PooledWorker;
class WorkerConnection;

// A part of PooledWorker, whose connections it uses.
class WorkerCancellations {
public:
    explicit WorkerCancellations(PooledWorker& worker) : worker_(worker) {}

    bool empty() const { return owed_.empty(); }
    bool holds_name(const std::string& exclusive_name) const { return owed_.holds_name(exclusive_name); }
    // Ignored if the worker has left the endpoint list. Dials if there is no usable connection.
    void cancel(ledger::CancelledTask);
    // Writes all that are owed to all connections, since no reply will be read from now on.
    void write_all_to_all();

    // A connection that is open, usable or not, and that the worker may still read a cancellation of this
    // task from. A later attempt with the same id must be sent behind it.
    std::vector<ledger::WorkerConnectionNumber> carriers(std::uint64_t id) const {
        return owed_.carriers(id);
    }
    // To be called before an attempt is written to the connection: writes the cancellation of an earlier copy
    // that is owed and that no connection carries.
    void before_attempt(WorkerConnection&, std::uint64_t id);

    void on_connected(WorkerConnection&);
    // To be called after the connection was removed from the worker's list. The attempts on it that may run
    // by now and that no client waits for are cancelled.
    void on_connection_lost(const WorkerConnection& lost, bool was_up);
    // The worker has released a copy of the task.
    void on_released(std::uint64_t id, platform_codec::Cause);
    // The attempt with that id was given up, and its connection has been told so.
    void on_given_up(std::uint64_t id);
    // Whether a release, which names an attempt in flight on its connection, is that of an earlier copy which
    // was cancelled. The attempt goes on then.
    bool concerns_cancelled_copy(std::uint64_t id, platform_codec::Cause) const;
    // Whether a release, which names a running task, repeats that of an earlier copy which was cancelled. The
    // task runs on then.
    bool is_repeat(std::uint64_t id, platform_codec::Cause, const WorkerConnection& received_on) const;
    // Whether an earlier copy with this id may still run.
    bool is_owed(std::uint64_t id) const { return owed_.is_owed(id); }
    // The worker has accepted a later attempt with the same id.
    void on_accepted(std::uint64_t id);
    // The worker has answered the probe that was sent at `sent_at`, so it has read what was written before.
    void on_probe_answered(const WorkerConnection&, Nanos sent_at);
    void on_worker_restarted(Nanos at);
    void on_worker_lost();
    // To be called periodically. `lost_after`: a worker that cannot be reached for this long counts as lost.
    // Returns whether another connection is needed, since the worker has not confirmed on those that are up.
    [[nodiscard]] bool sweep(Nanos now, Nanos lost_after);

private:
    // Writes it to a usable connection that does not carry it yet, if one is up.
    void write_to_another(std::uint64_t id);
    // Does nothing while an attempt with the same id is in flight: the worker might cancel that one in place
    // of the copy before it.
    void write_to(WorkerConnection&, std::uint64_t id);
    // Writes it to all connections that are up and do not carry it yet, also to those for which new attempts
    // are not allowed.
    void write_to_all(std::uint64_t id);
    bool carries(const WorkerConnection&, std::uint64_t id) const;
    // Asks the worker, on the connections that carry it, whether it has read what was written there.
    void probe_carriers(std::uint64_t id);
    void log_settled(const ledger::SettledCancellation&) const;
    void log_dropped(const std::vector<ledger::SettledCancellation>&) const;

    PooledWorker& worker_;
    ledger::OwedCancellations owed_;
};

}  // namespace whinpost::platform
