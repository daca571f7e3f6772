// One connection to a worker, and the attempts that were sent or are to be sent on it.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "ledger/worker_reachability.h"
#include "net/stream.h"
#include "platform/worker_handler.h"
#include "platform_codec/message.h"

namespace whinpost::platform {

class PooledWorker;

// An attempt belongs to the connection that it was sent on: the client's id passes on unchanged, so two
// attempts of one task at one worker carry the same id, and only the connection tells their ends apart.
class WorkerConnection final : public net::StreamHandler {
public:
    // Dials at once. The worker owns the connection.
    WorkerConnection(PooledWorker&, net::EventLoop&, const std::string& address, Nanos dial_timeout);

    // Something new may be sent on it, now or once it is up.
    bool usable() const { return state_ == State::dialing || state_ == State::up; }
    bool is_up() const { return state_ == State::up || state_ == State::retired; }
    bool is_retired() const { return state_ == State::retired; }
    std::size_t load() const { return waiting_.size() + in_flight_.size(); }
    bool has_work() const { return load() > 0 || !pending_health_checks_.empty(); }
    bool has_abandoned(std::uint64_t id) const { return abandoned_.contains(id); }

    void start_attempt(InFlightTask&);
    // The attempt ends here, whether it was written or not.
    void abandon_attempt(InFlightTask&);
    void check_health();
    // A health check that only asks for a sign of life; once while it is silent.
    void ask_for_life();
    void cancel_task(std::uint64_t id);
    // Nothing new is sent on it any more. Only for one that is up.
    void retire() { state_ = State::retired; }
    // As if it had broken.
    void abort();
    // Of no use since then, with nothing on its way either way that is known of; 0: it is of use.
    Nanos idle_since() const;
    // 0 while it is still dialing.
    Nanos up_since() const { return is_up() ? up_since_ : 0; }
    // No attempt is on it, and nothing lies unread or unsent: closing it loses at most the reply to a health
    // check. Not to be asked from within one of its own calls.
    bool is_empty() const;
    void close();  // after idle_since() or is_empty()

private:
    friend class PooledWorker;
    enum class State { dialing, up, retired, broken };

    void on_connected() override;
    std::size_t on_received(std::string_view) override;
    void on_drained() override { send_waiting(); }
    void on_closed(net::CloseReason) override;

    void on_message(const platform_codec::Message&);
    void on_answer(const platform_codec::Message&);
    void on_release(const platform_codec::Message&);
    void on_released_in_flight(InFlightTask&, const platform_codec::Message&);
    void on_note(const platform_codec::Message&);
    void on_health_check_reply(const platform_codec::Message&);
    void on_malformed(std::string_view reason);
    void on_connection_lost(bool refused);

    bool can_send() const;
    bool is_long_idle() const;
    void send_waiting();
    ledger::WorkerReachability::ConnectionState state() const {
        return {up_since_, last_received_, is_mute_, asked_at_, answered_ask_};
    }
    // An attempt that was written then is given up.
    void retire_if_unanswered(Nanos written_at);
    // Once the time to answer the latest ask_for_life() is over.
    void check_mute();
    void end_attempts(bool was_up);
    void write(const platform_codec::Message&);
    void log_message(const platform_codec::Message&) const;

    PooledWorker& worker_;
    std::unique_ptr<net::Stream> stream_;
    std::unique_ptr<net::Timer> timer_;  // of the dial, then of a partial message
    State state_ = State::dialing;
    bool health_check_due_ = false;  // to be sent once it is up
    Nanos last_received_ = 0, last_used_ = 0, up_since_ = 0;
    Nanos asked_at_ = 0;     // for a sign of life that has not come; 0: it was not
    std::uint64_t ask_ = 0;  // the id of the latest health check that asked for one
    Nanos ask_sent_at_ = 0, answered_ask_ = 0;
    bool is_mute_ = false;               // and none has come in time
    bool opened_for_word_ = false;       // only to bring what the worker may have said in vain
    bool is_doubted_ = false;            // mute, and the tasks that were spoken of on it are in doubt
    std::deque<InFlightTask*> waiting_;  // not written yet
    // Written, and not ended; looked up, and walked in order of id only.
    std::unordered_map<std::uint64_t, InFlightTask*> in_flight_;
    std::set<std::uint64_t> accepted_;         // tasks that were accepted on it and run on
    std::map<std::uint64_t, bool> abandoned_;  // by id: whether a late acceptance is to be cancelled
    std::set<std::uint64_t> pending_health_checks_;
    std::vector<std::uint64_t> pending_cancels_;  // to be written once it is up
};

}  // namespace whinpost::platform
