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
        case WorkerState::away:
            return "away";
        case WorkerState::unsteady:
            return "unsteady";
        case WorkerState::draining:
            return "draining";
        case WorkerState::leaving:
            return "leaving";
        case WorkerState::gone:
            return "gone";
    }
    return "unknown";
}

WorkerEntry::WorkerEntry(Membership& f, std::string n, std::uint32_t num)
    : name(std::move(n)), number(num), fleet_(f), held_(*this), lives_(kLivesOver) {}

void WorkerEntry::Held::on_deadline(Nanos now) { member.fleet_.settle(now, member); }

Membership::Membership(MembershipHandler& port, Nanos now, Nanos drain_grace, bool report_is_free)
    : port_(port), drain_grace_(drain_grace), report_is_free_(report_is_free), wheel_(now),
      by_standing_(8, 0), doubt_(*this) {}

WorkerEntry& Membership::meet(std::string_view name) {
    if (WorkerEntry* m = find(name)) return *m;
    members_.push_back(
        std::make_unique<WorkerEntry>(*this, std::string(name), static_cast<std::uint32_t>(members_.size())));
    WorkerEntry& m = *members_.back();
    names_[m.name] = &m;
    ++by_standing_[static_cast<std::size_t>(WorkerState::unknown)];
    return m;
}

WorkerEntry* Membership::find(std::string_view name) {
    const auto it = names_.find(name);
    return it == names_.end() ? nullptr : it->second;
}

void Membership::arm(timer_wheel::Timer& t, Nanos at) {
    wheel_.arm(t, at);
    port_.turn_at(at);
}

void Membership::turn(Nanos now) {
    wheel_.run_timers(now);
    if (const Nanos next = wheel_.next_deadline()) port_.turn_at(next);
}

// ---------------------------------------------------------------- what follows

WorkerState Membership::judge(Nanos now, const WorkerEntry& m) const {
    if (!m.list.ever) return WorkerState::unknown;
    if (m.list.entry.phase == EndpointPhase::gone)
        return m.connection.up ? WorkerState::leaving : WorkerState::gone;
    if (m.list.entry.phase == EndpointPhase::draining || m.node.drains) return WorkerState::draining;
    if (now < m.steady_at_) return WorkerState::unsteady;
    if (!m.connection.up && (m.connection.ever || m.connection.failed > 0)) return WorkerState::away;
    if (!m.connection.ever && m.list.age_when_told > kOld) return WorkerState::unconfirmed;
    return WorkerState::serving;
}

EndpointState Membership::tell(Nanos now, const WorkerEntry& m) const {
    EndpointState l = m.list.entry;
    switch (judge(now, m)) {
        case WorkerState::serving:
            l.phase = EndpointPhase::serving;
            break;
        case WorkerState::unknown:
        case WorkerState::leaving:
        case WorkerState::gone:
            l.phase = EndpointPhase::gone;
            break;
        default:
            l.phase = EndpointPhase::draining;
            break;
    }
    l.started_at = later_start(l.started_at, m.node.started);
    if (report_is_free_ && m.node.reported > m.list.as_of && now - m.list.as_of > kOld) {
        if (m.node.report.has_free_cores) l.free_cores = m.node.report.free_cores;
        if (m.node.report.has_free_memory) l.free_memory = m.node.report.free_memory;
    }
    return l;
}

// All that follows is worked out anew from what was said: it costs nothing worth keeping state for, and no
// order of events can leave it half done.
void Membership::settle(Nanos now, WorkerEntry& m) {
    const WorkerState standing = judge(now, m);
    const EndpointState told = tell(now, m);
    const bool drains = standing == WorkerState::draining || standing == WorkerState::leaving ||
                        standing == WorkerState::gone;
    const bool was = takes_none(m.standing);
    if (standing == m.standing && same(told, m.told)) return;
    if (standing != m.standing) {
        --by_standing_[static_cast<std::size_t>(m.standing)];
        ++by_standing_[static_cast<std::size_t>(standing)];
    }
    m.standing = standing;
    m.told = told;
    if (drains && !m.drains_since) {
        m.drains_since = now;
        port_.drains(now, m);
    } else if (!drains && m.drains_since) {
        m.drains_since = 0;
        port_.back(now, m);
    }
    port_.stands(now, m, takes_none(standing) && !was);
}

// ---------------------------------------------------------------- the list

void Membership::list_begins(Nanos now, Nanos age, bool whole) {
    ++turn_;
    turn_age_ = std::max<Nanos>(age, 0);
    turn_as_of_ = now - turn_age_;
    turn_whole_ = whole;
    named_.clear();
}

void Membership::entry(Nanos now, WorkerEntry& m, const EndpointState& listed, std::string_view address) {
    if (m.turn_ == turn_) {
        ++counts_.contradictions;
        return named_twice(m, listed, address);
    }
    m.turn_ = turn_;
    // Rule 1. A view that was kept somewhere for an hour says nothing of what a newer one has named.
    if (m.list.ever && turn_as_of_ < m.list.as_of) {
        ++counts_.older;
        return;
    }
    m.doubted_ = false;
    const bool newer = listed.started_at && m.list.entry.started_at &&
                       listed.started_at > m.list.entry.started_at + kSameStart;
    EndpointState l = listed;
    // One start, told twice with ages that the network bent.
    if (l.started_at && m.list.entry.started_at &&
        std::abs(l.started_at - m.list.entry.started_at) < kSameStart)
        l.started_at = m.list.entry.started_at;
    m.list.ever = true;
    m.list.left_out = false;
    m.list.entry = l;
    m.list.as_of = turn_as_of_;
    m.list.age_when_told = turn_age_;
    const bool moved = !address.empty() && address != m.address;
    if (moved) m.address = address;
    named_.push_back(&m);
    // Rule 5. It stands elsewhere now, by a list that knows a later life than the one that greeted here.
    if (moved && m.connection.up && newer && l.started_at > m.node.started + kSameStart)
        port_.dial_anew(now, m);
}

// Rule 10.
void Membership::named_twice(WorkerEntry& m, const EndpointState& other, std::string_view address) {
    EndpointState& l = m.list.entry;
    if (!address.empty() && address != m.address) {
        if (!m.connection.up && other.started_at > l.started_at) m.address = address;
    }
    l.phase = std::max(l.phase, other.phase);  // serving, draining, gone: in the order of care
    l.free_cores = std::min(l.free_cores, other.free_cores);
    l.free_memory = std::min(l.free_memory, other.free_memory);
    l.started_at = later_start(l.started_at, other.started_at);
}

void Membership::leave_out(Nanos now, WorkerEntry& m, Nanos as_of) {
    m.doubted_ = false;
    m.list.left_out = true;
    m.list.entry.phase = EndpointPhase::gone;
    m.list.as_of = as_of;
    settle(now, m);
}

void Membership::list_ends(Nanos now) {
    list_as_of_ = std::max(list_as_of_, turn_as_of_);
    for (WorkerEntry* m : named_) settle(now, *m);
    named_.clear();
    if (!turn_whole_) return;
    std::vector<WorkerEntry*> absent;
    std::size_t stood = 0, alive = 0;
    for (const auto& m : members_) {
        if (!m->list.ever || m->list.entry.phase == EndpointPhase::gone) continue;
        ++stood;
        if (m->turn_ == turn_ || turn_as_of_ < m->list.as_of) continue;
        absent.push_back(m.get());
        alive += m->connection.up;
    }
    // Rule 4.
    const bool odd = absent.size() >= kDoubtLeast && 2 * alive > absent.size() &&
                     static_cast<double>(absent.size()) > kDoubtPart * static_cast<double>(stood);
    if (odd && (!doubt_until_ || now < doubt_until_)) {
        for (WorkerEntry* m : absent) m->doubted_ = true;
        if (!doubt_until_) {
            ++counts_.doubts;
            doubt_until_ = now + drain_grace_ / kDoubtUses;
            arm(doubt_, doubt_until_);
            port_.list_again(now);
        }
        return;
    }
    if (doubt_until_) {  // named again, all or nearly all
        doubt_until_ = 0;
        doubt_.disarm();
    }
    for (WorkerEntry* m : absent) leave_out(now, *m, turn_as_of_);
}

void Membership::doubt_over(Nanos now) {
    doubt_until_ = 0;
    std::size_t believed = 0;
    for (const auto& m : members_) {
        if (!m->doubted_) continue;
        ++believed;
        leave_out(now, *m, now);
    }
    counts_.doubts_right += believed > 0;
}

// ---------------------------------------------------------------- the node and the connection to it

void Membership::new_life(Nanos now, WorkerEntry& m) {
    ++counts_.lives;
    m.node = {};
    m.lives_.add(now, 1);
    const double lives = m.lives_.sum(now);
    if (lives < kManyLives) return;
    // Rule 6.
    ++counts_.unsteady;
    const int doublings = static_cast<int>(std::min(lives - kManyLives, 10.0));
    m.steady_at_ = now + std::min(kLongestHold, kFirstHold << doublings);
    arm(m.held_, m.steady_at_);
}

void Membership::greeted(Nanos now, WorkerEntry& m, std::uint64_t incarnation, Nanos up_for, bool drains,
                         const LoadReport& report) {
    if (m.node.incarnation && m.node.incarnation != incarnation) new_life(now, m);
    m.node.incarnation = incarnation;
    m.node.greeted = now;
    const Nanos started = up_for > 0 ? now - up_for : 0;
    if (!m.node.started || std::abs(started - m.node.started) >= kSameStart) m.node.started = started;
    // The list told of this very start: one number for it, or the planner would take it for another life.
    if (m.node.started && m.list.entry.started_at &&
        std::abs(m.node.started - m.list.entry.started_at) < kSameStart)
        m.node.started = m.list.entry.started_at;
    m.node.drains = drains;
    m.connection.up = m.connection.ever = true;
    m.connection.failed = 0;
    m.connection.since = now;
    if (report.has_free_cores || report.has_free_memory) {
        m.node.report = report;
        m.node.reported = now;
    }
    settle(now, m);
}

void Membership::says_drain(Nanos now, WorkerEntry& m) {
    m.node.drains = true;
    settle(now, m);
}

void Membership::reported(Nanos now, WorkerEntry& m, const LoadReport& r) {
    if (!r.has_free_cores && !r.has_free_memory) return;
    m.node.report = r;
    m.node.reported = now;
    if (!report_is_free_ || now - m.list.as_of <= kOld || now - m.corrected_ < kCorrectEvery) return;
    m.corrected_ = now;
    ++counts_.corrected;
    settle(now, m);
}

void Membership::broken(Nanos now, WorkerEntry& m) {
    if (!m.connection.up) return;
    m.connection.up = false;
    m.connection.since = now;
    settle(now, m);
}

void Membership::dial_failed(Nanos now, WorkerEntry& m) {
    m.connection.up = false;
    ++m.connection.failed;
    settle(now, m);
}

void Membership::stranger() { ++counts_.strange; }

// ---------------------------------------------------------------- for people

std::string Membership::why(Nanos now, const WorkerEntry& m) const {
    std::string out(to_string(m.standing));
    const auto add = [&out](const std::string& s) { out += "; " + s; };
    if (m.list.ever) {
        const char* stage = m.list.left_out                                 ? "leaves it out"
                            : m.list.entry.phase == EndpointPhase::gone     ? "calls it gone"
                            : m.list.entry.phase == EndpointPhase::draining ? "says it drains"
                                                                            : "says it serves";
        add(std::string("the list ") + stage + ", as of " + seconds(now - m.list.as_of) + " ago");
    } else {
        add("no list has named it");
    }
    if (m.doubted_) add("a list that leaves it out is doubted");
    if (m.node.greeted)
        add("it greeted " + seconds(now - m.node.greeted) + " ago" +
            (m.node.started ? ", then up for " + seconds(m.node.greeted - m.node.started) : ""));
    if (m.node.drains) add("it says that it drains");
    if (m.connection.up) add("connected");
    else if (m.connection.failed) add(std::to_string(m.connection.failed) + " dials in a row have failed");
    else if (m.connection.ever) add("its connection broke " + seconds(now - m.connection.since) + " ago");
    if (now < m.steady_at_)
        add("it came back too often: held off for " + seconds(m.steady_at_ - now) + " more");
    return out;
}

}  // namespace whinpost::membership
