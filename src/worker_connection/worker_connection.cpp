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

bool DialLimiter::may(Nanos now, WorkerConnection& l) {
    while (!lately_.empty() && now - lately_.front() >= kSecond) lately_.pop_front();
    const bool first = line_.empty() || line_.front() == &l;
    if (first && dialling_ < at_once_ && static_cast<int>(lately_.size()) < a_second_) {
        if (!line_.empty()) line_.pop_front();
        l.in_line_ = false;
        ++dialling_;
        lately_.push_back(now);
        wake_first(now);
        return true;
    }
    if (!l.in_line_) line_.push_back(&l);
    l.in_line_ = true;
    return false;
}

// Only the first in line is woken, and it wakes the next: with ten thousand nodes to dial, all that wait
// would else look again each time one may go.
void DialLimiter::wake_first(Nanos now) {
    if (const Nanos at = next(now); at && !line_.empty()) line_.front()->wire_.wake(*line_.front(), at);
}

void DialLimiter::done(WorkerConnection&) {
    --dialling_;
    if (!line_.empty()) line_.front()->wire_.wake(*line_.front(), 0);
}

void DialLimiter::leave(WorkerConnection& l) {
    if (!l.in_line_) return;
    const bool first = line_.front() == &l;
    std::erase(line_, &l);
    l.in_line_ = false;
    if (first && !line_.empty()) line_.front()->wire_.wake(*line_.front(), 0);
}

Nanos DialLimiter::next(Nanos now) const {
    if (dialling_ >= at_once_) return 0;
    return static_cast<int>(lately_.size()) < a_second_ ? now : lately_.front() + kSecond;
}

// ---------------------------------------------------------------- the link

WorkerConnection::WorkerConnection(ConnectionHandler& wire, DialLimiter& dialler, ledger::WorkerRecord& node,
                                   ConnectionSettings terms, std::uint64_t seed)
    : wire_(wire), dialler_(dialler), node_(node), terms_(terms),
      chance_(static_cast<std::ranlux24_base::result_type>(seed ^ (seed >> 24) ^ (seed >> 48))) {}

WorkerConnection::~WorkerConnection() {
    if (state_ == ConnectionState::dialling) dialler_.done(*this);
    dialler_.leave(*this);
}

void WorkerConnection::want(Nanos now, bool on) {
    wanted_ = on;
    if (on && state_ == ConnectionState::idle) {
        state_ = ConnectionState::waiting;
        state_since_ = now;
        dial_at_ = now;
        try_dial(now);
    }
    if (!on && out_.empty() && queue_.empty() && state_ != ConnectionState::idle) {
        if (state_ == ConnectionState::dialling) dialler_.done(*this);
        else if (state_ == ConnectionState::waiting) dialler_.leave(*this);
        if (state_ != ConnectionState::waiting) wire_.drop(*this, false);
        state_ = ConnectionState::idle;
    }
    plan(now);
}

void WorkerConnection::try_dial(Nanos now) {
    if (now < dial_at_) return;
    if (!dialler_.may(now, *this)) return;
    state_ = ConnectionState::dialling;
    state_since_ = now;
    ++counts_.dials;
    wire_.dial(*this);
}

// A launch for a node that can't be reached is told so at once: the planner knows better where else it could
// go than a queue does. While a first connection is being made it waits for that, within its own time.
void WorkerConnection::offer(Nanos now, ledger::Attempt& l) {
    if (state_ == ConnectionState::idle) want(now, true);
    const bool failing = state_ == ConnectionState::waiting && pause_ > 0;
    if (failing) {
        wire_.over(now, l, AttemptOutcome::connect_failed);
        return;
    }
    queue_.push_back(&l);
    if (state_ == ConnectionState::up) pump(now);
    plan(now);
}

void WorkerConnection::pump(Nanos now) {
    if (state_ != ConnectionState::up) return;
    while (!queue_.empty() && wire_.unsent(*this) < kHandOver && unreceived_.size() < kUnreceived) {
        ledger::Attempt& l = *queue_.front();
        queue_.pop_front();
        if (!wire_.may_still_send(now, l)) {
            ++counts_.proven_unsent;
            wire_.over(now, l, AttemptOutcome::not_sent);
            continue;
        }
        add_out(l);
        wire_.write(*this, l);
        unreceived_.push_back({&l, wire_.written(*this)});
    }
}

void WorkerConnection::add_out(ledger::Attempt& l) {
    l.connection_index = out_.size();
    out_.push_back(&l);
}

void WorkerConnection::drop_out(ledger::Attempt& l) {
    if (l.connection_index >= out_.size() || out_[l.connection_index] != &l) return;
    out_[l.connection_index] = out_.back();
    out_[l.connection_index]->connection_index = l.connection_index;
    out_.pop_back();
    l.connection_index = SIZE_MAX;
}

std::vector<ledger::Attempt*> WorkerConnection::in_order() const {
    std::vector<ledger::Attempt*> all = out_;
    std::sort(all.begin(), all.end(), [](const auto* a, const auto* b) { return a->number < b->number; });
    return all;
}

bool WorkerConnection::take_back(ledger::Attempt& l) {
    const auto it = std::find(queue_.begin(), queue_.end(), &l);
    if (it == queue_.end()) return false;
    queue_.erase(it);
    return true;
}

// Guards against a launch that was given up while it lay in a buffer, and arrives at a node that drains by
// then: it counts as on its way until the node is known to have read it.
void WorkerConnection::forget(ledger::Attempt& l, bool answered) {
    drop_out(l);
    if (!queue_.empty()) std::erase(queue_, &l);
    const auto it = std::find_if(unreceived_.begin(), unreceived_.end(),
                                 [&l](const Written& w) { return w.launch == &l; });
    if (it == unreceived_.end()) return;
    it->launch = nullptr;
    if (!answered) return;
    // A node that answers has read it and all before it, also one that never says so.
    read_up_to(received_ + static_cast<std::uint64_t>(it - unreceived_.begin()) + 1);
}

void WorkerConnection::adopt(ledger::Attempt& l) {
    add_out(l);
    if (state_ == ConnectionState::up) wire_.ask_after(*this, l);
}

void WorkerConnection::connected(Nanos now) {
    if (state_ != ConnectionState::dialling) return;
    dialler_.done(*this);
    state_ = ConnectionState::greeting;
    state_since_ = heard_at_ = now;
    asked_at_ = 0;
    received_ = 0;
    clock_ = 0;  // another life of it may count from elsewhere
    unreceived_.clear();
    plan(now);
}

void WorkerConnection::pause(Nanos now) {
    pause_ = pause_ ? std::min(terms_.longest_pause, 2 * pause_) : terms_.first_pause;
    // Between a half and the whole of it: placers that lost a zone in one moment come back spread out.
    dial_at_ =
        now + pause_ / 2 + static_cast<Nanos>(static_cast<double>(pause_) * 0.5 * (chance_() % 1024) / 1024);
    state_ = ConnectionState::waiting;
    state_since_ = now;
    if (!wanted_ && out_.empty()) state_ = ConnectionState::idle;
}

void WorkerConnection::empty_queue(Nanos now, AttemptOutcome how) {
    std::deque<ledger::Attempt*> left;
    left.swap(queue_);
    for (ledger::Attempt* l : left) wire_.over(now, *l, how);
}

void WorkerConnection::dial_failed(Nanos now) {
    if (state_ != ConnectionState::dialling) return;
    dialler_.done(*this);
    ++counts_.failed_dials;
    if (!wanted_) lose_all(now);  // gone by the list, and it can't be reached to say otherwise
    pause(now);
    empty_queue(now, AttemptOutcome::connect_failed);
    plan(now);
    wire_.down(now, *this, false);
}

// What was handed over only in part can't have been acted on. What was handed over whole stays in doubt.
void WorkerConnection::broken(Nanos now, std::uint64_t handed) {
    if (state_ != ConnectionState::greeting && state_ != ConnectionState::up) return;
    ++counts_.breaks;
    const bool was_up = state_ == ConnectionState::up;
    if (state_ == ConnectionState::up) broken_at_ = now;
    // A node that closes in the greeting is not well either: the pause goes on growing. One that was up is
    // tried soon.
    if (state_ == ConnectionState::up) pause_ = 0;
    std::deque<Written> written;
    written.swap(unreceived_);
    cut_at_ = 0;
    pause(now);
    for (const Written& w : written) {
        if (!w.launch || w.launch->ended) continue;
        if (w.end <= handed) {
            ++counts_.in_doubt;
            continue;
        }
        ledger::Attempt& l = *w.launch;
        drop_out(l);
        ++counts_.proven_unsent;
        wire_.over(now, l, AttemptOutcome::not_sent);
    }
    empty_queue(now, AttemptOutcome::not_sent);
    plan(now);
    wire_.down(now, *this, was_up);
}

void WorkerConnection::heard(Nanos now) {
    heard_at_ = now;
    asked_at_ = 0;
}

// Of the launches written on this connection the node has read so many.
void WorkerConnection::read_up_to(std::uint64_t launches) {
    while (received_ < launches && !unreceived_.empty()) {
        unreceived_.pop_front();
        ++received_;
    }
    if (unreceived_.empty()) cut_at_ = 0;
}

void WorkerConnection::received(Nanos now, std::uint64_t launches) {
    read_up_to(launches);
    pump(now);
}

void WorkerConnection::clock(Nanos now, Nanos theirs) {
    clock_ = std::max<Nanos>(theirs, 0);
    clock_at_ = now;
}

void WorkerConnection::lose_all(Nanos now) {
    for (ledger::Attempt* l : in_order()) {
        drop_out(*l);
        wire_.over(now, *l, AttemptOutcome::reset);
    }
}

void WorkerConnection::greeted(Nanos now, std::uint64_t incarnation, const std::vector<std::uint64_t>& holds,
                               Nanos remembers) {
    if (state_ != ConnectionState::greeting) return;
    const bool same = incarnation == incarnation_;
    const bool first = incarnation_ == 0;
    incarnation_ = incarnation;
    state_ = ConnectionState::up;
    state_since_ = now;
    pause_ = 0;
    if (!same && !first) {
        // The one that held them is no more, wherever it stood: the same address and name may well be another
        // machine.
        lose_all(now);
    } else {
        // One that was written to it and is not held was never taken, if the node would still remember its
        // end. One that was taken over may stand there under another placer's name for it.
        std::vector<ledger::Attempt*> unnamed;
        for (ledger::Attempt* l : in_order())
            if (std::find(holds.begin(), holds.end(), l->number) == holds.end()) unnamed.push_back(l);
        const bool certain = same && broken_at_ && now - broken_at_ < remembers;
        for (ledger::Attempt* l : unnamed) {
            if (l->adopted) {
                wire_.ask_after(*this, *l);
                continue;
            }
            drop_out(*l);
            ++counts_.cleared_up;
            wire_.over(now, *l, certain && !l->accepted ? AttemptOutcome::not_sent : AttemptOutcome::reset);
        }
    }
    pump(now);
    plan(now);
}

// Launches that wait here are taken back at once. Those that the node has not said it received may lie in any
// buffer on the way: if it has not before the grace is up, the connection is cut so that they never arrive.
void WorkerConnection::drain_heard(Nanos now) {
    empty_queue(now, AttemptOutcome::not_sent);
    if (state_ == ConnectionState::up && !unreceived_.empty() && !cut_at_)
        cut_at_ = now + terms_.drain_grace - terms_.drain_grace / kGraceKept;
    plan(now);
}

void WorkerConnection::gone(Nanos now) {
    empty_queue(now, AttemptOutcome::not_sent);
    want(now, false);
    if (state_ != ConnectionState::up) lose_all(now);
    want(now, false);
}

void WorkerConnection::dial_anew(Nanos now) {
    if (state_ != ConnectionState::greeting && state_ != ConnectionState::up) return;
    const std::uint64_t handed = wire_.handed(*this);
    wire_.drop(*this, false);
    broken(now, handed);
}

void WorkerConnection::tick(Nanos now) {
    switch (state_) {
        case ConnectionState::idle:
            break;
        case ConnectionState::waiting:
            try_dial(now);
            break;
        case ConnectionState::dialling:
            if (now - state_since_ >= terms_.dial_time_out) {
                wire_.drop(*this, true);
                dial_failed(now);
            }
            break;
        case ConnectionState::greeting:
            // Accepted by the kernel and never greeted: nothing was handed over, so all that waits is proven
            // unsent.
            if (now - state_since_ >= terms_.greet_time_out) {
                wire_.drop(*this, true);
                ++counts_.failed_dials;
                broken(now, 0);
            }
            break;
        case ConnectionState::up:
            if (cut_at_ && now >= cut_at_) {
                ++counts_.drain_cuts;
                const std::uint64_t handed = wire_.handed(*this);
                wire_.drop(*this, true);
                broken(now, handed);
            } else if (now - heard_at_ >= 2 * terms_.silent_after) {
                ++counts_.silent_cuts;
                const std::uint64_t handed = wire_.handed(*this);
                wire_.drop(*this, true);
                broken(now, handed);
            } else if (now - heard_at_ >= terms_.silent_after && !asked_at_) {
                asked_at_ = now;
                wire_.ask_for_life(*this);
            }
            break;
    }
    plan(now);
}

void WorkerConnection::plan(Nanos now) {
    switch (state_) {
        case ConnectionState::idle:
            return;
        case ConnectionState::waiting: {
            const bool behind = in_line_ && !dialler_.first(*this);
            const Nanos leave = behind ? 0 : dialler_.next(now);
            wire_.wake(*this,
                       std::max(dial_at_, leave ? leave : now + (behind ? kBehind : terms_.dial_time_out)));
            return;
        }
        case ConnectionState::dialling:
            wire_.wake(*this, state_since_ + terms_.dial_time_out);
            return;
        case ConnectionState::greeting:
            wire_.wake(*this, state_since_ + terms_.greet_time_out);
            return;
        case ConnectionState::up: {
            Nanos at = heard_at_ + (asked_at_ ? 2 : 1) * terms_.silent_after;
            if (cut_at_) at = std::min(at, cut_at_);
            wire_.wake(*this, at);
            return;
        }
    }
}

}  // namespace whinpost::worker_connection
