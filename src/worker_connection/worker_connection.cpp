#include "worker_connection/worker_connection.h"

#include <algorithm>

namespace whinpost::worker_connection {

std::string_view to_string(ConnectionState s) {
    switch (s) {
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
// Launches are handed to the stream only while it holds fewer bytes than this unsent; the others stay where
// they can be taken back when a drain is heard. A few dozen launches: enough to fill a segment or two in one
// write.
constexpr std::size_t kHandOver = 4 << 10;
// So many launches may be on the way to a node that has not said it read them. Past that they wait here: a
// node that stands still meets no more than these when it goes on, and what waits here is proven unsent if it
// is given up. A node reads thousands a second: far more than are ever on the way to one that is well.
constexpr std::size_t kUnreceived = 64;
// One that stands in line is woken by the one before it; this is only in case.
constexpr Nanos kBehind = 60 * kSecond;
// Part of the drain grace that is left unused: a cut takes effect at once on this side, and the node's own
// clock for it starts when the last byte arrives.
constexpr Nanos kGraceKept = 4;
}  // namespace

// ---------------------------------------------------------------- the dialler

bool DialLimiter::try_acquire(Nanos now, WorkerConnection& l) {
    while (!recent_dials_.empty() && now - recent_dials_.front() >= kSecond) recent_dials_.pop_front();
    const bool first = queue_.empty() || queue_.front() == &l;
    if (first && dialling_ < max_concurrent_ && static_cast<int>(recent_dials_.size()) < max_per_second_) {
        if (!queue_.empty()) queue_.pop_front();
        l.awaits_permit_ = false;
        ++dialling_;
        recent_dials_.push_back(now);
        wake_first(now);
        return true;
    }
    if (!l.awaits_permit_) queue_.push_back(&l);
    l.awaits_permit_ = true;
    return false;
}

// Only the first in line is woken, and it wakes the next: with ten thousand nodes to dial, all that wait
// would else look again each time one may go.
void DialLimiter::wake_first(Nanos now) {
    if (const Nanos at = next_dial_at(now); at && !queue_.empty())
        queue_.front()->handler_.wake_at(*queue_.front(), at);
}

void DialLimiter::release(WorkerConnection&) {
    --dialling_;
    if (!queue_.empty()) queue_.front()->handler_.wake_at(*queue_.front(), 0);
}

void DialLimiter::remove(WorkerConnection& l) {
    if (!l.awaits_permit_) return;
    const bool first = queue_.front() == &l;
    std::erase(queue_, &l);
    l.awaits_permit_ = false;
    if (first && !queue_.empty()) queue_.front()->handler_.wake_at(*queue_.front(), 0);
}

Nanos DialLimiter::next_dial_at(Nanos now) const {
    if (dialling_ >= max_concurrent_) return 0;
    return static_cast<int>(recent_dials_.size()) < max_per_second_ ? now : recent_dials_.front() + kSecond;
}

// ---------------------------------------------------------------- the link

WorkerConnection::WorkerConnection(ConnectionHandler& wire, DialLimiter& dialler, ledger::WorkerRecord& node,
                                   ConnectionSettings terms, std::uint64_t seed)
    : handler_(wire), dial_limiter_(dialler), worker_(node), settings_(terms),
      jitter_(static_cast<std::ranlux24_base::result_type>(seed ^ (seed >> 24) ^ (seed >> 48))) {}

WorkerConnection::~WorkerConnection() {
    if (state_ == ConnectionState::dialling) dial_limiter_.release(*this);
    dial_limiter_.remove(*this);
}

void WorkerConnection::set_wanted(Nanos now, bool on) {
    is_wanted_ = on;
    if (on && state_ == ConnectionState::idle) {
        state_ = ConnectionState::waiting;
        state_since_ = now;
        dial_at_ = now;
        try_dial(now);
    }
    if (!on && in_flight_.empty() && queue_.empty() && state_ != ConnectionState::idle) {
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

// A launch for a node that can't be reached is told so at once: the planner knows better where else it could
// go than a queue does. While a first connection is being made it waits for that, within its own time.
void WorkerConnection::send(Nanos now, ledger::Attempt& l) {
    if (state_ == ConnectionState::idle) set_wanted(now, true);
    const bool failing = state_ == ConnectionState::waiting && backoff_ > 0;
    if (failing) {
        handler_.on_attempt_ended(now, l, AttemptOutcome::connect_failed);
        return;
    }
    queue_.push_back(&l);
    if (state_ == ConnectionState::up) write_queued(now);
    schedule_wakeup(now);
}

void WorkerConnection::write_queued(Nanos now) {
    if (state_ != ConnectionState::up) return;
    while (!queue_.empty() && handler_.unsent_bytes(*this) < kHandOver && unread_.size() < kUnreceived) {
        ledger::Attempt& l = *queue_.front();
        queue_.pop_front();
        if (!handler_.may_still_send(now, l)) {
            ++statistics_.proven_unsent;
            handler_.on_attempt_ended(now, l, AttemptOutcome::not_sent);
            continue;
        }
        add_in_flight(l);
        handler_.write_attempt(*this, l);
        unread_.push_back({&l, handler_.written_bytes(*this)});
    }
}

void WorkerConnection::add_in_flight(ledger::Attempt& l) {
    l.connection_index = in_flight_.size();
    in_flight_.push_back(&l);
}

void WorkerConnection::remove_in_flight(ledger::Attempt& l) {
    if (l.connection_index >= in_flight_.size() || in_flight_[l.connection_index] != &l) return;
    in_flight_[l.connection_index] = in_flight_.back();
    in_flight_[l.connection_index]->connection_index = l.connection_index;
    in_flight_.pop_back();
    l.connection_index = SIZE_MAX;
}

std::vector<ledger::Attempt*> WorkerConnection::attempts_in_order() const {
    std::vector<ledger::Attempt*> all = in_flight_;
    std::sort(all.begin(), all.end(), [](const auto* a, const auto* b) { return a->number < b->number; });
    return all;
}

bool WorkerConnection::withdraw(ledger::Attempt& l) {
    const auto it = std::find(queue_.begin(), queue_.end(), &l);
    if (it == queue_.end()) return false;
    queue_.erase(it);
    return true;
}

// Guards against a launch that was given up while it lay in a buffer, and arrives at a node that drains by
// then: it counts as on its way until the node is known to have read it.
void WorkerConnection::on_attempt_ended(ledger::Attempt& l, bool answered) {
    remove_in_flight(l);
    if (!queue_.empty()) std::erase(queue_, &l);
    const auto it = std::find_if(unread_.begin(), unread_.end(),
                                 [&l](const WrittenAttempt& w) { return w.attempt == &l; });
    if (it == unread_.end()) return;
    it->attempt = nullptr;
    if (!answered) return;
    // A node that answers has read it and all before it, also one that never says so.
    mark_read(read_count_ + static_cast<std::uint64_t>(it - unread_.begin()) + 1);
}

void WorkerConnection::adopt(ledger::Attempt& l) {
    add_in_flight(l);
    if (state_ == ConnectionState::up) handler_.send_adoption(*this, l);
}

void WorkerConnection::on_connected(Nanos now) {
    if (state_ != ConnectionState::dialling) return;
    dial_limiter_.release(*this);
    state_ = ConnectionState::greeting;
    state_since_ = last_data_at_ = now;
    keepalive_sent_at_ = 0;
    read_count_ = 0;
    worker_clock_ = 0;  // another life of it may count from elsewhere
    unread_.clear();
    schedule_wakeup(now);
}

void WorkerConnection::back_off(Nanos now) {
    backoff_ = backoff_ ? std::min(settings_.longest_pause, 2 * backoff_) : settings_.first_pause;
    // Between a half and the whole of it: placers that lost a zone in one moment come back spread out.
    dial_at_ = now + backoff_ / 2 +
               static_cast<Nanos>(static_cast<double>(backoff_) * 0.5 * (jitter_() % 1024) / 1024);
    state_ = ConnectionState::waiting;
    state_since_ = now;
    if (!is_wanted_ && in_flight_.empty()) state_ = ConnectionState::idle;
}

void WorkerConnection::end_queued(Nanos now, AttemptOutcome how) {
    std::deque<ledger::Attempt*> left;
    left.swap(queue_);
    for (ledger::Attempt* l : left) handler_.on_attempt_ended(now, *l, how);
}

void WorkerConnection::on_dial_failed(Nanos now) {
    if (state_ != ConnectionState::dialling) return;
    dial_limiter_.release(*this);
    ++statistics_.failed_dials;
    if (!is_wanted_) end_in_flight(now);  // gone by the list, and it can't be reached to say otherwise
    back_off(now);
    end_queued(now, AttemptOutcome::connect_failed);
    schedule_wakeup(now);
    handler_.on_disconnected(now, *this, false);
}

// What was handed over only in part can't have been acted on. What was handed over whole stays in doubt.
void WorkerConnection::on_disconnected(Nanos now, std::uint64_t handed) {
    if (state_ != ConnectionState::greeting && state_ != ConnectionState::up) return;
    ++statistics_.disconnects;
    const bool was_up = state_ == ConnectionState::up;
    if (state_ == ConnectionState::up) disconnected_at_ = now;
    // A node that closes in the greeting is not well either: the pause goes on growing. One that was up is
    // tried soon.
    if (state_ == ConnectionState::up) backoff_ = 0;
    std::deque<WrittenAttempt> written;
    written.swap(unread_);
    drain_deadline_ = 0;
    back_off(now);
    for (const WrittenAttempt& w : written) {
        if (!w.attempt || w.attempt->ended) continue;
        if (w.end_offset <= handed) {
            ++statistics_.in_doubt;
            continue;
        }
        ledger::Attempt& l = *w.attempt;
        remove_in_flight(l);
        ++statistics_.proven_unsent;
        handler_.on_attempt_ended(now, l, AttemptOutcome::not_sent);
    }
    end_queued(now, AttemptOutcome::not_sent);
    schedule_wakeup(now);
    handler_.on_disconnected(now, *this, was_up);
}

void WorkerConnection::on_data(Nanos now) {
    last_data_at_ = now;
    keepalive_sent_at_ = 0;
}

// Of the launches written on this connection the node has read so many.
void WorkerConnection::mark_read(std::uint64_t launches) {
    while (read_count_ < launches && !unread_.empty()) {
        unread_.pop_front();
        ++read_count_;
    }
    if (unread_.empty()) drain_deadline_ = 0;
}

void WorkerConnection::on_attempts_read(Nanos now, std::uint64_t launches) {
    mark_read(launches);
    write_queued(now);
}

void WorkerConnection::on_clock(Nanos now, Nanos theirs) {
    worker_clock_ = std::max<Nanos>(theirs, 0);
    worker_clock_read_at_ = now;
}

void WorkerConnection::end_in_flight(Nanos now) {
    for (ledger::Attempt* l : attempts_in_order()) {
        remove_in_flight(*l);
        handler_.on_attempt_ended(now, *l, AttemptOutcome::reset);
    }
}

void WorkerConnection::on_greeting(Nanos now, std::uint64_t incarnation,
                                   const std::vector<std::uint64_t>& holds, Nanos remembers) {
    if (state_ != ConnectionState::greeting) return;
    const bool same = incarnation == incarnation_;
    const bool first = incarnation_ == 0;
    incarnation_ = incarnation;
    state_ = ConnectionState::up;
    state_since_ = now;
    backoff_ = 0;
    if (!same && !first) {
        // The one that held them is no more, wherever it stood: the same address and name may well be another
        // machine.
        end_in_flight(now);
    } else {
        // One that was written to it and is not held was never taken, if the node would still remember its
        // end. One that was taken over may stand there under another placer's name for it.
        std::vector<ledger::Attempt*> unnamed;
        for (ledger::Attempt* l : attempts_in_order())
            if (std::find(holds.begin(), holds.end(), l->number) == holds.end()) unnamed.push_back(l);
        const bool certain = same && disconnected_at_ && now - disconnected_at_ < remembers;
        for (ledger::Attempt* l : unnamed) {
            if (l->adopted) {
                handler_.send_adoption(*this, *l);
                continue;
            }
            remove_in_flight(*l);
            ++statistics_.resolved_by_greeting;
            handler_.on_attempt_ended(
                now, *l, certain && !l->accepted ? AttemptOutcome::not_sent : AttemptOutcome::reset);
        }
    }
    write_queued(now);
    schedule_wakeup(now);
}

// Launches that wait here are taken back at once. Those that the node has not said it received may lie in any
// buffer on the way: if it has not before the grace is up, the connection is cut so that they never arrive.
void WorkerConnection::on_drain(Nanos now) {
    end_queued(now, AttemptOutcome::not_sent);
    if (state_ == ConnectionState::up && !unread_.empty() && !drain_deadline_)
        drain_deadline_ = now + settings_.drain_grace - settings_.drain_grace / kGraceKept;
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
    const std::uint64_t handed = handler_.handed_over_bytes(*this);
    handler_.close(*this, false);
    on_disconnected(now, handed);
}

void WorkerConnection::run_timers(Nanos now) {
    switch (state_) {
        case ConnectionState::idle:
            break;
        case ConnectionState::waiting:
            try_dial(now);
            break;
        case ConnectionState::dialling:
            if (now - state_since_ >= settings_.dial_time_out) {
                handler_.close(*this, true);
                on_dial_failed(now);
            }
            break;
        case ConnectionState::greeting:
            // Accepted by the kernel and never greeted: nothing was handed over, so all that waits is proven
            // unsent.
            if (now - state_since_ >= settings_.greet_time_out) {
                handler_.close(*this, true);
                ++statistics_.failed_dials;
                on_disconnected(now, 0);
            }
            break;
        case ConnectionState::up:
            if (drain_deadline_ && now >= drain_deadline_) {
                ++statistics_.drain_timeouts;
                const std::uint64_t handed = handler_.handed_over_bytes(*this);
                handler_.close(*this, true);
                on_disconnected(now, handed);
            } else if (now - last_data_at_ >= 2 * settings_.silent_after) {
                ++statistics_.keepalive_timeouts;
                const std::uint64_t handed = handler_.handed_over_bytes(*this);
                handler_.close(*this, true);
                on_disconnected(now, handed);
            } else if (now - last_data_at_ >= settings_.silent_after && !keepalive_sent_at_) {
                keepalive_sent_at_ = now;
                handler_.send_keepalive(*this);
            }
            break;
    }
    schedule_wakeup(now);
}

void WorkerConnection::schedule_wakeup(Nanos now) {
    switch (state_) {
        case ConnectionState::idle:
            return;
        case ConnectionState::waiting: {
            const bool behind = awaits_permit_ && !dial_limiter_.is_first(*this);
            const Nanos leave = behind ? 0 : dial_limiter_.next_dial_at(now);
            handler_.wake_at(
                *this,
                std::max(dial_at_, leave ? leave : now + (behind ? kBehind : settings_.dial_time_out)));
            return;
        }
        case ConnectionState::dialling:
            handler_.wake_at(*this, state_since_ + settings_.dial_time_out);
            return;
        case ConnectionState::greeting:
            handler_.wake_at(*this, state_since_ + settings_.greet_time_out);
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
