#include "worker_connection/worker_connection.h"

#include <algorithm>

namespace whinpost::worker_connection {

std::string_view to_string(ConnectionState state) {
    switch (state) {
        case ConnectionState::idle:
            return "idle";
        case ConnectionState::waiting:
            return "waiting";
        case ConnectionState::dialling:
            return "dialling";
        case ConnectionState::greeting:
            return "greeting";
        case ConnectionState::up:
            return "up";
    }
    return "unknown";
}

namespace {
// Attempts are written to the stream only while it holds fewer unsent bytes than this; the others stay in the
// queue, where a drain can still withdraw them. Enough for a few dozen attempts, which fill one or two TCP
// segments in one write.
constexpr std::size_t kMaxUnsentBytes = 4 << 10;
// The maximum number of attempts written to a worker that has not confirmed reading them. Further attempts
// stay queued: a worker that hangs receives at most this many when it resumes, and a queued attempt that is
// given up is proven unsent. Healthy workers read thousands of attempts a second and do not reach the limit.
constexpr std::size_t kMaxUnread = 64;
// Fallback timer of a connection that waits for a dial permit; ordinarily the connection before it in the
// queue wakes it.
constexpr Nanos kQueuedWakeup = 60 * kSecond;
// The connection is aborted a fourth of the drain grace before it ends. The abort takes effect at once on
// this side, while the worker measures its grace from the arrival of the last byte.
constexpr Nanos kGraceReserveDivisor = 4;
}  // namespace

WorkerConnection::WorkerConnection(ConnectionHandler& handler, DialLimiter& dial_limiter,
                                   ledger::WorkerRecord& worker, ConnectionSettings settings,
                                   std::uint64_t seed)
    : handler_(handler), dial_limiter_(dial_limiter), worker_(worker), settings_(settings),
      jitter_(static_cast<std::ranlux24_base::result_type>(seed ^ (seed >> 24) ^ (seed >> 48))) {}

WorkerConnection::~WorkerConnection() {
    if (state_ == ConnectionState::dialling) dial_limiter_.release(*this);
    dial_limiter_.remove(*this);
}

void WorkerConnection::set_wanted(Nanos now, bool is_wanted) {
    is_wanted_ = is_wanted;
    if (is_wanted && state_ == ConnectionState::idle) {
        state_ = ConnectionState::waiting;
        state_since_ = now;
        dial_at_ = now;
        try_dial(now);
    }
    if (!is_wanted && in_flight_.empty() && queue_.empty() && state_ != ConnectionState::idle) {
        if (state_ == ConnectionState::dialling) dial_limiter_.release(*this);
        else if (state_ == ConnectionState::waiting) dial_limiter_.remove(*this);
        if (state_ != ConnectionState::waiting) handler_.close(*this, false);
        state_ = ConnectionState::idle;
    }
    schedule_wakeup(now);
}

void WorkerConnection::try_dial(Nanos now) {
    if (now < dial_at_) return;
    if (!dial_limiter_.try_acquire(now, *this)) return;
    state_ = ConnectionState::dialling;
    state_since_ = now;
    ++statistics_.dials;
    handler_.dial(*this);
}

// An attempt for an unreachable worker fails at once, so that the planner can choose another worker. While
// the first connection is being made the attempt waits for it, until the attempt's deadline.
void WorkerConnection::send(Nanos now, ledger::Attempt& attempt) {
    if (state_ == ConnectionState::idle) set_wanted(now, true);
    const bool is_unreachable = state_ == ConnectionState::waiting && backoff_ > 0;
    if (is_unreachable) {
        handler_.on_attempt_ended(now, attempt, AttemptOutcome::connect_failed);
        return;
    }
    queue_.push_back(&attempt);
    if (state_ == ConnectionState::up) write_queued(now);
    schedule_wakeup(now);
}

void WorkerConnection::write_queued(Nanos now) {
    if (state_ != ConnectionState::up) return;
    while (!queue_.empty() && handler_.unsent_bytes(*this) < kMaxUnsentBytes && unread_.size() < kMaxUnread) {
        ledger::Attempt& attempt = *queue_.front();
        queue_.pop_front();
        if (!handler_.may_still_send(now, attempt)) {
            ++statistics_.proven_unsent;
            handler_.on_attempt_ended(now, attempt, AttemptOutcome::not_sent);
            continue;
        }
        add_in_flight(attempt);
        handler_.write_attempt(*this, attempt);
        unread_.push_back({&attempt, handler_.written_bytes(*this)});
    }
}

void WorkerConnection::add_in_flight(ledger::Attempt& attempt) {
    attempt.connection_index = in_flight_.size();
    in_flight_.push_back(&attempt);
}

void WorkerConnection::remove_in_flight(ledger::Attempt& attempt) {
    if (attempt.connection_index >= in_flight_.size() || in_flight_[attempt.connection_index] != &attempt)
        return;
    in_flight_[attempt.connection_index] = in_flight_.back();
    in_flight_[attempt.connection_index]->connection_index = attempt.connection_index;
    in_flight_.pop_back();
    attempt.connection_index = SIZE_MAX;
}

std::vector<ledger::Attempt*> WorkerConnection::attempts_in_order() const {
    std::vector<ledger::Attempt*> all = in_flight_;
    std::sort(all.begin(), all.end(), [](const ledger::Attempt* first, const ledger::Attempt* second) {
        return first->number < second->number;
    });
    return all;
}

std::vector<ledger::Attempt*> WorkerConnection::running_attempts_of(std::string_view task_key) const {
    std::vector<ledger::Attempt*> running = attempts_in_order();
    std::erase_if(running, [task_key](const ledger::Attempt* attempt) {
        return !attempt->accepted || attempt->task->key != task_key;
    });
    return running;
}

bool WorkerConnection::withdraw(ledger::Attempt& attempt) {
    const auto it = std::find(queue_.begin(), queue_.end(), &attempt);
    if (it == queue_.end()) return false;
    queue_.erase(it);
    return true;
}

// Guards against an attempt that is given up while it lies in a buffer and arrives at the worker after its
// drain has begun. An ended attempt therefore keeps its entry in unread_ until the worker is known to have
// read it.
void WorkerConnection::on_attempt_ended(ledger::Attempt& attempt, bool by_worker) {
    remove_in_flight(attempt);
    if (!queue_.empty()) std::erase(queue_, &attempt);
    const auto it = std::find_if(unread_.begin(), unread_.end(), [&attempt](const WrittenAttempt& written) {
        return written.attempt == &attempt;
    });
    if (it == unread_.end()) return;
    it->attempt = nullptr;
    if (!by_worker) return;
    // An answer shows that the worker has read this attempt and all before it, even if it never confirms
    // reads.
    mark_read(read_count_ + static_cast<std::uint64_t>(it - unread_.begin()) + 1);
}

void WorkerConnection::adopt(ledger::Attempt& attempt) {
    add_in_flight(attempt);
    if (state_ == ConnectionState::up) handler_.send_adoption(*this, attempt);
}

void WorkerConnection::on_connected(Nanos now) {
    if (state_ != ConnectionState::dialling) return;
    dial_limiter_.release(*this);
    state_ = ConnectionState::greeting;
    state_since_ = last_data_at_ = now;
    keepalive_sent_at_ = 0;
    read_count_ = 0;
    worker_clock_ = 0;  // another incarnation may have another clock
    unread_.clear();
    schedule_wakeup(now);
}

void WorkerConnection::back_off(Nanos now) {
    backoff_ = backoff_ ? std::min(settings_.max_backoff, 2 * backoff_) : settings_.initial_backoff;
    // The delay is half of the backoff to all of it, so that placers that lost a zone at the same time do not
    // reconnect in step.
    dial_at_ = now + backoff_ / 2 +
               static_cast<Nanos>(static_cast<double>(backoff_) * 0.5 * (jitter_() % 1024) / 1024);
    state_ = ConnectionState::waiting;
    state_since_ = now;
    if (!is_wanted_ && in_flight_.empty()) state_ = ConnectionState::idle;
}

void WorkerConnection::end_queued(Nanos now, AttemptOutcome outcome) {
    std::deque<ledger::Attempt*> queued;
    queued.swap(queue_);
    for (ledger::Attempt* attempt : queued) handler_.on_attempt_ended(now, *attempt, outcome);
}

void WorkerConnection::on_dial_failed(Nanos now) {
    if (state_ != ConnectionState::dialling) return;
    dial_limiter_.release(*this);
    ++statistics_.failed_dials;
    if (!is_wanted_) end_in_flight(now);  // not in the endpoint list and unreachable: its attempts are lost
    back_off(now);
    end_queued(now, AttemptOutcome::connect_failed);
    schedule_wakeup(now);
    handler_.on_disconnected(now, *this, false);
}

// The worker cannot have acted on an attempt that was passed to the kernel only in part. One that was passed
// completely stays in doubt.
void WorkerConnection::on_disconnected(Nanos now, std::uint64_t bytes_passed_to_kernel) {
    if (state_ != ConnectionState::greeting && state_ != ConnectionState::up) return;
    ++statistics_.disconnects;
    const bool was_up = state_ == ConnectionState::up;
    if (state_ == ConnectionState::up) disconnected_at_ = now;
    // The backoff keeps growing if the worker closes the connection before its greeting is complete. After a
    // connection that was up, it starts again from its initial value.
    if (state_ == ConnectionState::up) backoff_ = 0;
    std::deque<WrittenAttempt> written;
    written.swap(unread_);
    drain_deadline_ = 0;
    back_off(now);
    for (const WrittenAttempt& entry : written) {
        if (!entry.attempt || entry.attempt->ended) continue;
        if (entry.end_offset <= bytes_passed_to_kernel) {
            ++statistics_.in_doubt;
            continue;
        }
        ledger::Attempt& attempt = *entry.attempt;
        remove_in_flight(attempt);
        ++statistics_.proven_unsent;
        handler_.on_attempt_ended(now, attempt, AttemptOutcome::not_sent);
    }
    end_queued(now, AttemptOutcome::not_sent);
    schedule_wakeup(now);
    handler_.on_disconnected(now, *this, was_up);
}

void WorkerConnection::on_data(Nanos now) {
    last_data_at_ = now;
    keepalive_sent_at_ = 0;
}

// The worker has read the first `count` attempts that were written on this connection.
void WorkerConnection::mark_read(std::uint64_t count) {
    while (read_count_ < count && !unread_.empty()) {
        unread_.pop_front();
        ++read_count_;
    }
    if (unread_.empty()) drain_deadline_ = 0;
}

void WorkerConnection::on_attempts_read(Nanos now, std::uint64_t count) {
    mark_read(count);
    write_queued(now);
}

void WorkerConnection::on_clock(Nanos now, Nanos worker_time) {
    worker_clock_ = std::max<Nanos>(worker_time, 0);
    worker_clock_read_at_ = now;
}

void WorkerConnection::end_in_flight(Nanos now) {
    for (ledger::Attempt* attempt : attempts_in_order()) {
        remove_in_flight(*attempt);
        handler_.on_attempt_ended(now, *attempt, AttemptOutcome::reset);
    }
}

void WorkerConnection::on_greeting(Nanos now, std::uint64_t incarnation,
                                   const std::vector<std::uint64_t>& held_attempts, Nanos remembers_for) {
    if (state_ != ConnectionState::greeting) return;
    const bool is_first = incarnation_ == 0;
    const bool is_same = incarnation == incarnation_;
    incarnation_ = incarnation;
    state_ = ConnectionState::up;
    state_since_ = now;
    backoff_ = 0;
    // The incarnation that held the attempts has ended. A worker with the same address and name may run on
    // another machine.
    if (!is_same && !is_first) {
        end_in_flight(now);
    } else {
        const bool still_remembers = disconnected_at_ && now - disconnected_at_ < remembers_for;
        resolve_unnamed(now, held_attempts, is_same && still_remembers);
    }
    write_queued(now);
    schedule_wakeup(now);
}

// Ends the attempts in flight that the greeting does not name. Such an attempt was never accepted, provided
// that the worker would still remember its end. An adopted attempt may run there under another placer's
// number, so its adoption is sent again.
void WorkerConnection::resolve_unnamed(Nanos now, const std::vector<std::uint64_t>& held_attempts,
                                       bool worker_remembers) {
    std::vector<ledger::Attempt*> unnamed;
    for (ledger::Attempt* attempt : attempts_in_order())
        if (std::find(held_attempts.begin(), held_attempts.end(), attempt->number) == held_attempts.end())
            unnamed.push_back(attempt);
    for (ledger::Attempt* attempt : unnamed) {
        if (attempt->adopted) {
            handler_.send_adoption(*this, *attempt);
            continue;
        }
        remove_in_flight(*attempt);
        ++statistics_.resolved_by_greeting;
        const bool never_accepted = worker_remembers && !attempt->accepted;
        handler_.on_attempt_ended(now, *attempt,
                                  never_accepted ? AttemptOutcome::not_sent : AttemptOutcome::reset);
    }
}

// Queued attempts are withdrawn at once. Written attempts that the worker has not confirmed reading may lie
// in any buffer on the way: unless it confirms them before drain_deadline_, the connection is aborted so that
// they never arrive.
void WorkerConnection::on_drain(Nanos now) {
    end_queued(now, AttemptOutcome::not_sent);
    if (state_ == ConnectionState::up && !unread_.empty() && !drain_deadline_)
        drain_deadline_ = now + settings_.drain_grace - settings_.drain_grace / kGraceReserveDivisor;
    schedule_wakeup(now);
}

void WorkerConnection::on_worker_gone(Nanos now) {
    end_queued(now, AttemptOutcome::not_sent);
    set_wanted(now, false);
    if (state_ != ConnectionState::up) end_in_flight(now);
    set_wanted(now, false);
}

void WorkerConnection::reconnect(Nanos now) {
    if (state_ != ConnectionState::greeting && state_ != ConnectionState::up) return;
    disconnect(now, false);
}

void WorkerConnection::disconnect(Nanos now, bool at_once) {
    const std::uint64_t bytes_passed_to_kernel = handler_.bytes_passed_to_kernel(*this);
    handler_.close(*this, at_once);
    on_disconnected(now, bytes_passed_to_kernel);
}

void WorkerConnection::run_timers(Nanos now) {
    switch (state_) {
        case ConnectionState::idle:
            break;
        case ConnectionState::waiting:
            try_dial(now);
            break;
        case ConnectionState::dialling:
            if (now - state_since_ >= settings_.dial_timeout) {
                handler_.close(*this, true);
                on_dial_failed(now);
            }
            break;
        case ConnectionState::greeting:
            // The connection was accepted but the worker sent no greeting. No attempt has been written, so
            // all queued ones are proven unsent.
            if (now - state_since_ >= settings_.greeting_timeout) {
                handler_.close(*this, true);
                ++statistics_.failed_dials;
                on_disconnected(now, 0);
            }
            break;
        case ConnectionState::up:
            check_liveness(now);
            break;
    }
    schedule_wakeup(now);
}

void WorkerConnection::check_liveness(Nanos now) {
    const Nanos silent_for = now - last_data_at_;
    if (drain_deadline_ && now >= drain_deadline_) {
        ++statistics_.drain_timeouts;
        disconnect(now, true);
    } else if (silent_for >= 2 * settings_.silent_after) {
        ++statistics_.keepalive_timeouts;
        disconnect(now, true);
    } else if (silent_for >= settings_.silent_after && !keepalive_sent_at_) {
        keepalive_sent_at_ = now;
        handler_.send_keepalive(*this);
    }
}

void WorkerConnection::schedule_wakeup(Nanos now) {
    switch (state_) {
        case ConnectionState::idle:
            return;
        case ConnectionState::waiting: {
            const bool is_queued = awaits_permit_ && !dial_limiter_.is_first(*this);
            const Nanos permit_at = is_queued ? 0 : dial_limiter_.next_dial_at(now);
            const Nanos fallback = now + (is_queued ? kQueuedWakeup : settings_.dial_timeout);
            handler_.wake_at(*this, std::max(dial_at_, permit_at ? permit_at : fallback));
            return;
        }
        case ConnectionState::dialling:
            handler_.wake_at(*this, state_since_ + settings_.dial_timeout);
            return;
        case ConnectionState::greeting:
            handler_.wake_at(*this, state_since_ + settings_.greeting_timeout);
            return;
        case ConnectionState::up: {
            Nanos at = last_data_at_ + (keepalive_sent_at_ ? 2 : 1) * settings_.silent_after;
            if (drain_deadline_) at = std::min(at, drain_deadline_);
            handler_.wake_at(*this, at);
            return;
        }
    }
}

}  // namespace whinpost::worker_connection
