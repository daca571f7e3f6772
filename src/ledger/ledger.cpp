#include "ledger/ledger.h"

#include <algorithm>

#include "whinpost/stable_hash.h"

namespace whinpost::ledger {

std::string_view to_string(Refusal r) {
    switch (r) {
        case Refusal::none:
            return "allowed";
        case Refusal::answered:
            return "the owner has its final answer";
        case Refusal::placed:
            return "a node holds it";
        case Refusal::launch_out:
            return "a launch is out";
        case Refusal::too_many:
            return "no launch is left";
        case Refusal::too_late:
            return "the owner has given up";
        case Refusal::unknown_node:
            return "the node is in no list";
        case Refusal::draining:
            return "the node drains";
        case Refusal::wrong_kind:
            return "the node is of another kind";
        case Refusal::may_have_run:
            return "an earlier launch may have run";
        case Refusal::outside_repeats:
            return "the node would not drop the repeat";
        case Refusal::past_window:
            return "repeats are remembered no longer";
        case Refusal::spread:
            return "the place holds its most of the service";
        case Refusal::cold:
            return "the node is cold and has its part";
    }
    return "unknown";
}

namespace {
bool proves_not_run(AttemptOutcome e) {
    return e == AttemptOutcome::refused || e == AttemptOutcome::unconnected || e == AttemptOutcome::unsent;
}
// Nodes may have forgotten the first launch that may have run, and would take its repeat for new.
bool past_window(Nanos now, const TaskRecord& r, const Attempt& first) {
    return now - first.sent >= r.group->repeat_window;
}
}  // namespace

bool same_place(const WorkerRecord& a, const WorkerRecord& b, FailureDomain p) {
    switch (p) {
        case FailureDomain::none:
            return false;
        case FailureDomain::machine:
            return &a == &b;
        case FailureDomain::cell:
            return a.listed.cell == b.listed.cell;
        case FailureDomain::zone:
            return a.listed.zone == b.listed.zone;
        case FailureDomain::all:
            return true;
    }
    return false;
}

Ledger::Ledger(std::vector<QueueGroup> groups, RetrySettings terms, SlowStartSettings cold)
    : groups_(std::move(groups)), terms_(terms), cold_(cold) {}

// ---------------------------------------------------------------- nodes

WorkerRecord& Ledger::meet(std::string_view name) {
    auto it = nodes_.find(name);
    if (it == nodes_.end()) {
        it = nodes_.emplace(std::string(name), WorkerRecord{}).first;
        it->second.name = name;
        it->second.mark = stable_hash(name);
    }
    return it->second;
}

WorkerRecord* Ledger::find(std::string_view name) {
    const auto it = nodes_.find(name);
    return it == nodes_.end() ? nullptr : &it->second;
}

// The list may take back what the list said (a drain that was called off); the node alone takes back what it
// said itself. So a list that was asked for before the drain and comes after it opens nothing.
void Ledger::listed(Nanos now, WorkerRecord& n, const EndpointState& entry) {
    if (n.known && entry.started > n.listed.started) started_anew(now, n);
    n.listed = entry;
    n.known = entry.stage != EndpointPhase::gone;
    if (entry.stage != EndpointPhase::serving && !n.drains()) n.drain_heard = now;
    n.drain_listed = entry.stage != EndpointPhase::serving;
}

void Ledger::gone(Nanos now, WorkerRecord& n) {
    n.known = false;
    n.listed.stage = EndpointPhase::gone;
    if (!n.drains()) n.drain_heard = now;
    n.drain_listed = true;
}

void Ledger::said(Nanos now, WorkerRecord& n, bool drains) {
    if (drains && !n.drains()) n.drain_heard = now;
    n.drain_said = drains;
}

void Ledger::started_anew(Nanos, WorkerRecord& n) {
    n.drain_said = false;
    n.young_sends.clear();
}

// ---------------------------------------------------------------- containers

TaskRecord& Ledger::take(Nanos now, std::string_view container, std::uint64_t service,
                         const ResourceRequest& asked) {
    TaskRecord& r = records_[next_record_];
    r.number = next_record_++;
    r.container = container;
    r.service = service;
    r.group_index = asked.group;
    r.group = &groups_[static_cast<std::size_t>(asked.group)];
    r.asked = asked;
    r.taken = now;
    r.until = now + asked.time_left;
    r.launches.reserve(static_cast<std::size_t>(std::max(1, terms_.most)));
    ++tally_.taken;
    return r;
}

TaskRecord& Ledger::take_over(Nanos now, std::string_view container, std::uint64_t service,
                              const ResourceRequest& asked, WorkerRecord& n) {
    TaskRecord& r = take(now, container, service, asked);
    Attempt& l = r.launches.emplace_back();
    l.number = next_launch_++;
    l.record = &r;
    l.node = &n;
    l.sent = now;
    l.until = now;
    l.accepted = l.running = l.taken_over = true;
    r.out = r.holds = &l;
    r.answer = Answer::placed;
    ++n.held;
    ++tally_.placed;
    stands(r, n);
    return r;
}

TaskRecord* Ledger::find(std::uint64_t number) {
    const auto it = records_.find(number);
    return it == records_.end() ? nullptr : &it->second;
}

void Ledger::forget(TaskRecord& r) {
    if (r.out) left(*r.out);
    records_.erase(r.number);
}

// ---------------------------------------------------------------- the rules

const Attempt* Ledger::first_maybe(const TaskRecord& r) const {
    for (const Attempt& l : r.launches)
        if (!l.over || l.may_have_run) return &l;
    return nullptr;
}

int Ledger::in_place(std::uint64_t service, const WorkerRecord& n, FailureDomain p) const {
    const auto it = standing_.find(service);
    if (it == standing_.end()) return 0;
    int count = 0;
    for (const Standing& s : it->second)
        if (same_place(*s.node, n, p)) count += s.count;
    return count;
}

bool Ledger::young(Nanos now, const WorkerRecord& n) const {
    return n.listed.started > 0 && now - n.listed.started < cold_.warm_after;
}

Refusal Ledger::may_launch(Nanos now, const TaskRecord& r, const WorkerRecord& n) const {
    if (r.holds) return Refusal::placed;
    if (r.answer != Answer::none || r.over) return Refusal::answered;
    if (r.out) return Refusal::launch_out;
    if (static_cast<int>(r.launches.size()) >= terms_.most) return Refusal::too_many;
    if (now >= r.until) return Refusal::too_late;
    if (!n.known) return Refusal::unknown_node;
    if (n.drains()) return Refusal::draining;
    if (r.group->kind >= 0 && n.listed.kind != r.group->kind) return Refusal::wrong_kind;
    if (const Attempt* first = first_maybe(r)) {
        if (r.group->effect == Effect::side_effecting) return Refusal::may_have_run;
        if (r.group->effect == Effect::fingerprinted) {
            if (past_window(now, r, *first)) return Refusal::past_window;
            if (!same_place(*first->node, n, r.group->repeats_dropped_by)) return Refusal::outside_repeats;
        }
    }
    if (r.group->spread != FailureDomain::none && in_place(r.service, n, r.group->spread) >= r.group->most)
        return Refusal::spread;
    if (young(now, n) && n.turns >= 0) {
        if (n.turns == 0) return Refusal::cold;
    } else if (young(now, n)) {
        // The placers share nothing, so that all keep to the same dealing is what bounds their sum.
        std::int64_t in_turn = 0;
        for (const Nanos at : n.young_sends) in_turn += at / cold_.window == now / cold_.window;
        if (in_turn >= Scheduler::slow_start_tokens(cold_, n.mark, now)) return Refusal::cold;
    }
    return Refusal::none;
}

Attempt* Ledger::launch(Nanos now, TaskRecord& r, WorkerRecord& n, Nanos time_out, Refusal& why) {
    why = may_launch(now, r, n);
    if (why != Refusal::none) {
        ++tally_.refused_to_planner;
        return nullptr;
    }
    if (r.launches.size() == r.launches.capacity()) {
        // Pointers to launches are held outside: the room made in take() is never outgrown. A test-only
        // ledger that allows more than is stated meets this.
        ++tally_.refused_to_planner;
        why = Refusal::too_many;
        return nullptr;
    }
    Attempt& l = r.launches.emplace_back();
    l.number = next_launch_++;
    l.record = &r;
    l.node = &n;
    l.sent = now;
    l.until = std::min(r.until, now + std::max<Nanos>(time_out, kMillisecond));
    r.out = &l;
    ++n.launches_out;
    if (young(now, n)) {
        while (!n.young_sends.empty() && n.young_sends.front() / cold_.window != now / cold_.window)
            n.young_sends.pop_front();
        n.young_sends.push_back(now);
    }
    stands(r, n);
    return &l;
}

bool Ledger::may_still_send(Nanos now, const Attempt& l) const {
    // Guards against a repeat that was allowed, waited for its connection, and would come to its node after
    // the time for which repeats are dropped there.
    const TaskRecord& r = *l.record;
    if (const Attempt* first = first_maybe(r);
        first && first != &l && r.group->effect == Effect::fingerprinted && past_window(now, r, *first))
        return false;
    // Guards against a server in slow start that is sent more than it bears: by an attempt that waited for
    // its connection into another turn than its token was of, or that was meant for the server before its
    // restart and took none.
    if (young(now, *l.node) && l.node->turns < 0 &&
        (l.sent / cold_.window != now / cold_.window || l.sent < l.node->listed.started))
        return false;
    return !l.over && r.answer == Answer::none && now < l.until && !l.node->drains() && l.node->known;
}

// ---------------------------------------------------------------- what becomes of a launch

// A yes binds only while the launch is the one that is out and the owner waits. A yes after that is a copy
// nobody waits for: the caller has it stopped or tells the owner where it is.
bool Ledger::accepted(Nanos, Attempt& l) {
    if (l.accepted) return false;
    TaskRecord& r = *l.record;
    if (l.over || r.out != &l || r.answer != Answer::none) {
        ++tally_.late_yes;
        return false;
    }
    l.accepted = true;
    r.holds = &l;
    r.answer = Answer::placed;
    ++tally_.placed;
    --l.node->launches_out;
    ++l.node->held;
    return true;
}

bool Ledger::runs(Nanos, Attempt& l) {
    if (l.over || l.running || !l.accepted) return false;
    l.running = true;
    return true;
}

// Counts it among what stands of its service, where a spread is stated; left() takes it out.
void Ledger::stands(const TaskRecord& r, WorkerRecord& n) {
    if (r.group->spread == FailureDomain::none) return;
    auto& at = standing_[r.service];
    const auto it = std::find_if(at.begin(), at.end(), [&n](const Standing& s) { return s.node == &n; });
    if (it == at.end()) at.push_back({&n, 1});
    else ++it->count;
}

void Ledger::left(Attempt& l) {
    TaskRecord& r = *l.record;
    if (l.accepted) --l.node->held;
    else --l.node->launches_out;
    if (r.group->spread == FailureDomain::none) return;
    const auto it = standing_.find(r.service);
    if (it == standing_.end()) return;
    auto& at = it->second;
    for (std::size_t i = 0; i < at.size(); ++i)
        if (at[i].node == l.node) {
            if (--at[i].count == 0) at.erase(at.begin() + static_cast<std::ptrdiff_t>(i));
            break;
        }
    if (at.empty()) standing_.erase(it);
}

bool Ledger::ended(Nanos, Attempt& l, AttemptOutcome how) {
    if (l.over) return false;
    TaskRecord& r = *l.record;
    left(l);
    l.over = true;
    l.ending = how;
    l.may_have_run = l.accepted || !proves_not_run(how);
    if (r.out == &l) r.out = nullptr;
    if (r.holds == &l) {
        r.holds = nullptr;
        r.over = true;  // a placed container's end closes it
    }
    if (r.answer == Answer::deferred || r.answer == Answer::killed || r.answer == Answer::withdrawn)
        r.over = true;
    return true;
}

// ---------------------------------------------------------------- answers

// A deferral says that trying again is harmless.
bool Ledger::may_defer(const TaskRecord& r) const {
    if (r.group->effect == Effect::idempotent) return true;
    if (r.out) return false;
    if (!first_maybe(r)) return true;
    return r.group->effect == Effect::fingerprinted && r.group->repeats_dropped_by == FailureDomain::all;
}

bool Ledger::give(Nanos, TaskRecord& r, Answer a) {
    if (r.answer != Answer::none || a == Answer::none || a == Answer::placed) return false;
    if (a == Answer::deferred && !may_defer(r)) return false;
    r.answer = a;
    if (a == Answer::deferred) ++tally_.deferred;
    if (a == Answer::killed) ++tally_.killed;
    if (a == Answer::withdrawn) ++tally_.withdrawn;
    if (!r.out) r.over = true;
    return true;
}

}  // namespace whinpost::ledger
