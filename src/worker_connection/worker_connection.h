// One node's connection as a state machine, and what a broken connection proves of the launches that were on
// it. No I/O, no clock: the edge tells it what happens on the stream and does what it asks for through Wire.
//
// What is proven, and by what:
//   unsent       the last byte of the launch was never in the kernel's hands (a node acts on whole messages
//   only), or the
//                node, greeting the same incarnation again, names what it holds and has ended, and this is
//                not among it
//   unconnected  there was no connection to hand it to
//   nothing      else: it is in doubt until the node greets again, its time runs out, or the node is gone
#pragma once
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "ledger/ledger.h"
#include "whinpost/scheduler.h"

namespace whinpost::worker_connection {

enum class ConnectionState {
    idle,      // not wanted
    waiting,   // for the dialler's leave, or for the end of a pause after a failure
    dialling,  // a connection is being made
    greeting,  // it is up, the node has not said yet who it is and what it holds
    up,
};
std::string_view to_string(ConnectionState);

struct ConnectionSettings {
    Nanos dial_time_out = 1 * kSecond;
    Nanos greet_time_out = 2 * kSecond;
    Nanos silent_after = 3 * kSecond;  // nothing heard for so long: asked for a sign of life; twice that: cut
    Nanos first_pause = 100 * kMillisecond,
          longest_pause = 5 * kSecond;  // between dials, doubling, with jitter
    Nanos drain_grace =
        1 * kSecond;  // after a drain is heard, nothing new may reach the node later than that
};

class WorkerConnection;

// Leave to dial: so many connections in the making at once and so many a second, first come first served.
// After a cut, a hundred nodes are not dialled in one moment, nor by each placer in the same rhythm (the
// pauses are jittered).
class DialLimiter {
public:
    DialLimiter(int at_once, int a_second) : max_concurrent_(at_once), max_per_second_(a_second) {}
    bool try_acquire(
        Nanos now,
        WorkerConnection&);  // true: it counts as in the making until done(). False: it stands in line
    void release(WorkerConnection&);
    void remove(WorkerConnection&);  // wants no more
    // The time at which the first in line may try again; 0: when one is done.
    Nanos next_dial_at(Nanos now) const;
    bool is_first(const WorkerConnection& l) const { return !queue_.empty() && queue_.front() == &l; }
    int dialling() const { return dialling_; }

private:
    void wake_first(Nanos now);
    int max_concurrent_, max_per_second_, dialling_ = 0;
    std::deque<WorkerConnection*> queue_;
    std::deque<Nanos> recent_dials_;
};

// What a link asks of the edge.
class ConnectionHandler {
public:
    virtual ~ConnectionHandler() = default;
    virtual void dial(WorkerConnection&) = 0;
    virtual void close(WorkerConnection&,
                       bool at_once) = 0;  // at once: what the node has not received never reaches it
    virtual void write_attempt(WorkerConnection&, ledger::Attempt&) = 0;
    virtual void send_keepalive(WorkerConnection&) = 0;
    virtual void send_adoption(WorkerConnection&,
                               ledger::Attempt&) = 0;  // taken over: does the node hold its container?
    virtual std::size_t unsent_bytes(const WorkerConnection&) const = 0;
    virtual std::uint64_t handed_over_bytes(const WorkerConnection&) const = 0;  // of the present connection
    virtual std::uint64_t written_bytes(const WorkerConnection&) const = 0;  // the same, with what is unsent
    virtual bool may_still_send(Nanos now, const ledger::Attempt&) const = 0;
    virtual void on_attempt_ended(Nanos now, ledger::Attempt&,
                                  AttemptOutcome) = 0;      // proven, or lost with the node
    virtual void wake_at(WorkerConnection&, Nanos at) = 0;  // call tick() then; the latest asked for counts
    // There is no connection any more, or none could be made. The last thing done for it.
    virtual void on_disconnected(Nanos now, WorkerConnection&, bool was_up) = 0;
};

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

    // ---- what the edge wants
    void set_wanted(Nanos now, bool);  // connected, as long as the node is in the list or holds anything
    void send(Nanos now, ledger::Attempt&);  // may be told over (unconnected) before it returns
    bool withdraw(ledger::Attempt&);         // true: it was still here, nothing of it has been written
    void on_attempt_ended(ledger::Attempt&, bool answered = true);  // it is over; whether by the node's word
    void reconnect(Nanos now);                                      // the node stands at another address now
    void adopt(ledger::Attempt&);  // taken over: the node is asked after it, now or at its next greeting

    // ---- what happens on the stream
    void on_connected(Nanos now);
    void on_dial_failed(Nanos now);
    void on_disconnected(Nanos now, std::uint64_t handed);
    void on_data(Nanos now);  // anything at all
    void on_attempts_read(Nanos now, std::uint64_t launches);
    // The node's own clock, as it told it; 0: it tells none. Both clocks count alike; neither is set by the
    // other.
    void on_clock(Nanos now, Nanos theirs);
    // A time of ours on the node's clock; 0 where it tells none. Never later than it will be there: what the
    // node said was on its way for a while.
    Nanos to_worker_time(Nanos ours) const {
        return worker_clock_ ? worker_clock_ + (ours - worker_clock_read_at_) : 0;
    }
    void on_drained(Nanos now) { write_queued(now); }  // the stream has handed over all it had
    // The node's greeting is whole: its incarnation, and the launches of this placer that it holds.
    // `remembers` is how long it keeps the ends that it could not tell; it has told them all before.
    void on_greeting(Nanos now, std::uint64_t incarnation, const std::vector<std::uint64_t>& holds,
                     Nanos remembers);

    // ---- what is heard of the node
    void on_drain(Nanos now);
    void on_worker_gone(Nanos now);  // the list names it no longer: what it held is lost

    void run_timers(Nanos now);

    ConnectionState state() const { return state_; }
    ledger::WorkerRecord& worker() const { return worker_; }
    const ConnectionStatistics& statistics() const { return statistics_; }
    std::vector<ledger::Attempt*> attempts_in_order() const;  // what is out, by number
    std::size_t in_flight() const { return in_flight_.size(); }
    std::size_t queued() const { return queue_.size(); }
    std::uint64_t incarnation() const { return incarnation_; }
    void* tag = nullptr;  // the door's own

private:
    friend class DialLimiter;
    struct WrittenAttempt {
        ledger::Attempt* attempt;  // null: over
        std::uint64_t end_offset;  // offset of the byte after its last
    };
    void add_in_flight(ledger::Attempt&);
    void remove_in_flight(ledger::Attempt&);
    void mark_read(std::uint64_t launches);
    void try_dial(Nanos now);
    void write_queued(Nanos now);
    void back_off(Nanos now);
    void end_in_flight(Nanos now);
    void end_queued(Nanos now, AttemptOutcome);
    void schedule_wakeup(Nanos now);

    ConnectionHandler& handler_;
    DialLimiter& dial_limiter_;
    ledger::WorkerRecord& worker_;
    ConnectionSettings settings_;
    std::ranlux24_base jitter_;
    ConnectionState state_ = ConnectionState::idle;
    bool is_wanted_ = false, awaits_permit_ = false;
    std::deque<ledger::Attempt*> queue_;  // not written yet: can be taken back
    std::deque<WrittenAttempt> unread_;   // on the present connection, in their order
    std::vector<ledger::Attempt*>
        in_flight_;  // written on any connection, or adopted, and not over; in no order
    std::uint64_t incarnation_ = 0, read_count_ = 0;
    Nanos state_since_ = 0, last_data_at_ = 0, keepalive_sent_at_ = 0, disconnected_at_ = 0, dial_at_ = 0,
          backoff_ = 0, drain_deadline_ = 0, worker_clock_ = 0, worker_clock_read_at_ = 0;
    ConnectionStatistics statistics_;
};

}  // namespace whinpost::worker_connection
