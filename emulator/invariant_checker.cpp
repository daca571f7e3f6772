#include "emulator/invariant_checker.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace whinpost::emulator {

namespace {

struct ObservedAttempt {  // one launch, as its node saw it
    Nanos at;
    std::string node, container, service;
    int group;
    std::uint64_t ask, launch;
    Nanos refused = 0, accepted = 0, over = 0, stopped = 0, broken = 0;
    bool failed = false;  // ended with an error: it may have run
};

struct ObservedRequest {
    Nanos at, until, taken = 0;
    std::string container;
    int group;
    std::uint64_t id;
    std::optional<EventKind> answer;
    Nanos answered = 0;
    int answers = 0;
    Nanos let_go = 0;  // withdrawn, or owner and placer lost each other
};

class InvariantChecker {
public:
    InvariantChecker(const EventLog& seen, const RuleSettings& terms, Nanos end)
        : seen_(seen), terms_(terms), end_(end) {
        for (const WorkerLocation& p : terms.locations) places_[p.worker] = p;
    }
    Verdict run() {
        for (const RecordedEvent& l : seen_.events()) read(l);
        for (const Together& t : together_) found(Violation::twice, "two launches out together", t.line);
        for (auto& [key, offers] : offers_)
            for (const ObservedRequest& o : offers) judge(key.first, o);
        return std::move(verdict_);
    }

private:
    void found(Violation::Rule r, std::string what, const RecordedEvent& l) {
        verdict_.violations.push_back({r, std::move(what), l});
    }

    // Whether the script had laid trouble on the node at any time in [from, to].
    bool troubled(const std::string& node, Nanos from, Nanos to) const {
        const auto it = troubles_.find(node);
        if (it == troubles_.end()) return false;
        for (const auto& [begin, end] : it->second)
            if (begin <= to + terms_.slack && (end == 0 || end >= from - terms_.slack)) return true;
        return false;
    }
    bool stalled(const std::string& placer, Nanos from, Nanos to) const {
        const auto it = stalls_.find(placer.substr(0, placer.find('#')));
        if (it == stalls_.end()) return false;
        for (const auto& [begin, end] : it->second)
            if (begin <= to && (end == 0 || end + terms_.slack >= from)) return true;
        return false;
    }
    bool same(const std::string& a, const std::string& b, FailureDomain p) const {
        const auto x = places_.find(a), y = places_.find(b);
        if (p == FailureDomain::all) return true;
        if (p == FailureDomain::worker || x == places_.end() || y == places_.end()) return a == b;
        if (p == FailureDomain::zone) return x->second.zone == y->second.zone;
        return x->second.cell == y->second.cell;
    }
    const QueueGroup& group(int g) const { return terms_.groups.at(static_cast<std::size_t>(g)).queue_group; }

    ObservedAttempt* find(const RecordedEvent& l) {
        const auto it = sent_.find(l.placer);
        if (it == sent_.end()) return nullptr;
        const auto s = it->second.find(l.attempt);
        return s == it->second.end() || s->second.node != l.worker ? nullptr : &s->second;
    }
    ObservedRequest* offer(const RecordedEvent& l) {
        const auto it = offers_.find({l.placer, l.task});
        if (it == offers_.end()) return nullptr;
        for (ObservedRequest& o : it->second)
            if (o.id == l.request) return &o;
        return nullptr;
    }

    void read(const RecordedEvent& l) {
        switch (l.kind) {
            case EventKind::launch:
                return launch(l);
            case EventKind::stop:
                if (ObservedAttempt* s = find(l)) s->stopped = l.at;
                return let_go(l);
            case EventKind::accepted:
                if (ObservedAttempt* s = find(l)) s->accepted = l.at;
                return;
            case EventKind::refused:
                if (ObservedAttempt* s = find(l)) s->refused = s->over = l.at;
                return;
            case EventKind::ended:
            case EventKind::finished:
                if (ObservedAttempt* s = find(l)) {
                    s->over = l.at;
                    s->failed = s->failed || !s->accepted;
                }
                if (l.kind == EventKind::finished) running_[l.task].erase(l.worker);
                return;
            case EventKind::started:
                return started(l);
            case EventKind::drain_said:
                drains_[{l.placer, l.worker}] = std::min(told(l), l.at);
                return;
            case EventKind::list_draining:
            case EventKind::list_gone:
                drains_[{l.placer, l.worker}] = std::min(told(l), l.at);
                return;
            case EventKind::list_serving:
                drains_.erase({l.placer, l.worker});
                return;
            case EventKind::fell:
                return found(Violation::pushed_over, "a cold node was sent more than it bears", l);
            case EventKind::node_trouble:
                troubles_[l.worker].emplace_back(l.at, 0);
                if (l.text == "dead") dead(l);
                return;
            case EventKind::node_well:
                if (auto& t = troubles_[l.worker]; !t.empty()) t.back().second = l.at;
                return;
            case EventKind::link_lost:
                if (const auto it = sent_.find(l.placer); it != sent_.end())
                    for (auto& [number, s] : it->second)
                        if (s.node == l.worker && !s.over && !s.broken) s.broken = l.at;
                std::erase_if(together_, [&l](const Together& t) {
                    return t.line.placer == l.placer && t.node == l.worker && t.until >= l.at;
                });
                return;
            case EventKind::offered:
                offers_[{l.placer, l.task}].push_back(
                    {l.at, l.until, 0, l.task, l.group, l.request, {}, 0, 0, 0});
                return;
            case EventKind::handed_over:
            case EventKind::over:
                return;
            case EventKind::taken:
                if (ObservedRequest* o = offer(l)) o->taken = l.at;
                return;
            case EventKind::placed:
            case EventKind::deferred:
            case EventKind::killed:
                return answered(l);
            case EventKind::withdrawn:
                if (ObservedRequest* o = offer(l)) o->let_go = l.at;
                return;
            case EventKind::placer_lost:
                for (auto& [key, offers] : offers_)
                    if (key.first == l.placer)
                        for (ObservedRequest& o : offers)
                            if (!o.let_go) o.let_go = l.at;
                return;
            case EventKind::placer_killed:
                return;
            case EventKind::placer_stalled:
                stalls_[l.placer].emplace_back(l.at, 0);
                return;
            case EventKind::placer_well:
                if (auto& t = stalls_[l.placer]; !t.empty()) t.back().second = l.at;
                return;
        }
    }
    // The stop of an earlier launch and the launch that follows it go to two nodes: which arrives first says
    // nothing of which was sent first.
    void let_go(const RecordedEvent& stop) {
        std::erase_if(together_, [&stop](const Together& t) {
            return t.line.placer == stop.placer && t.launch == stop.attempt && t.node == stop.worker &&
                   t.until >= stop.at;
        });
    }
    // All that ran there is gone with it.
    void dead(const RecordedEvent& l) {
        for (auto& [container, nodes] : running_) nodes.erase(l.worker);
        for (auto& [placer, mine] : sent_)
            for (auto& [number, s] : mine)
                if (s.node == l.worker && !s.over && !s.broken) s.broken = l.at;
    }
    bool given_up(const std::string& placer, const ObservedAttempt& s) const {
        const auto it = offers_.find({placer, s.container});
        if (it == offers_.end()) return false;
        for (const ObservedRequest& o : it->second)
            if (o.at <= s.at && s.at <= o.until && ((o.answer && *o.answer != EventKind::placed) || o.let_go))
                return true;
        return false;
    }
    Nanos told(const RecordedEvent& l) const {
        const auto it = drains_.find({l.placer, l.worker});
        return it == drains_.end() ? INT64_MAX : it->second;
    }

    void launch(const RecordedEvent& l) {
        auto& mine = sent_[l.placer];
        const bool timed = !troubled(l.worker, l.at, l.at) && !stalled(l.placer, l.at, l.at);
        // Rule 3.
        if (const auto it = drains_.find({l.placer, l.worker}); it != drains_.end())
            if (timed && l.at > it->second + terms_.drain_grace + terms_.slack)
                found(Violation::drain, "sent to a node that the placer knew to drain", l);
        if (!mine.emplace(l.attempt,
                          ObservedAttempt{l.at, l.worker, l.task, l.service, l.group, l.request, l.attempt})
                 .second)
            found(Violation::twice, "one launch reached nodes twice", l);
        const QueueGroup& g = group(l.group);
        // Rule 2: against the earlier launches of the same ask.
        auto& asks = by_ask_[{l.placer, l.request}];
        const ObservedAttempt* first_maybe = nullptr;
        for (const std::uint64_t number : asks) {
            const ObservedAttempt& s = mine.at(number);
            if (s.refused) continue;  // proven
            if (!first_maybe) first_maybe = &s;
            // Two out together: the earlier one had no end that the placer could know of.
            const bool known_over = s.over || s.stopped || s.broken || troubled(s.node, s.at, l.at) ||
                                    g.effect != Effect::idempotent;  // judged below, harder
            if (!known_over && timed) together_.push_back({l, s.node, number, l.at + terms_.slack});
        }
        if (first_maybe) {
            if (g.effect == Effect::side_effecting)
                found(Violation::twice, "launched again where an earlier launch may have run", l);
            if (g.effect == Effect::keyed) {
                if (!same(first_maybe->node, l.worker, g.deduplicated_by))
                    found(Violation::twice, "repeated outside the nodes that drop the repeat", l);
                if (timed && l.at - first_maybe->at > g.deduplication_window + terms_.slack)
                    found(Violation::twice, "repeated after the nodes' memory of it", l);
            }
        }
        asks.push_back(l.attempt);
        // Rule 1: nothing after the final answer.
        if (const auto it = offers_.find({l.placer, l.task}); it != offers_.end() && timed) {
            const ObservedRequest* last = nullptr;
            for (const ObservedRequest& o : it->second)
                if (o.at <= l.at) last = &o;
            if (last && last->answer && *last->answer != EventKind::placed &&
                last->answered + terms_.slack < l.at)
                found(Violation::lost, "launched after its final answer", l);
        }
        // Rule 5.
        if (g.spread_domain != FailureDomain::none) {
            auto& numbers = by_service_[{l.placer, l.service}];
            numbers.push_back(l.attempt);
            int there = 0;
            for (const std::uint64_t number : numbers) {
                const ObservedAttempt& s = mine.at(number);
                // Given up: another launch of the same ask, or its final answer, came after it.
                if (number != l.attempt && (s.ask == l.request || given_up(l.placer, s))) continue;
                there += same(s.node, l.worker, g.spread_domain) && !s.over && !s.stopped && !s.broken &&
                         !troubled(s.node, s.at, s.at);  // its answers may have been lost, and it given up
            }
            if (there > g.max_per_domain && timed)
                found(Violation::spread, "more of one service in one place than stated", l);
        }
    }

    void started(const RecordedEvent& l) {
        auto& at = running_[l.task];
        at.insert(l.worker);
        if (group(l.group).effect == Effect::side_effecting && !ran_.insert(l.task).second)
            found(Violation::twice, "a side-effecting container ran twice", l);
        if (group(l.group).effect == Effect::keyed)
            for (const std::string& other : at)
                if (other != l.worker && !same(other, l.worker, group(l.group).deduplicated_by) &&
                    !troubled(other, l.at, l.at))
                    found(Violation::twice, "a fingerprinted container runs in two groups of nodes", l);
    }

    void answered(const RecordedEvent& l) {
        ObservedRequest* o = offer(l);
        if (!o) return;
        if (++o->answers > 1) found(Violation::lost, "a second final answer", l);
        if (!o->answer) {
            o->answer = l.kind;
            o->answered = l.at;
        }
        if (l.kind != EventKind::deferred) return;
        // Rule 2: a deferral says that trying again is harmless.
        const QueueGroup& g = group(l.group);
        if (g.effect == Effect::idempotent ||
            (g.effect == Effect::keyed && g.deduplicated_by == FailureDomain::all))
            return;
        const auto it = sent_.find(l.placer);
        if (it == sent_.end()) return;
        for (const auto& [number, s] : it->second)
            if (s.container == l.task && s.at >= o->at && !s.refused)
                found(Violation::twice, "deferred where a launch may have run", l);
    }

    void judge(const std::string& placer, const ObservedRequest& o) {
        RecordedEvent l;
        l.at = o.until;
        l.kind = EventKind::offered;
        l.placer = placer;
        l.task = o.container;
        l.request = o.id;
        const Nanos due = o.until + terms_.slack;
        if (o.let_go && (!o.answer || o.let_go < o.answered)) return;
        if (o.answer) {
            if (o.answered > due && !stalled(placer, o.at, due))
                found(Violation::lost, "its final answer came after its owner gave up", l);
        } else if (due < end_ && !stalled(placer, o.at, due)) {
            found(Violation::lost, "no final answer before its owner gave up", l);
        }
    }

    struct Together {  // two launches out at once, unless the earlier one's stop comes within the slack
        RecordedEvent line;
        std::string node;
        std::uint64_t launch;
        Nanos until;
    };
    std::vector<Together> together_;
    const EventLog& seen_;
    const RuleSettings& terms_;
    Nanos end_;
    Verdict verdict_;
    std::map<std::string, WorkerLocation> places_;
    std::map<std::string, std::map<std::uint64_t, ObservedAttempt>> sent_;  // by placer, launch
    std::map<std::pair<std::string, std::uint64_t>, std::vector<std::uint64_t>> by_ask_;
    std::map<std::pair<std::string, std::string>, std::vector<std::uint64_t>>
        by_service_;  // where spread is asked for
    std::map<std::pair<std::string, std::string>, std::vector<ObservedRequest>>
        offers_;                                                   // by placer, container
    std::map<std::pair<std::string, std::string>, Nanos> drains_;  // placer, node: since when it knows
    std::map<std::string, std::vector<std::pair<Nanos, Nanos>>> troubles_, stalls_;
    std::map<std::string, std::set<std::string>> running_;  // by container: where
    std::set<std::string> ran_;
};

}  // namespace

int Verdict::count(Violation::Rule r) const {
    return static_cast<int>(
        std::count_if(violations.begin(), violations.end(), [r](const Violation& b) { return b.rule == r; }));
}

std::string Verdict::summary() const {
    const auto n = [this](Violation::Rule r) { return std::to_string(count(r)); };
    return std::string(kept() ? "rules kept" : "RULES BROKEN") + ": lost " + n(Violation::lost) + ", twice " +
           n(Violation::twice) + ", drains " + n(Violation::drain) + ", pushed over " +
           n(Violation::pushed_over) + ", spread " + n(Violation::spread);
}

Verdict check_invariants(const EventLog& seen, const RuleSettings& terms, Nanos end) {
    return InvariantChecker(seen, terms, end).run();
}

std::string describe(const EventLog& seen, const Violation& b, Nanos start) {
    std::string out = "broken: " + b.what + "\n  " + to_string(b.event, start) + "\n  the record:\n";
    for (const std::string& l : history_of(seen, b.event.task, start)) out += "    " + l + "\n";
    return out;
}

std::vector<std::string> history_of(const EventLog& seen, const std::string& container, Nanos start) {
    std::vector<std::string> out;
    std::set<std::pair<std::string, std::uint64_t>> launches;
    for (const RecordedEvent& l : seen.events()) {
        if (l.kind == EventKind::launch && l.task == container) launches.insert({l.placer, l.attempt});
        if (l.task == container || (l.attempt && launches.contains({l.placer, l.attempt})))
            out.push_back(to_string(l, start));
    }
    return out;
}

}  // namespace whinpost::emulator
