// One connection to a worker, and the attempts that were sent or are to be sent on it.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "ledger/owed_cancellations.h"
#include "ledger/worker_reachability.h"
#include "net/stream.h"
#include "platform/worker_handler.h"
#include "platform_codec/message.h"

namespace whinpost::platform {

class PooledWorker;

// An attempt belongs to the connection that it was sent on. The client's id is sent unchanged, so two
// attempts of one task at one worker have the same id, and only the connection shows to which of them a
// message belongs.
class WorkerConnection final : public net::StreamHandler {
public:
    // Dials at once. The worker owns the connection.
    WorkerConnection(PooledWorker&, net::EventLoop&, ledger::WorkerConnectionNumber,
                     const std::string& address, Nanos dial_timeout);

    ledger::WorkerConnectionNumber number() const { return number_; }

    // Whether new messages may be sent on it, now or once it is up.
    bool usable() const { return state_ == State::dialing || state_ == State::up; }
    bool is_up() const { return state_ == State::up || state_ == State::retired; }
    bool is_retired() const { return state_ == State::retired; }
    std::size_t load() const { return waiting_.size() + in_flight_.size(); }
    // Whether the worker serves on it, as far as is known: it has answered all that it was asked in time, and
    // has not failed a probe.
    bool is_responsive() const;
    bool has_work() const { return load() > 0 || !pending_health_checks_.empty(); }
    bool has_abandoned(std::uint64_t id) const { return abandoned_.contains(id); }
    // Whether the task runs and its attempt was accepted on this connection.
    bool has_accepted(std::uint64_t id) const { return accepted_.contains(id); }

    void start_attempt(InFlightTask&);
    // Withdraws the attempt. If it was already written, the worker is sent a release.
    void abandon_attempt(InFlightTask&);
    // The attempts that the worker may have accepted without this side knowing, if the connection is lost
    // now, and that are to be cancelled then. Ascending.
    std::vector<std::uint64_t> attempts_to_cancel() const;
    void check_health();
    // Sends a health check to find out whether the worker responds on this connection. Does nothing if one
    // was sent since the last byte was received.
    void probe();
    // Only for a connection that is up.
    void write_cancellation(std::uint64_t id);
    // Sends no new messages on it from now on. Only for a connection that is up.
    void retire() { state_ = State::retired; }
    // Closes it as if it had broken.
    void abort();
    // The time since when it has been idle, without work and with no bytes unread or unsent; 0 if it is not
    // idle.
    Nanos idle_since() const;
    // 0 while it is still dialing.
    Nanos up_since() const { return is_up() ? up_since_ : 0; }
    // Whether it has no attempts and no bytes unread or unsent, so that closing it loses at most the reply to
    // a health check. Must not be called from within its own callbacks.
    bool is_empty() const;
    void close();  // only if idle_since() or is_empty() allows it

private:
    friend class PooledWorker;
    enum class State { dialing, up, retired, broken };
    struct AbandonedAttempt {
        Nanos abandoned_at;
        bool cancel_if_accepted;  // a copy that is accepted late is to be cancelled
    };

    void on_connected() override;
    std::size_t on_received(std::string_view) override;
    void on_drained() override { send_waiting(); }
    void on_closed(net::CloseReason) override;

    void on_message(const platform_codec::Message&);
    void on_answer(const platform_codec::Message&);
    void on_release(const platform_codec::Message&);
    void on_released_in_flight(InFlightTask&, const platform_codec::Message&);
    void log_earlier_release(const platform_codec::Message&) const;
    void on_note(const platform_codec::Message&);
    void on_health_check_reply(const platform_codec::Message&);
    void on_malformed(std::string_view reason);
    void on_connection_lost(bool refused);

    bool can_send() const;
    bool is_long_idle() const;
    void send_waiting();
    ledger::WorkerReachability::ConnectionState state() const {
        return {up_since_, last_received_, is_mute_, unanswered_probe_at_, answered_probe_at_};
    }
    // Called when an attempt that was written at `written_at` is abandoned. Retires the connection if it is
    // mute.
    void retire_if_unanswered(Nanos written_at);
    // Marks the connection as mute if the worker has not responded to the latest probe in time.
    void check_mute();
    void end_attempts(bool was_up);
    void write(const platform_codec::Message&);
    void log_message(const platform_codec::Message&) const;

    PooledWorker& worker_;
    const ledger::WorkerConnectionNumber number_;
    std::unique_ptr<net::Stream> stream_;
    std::unique_ptr<net::Timer> timer_;  // dial timeout, then timeout of a partial message
    State state_ = State::dialing;
    bool health_check_due_ = false;  // to be sent once it is up
    Nanos last_received_ = 0, last_used_ = 0, up_since_ = 0;
    Nanos unanswered_probe_at_ = 0;  // when the probe that has no response yet was sent; 0: none
    std::uint64_t probe_id_ = 0;     // id of the latest probe
    Nanos probe_sent_at_ = 0, answered_probe_at_ = 0;
    bool has_failed_probe_ = false;          // the worker answered the latest probe that it does not serve
    bool is_mute_ = false;                   // the latest probe was not answered in time
    bool opened_for_lost_messages_ = false;  // opened only to receive messages that may have been lost
    bool tasks_in_doubt_ = false;        // mute, and the tasks of the process at its other end are in doubt
    std::deque<InFlightTask*> waiting_;  // attempts that are not written yet
    // Attempts that were written and have not ended. Look up by id, or iterate over the sorted ids only.
    std::unordered_map<std::uint64_t, InFlightTask*> in_flight_;
    std::set<std::uint64_t> accepted_;  // running tasks that were accepted on it
    std::map<std::uint64_t, AbandonedAttempt> abandoned_;
    std::set<std::uint64_t> pending_health_checks_;
};

}  // namespace whinpost::platform
