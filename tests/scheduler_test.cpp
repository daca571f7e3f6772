#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "support/scheduler_rig.h"

using namespace whinpost;

TEST_CASE("a pair value is learned beside one known neighbour, weights beside several") {
    Stand t;
    Worker& m = t.machine();
    Service &a = t.placer.add_service(1), &b = t.placer.add_service(1), &c = t.placer.add_service(1);
    Task& ca = t.bound(a);
    ca.on_accepted(t.now, 0);
    t.bound(b).on_accepted(t.now, 0);
    CHECK(t.placer.predicted_slowdown(m, a) == Approx(0.006));
    for (int i = 0; i < 40; ++i) ca.on_service_share(t.now, 0, 0.5);
    CHECK(a.neighbours.at(b.number).slowdown == Approx(1.0).epsilon(0.01));
    CHECK(a.neighbours.at(b.number).weight == Approx(1.0));
    t.bound(c).on_accepted(t.now, 0);
    const double before = a.neighbours.at(b.number).weight;
    ca.on_service_share(t.now, 0, 0.2);
    CHECK(a.neighbours.at(b.number).weight > before);
    CHECK(a.neighbours.at(c.number).weight > 1.0);
}

TEST_CASE("unknown load counts by the average pair value, without this placer's own containers") {
    Stand t;
    Worker& m = t.machine();
    Service& a = t.placer.add_service(1);
    t.entry(m, {0, 0, 0, 8, 32, EndpointPhase::serving, 0});
    CHECK(t.placer.predicted_slowdown(m, a) == Approx(0.003 * 0.5));
    t.bound(a);
    CHECK(t.placer.predicted_slowdown(m, a) == Approx(0.003 + 0.003 * 7 / 16));
}

TEST_CASE("a container whose owner saw a launch fail is answered by what may have run") {
    const auto [effect, scope, how, answer] = GENERATE(table<Effect, FailureDomain, AttemptOutcome, char>(
        {{Effect::side_effecting, FailureDomain::all, AttemptOutcome::timed_out, 'k'},
         {Effect::side_effecting, FailureDomain::all, AttemptOutcome::unknown, 'k'},
         {Effect::side_effecting, FailureDomain::all, AttemptOutcome::rejected, 'd'},
         {Effect::keyed, FailureDomain::all, AttemptOutcome::failed, 'd'},
         {Effect::keyed, FailureDomain::cell, AttemptOutcome::failed, 'k'},
         {Effect::idempotent, FailureDomain::all, AttemptOutcome::failed, 'd'}}));
    Stand t({group(effect, scope)}, Stand::usual_cold(), {}, 1);
    t.machine();
    Task& c = t.bound(t.placer.add_service(1));
    REQUIRE(t.count('b') == 1);
    t.end(c, how);
    CHECK(c.settled);
    CHECK(t.seen.back().what == answer);
}

TEST_CASE("a full fleet defers after waiting, well inside the queue timeout") {
    Stand t;
    Worker& m = t.machine();
    t.entry(m, {0, 0, 0, -24, 32, EndpointPhase::serving, 0});
    Task& c = t.take(t.placer.add_service(1));
    t.pass(kSecond);
    CHECK(t.seen.empty());
    t.pass(2 * kSecond);
    CHECK(c.settled);
    CHECK(t.count('d') == 1);
}

TEST_CASE("machines that fail starts are left for others, and come back") {
    Stand t;
    Worker &sick = t.machine(), &well = t.machine();
    Service& s = t.placer.add_service(1);
    for (int i = 0; i < 6; ++i) sick.outlier.failed_attempts[0].add(t.now, 1);
    for (int i = 0; i < 8; ++i) CHECK(t.bound(s).worker == &well);
    t.entry(well, {0, 0, 0, 16, 32, EndpointPhase::draining, 0});
    Task& c = t.take(s);
    t.pass(kSecond);
    CHECK(c.worker == &sick);  // least bad where nothing else is left
    t.pass(5 * kSecond);
    CHECK(sick.outlier.failed_attempts[0].sum(t.now) == 0);
}

TEST_CASE("a failed call for the list is made again after a growing pause, never in a storm") {
    Stand t({QueueGroup{}}, Stand::usual_cold(), {true, 10 * kSecond});
    t.placer.start(t.now);
    CHECK(t.count('f') == 1);
    for (int i = 0; i < 2000; ++i) {
        const int before = t.count('f');
        t.pass(10 * kMillisecond, 10 * kMillisecond);
        if (t.count('f') > before) t.placer.on_watch_failed(t.now);
        if (i == 0) t.placer.on_watch_failed(t.now);
    }
    CHECK(t.count('f') >= 10);
    CHECK(t.count('f') <= 20);
}

TEST_CASE("a refusal without a reason counts against the machine, and heals") {
    Stand t;
    Worker &liar = t.machine(), &other = t.machine();
    Service& s = t.placer.add_service(1);
    t.entry(other, {0, 0, 0, 16, 32, EndpointPhase::draining, 0});
    Task& first = t.bound(s);
    REQUIRE(first.worker == &liar);
    t.entry(other, {0, 0, 0, 16, 32, EndpointPhase::serving, 0});
    t.end(first, AttemptOutcome::rejected);
    for (int i = 0; i < 6; ++i) CHECK(t.bound(s).worker == &other);
    t.pass(5 * kSecond);
    CHECK(liar.outlier.failed_attempts[0].sum(t.now) == 0);
}

TEST_CASE("a silent machine holds few launches, and a full line halves what it may hold") {
    Stand t;
    Worker& m = t.machine();
    Service& s = t.placer.add_service(1);
    for (int i = 0; i < 30; ++i) t.bound(s);
    CHECK(m.capacity.unanswered == 8);
    t.end(*t.seen.front().container, AttemptOutcome::rejected, OutcomeReason::queue_full);
    CHECK(m.capacity.queue_limit == 4);
    t.pass(kSecond);
    CHECK(m.capacity.unanswered == 7);  // nothing more while it owes answers
}

TEST_CASE("only idempotent containers move, off a machine called bad, while a clean one has room") {
    const Effect effect = GENERATE(Effect::idempotent, Effect::keyed, Effect::side_effecting);
    QueueGroup g = group(effect);
    g.start_value_s = 10;
    Stand t({g});
    Worker &bad = t.machine(), &clean = t.machine();
    Service& s = t.placer.add_service(1);
    t.entry(clean, {0, 0, 0, 16, 32, EndpointPhase::draining, 0});
    std::vector<Task*> held;
    for (int i = 0; i < 6; ++i) {
        held.push_back(&t.bound(s));
        held.back()->on_accepted(t.now, 0);
        held.back()->on_running(t.now, 0);
    }
    REQUIRE(held[0]->worker == &bad);
    t.entry(clean, {0, 0, 0, 16, 32, EndpointPhase::serving, 0});
    t.pass(2 * kSecond);
    held[0]->on_service_share(t.now, 0, 0.3);
    t.pass(500 * kMillisecond);
    CHECK(t.count('m') == (effect == Effect::idempotent ? 1 : 0));
}

TEST_CASE("every placer draws a service's sample alike, whatever order it met the machines in") {
    Stand a, b;
    for (std::uint64_t i = 0; i < 40; ++i) {
        a.entry(a.placer.add_worker(i), {0, 0, 0, 16, 32, EndpointPhase::serving, 0});
        b.entry(b.placer.add_worker(39 - i), {0, 0, 0, 16, 32, EndpointPhase::serving, 0});
    }
    std::map<std::uint64_t, int> chosen;
    for (std::uint64_t mark = 100; mark < 160; ++mark) {
        Worker* m = a.bound(a.placer.add_service(mark)).worker;
        CHECK(m->name_hash == b.bound(b.placer.add_service(mark)).worker->name_hash);
        ++chosen[m->name_hash];
    }
    CHECK(chosen.size() > 20);  // services spread over the fleet
}

TEST_CASE("an outcome after the end, a yes after the end and a second end change nothing") {
    Stand t;
    Worker& m = t.machine();
    Task& c = t.bound(t.placer.add_service(1));
    c.cancel(t.now);
    c.on_accepted(t.now, 0);
    t.end(c, AttemptOutcome::cancelled);
    CHECK(c.finished());
    t.end(c, AttemptOutcome::completed);
    c.on_service_share(t.now, 0, 0.1);
    CHECK(t.count('d') + t.count('k') == 0);
    CHECK(m.capacity.own_cores == Approx(0));
    CHECK(m.capacity.unanswered == 0);
}

TEST_CASE("with no machine at all a container still gets its answer in time") {
    Stand t;
    Task& c = t.take(t.placer.add_service(1));
    t.pass(4 * kSecond);
    CHECK(c.settled);
    CHECK(t.count('d') == 1);
}

TEST_CASE("a machine that fails one queue group's starts is not shielded by the other group's") {
    Stand t({QueueGroup{}, QueueGroup{}});
    Worker &half = t.machine(), &well = t.machine();
    Service& s = t.placer.add_service(1);
    for (int i = 0; i < 40; ++i) half.outlier.started_attempts[1].add(t.now, 1);
    half.outlier.failed_attempts[0].add(t.now, 1);
    for (int i = 0; i < 6; ++i) CHECK(t.bound(s, 0).worker == &well);
}

TEST_CASE("some hundred placers together send a cold machine no more than it bears, and do use it") {
    const auto [placers, borne] = GENERATE(table<int, int>({{258, 13}, {300, 2}, {60, 41}, {5, 40}, {1, 9}}));
    std::vector<std::unique_ptr<Stand>> all;
    std::vector<Nanos> sent;
    for (int i = 0; i < placers; ++i) {
        SlowStartSettings cold{0.2, 16 * kSecond, 2, kSecond, static_cast<double>(borne), placers, i};
        all.push_back(std::make_unique<Stand>(std::vector{QueueGroup{}}, cold));
        all.back()->machine(0, 0, all.back()->now);
    }
    for (int step = 0; step < 60; ++step)
        for (auto& t : all) {
            t->now += 50 * kMillisecond;
            if (step % 4 == 0) t->take(t->placer.add_service(1));
            const auto before = t->seen.size();
            t->placer.run_round(t->now);
            for (auto i = before; i < t->seen.size(); ++i)
                if (t->seen[i].what == 'b') sent.push_back(t->now);
        }
    REQUIRE(sent.size() >= static_cast<std::size_t>(std::min(borne / 2, placers / 2)));
    for (const Nanos from : sent) {
        int lately = 0;
        for (const Nanos at : sent) lately += at >= from && at - from < kSecond;
        REQUIRE(lately <= borne);
    }
}

TEST_CASE(
    "placers that start anew within a turn and have forgotten what they sent push no cold machine over") {
    const auto [placers, borne] = GENERATE(table<int, int>({{3, 13}, {16, 44}, {30, 44}, {30, 9}}));
    const int each = GENERATE(2, 3, 7);  // turns of one in so many to start anew
    std::vector<std::unique_ptr<Stand>> all;
    std::vector<Nanos> sent;
    Nanos now = 1000 * kSecond;
    const auto start = [&, placers = placers, borne = borne](int i) {
        SlowStartSettings cold{0.2, 16 * kSecond, 2, kSecond, static_cast<double>(borne), placers, i};
        auto t = std::make_unique<Stand>(std::vector{QueueGroup{}}, cold);
        t->now = now;
        t->machine(0, 0, 1000 * kSecond);
        t->placer.start(now);
        return t;
    };
    for (int i = 0; i < placers; ++i) all.push_back(start(i));
    for (int step = 1; step < 100; ++step) {
        now += 50 * kMillisecond;
        for (int i = 0; i < placers; ++i) {
            // Each in its turn, in the middle of a second, when most have sent their part.
            if (step % 20 == 10 && (i + step / 20) % each == 0) all[static_cast<std::size_t>(i)] = start(i);
            Stand& t = *all[static_cast<std::size_t>(i)];
            t.now = now;
            t.take(t.placer.add_service(1));
            const auto before = t.seen.size();
            t.placer.run_round(now);
            for (auto s = before; s < t.seen.size(); ++s)
                if (t.seen[s].what == 'b') sent.push_back(now);
        }
    }
    REQUIRE(sent.size() >= static_cast<std::size_t>(borne / 2));
    for (const Nanos from : sent) {
        int lately = 0;
        for (const Nanos at : sent) lately += at >= from && at - from < kSecond;
        REQUIRE(lately <= borne);
    }
}

TEST_CASE("beside much unknown load, one bad note does not put the only known neighbour past the bound") {
    Stand t;
    Worker& m = t.machine();
    Service &a = t.placer.add_service(1), &b = t.placer.add_service(2);
    Task& ca = t.bound(a);
    t.bound(b);
    t.entry(m, {0, 0, 0, -24, 32, EndpointPhase::serving, 0});  // forty cores asked, two of them known here
    ca.on_accepted(t.now, 0);
    ca.on_service_share(t.now, 0, 0.3);
    CHECK(a.neighbours.at(b.number).slowdown < 0.05);
}

TEST_CASE("a container that runs but whose yes was lost is not moved: its launch is still out") {
    const bool yes = GENERATE(true, false);
    QueueGroup g;
    g.start_value_s = 10;
    Stand t({g});
    Worker &bad = t.machine(), &clean = t.machine();
    Service& s = t.placer.add_service(1);
    t.entry(clean, {0, 0, 0, 16, 32, EndpointPhase::draining, 0});
    std::vector<Task*> held;
    for (int i = 0; i < 6; ++i) {
        held.push_back(&t.bound(s));
        if (yes) held.back()->on_accepted(t.now, 0);
        held.back()->on_running(t.now, 0);
    }
    REQUIRE(held[0]->worker == &bad);
    t.entry(clean, {0, 0, 0, 16, 32, EndpointPhase::serving, 0});
    held[0]->on_service_share(t.now, 0, 0.3);
    CHECK(t.count('m') == (yes ? 1 : 0));
}

TEST_CASE("a machine not heard of lately is looked at before a bind, and the choice made anew") {
    WorkerAcceptance a{2.5, 1.5, false, true, false, false};
    Stand t({QueueGroup{}}, Stand::usual_cold(), {}, 4, a);
    Worker &one = t.machine(), &two = t.machine();
    Task& c = t.bound(t.placer.add_service(1));
    REQUIRE(t.count('b') == 0);
    REQUIRE(t.count('p') == 1);
    Worker &looked = *t.seen.back().machine, &other = &looked == &one ? two : one;
    t.now += 20 * kMillisecond;
    LoadReport busy;
    busy.utilization = 1.2;
    busy.has_utilization = true;
    t.placer.on_load_report(t.now, looked, busy);
    t.placer.run_round(t.now);
    CHECK(t.seen.back().machine == &other);
    t.pass(kSecond);  // it never answers
    CHECK(c.worker == &looked);
    CHECK(t.count('p') == 2);
}

TEST_CASE("a machine heard of just now is bound to at once, and the number of looks is bounded") {
    QueueGroup g;
    g.start_value_s = 10;
    Stand t({g}, Stand::usual_cold(), {}, 4, {2.5, 1.5, false, true, false, false});
    for (int i = 0; i < 20; ++i) t.machine();
    Task& c = t.take(t.placer.add_service(1));
    t.pass(2 * kSecond);
    REQUIRE(c.worker);
    CHECK(t.count('p') == 3);
    c.on_accepted(t.now, 0);
    t.placer.on_load_report(t.now, *c.worker, {});
    Task& next = t.bound(*c.service);
    CHECK(next.worker == c.worker);
    CHECK(t.count('p') == 3);
}

namespace {
// Machines that say nothing of how they serve.
WorkerAcceptance quiet() {
    WorkerAcceptance a{2.5, 1.5};
    a.reports_pressure = false;
    return a;
}
}  // namespace

TEST_CASE("a probe's answer that reports nothing ends the wait of a container that looks") {
    WorkerAcceptance a{2.5, 1.5};
    a.health_checks = true;
    Stand t({QueueGroup{}}, Stand::usual_cold(), {}, 4, a);
    Worker& m = t.machine();
    Task& c = t.bound(t.placer.add_service(1));
    REQUIRE(t.count('p') == 1);
    REQUIRE_FALSE(c.worker);
    t.now += 5 * kMillisecond;
    t.placer.on_load_report(t.now, m, {});
    t.placer.run_round(t.now);
    CHECK(c.worker == &m);
}

TEST_CASE("an end without a note teaches that it was served in full only where such notes come") {
    const bool notes = GENERATE(true, false);
    WorkerAcceptance a = quiet();
    a.reports_pressure = notes;
    Stand t({QueueGroup{}}, Stand::usual_cold(), {}, 4, a);
    t.machine();
    Service &s = t.placer.add_service(1), &beside = t.placer.add_service(2);
    t.bound(beside);
    Task& c = t.bound(s);
    c.on_accepted(t.now, 0);
    c.on_running(t.now, 0);
    t.pass(kSecond);
    t.end(c, AttemptOutcome::completed, OutcomeReason::unspecified, true);
    const auto pair = s.neighbours.find(beside.number);
    CHECK((pair != s.neighbours.end()) == notes);
    if (notes) CHECK(pair->second.slowdown < 0.003);
}

TEST_CASE("a start far beyond the usual counts as the machine's slow-down where no notes come") {
    const bool notes = GENERATE(true, false);
    WorkerAcceptance a = quiet();
    a.reports_pressure = notes;
    Stand t({QueueGroup{}}, Stand::usual_cold(), {}, 4, a);
    Worker& m = t.machine();
    Service& s = t.placer.add_service(1);
    const auto start = [&](Nanos took) {
        Task& c = t.bound(s);
        c.on_accepted(t.now, 0);
        t.pass(took);
        c.on_running(t.now, 0);
    };
    for (int i = 0; i < 12; ++i) start(200 * kMillisecond);
    CHECK(m.outlier.residual_slowdown == 0);
    start(3 * kSecond);
    CHECK((m.outlier.residual_slowdown > 0.5) == !notes);
}

TEST_CASE("a lower priority leaves room for those that would push it out") {
    WorkerAcceptance a{2.5, 1.2};
    a.preempts = GENERATE(true, false);
    QueueGroup low, high;
    high.priority = 1;
    Stand t({low, high}, Stand::usual_cold(), {}, 4, a);
    Worker& m = t.machine();
    t.entry(m, {0, 0, 0, 16, 32 - 1.2 * 32 * 0.93, EndpointPhase::serving, 0});
    Task &l = t.bound(t.placer.add_service(1), 0), &h = t.bound(t.placer.add_service(2), 1);
    t.pass(200 * kMillisecond);
    CHECK(h.worker == &m);
    CHECK((l.worker == &m) == !a.preempts);
}

TEST_CASE("a mild queue group leaves the machines of a steep one to it") {
    QueueGroup mild, steep;
    mild.degradation_range = 1;
    steep.full_service_utilization = 0.8;
    steep.degradation_range = 0.15;
    steep.worker_kind = 1;
    Stand t({mild, steep}, Stand::usual_cold(), {}, 4, quiet());
    for (int i = 0; i < 6; ++i)
        t.entry(t.machine(), {0, 0, i % 2, i % 2 ? -4.8 : 0, 32, EndpointPhase::serving, 0});
    for (std::uint64_t mark = 1; mark <= 8; ++mark) {
        Task& c = t.bound(t.placer.add_service(mark));
        REQUIRE(c.worker);
        CHECK(c.worker->endpoint.kind == 0);
    }
}

TEST_CASE("all placers choose the same working set, whatever each has just placed") {
    Prices p;
    p.workers_in_use = 0.25;
    Stand a({QueueGroup{}}, Stand::usual_cold(), {}, 4, {2.5, 1.5}, p),
        b({QueueGroup{}}, Stand::usual_cold(), {}, 4, {2.5, 1.5}, p);
    for (Stand* t : {&a, &b})
        for (int i = 0; i < 10; ++i)
            t->entry(t->machine(), {0, 0, 0, 16.0 - i, 32, EndpointPhase::serving, 0});
    for (std::uint64_t mark = 1; mark < 40; ++mark) a.bound(a.placer.add_service(mark));
    a.pass(kSecond);
    a.bound(a.placer.add_service(50));
    b.pass(kSecond);
    b.bound(b.placer.add_service(50));
    int working = 0;
    for (std::size_t i = 0; i < 10; ++i) {
        CHECK(a.machines[i]->in_active_set == b.machines[i]->in_active_set);
        working += a.machines[i]->in_active_set;
    }
    CHECK((working > 0 && working < 10));
}

TEST_CASE("what is told after this placer stood still says nothing of how long a start took") {
    const bool still = GENERATE(true, false);
    Stand t({QueueGroup{}}, Stand::usual_cold(), {}, 4, quiet());
    Worker& m = t.machine();
    Service& s = t.placer.add_service(1);
    const auto start = [&](Nanos took, bool stands) {
        Task& c = t.bound(s);
        c.on_accepted(t.now, 0);
        if (stands) t.now += took;
        else t.pass(took);
        c.on_running(t.now, 0);
        t.placer.run_round(t.now);
    };
    for (int i = 0; i < 12; ++i) start(200 * kMillisecond, false);
    start(3 * kSecond, still);
    CHECK((m.outlier.residual_slowdown > 0.5) == !still);
}

TEST_CASE("what a draining machine sends away is not offered to it again, until it starts anew") {
    Stand t;
    Worker &drains = t.machine(), &other = t.machine();
    Service& s = t.placer.add_service(1);
    t.entry(other,
            {0, 0, 0, 0, 0, EndpointPhase::serving, 0});  // full: the first goes to the one that will drain
    Task& c = t.bound(s);
    REQUIRE(c.worker == &drains);
    c.on_accepted(t.now, 0);
    c.on_running(t.now, 0);
    t.entry(other, {0, 0, 0, 16, 32, EndpointPhase::serving, 0});
    t.end(c, AttemptOutcome::reset, OutcomeReason::drained, true);
    for (int i = 0; i < 6; ++i) {
        Task& again = t.take(s);
        t.pass(100 * kMillisecond);
        REQUIRE(again.worker == &other);
        again.on_accepted(t.now, 0);
    }
    t.entry(drains, {0, 0, 0, 16, 32, EndpointPhase::serving, t.now - 30 * kSecond});
    t.entry(other, {0, 0, 0, -1e9, -1e9, EndpointPhase::serving, 0});
    CHECK(t.bound(s).worker == &drains);
}

TEST_CASE("a container that errs at one machine after another speaks against itself, not against them") {
    Stand t;
    Worker &a = t.machine(), &b = t.machine();
    Service& s = t.placer.add_service(1);
    const auto failed = [&] {
        return a.outlier.failed_attempts[0].sum(t.now) + b.outlier.failed_attempts[0].sum(t.now);
    };
    Task& c = t.bound(s);
    t.end(c, AttemptOutcome::failed);
    CHECK(failed() == 1);
    t.pass(100 * kMillisecond);
    REQUIRE(c.worker);
    t.end(c, AttemptOutcome::failed);
    CHECK(failed() == 0);
    t.pass(100 * kMillisecond);
    REQUIRE(c.worker);
    t.end(c, AttemptOutcome::failed);
    CHECK(failed() == 0);
    t.pass(100 * kMillisecond);
    REQUIRE(c.worker);
    t.end(c, AttemptOutcome::timed_out);  // silence is the machine's
    CHECK(failed() == 1);
}
