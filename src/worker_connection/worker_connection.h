// One worker's connection as a state machine, and what a broken connection proves of the attempts that were
// on it. No I/O and no clock: the server reports what happens on the stream and does what ConnectionHandler
// asks.
//
// What is proven of an attempt, and by what:
//   not_sent        Its last byte was never handed to the kernel (a worker acts on complete messages only),
//   or
//                   the worker, greeting with the same incarnation, names what it holds and what has ended,
//                   and this attempt is not among them.
//   connect_failed  There was no connection to send it on.
//   nothing         Anything else: it is in doubt until the worker greets again, its time is up, or the
//   worker
//                   is gone.
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
    waiting,   // for a dial permit, or for the end of a backoff after a failure
    dialling,  // a connection is being made
    greeting,  // connected; the worker has not said yet who it is and what it holds
    up,
};
std::string_view to_string(ConnectionState);

struct ConnectionSettings {
    Nanos dial_timeout = 1 * kSecond;
    Nanos greeting_timeout = 2 * kSecond;
    // After so long without any data a keepalive is sent; after twice that the connection is closed.
    Nanos silent_after = 3 * kSecond;
    Nanos initial_backoff = 100 * kMillisecond;  // the backoff between dials; it doubles, with jitter
    Nanos max_backoff = 5 * kSecond;
    Nanos drain_grace = 1 * kSecond;  // once its drain is known, nothing new may reach the worker after this
};

class WorkerConnection;

// Does for a connection what needs the network, the ledger or timers.
class ConnectionHandler {
public:
    virtual ~ConnectionHandler() = default;
    virtual void dial(WorkerConnection&) = 0;
    // `at_once`: what the worker has not received yet never reaches it.
    virtual void close(WorkerConnection&, bool at_once) = 0;
    virtual void write_attempt(WorkerConnection&, ledger::Attempt&) = 0;
    virtual void send_keepalive(WorkerConnection&) = 0;
    // Asks the worker whether it holds the task of an adopted attempt.
    virtual void send_adoption(WorkerConnection&, ledger::Attempt&) = 0;
    // Of the present connection: written and not handed to the kernel; handed to it; both together.
    virtual std::size_t unsent_bytes(const WorkerConnection&) const = 0;
    virtual std::uint64_t handed_over_bytes(const WorkerConnection&) const = 0;
    virtual std::uint64_t written_bytes(const WorkerConnection&) const = 0;
    virtual bool may_still_send(Nanos now, const ledger::Attempt&) const = 0;
    // Proven, or lost with the worker.
    virtual void on_attempt_ended(Nanos now, ledger::Attempt&, AttemptOutcome) = 0;
    // run_timers() is to be called then; a later call replaces the time.
    virtual void wake_at(WorkerConnection&, Nanos at) = 0;
    // The connection is closed, or could not be made. The last call for it.
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

    // ---- what the server wants
    // A connection, as long as the worker is listed or holds anything.
    void set_wanted(Nanos now, bool is_wanted);
    // The attempt may have ended (connect_failed) before this returns.
    void send(Nanos now, ledger::Attempt&);
    // True: the attempt was still queued here, and nothing of it was written.
    [[nodiscard]] bool withdraw(ledger::Attempt&);
    // The attempt has ended. `by_worker`: the worker said so, and has thus read it.
    void on_attempt_ended(ledger::Attempt&, bool by_worker = true);
    // The worker is at another address now.
    void reconnect(Nanos now);
    // The worker is asked for the attempt now, or at its next greeting.
    // Running attempts there of the task with that key, in the order of their numbers.
    std::vector<ledger::Attempt*> running_attempts_of(std::string_view task_key) const;
    void adopt(ledger::Attempt&);

    // ---- what happens on the stream
    void on_connected(Nanos now);
    void on_dial_failed(Nanos now);
    void on_disconnected(Nanos now, std::uint64_t handed_over);
    void on_data(Nanos now);  // of any kind
    // The worker has read so many of the attempts that were written on this connection.
    void on_attempts_read(Nanos now, std::uint64_t count);
    // The worker's own clock, as it reported it; 0: it reports none. The two clocks run equally fast, and
    // neither is set by the other.
    void on_clock(Nanos now, Nanos worker_time);
    // Our time on the worker's clock; 0 where it reports none. Never later than its clock will show then,
    // since its report was on its way for a while.
    Nanos to_worker_time(Nanos ours) const {
        return worker_clock_ ? worker_clock_ + (ours - worker_clock_read_at_) : 0;
    }
    // The stream has handed over all that was written.
    void on_drained(Nanos now) { write_queued(now); }
    // The worker's greeting is complete: its incarnation, and the attempts of this placer that it holds.
    // `remembers_for`: how long it keeps the ends that it could not report; it has reported them all before.
    void on_greeting(Nanos now, std::uint64_t incarnation, const std::vector<std::uint64_t>& held_attempts,
                     Nanos remembers_for);

    // ---- what is reported of the worker
    void on_drain(Nanos now);
    // The endpoint list no longer names the worker: what it held is lost.
    void on_worker_gone(Nanos now);

    void run_timers(Nanos now);

    ConnectionState state() const { return state_; }
    ledger::WorkerRecord& worker() const { return worker_; }
    const ConnectionStatistics& statistics() const { return statistics_; }
    std::vector<ledger::Attempt*> attempts_in_order() const;  // in flight, by number
    std::size_t in_flight() const { return in_flight_.size(); }
    std::size_t queued() const { return queue_.size(); }
    std::uint64_t incarnation() const { return incarnation_; }
    void* tag = nullptr;  // the handler's own

private:
    friend class DialLimiter;
    struct WrittenAttempt {
        ledger::Attempt* attempt;  // null: it has ended
        std::uint64_t end_offset;  // offset of the byte after its last
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
    bool awaits_permit_ = false;               // the dial limiter's
    std::deque<ledger::Attempt*> queue_;       // not written yet: can be withdrawn
    std::deque<WrittenAttempt> unread_;        // written on the present connection, in order, not confirmed
    std::vector<ledger::Attempt*> in_flight_;  // written on any connection, or adopted; in no order
    std::uint64_t incarnation_ = 0;            // of the worker; 0: it has not greeted yet
    std::uint64_t read_count_ = 0;             // attempts that the worker read on the present connection
    Nanos state_since_ = 0;
    Nanos last_data_at_ = 0;
    Nanos keepalive_sent_at_ = 0;  // 0: none since the last data
    Nanos disconnected_at_ = 0;    // 0: it was never up and then closed
    Nanos dial_at_ = 0;
    Nanos backoff_ = 0;         // 0: the last connection was up
    Nanos drain_deadline_ = 0;  // by then the worker is to have read what was written; 0: it does not drain
    Nanos worker_clock_ = 0, worker_clock_read_at_ = 0;
    ConnectionStatistics statistics_;
};

}  // namespace whinpost::worker_connection
