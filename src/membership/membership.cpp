#include "membership/membership.h"

#include <algorithm>
#include <cmath>

namespace whinpost::membership {

namespace {

// Lists come seconds late in the ordinary course; what is older than several times that is old.
constexpr Nanos kOld = 10 * kSecond;

// How far two ages of one start may lie apart: they come over a network that delays them differently, and
// from clocks that need not agree.
constexpr Nanos kSameStart = 500 * kMillisecond;

// A whole list that takes away so large a part of what stands there, and no fewer nodes than this, is doubted
// while they answer. A zone of three may go in one moment, and half a fleet may be taken away on purpose;
// more than half that still answers is rather a list service that has lost its own view.
constexpr double kDoubtPart = 0.5;
constexpr std::size_t kDoubtLeast = 3;
// Of the drain grace, the part that a doubt may use up. The rest is for what the links still have to take
// back.
constexpr Nanos kDoubtUses = 2;  // one half

// Lives within a minute from which on a node is held off, and for how long at first. Two may be a repair, the
// third is a habit. It doubles with each further life, to about the time over which lives are counted.
constexpr double kManyLives = 3;
constexpr Nanos kFirstHold = 5 * kSecond, kLongestHold = 60 * kSecond;
constexpr Nanos kLivesOver = 5 * kSecond;  // a bucket: twelve are a minute

// Amounts of an old list are put right by reports so often at most: reports themselves are some hundred
// milliseconds late.
constexpr Nanos kCorrectEvery = 1 * kSecond;

bool takes_none(WorkerState s) { return s != WorkerState::serving; }

// The later of two starts of one node; 0 is long ago.
Nanos later_start(Nanos a, Nanos b) { return std::max(a, b); }

bool same(const EndpointState& a, const EndpointState& b) {
    return a.zone == b.zone && a.cell == b.cell && a.kind == b.kind && a.phase == b.phase &&
           a.started_at == b.started_at && a.free_cores == b.free_cores && a.free_memory == b.free_memory;
}

std::string seconds(Nanos t) {
    const std::int64_t tenths = (t + 50 * kMillisecond) / (100 * kMillisecond);
    return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " s";
}

}  // namespace

std::string_view to_string(WorkerState s) {
    switch (s) {
        case WorkerState::unknown:
            return "unknown";
        case WorkerState::serving:
            return "serving";
        case WorkerState::unconfirmed:
            return "unconfirmed";
        case WorkerState::unreachable:
            return "away";
        case WorkerState::flapping:
            return "unsteady";
        case WorkerState::draining:
            return "draining";
        case WorkerState::delisted:
            return "leaving";
        case WorkerState::gone:
            return "gone";
    }
    return "unknown";
}

WorkerEntry::WorkerEntry(Membership& f, std::string n, std::uint32_t num)
    : name(std::move(n)), number(num), membership_(f), hold_timer_(*this), restarts_(kLivesOver) {}

void WorkerEntry::HoldTimer::on_deadline(Nanos now) { entry.membership_.update_worker(now, entry); }

Membership::Membership(MembershipHandler& port, Nanos now, Nanos drain_grace, bool report_is_free)
    : handler_(port), drain_grace_(drain_grace), report_is_free_(report_is_free), wheel_(now),
      count_by_state_(8, 0), doubt_timer_(*this) {}

WorkerEntry& Membership::find_or_add(std::string_view name) {
    if (WorkerEntry* m = find(name)) return *m;
    workers_.push_back(
        std::make_unique<WorkerEntry>(*this, std::string(name), static_cast<std::uint32_t>(workers_.size())));
    WorkerEntry& m = *workers_.back();
    by_name_[m.name] = &m;
    ++count_by_state_[static_cast<std::size_t>(WorkerState::unknown)];
    return m;
}

WorkerEntry* Membership::find(std::string_view name) {
    const auto it = by_name_.find(name);
    return it == by_name_.end() ? nullptr : it->second;
}

void Membership::arm(timer_wheel::Timer& t, Nanos at) {
    wheel_.arm(t, at);
    handler_.wake_at(at);
}

void Membership::run_timers(Nanos now) {
    wheel_.run_timers(now);
    if (const Nanos next = wheel_.next_deadline()) handler_.wake_at(next);
}

// ---------------------------------------------------------------- what follows

WorkerState Membership::evaluate_state(Nanos now, const WorkerEntry& m) const {
    if (!m.listed.is_known) return WorkerState::unknown;
    if (m.listed.endpoint.phase == EndpointPhase::gone)
        return m.connection.is_up ? WorkerState::delisted : WorkerState::gone;
    if (m.listed.endpoint.phase == EndpointPhase::draining || m.reported.is_draining)
        return WorkerState::draining;
    if (now < m.hold_until_) return WorkerState::flapping;
    if (!m.connection.is_up && (m.connection.was_ever_up || m.connection.failed_dials > 0))
        return WorkerState::unreachable;
    if (!m.connection.was_ever_up && m.listed.age_on_arrival > kOld) return WorkerState::unconfirmed;
    return WorkerState::serving;
}

EndpointState Membership::effective_endpoint(Nanos now, const WorkerEntry& m) const {
    EndpointState l = m.listed.endpoint;
    switch (evaluate_state(now, m)) {
        case WorkerState::serving:
            l.phase = EndpointPhase::serving;
            break;
        case WorkerState::unknown:
        case WorkerState::delisted:
        case WorkerState::gone:
            l.phase = EndpointPhase::gone;
            break;
        default:
            l.phase = EndpointPhase::draining;
            break;
    }
    l.started_at = later_start(l.started_at, m.reported.started_at);
    if (report_is_free_ && m.reported.load_reported_at > m.listed.as_of && now - m.listed.as_of > kOld) {
        if (m.reported.load.has_free_cores) l.free_cores = m.reported.load.free_cores;
        if (m.reported.load.has_free_memory) l.free_memory = m.reported.load.free_memory;
    }
    return l;
}

// All that follows is worked out anew from what was said: it costs nothing worth keeping state for, and no
// order of events can leave it half done.
void Membership::update_worker(Nanos now, WorkerEntry& m) {
    const WorkerState standing = evaluate_state(now, m);
    const EndpointState told = effective_endpoint(now, m);
    const bool drains = standing == WorkerState::draining || standing == WorkerState::delisted ||
                        standing == WorkerState::gone;
    const bool was = takes_none(m.state);
    if (standing == m.state && same(told, m.effective_endpoint)) return;
    if (standing != m.state) {
        --count_by_state_[static_cast<std::size_t>(m.state)];
        ++count_by_state_[static_cast<std::size_t>(standing)];
    }
    m.state = standing;
    m.effective_endpoint = told;
    if (drains && !m.draining_since) {
        m.draining_since = now;
        handler_.on_drain_started(now, m);
    } else if (!drains && m.draining_since) {
        m.draining_since = 0;
        handler_.on_drain_revoked(now, m);
    }
    handler_.on_worker_changed(now, m, takes_none(standing) && !was);
}

// ---------------------------------------------------------------- the list

void Membership::begin_update(Nanos now, Nanos age, bool whole) {
    ++update_number_;
    update_age_ = std::max<Nanos>(age, 0);
    update_as_of_ = now - update_age_;
    update_is_snapshot_ = whole;
    updated_workers_.clear();
}

void Membership::on_endpoint(Nanos now, WorkerEntry& m, const EndpointState& listed,
                             std::string_view address) {
    if (m.latest_update_ == update_number_) {
        ++statistics_.contradictions;
        return merge_duplicate(m, listed, address);
    }
    m.latest_update_ = update_number_;
    // Rule 1. A view that was kept somewhere for an hour says nothing of what a newer one has named.
    if (m.listed.is_known && update_as_of_ < m.listed.as_of) {
        ++statistics_.stale_entries;
        return;
    }
    m.is_doubtfully_omitted_ = false;
    const bool newer = listed.started_at && m.listed.endpoint.started_at &&
                       listed.started_at > m.listed.endpoint.started_at + kSameStart;
    EndpointState l = listed;
    // One start, told twice with ages that the network bent.
    if (l.started_at && m.listed.endpoint.started_at &&
        std::abs(l.started_at - m.listed.endpoint.started_at) < kSameStart)
        l.started_at = m.listed.endpoint.started_at;
    m.listed.is_known = true;
    m.listed.is_omitted = false;
    m.listed.endpoint = l;
    m.listed.as_of = update_as_of_;
    m.listed.age_on_arrival = update_age_;
    const bool moved = !address.empty() && address != m.address;
    if (moved) m.address = address;
    updated_workers_.push_back(&m);
    // Rule 5. It stands elsewhere now, by a list that knows a later life than the one that greeted here.
    if (moved && m.connection.is_up && newer && l.started_at > m.reported.started_at + kSameStart)
        handler_.on_address_changed(now, m);
}

// Rule 10.
void Membership::merge_duplicate(WorkerEntry& m, const EndpointState& other, std::string_view address) {
    EndpointState& l = m.listed.endpoint;
    if (!address.empty() && address != m.address) {
        if (!m.connection.is_up && other.started_at > l.started_at) m.address = address;
    }
    l.phase = std::max(l.phase, other.phase);  // serving, draining, gone: in the order of care
    l.free_cores = std::min(l.free_cores, other.free_cores);
    l.free_memory = std::min(l.free_memory, other.free_memory);
    l.started_at = later_start(l.started_at, other.started_at);
}

void Membership::omit(Nanos now, WorkerEntry& m, Nanos as_of) {
    m.is_doubtfully_omitted_ = false;
    m.listed.is_omitted = true;
    m.listed.endpoint.phase = EndpointPhase::gone;
    m.listed.as_of = as_of;
    update_worker(now, m);
}

void Membership::end_update(Nanos now) {
    endpoints_as_of_ = std::max(endpoints_as_of_, update_as_of_);
    for (WorkerEntry* m : updated_workers_) update_worker(now, *m);
    updated_workers_.clear();
    if (!update_is_snapshot_) return;
    std::vector<WorkerEntry*> absent;
    std::size_t stood = 0, alive = 0;
    for (const auto& m : workers_) {
        if (!m->listed.is_known || m->listed.endpoint.phase == EndpointPhase::gone) continue;
        ++stood;
        if (m->latest_update_ == update_number_ || update_as_of_ < m->listed.as_of) continue;
        absent.push_back(m.get());
        alive += m->connection.is_up;
    }
    // Rule 4.
    const bool odd = absent.size() >= kDoubtLeast && 2 * alive > absent.size() &&
                     static_cast<double>(absent.size()) > kDoubtPart * static_cast<double>(stood);
    if (odd && (!doubt_until_ || now < doubt_until_)) {
        for (WorkerEntry* m : absent) m->is_doubtfully_omitted_ = true;
        if (!doubt_until_) {
            ++statistics_.doubtful_snapshots;
            doubt_until_ = now + drain_grace_ / kDoubtUses;
            arm(doubt_timer_, doubt_until_);
            handler_.on_snapshot_needed(now);
        }
        return;
    }
    if (doubt_until_) {  // named again, all or nearly all
        doubt_until_ = 0;
        doubt_timer_.disarm();
    }
    for (WorkerEntry* m : absent) omit(now, *m, update_as_of_);
}

void Membership::on_doubt_timeout(Nanos now) {
    doubt_until_ = 0;
    std::size_t believed = 0;
    for (const auto& m : workers_) {
        if (!m->is_doubtfully_omitted_) continue;
        ++believed;
        omit(now, *m, now);
    }
    statistics_.confirmed_snapshots += believed > 0;
}

// ---------------------------------------------------------------- the node and the connection to it

void Membership::on_restart(Nanos now, WorkerEntry& m) {
    ++statistics_.restarts;
    m.reported = {};
    m.restarts_.add(now, 1);
    const double lives = m.restarts_.sum(now);
    if (lives < kManyLives) return;
    // Rule 6.
    ++statistics_.flapping;
    const int doublings = static_cast<int>(std::min(lives - kManyLives, 10.0));
    m.hold_until_ = now + std::min(kLongestHold, kFirstHold << doublings);
    arm(m.hold_timer_, m.hold_until_);
}

void Membership::on_greeting(Nanos now, WorkerEntry& m, std::uint64_t incarnation, Nanos up_for, bool drains,
                             const LoadReport& report) {
    if (m.reported.incarnation && m.reported.incarnation != incarnation) on_restart(now, m);
    m.reported.incarnation = incarnation;
    m.reported.greeted_at = now;
    const Nanos started = up_for > 0 ? now - up_for : 0;
    if (!m.reported.started_at || std::abs(started - m.reported.started_at) >= kSameStart)
        m.reported.started_at = started;
    // The list told of this very start: one number for it, or the planner would take it for another life.
    if (m.reported.started_at && m.listed.endpoint.started_at &&
        std::abs(m.reported.started_at - m.listed.endpoint.started_at) < kSameStart)
        m.reported.started_at = m.listed.endpoint.started_at;
    m.reported.is_draining = drains;
    m.connection.is_up = m.connection.was_ever_up = true;
    m.connection.failed_dials = 0;
    m.connection.changed_at = now;
    if (report.has_free_cores || report.has_free_memory) {
        m.reported.load = report;
        m.reported.load_reported_at = now;
    }
    update_worker(now, m);
}

void Membership::on_drain_announced(Nanos now, WorkerEntry& m) {
    m.reported.is_draining = true;
    update_worker(now, m);
}

void Membership::on_load_report(Nanos now, WorkerEntry& m, const LoadReport& r) {
    if (!r.has_free_cores && !r.has_free_memory) return;
    m.reported.load = r;
    m.reported.load_reported_at = now;
    if (!report_is_free_ || now - m.listed.as_of <= kOld || now - m.corrected_at_ < kCorrectEvery) return;
    m.corrected_at_ = now;
    ++statistics_.corrected_amounts;
    update_worker(now, m);
}

void Membership::on_disconnected(Nanos now, WorkerEntry& m) {
    if (!m.connection.is_up) return;
    m.connection.is_up = false;
    m.connection.changed_at = now;
    update_worker(now, m);
}

void Membership::on_dial_failed(Nanos now, WorkerEntry& m) {
    m.connection.is_up = false;
    ++m.connection.failed_dials;
    update_worker(now, m);
}

void Membership::on_name_mismatch() { ++statistics_.name_mismatches; }

// ---------------------------------------------------------------- for people

std::string Membership::explain(Nanos now, const WorkerEntry& m) const {
    std::string out(to_string(m.state));
    const auto add = [&out](const std::string& s) { out += "; " + s; };
    if (m.listed.is_known) {
        const char* stage = m.listed.is_omitted                                  ? "leaves it out"
                            : m.listed.endpoint.phase == EndpointPhase::gone     ? "calls it gone"
                            : m.listed.endpoint.phase == EndpointPhase::draining ? "says it drains"
                                                                                 : "says it serves";
        add(std::string("the list ") + stage + ", as of " + seconds(now - m.listed.as_of) + " ago");
    } else {
        add("no list has named it");
    }
    if (m.is_doubtfully_omitted_) add("a list that leaves it out is doubted");
    if (m.reported.greeted_at)
        add("it greeted " + seconds(now - m.reported.greeted_at) + " ago" +
            (m.reported.started_at ? ", then up for " + seconds(m.reported.greeted_at - m.reported.started_at)
                                   : ""));
    if (m.reported.is_draining) add("it says that it drains");
    if (m.connection.is_up) add("connected");
    else if (m.connection.failed_dials)
        add(std::to_string(m.connection.failed_dials) + " dials in a row have failed");
    else if (m.connection.was_ever_up)
        add("its connection broke " + seconds(now - m.connection.changed_at) + " ago");
    if (now < m.hold_until_)
        add("it came back too often: held off for " + seconds(m.hold_until_ - now) + " more");
    return out;
}

}  // namespace whinpost::membership
