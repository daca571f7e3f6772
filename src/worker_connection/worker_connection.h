// The state machine of the connection to one worker. It determines which attempts are proven unsent when a
// connection breaks. It does no I/O and reads no clock: the server reports the events of the stream, and
// ConnectionHandler carries out the actions.
//
// How an attempt ends:
//
// - not_sent: its last byte was never passed to the kernel (a worker acts on complete messages only), or the
//   worker greeted with the same incarnation and did not name the attempt among those that it holds or that
//   have ended.
// - connect_failed: there was no connection to send it on.
// - Otherwise it is in doubt until the worker greets again, its deadline passes, or the worker is gone.
#pragma once
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "ledger/ledger.h"
#include "whinpost/scheduler.h"
#include "worker_connection/dial_limiter.h"

namespace whinpost::worker_connection {

enum class ConnectionState {
    idle,      // no connection is wanted
    waiting,   // waiting for a dial permit or for the end of a backoff
    dialling,  // a connection is being made
    greeting,  // connected; the worker's greeting is not complete yet
    up,
};
std::string_view to_string(ConnectionState);

struct ConnectionSettings {
    Nanos dial_timeout = 1 * kSecond;
    Nanos greeting_timeout = 2 * kSecond;
    // After this long without any data a keepalive is sent; after twice this time the connection is closed.
    Nanos silent_after = 3 * kSecond;
    Nanos initial_backoff = 100 * kMillisecond;  // between dials; doubles after each failure, jittered
    Nanos max_backoff = 5 * kSecond;
    // No attempt may reach the worker later than this after its drain is known.
    Nanos drain_grace = 1 * kSecond;
};

class WorkerConnection;

// Provides a connection with access to the network, the ledger and timers.
class ConnectionHandler {
public:
    virtual ~ConnectionHandler() = default;
    virtual void dial(WorkerConnection&) = 0;
    // `at_once`: abort, so that data that the worker has not received yet never reaches it.
    virtual void close(WorkerConnection&, bool at_once) = 0;
    virtual void write_attempt(WorkerConnection&, ledger::Attempt&) = 0;
    virtual void send_keepalive(WorkerConnection&) = 0;
    // Sends AdoptAttempt, which the worker answers if it holds the attempt's task.
    virtual void send_adoption(WorkerConnection&, ledger::Attempt&) = 0;
    // Bytes on the current connection: written but not passed to the kernel; passed to the kernel; written in
    // all.
    virtual std::size_t unsent_bytes(const WorkerConnection&) const = 0;
    virtual std::uint64_t bytes_passed_to_kernel(const WorkerConnection&) const = 0;
    virtual std::uint64_t written_bytes(const WorkerConnection&) const = 0;
    virtual bool may_still_send(Nanos now, const ledger::Attempt&) const = 0;
    // The attempt has ended: it was proven unsent, or it was lost with the worker.
    virtual void on_attempt_ended(Nanos now, ledger::Attempt&, AttemptOutcome) = 0;
    // run_timers() must be called at that time. A later call replaces the time.
    virtual void wake_at(WorkerConnection&, Nanos at) = 0;
    // The connection was closed or could not be made. This is the last call for this connection.
    virtual void on_disconnected(Nanos now, WorkerConnection&, bool was_up) = 0;
};

// Counters for operators and tests.
struct ConnectionStatistics {
    std::uint64_t dials = 0, failed_dials = 0, disconnects = 0, keepalive_timeouts = 0, drain_timeouts = 0,
                  proven_unsent = 0, in_doubt = 0, resolved_by_greeting = 0;
};

class WorkerConnection {
public:
    WorkerConnection(ConnectionHandler&, DialLimiter&, ledger::WorkerRecord&, ConnectionSettings,
                     std::uint64_t seed);
    ~WorkerConnection();
    WorkerConnection(const WorkerConnection&) = delete;
    WorkerConnection& operator=(const WorkerConnection&) = delete;

    // ---- requests of the server
    // Whether a connection is wanted: while the worker is listed or holds attempts. A connection that is not
    // wanted is closed, unless attempts are queued or in flight.
    void set_wanted(Nanos now, bool is_wanted);
    // Sends or queues the attempt. It may end with connect_failed before this returns.
    void send(Nanos now, ledger::Attempt&);
    // True if the attempt was still queued, so that no part of it was written.
    [[nodiscard]] bool withdraw(ledger::Attempt&);
    // The attempt has ended. `by_worker`: the worker reported the end, and so has read the attempt.
    void on_attempt_ended(ledger::Attempt&, bool by_worker = true);
    // The worker's address has changed.
    void reconnect(Nanos now);
    // Attempts of the task with that key that the worker has accepted, ordered by their numbers.
    std::vector<ledger::Attempt*> running_attempts_of(std::string_view task_key) const;
    // Sends AdoptAttempt to the worker, now or at its next greeting.
    void adopt(ledger::Attempt&);

    // ---- events of the stream
    void on_connected(Nanos now);
    void on_dial_failed(Nanos now);
    void on_disconnected(Nanos now, std::uint64_t bytes_passed_to_kernel);
    void on_data(Nanos now);  // any data
    // The worker has read the first `count` attempts that were written on this connection.
    void on_attempts_read(Nanos now, std::uint64_t count);
    // The worker's clock as it reported it; 0: it reports none. The two clocks are not synchronized, but are
    // assumed to run at the same rate.
    void on_clock(Nanos now, Nanos worker_time);
    // Converts a local time to the worker's clock; 0 if it reports none. The result is never later than the
    // worker's clock at that time, since the clock report took some time to arrive.
    Nanos to_worker_time(Nanos ours) const {
        return worker_clock_ ? worker_clock_ + (ours - worker_clock_read_at_) : 0;
    }
    // The stream has passed all written data to the kernel.
    void on_drained(Nanos now) { write_queued(now); }
    // The worker's greeting is complete. `held_attempts`: the attempts of this placer that it holds.
    // `remembers_for`: how long the worker keeps the ends of attempts that it could not report; all that it
    // kept have been reported before this call.
    void on_greeting(Nanos now, std::uint64_t incarnation, const std::vector<std::uint64_t>& held_attempts,
                     Nanos remembers_for);

    // ---- reports about the worker
    void on_drain(Nanos now);
    // The endpoint list no longer names the worker. Unless the connection is up, its attempts are lost.
    void on_worker_gone(Nanos now);

    void run_timers(Nanos now);

    ConnectionState state() const { return state_; }
    ledger::WorkerRecord& worker() const { return worker_; }
    const ConnectionStatistics& statistics() const { return statistics_; }
    std::vector<ledger::Attempt*> attempts_in_order() const;  // in flight, ordered by number
    std::size_t in_flight() const { return in_flight_.size(); }
    std::size_t queued() const { return queue_.size(); }
    std::uint64_t incarnation() const { return incarnation_; }
    void* tag = nullptr;  // for use by the handler

private:
    friend class DialLimiter;
    struct WrittenAttempt {
        ledger::Attempt* attempt;  // null if it has ended
        std::uint64_t end_offset;  // stream offset of the end of the attempt
    };
    void add_in_flight(ledger::Attempt&);
    void remove_in_flight(ledger::Attempt&);
    void mark_read(std::uint64_t count);
    void try_dial(Nanos now);
    void write_queued(Nanos now);
    void back_off(Nanos now);
    void end_in_flight(Nanos now);
    void end_queued(Nanos now, AttemptOutcome);
    void resolve_unnamed(Nanos now, const std::vector<std::uint64_t>& held_attempts, bool worker_remembers);
    void disconnect(Nanos now, bool at_once);
    void check_liveness(Nanos now);
    void schedule_wakeup(Nanos now);

    ConnectionHandler& handler_;
    DialLimiter& dial_limiter_;
    ledger::WorkerRecord& worker_;
    ConnectionSettings settings_;
    std::ranlux24_base jitter_;
    ConnectionState state_ = ConnectionState::idle;
    bool is_wanted_ = false;
    bool awaits_permit_ = false;          // set by DialLimiter
    std::deque<ledger::Attempt*> queue_;  // not written yet, so they can be withdrawn
    std::deque<WrittenAttempt> unread_;   // written on the current connection, in order; reads not confirmed
    std::vector<ledger::Attempt*> in_flight_;  // written on any connection, or adopted; unordered
    std::uint64_t incarnation_ = 0;            // of the worker; 0 before its first greeting
    std::uint64_t read_count_ = 0;             // attempts that the worker has read on the current connection
    Nanos state_since_ = 0;
    Nanos last_data_at_ = 0;
    Nanos keepalive_sent_at_ = 0;  // 0: none sent since the last data
    Nanos disconnected_at_ = 0;    // 0: no connection that was up has been closed
    Nanos dial_at_ = 0;
    Nanos backoff_ = 0;         // the delay after the last failure; 0: none since the connection came up
    Nanos drain_deadline_ = 0;  // when unread attempts cause an abort; 0: no drain, or none unread
    Nanos worker_clock_ = 0, worker_clock_read_at_ = 0;
    ConnectionStatistics statistics_;
};

}  // namespace whinpost::worker_connection
