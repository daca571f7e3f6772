// A slow, plain model of the rules beside the module on generated days: each bind and answer must be one it
// allows.
#include <catch2/catch.hpp>
#include <cmath>
#include <map>

#include "support/scheduler_rig.h"

using namespace whinpost;

namespace {

struct Launch {
    Worker* machine;
    Nanos sent;
    bool out = true, proven = false;
};

struct Model {
    Stand& t;
    std::vector<QueueGroup> groups;
    SlowStartSettings cold;
    std::map<Task*, std::vector<Launch>> launches;
    std::map<Task*, char> answers;
    std::map<Worker*, std::vector<Nanos>> young;
    std::size_t read = 0;
    Nanos told_before = 0;

    bool same(const Worker& a, const Worker& b, FailureDomain p) const {
        return p == FailureDomain::all || (p == FailureDomain::zone && a.endpoint.zone == b.endpoint.zone) ||
               (p == FailureDomain::cell && a.endpoint.cell == b.endpoint.cell) ||
               (p == FailureDomain::worker && &a == &b);
    }
    void check_bind(const Seen& s) {
        const QueueGroup& g = groups[static_cast<std::size_t>(s.container->request.queue_group)];
        REQUIRE_FALSE(answers.contains(s.container));
        REQUIRE(s.machine->endpoint.phase == EndpointPhase::serving);
        REQUIRE((g.worker_kind < 0 || g.worker_kind == s.machine->endpoint.kind));
        REQUIRE(t.now < s.container->deadline);
        REQUIRE(s.time_out <= s.container->deadline - t.now);
        auto& mine = launches[s.container];
        REQUIRE(mine.size() < 4);
        const Launch* first = nullptr;
        for (const Launch& l : mine) {
            REQUIRE_FALSE(l.out);
            if (!l.proven && !first) first = &l;
        }
        if (first) {
            REQUIRE(g.effect != Effect::side_effecting);
            if (g.effect == Effect::keyed) {
                REQUIRE(same(*first->machine, *s.machine, g.deduplicated_by));
                REQUIRE(t.now - first->sent < g.deduplication_window);
            }
        }
        mine.push_back({s.machine, t.now});
        if (g.spread_domain != FailureDomain::none) {
            int there = 0;
            for (const auto& [c, all] : launches)
                for (const Launch& l : all)
                    there += l.out && c->service == s.container->service &&
                             same(*l.machine, *s.machine, g.spread_domain);
            REQUIRE(there <= g.max_per_domain);
        }
        if (s.machine->endpoint.started_at && t.now - s.machine->endpoint.started_at < cold.warm_up_time) {
            auto& binds = young[s.machine];
            binds.push_back(t.now);
            int lately = 0;
            for (const Nanos at : binds) lately += t.now - at < cold.window;
            REQUIRE(lately <= 2 * std::ceil(std::floor(cold.guaranteed_attempts / 2) / cold.placers));
        }
    }
    void check_answer(const Seen& s) {
        const QueueGroup& g = groups[static_cast<std::size_t>(s.container->request.queue_group)];
        REQUIRE(answers.emplace(s.container, s.what).second);
        REQUIRE(told_before <=
                s.container->deadline);  // at the first moment it was told of after the queue timeout
        if (s.what != 'd' || g.effect == Effect::idempotent) return;
        for (const Launch& l : launches[s.container])
            REQUIRE((l.proven ||
                     (g.effect == Effect::keyed && g.deduplicated_by == FailureDomain::all && !l.out)));
    }
    void catch_up() {
        for (; read < t.seen.size(); ++read) {
            const Seen& s = t.seen[read];
            if (s.what == 'b') check_bind(s);
            if (s.what == 'd' || s.what == 'k') check_answer(s);
        }
    }
};

}  // namespace

TEST_CASE("on generated days every bind and answer is one that the plain model of the rules allows") {
    const auto seed = GENERATE(take(60, random(1u, 1u << 30)));
    std::ranlux24_base chance(seed);
    const auto roll = [&chance](int n) { return static_cast<int>(chance() % static_cast<unsigned>(n)); };
    std::vector<QueueGroup> groups;
    for (const Effect e : {Effect::idempotent, Effect::keyed, Effect::side_effecting}) {
        const FailureDomain places[] = {FailureDomain::all, FailureDomain::zone, FailureDomain::cell,
                                        FailureDomain::worker};
        const FailureDomain spreads[] = {FailureDomain::none, FailureDomain::worker, FailureDomain::cell,
                                         FailureDomain::zone};
        QueueGroup g = group(e, places[roll(4)], (1 + roll(4)) * kSecond);
        g.spread_domain = spreads[roll(4)];
        g.max_per_domain = 1 + roll(4);
        g.worker_kind = roll(5) - 4;
        groups.push_back(g);
    }
    SlowStartSettings cold = Stand::usual_cold();
    cold.guaranteed_attempts = roll(30);
    Stand t(groups, cold);
    Model model{t, groups, cold, {}, {}, {}};
    std::vector<Service*> services;
    for (int i = 0; i < 4; ++i) services.push_back(&t.placer.add_service(1));
    for (int i = 0; i < 6; ++i) t.machine(i / 2, i / 4, roll(2) ? 0 : t.now - roll(12) * kSecond);
    std::vector<Task*> alive;
    for (int step = 0; step < 1500; ++step) {
        model.told_before = t.now;
        t.now += roll(200) == 0 ? roll(20) * kSecond : roll(40) * kMillisecond;  // the clock may jump far
        for (Task* c : alive)  // the wire answers every launch by its time-out
            if (c->worker && !c->accepted && t.now >= c->deadline) {
                model.launches[c].back().out = false;
                t.end(*c, AttemptOutcome::timed_out);
                model.catch_up();
            }
        if (roll(3) == 0) {
            const int which = roll(3);
            Task& c = t.take(*services[static_cast<std::size_t>(roll(4))], which, 0.5 + roll(8),
                             (1 + roll(6)) * kSecond);
            alive.push_back(&c);
        }
        if (roll(60) == 0) {
            Worker& m = *t.machines[static_cast<std::size_t>(roll(6))];
            EndpointState l = m.endpoint;
            l.phase = static_cast<EndpointPhase>(roll(3));
            if (roll(2)) l.started_at = t.now, l.phase = EndpointPhase::serving;
            l.free_cores = roll(40) - 24;
            t.entry(m, l);
        }
        if (!alive.empty() && roll(2) == 0) {
            Task& c = *alive[static_cast<std::size_t>(roll(static_cast<int>(alive.size())))];
            if (c.worker && !c.accepted && roll(2)) c.on_accepted(t.now, c.attempts - 1);
            else if (c.worker) {
                const auto how = static_cast<AttemptOutcome>(roll(9));
                Launch& l = model.launches[&c].back();
                l.out = false;
                l.proven = how == AttemptOutcome::rejected || how == AttemptOutcome::connect_failed ||
                           how == AttemptOutcome::not_sent;
                t.end(c, how, static_cast<OutcomeReason>(roll(8)), c.accepted || c.settled);
                model.catch_up();
                if (c.settled) model.answers.emplace(&c, 'e');
            }
            model.catch_up();
        }
        t.placer.run_round(t.now);
        model.catch_up();
    }
    for (int i = 0; i < 500; ++i) {
        model.told_before = t.now;
        t.pass(20 * kMillisecond);
        model.catch_up();
    }
    for (Task* c : alive) CHECK((c->settled || c->worker));  // none is held for ever
}
