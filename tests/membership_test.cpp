// Tests of membership: the state that follows from the reports of the endpoint list, the worker and the
// connection, among them a comparison with a simple model that evaluates the whole history of reports.
#include "membership/membership.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace whinpost;
using membership::Membership;
using membership::WorkerEntry;
using membership::WorkerState;

namespace {

constexpr Nanos kGrace = 1 * kSecond;

struct RecordingHandler : membership::MembershipHandler {
    void on_worker_changed(Nanos, WorkerEntry& worker, bool is_urgent) override {
        ++changes;
        urgent_changes += is_urgent;
        last = &worker;
    }
    void on_drain_started(Nanos, WorkerEntry& worker) override { draining.insert(worker.name); }
    void on_drain_revoked(Nanos, WorkerEntry& worker) override { draining.erase(worker.name); }
    void on_snapshot_needed(Nanos) override { ++snapshots_needed; }
    void on_address_changed(Nanos, WorkerEntry&) override { ++address_changes; }
    void wake_at(Nanos) override {}
    int changes = 0, urgent_changes = 0, snapshots_needed = 0, address_changes = 0;
    WorkerEntry* last = nullptr;
    std::set<std::string> draining;
};

LoadReport free_of(double cores) {
    LoadReport report;
    report.free_cores = cores;
    report.free_memory = 2 * cores;
    report.has_free_cores = report.has_free_memory = true;
    return report;
}

struct TestMembership {
    TestMembership() : membership(handler, now, kGrace, true) {}
    EndpointState at(EndpointPhase phase = EndpointPhase::serving, Nanos started = 0, double cores = 8) {
        return {0, 0, 0, cores, 2 * cores, phase, started};
    }
    void publish(const std::vector<std::pair<std::string, EndpointState>>& entries, bool is_snapshot = true,
                 Nanos age = 0) {
        membership.begin_update(now, age, is_snapshot);
        for (const auto& [name, entry] : entries)
            membership.on_endpoint(now, membership.find_or_add(name), entry, name + ":1");
        membership.end_update(now);
    }
    void greet(const std::string& name, std::uint64_t incarnation = 1, Nanos uptime = 0,
               bool is_draining = false) {
        membership.on_greeting(now, membership.find_or_add(name), incarnation, uptime, is_draining, {});
    }
    void advance(Nanos by) { membership.run_timers(now += by); }
    WorkerState state_of(const std::string& name) { return membership.find_or_add(name).state; }

    Nanos now = 1000 * kSecond;
    RecordingHandler handler;
    Membership membership;
};

}  // namespace

TEST_CASE("a drain counts from whichever source reports it, and is revoked only by the same source") {
    TestMembership test;
    test.publish({{"a", test.at()}});
    test.greet("a");
    REQUIRE(test.state_of("a") == WorkerState::serving);
    test.membership.on_drain_announced(test.now, test.membership.find_or_add("a"));
    CHECK(test.state_of("a") == WorkerState::draining);
    CHECK(test.handler.draining.contains("a"));
    // A list that does not know of the drain does not revoke it.
    test.publish({{"a", test.at()}}, false);
    CHECK(test.state_of("a") == WorkerState::draining);
    // A greeting of the same incarnation that reports no drain revokes it.
    test.greet("a");
    CHECK(test.state_of("a") == WorkerState::serving);
    CHECK(test.handler.draining.empty());
    test.publish({{"a", test.at(EndpointPhase::draining)}}, false);
    test.greet("a");
    CHECK(test.state_of("a") == WorkerState::draining);
    test.publish({{"a", test.at()}}, false);
    CHECK(test.state_of("a") == WorkerState::serving);
}

TEST_CASE(
    "a worker's reports about itself expire with its incarnation, and its reported restart starts slow start "
    "at once") {
    TestMembership test;
    test.publish({{"a", test.at()}});
    test.greet("a", 1);
    test.membership.on_drain_announced(test.now, test.membership.find_or_add("a"));
    test.advance(kSecond);
    test.membership.on_disconnected(test.now, test.membership.find_or_add("a"));
    test.greet("a", 2, 300 * kMillisecond);
    CHECK(test.state_of("a") == WorkerState::serving);
    CHECK(test.membership.find_or_add("a").effective_endpoint.started_at == test.now - 300 * kMillisecond);
    // The list reports the same start from another clock. It must not count as another restart.
    const Nanos before = test.membership.find_or_add("a").effective_endpoint.started_at;
    test.publish({{"a", test.at(EndpointPhase::serving, before + 200 * kMillisecond)}}, false);
    test.greet("a", 2, test.now - before + 100 * kMillisecond);
    CHECK(test.membership.find_or_add("a").effective_endpoint.started_at == before + 200 * kMillisecond);
    CHECK(test.membership.statistics().restarts == 1);
}

TEST_CASE("a worker that the list reports as gone gets no tasks, and is lost only once it is unreachable") {
    TestMembership test;
    test.publish({{"a", test.at()}, {"b", test.at()}});
    test.greet("a");
    test.publish({{"a", test.at(EndpointPhase::gone)}}, false);
    CHECK(test.state_of("a") == WorkerState::delisted);
    CHECK(test.membership.find_or_add("a").effective_endpoint.phase == EndpointPhase::gone);
    CHECK(test.handler.draining.contains("a"));
    test.membership.on_disconnected(test.now, test.membership.find_or_add("a"));
    CHECK(test.state_of("a") == WorkerState::gone);
    test.greet("a");  // reconnected: it gets no new tasks until the list names it
    CHECK(test.state_of("a") == WorkerState::delisted);
    test.publish({{"b", test.at()}});  // a snapshot that omits it
    CHECK(test.state_of("a") == WorkerState::delisted);
    test.publish({{"a", test.at()}}, false);
    CHECK(test.state_of("a") == WorkerState::serving);
}

TEST_CASE(
    "a snapshot that omits most connected workers is doubted, and takes effect within the drain grace") {
    TestMembership test;
    std::vector<std::pair<std::string, EndpointState>> all;
    for (int i = 0; i < 9; ++i) all.emplace_back("n" + std::to_string(i), test.at());
    test.publish(all);
    for (int i = 0; i < 9; ++i) test.greet("n" + std::to_string(i));
    test.advance(kSecond);
    test.publish({});
    CHECK(test.handler.snapshots_needed == 1);
    CHECK(test.membership.count(WorkerState::serving) == 9);
    SECTION("a complete snapshot arrives") {
        test.advance(50 * kMillisecond);
        test.publish(all);
        CHECK_FALSE(test.membership.has_doubtful_snapshot());
        test.advance(kSecond);
        CHECK(test.membership.count(WorkerState::serving) == 9);
        CHECK(test.membership.statistics().confirmed_snapshots == 0);
    }
    SECTION("no better snapshot arrives within half of the drain grace") {
        test.publish({});
        test.advance(kGrace / 2 - kMillisecond);
        CHECK(test.membership.count(WorkerState::serving) == 9);
        test.advance(2 * kMillisecond);
        CHECK(test.membership.count(WorkerState::delisted) == 9);
        CHECK(test.handler.draining.size() == 9);
        test.publish(all, false);
        CHECK(test.membership.count(WorkerState::serving) == 9);
    }
    SECTION("an update that names some of them ends the doubt for these") {
        test.publish({{"n0", test.at()}, {"n1", test.at(EndpointPhase::draining)}}, false);
        test.advance(kGrace);
        CHECK(test.state_of("n0") == WorkerState::serving);
        CHECK(test.state_of("n1") == WorkerState::draining);
        CHECK(test.state_of("n2") == WorkerState::delisted);
    }
}

TEST_CASE("a snapshot that omits only few workers, or unconnected ones, takes effect at once") {
    TestMembership test;
    std::vector<std::pair<std::string, EndpointState>> all;
    for (int i = 0; i < 9; ++i) all.emplace_back("n" + std::to_string(i), test.at());
    test.publish(all);
    SECTION("fewer than half") {
        for (int i = 0; i < 9; ++i) test.greet("n" + std::to_string(i));
        all.resize(5);
        test.publish(all);
        CHECK(test.membership.count(WorkerState::delisted) == 4);
    }
    SECTION("they were never connected") {
        all.resize(1);
        test.publish(all);
        CHECK(test.membership.count(WorkerState::gone) == 8);
    }
    CHECK(test.handler.snapshots_needed == 0);
}

TEST_CASE("an older list does not change the entries and omissions of a newer one") {
    TestMembership test;
    test.publish({{"a", test.at()}});
    test.advance(kSecond);
    test.publish({{"a", test.at(EndpointPhase::draining)}, {"b", test.at()}}, false);
    test.publish({{"a", test.at()}}, true, 3600 * kSecond);  // cached for an hour
    CHECK(test.state_of("a") == WorkerState::draining);
    CHECK(test.state_of("b") == WorkerState::serving);
    CHECK(test.membership.statistics().stale_entries == 1);
}

TEST_CASE(
    "with an hour-old list at the start a worker gets tasks once it greets, and its load report counts") {
    TestMembership test;
    test.publish({{"a", test.at(EndpointPhase::serving, 0, 8)}, {"b", test.at()}}, true, 3600 * kSecond);
    CHECK(test.state_of("a") == WorkerState::unconfirmed);
    CHECK(test.membership.find_or_add("a").effective_endpoint.phase == EndpointPhase::draining);
    test.membership.on_greeting(test.now, test.membership.find_or_add("a"), 1, 0, false, free_of(1.5));
    CHECK(test.state_of("a") == WorkerState::serving);
    CHECK(test.membership.find_or_add("a").effective_endpoint.free_cores == 1.5);
    test.membership.on_dial_failed(test.now, test.membership.find_or_add("b"));
    CHECK(test.state_of("b") == WorkerState::unreachable);
    // The amounts of a fresh list count again.
    test.publish({{"a", test.at(EndpointPhase::serving, 0, 4)}}, false);
    CHECK(test.membership.find_or_add("a").effective_endpoint.free_cores == 4);
}

TEST_CASE("load reports correct the amounts of a stale list at most once a second") {
    TestMembership test;
    test.publish({{"a", test.at(EndpointPhase::serving, 0, 8)}});
    test.greet("a");
    test.advance(2 * kSecond);
    test.membership.on_load_report(test.now, test.membership.find_or_add("a"), free_of(2));
    CHECK(test.membership.find_or_add("a").effective_endpoint.free_cores == 8);  // the list is not stale
    test.advance(20 * kSecond);
    test.membership.on_load_report(test.now, test.membership.find_or_add("a"), free_of(2));
    CHECK(test.membership.find_or_add("a").effective_endpoint.free_cores == 2);
    test.membership.on_load_report(test.now, test.membership.find_or_add("a"), free_of(1));
    CHECK(test.membership.find_or_add("a").effective_endpoint.free_cores == 2);
    test.advance(kSecond);
    test.membership.on_load_report(test.now, test.membership.find_or_add("a"), free_of(1));
    CHECK(test.membership.find_or_add("a").effective_endpoint.free_cores == 1);
}

TEST_CASE("load reports of an earlier incarnation do not count for the current one") {
    TestMembership test;
    test.publish({{"a", test.at(EndpointPhase::serving, 0, 8)}}, true, 60 * kSecond);
    test.membership.on_greeting(test.now, test.membership.find_or_add("a"), 1, 0, false, free_of(1));
    REQUIRE(test.membership.find_or_add("a").effective_endpoint.free_cores == 1);
    test.membership.on_disconnected(test.now, test.membership.find_or_add("a"));
    test.greet("a", 2);
    CHECK(test.membership.find_or_add("a").effective_endpoint.free_cores == 8);
}

TEST_CASE("an unreachable worker gets no new tasks until it greets") {
    TestMembership test;
    test.publish({{"a", test.at()}});
    CHECK(test.state_of("a") == WorkerState::serving);  // not dialled yet: attempts wait for the connection
    test.greet("a");
    test.membership.on_disconnected(test.now, test.membership.find_or_add("a"));
    CHECK(test.state_of("a") == WorkerState::unreachable);
    CHECK(test.handler.urgent_changes == 1);
    CHECK(test.handler.draining.empty());  // no source reports a drain
    test.greet("a");
    CHECK(test.state_of("a") == WorkerState::serving);
}

TEST_CASE("a worker that restarts repeatedly gets no new tasks, for longer after each restart") {
    TestMembership test;
    test.publish({{"a", test.at()}});
    const auto reconnect = [&](std::uint64_t incarnation) {
        test.membership.on_disconnected(test.now, test.membership.find_or_add("a"));
        test.greet("a", incarnation, 100 * kMillisecond);
    };
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) reconnect(incarnation);
    CHECK(test.state_of("a") == WorkerState::serving);  // two restarts
    reconnect(4);
    CHECK(test.state_of("a") == WorkerState::flapping);
    test.advance(5 * kSecond + kMillisecond);
    CHECK(test.state_of("a") == WorkerState::serving);
    reconnect(5);
    test.advance(6 * kSecond);
    CHECK(test.state_of("a") == WorkerState::flapping);
    test.advance(5 * kSecond);
    CHECK(test.state_of("a") == WorkerState::serving);
    test.advance(120 * kSecond);
    reconnect(6);
    CHECK(test.state_of("a") == WorkerState::serving);
}

TEST_CASE(
    "of two entries for a worker in an update the conservative values and the connected address count") {
    TestMembership test;
    test.publish({{"a", test.at()}});
    test.greet("a");
    EndpointState other = test.at(EndpointPhase::draining, 0, 1e6);
    test.membership.begin_update(test.now, 0, false);
    test.membership.on_endpoint(test.now, test.membership.find_or_add("a"), test.at(), "a:1");
    test.membership.on_endpoint(test.now, test.membership.find_or_add("a"), other, "elsewhere:1");
    test.membership.end_update(test.now);
    CHECK(test.state_of("a") == WorkerState::draining);
    CHECK(test.membership.find_or_add("a").effective_endpoint.free_cores == 8);
    CHECK(test.membership.find_or_add("a").address == "a:1");
    CHECK(test.membership.statistics().contradictions == 1);
}

TEST_CASE(
    "a later incarnation at another address causes a reconnect; a new address of the same one does not") {
    TestMembership test;
    test.publish({{"a", test.at(EndpointPhase::serving, test.now - 100 * kSecond)}});
    test.greet("a", 1, 100 * kSecond);
    test.membership.begin_update(test.now, 0, false);
    test.membership.on_endpoint(test.now, test.membership.find_or_add("a"),
                                test.at(EndpointPhase::serving, test.now - 100 * kSecond), "a:2");
    test.membership.end_update(test.now);
    CHECK(test.handler.address_changes == 0);
    test.membership.begin_update(test.now, 0, false);
    test.membership.on_endpoint(test.now, test.membership.find_or_add("a"),
                                test.at(EndpointPhase::serving, test.now - kSecond), "a:3");
    test.membership.end_update(test.now);
    CHECK(test.handler.address_changes == 1);
    CHECK(test.membership.find_or_add("a").address == "a:3");
}

// ---------------------------------------------------------------- the model

namespace {

// One report about a worker. The model keeps the whole history of them.
struct Report {
    enum Kind { named, omitted, doubted, greeted, drain_announced, disconnected, dial_failed } kind;
    Nanos at, as_of = 0, age = 0;
    EndpointPhase phase = EndpointPhase::serving;
    std::uint64_t incarnation = 0;
    bool is_draining = false;
};

// Evaluates the state from the whole history by the rules.
WorkerState evaluate_state(const std::vector<Report>& history, Nanos now) {
    const Report* list = nullptr;
    bool up = false, was_ever_up = false, failed = false, reported_drain = false;
    std::uint64_t incarnation = 0;
    std::vector<Nanos> restarts;
    Nanos hold_until = 0;
    for (const Report& report : history) {
        switch (report.kind) {
            case Report::named:
                if (!list || report.as_of >= list->as_of) list = &report;
                break;
            case Report::omitted:
                list = &report;
                break;
            case Report::doubted:
                break;
            case Report::greeted:
                if (incarnation && incarnation != report.incarnation) {
                    restarts.push_back(report.at);
                    int recent_restarts = 0;
                    for (const Nanos at : restarts)
                        recent_restarts += report.at / (5 * kSecond) - at / (5 * kSecond) < 12;
                    Nanos hold = 5 * kSecond;
                    for (int i = 3; i < recent_restarts && i < 13; ++i) hold *= 2;
                    if (recent_restarts >= 3) hold_until = report.at + std::min(hold, 60 * kSecond);
                }
                incarnation = report.incarnation;
                reported_drain = report.is_draining;
                up = was_ever_up = true;
                failed = false;
                break;
            case Report::drain_announced:
                reported_drain = true;
                break;
            case Report::disconnected:
                up = false;
                break;
            case Report::dial_failed:
                up = false;
                failed = true;
                break;
        }
    }
    if (!list) return WorkerState::unknown;
    if (list->kind == Report::omitted || list->phase == EndpointPhase::gone)
        return up ? WorkerState::delisted : WorkerState::gone;
    if (list->phase == EndpointPhase::draining || reported_drain) return WorkerState::draining;
    if (now < hold_until) return WorkerState::flapping;
    if (!up && (was_ever_up || failed)) return WorkerState::unreachable;
    return !was_ever_up && list->age > 10 * kSecond ? WorkerState::unconfirmed : WorkerState::serving;
}

}  // namespace

TEST_CASE("membership agrees with a simple model on generated histories") {
    const unsigned seed = GENERATE(range(1u, 41u));
    std::ranlux24_base engine(seed);
    const auto roll = [&engine](int n) { return static_cast<int>(engine() % static_cast<unsigned>(n)); };
    TestMembership test;
    const int worker_count = 1 + roll(12);
    std::vector<std::vector<Report>> histories(static_cast<std::size_t>(worker_count));
    std::vector<std::uint64_t> incarnations(histories.size(), 1);
    std::vector<bool> up(histories.size(), false);
    std::set<std::size_t> doubted;
    Nanos doubt_until = 0;
    const auto name = [](std::size_t i) { return "n" + std::to_string(i); };
    for (std::size_t i = 0; i < histories.size(); ++i) test.membership.find_or_add(name(i));
    for (int step = 0; step < 400; ++step) {
        // Advances the time; a doubt may time out.
        const Nanos by = roll(4) ? roll(900) * kMillisecond : roll(15) * kSecond;
        if (doubt_until && test.now + by >= doubt_until + Nanos{2} * kMillisecond) {
            test.advance(doubt_until + kMillisecond - test.now);
            for (const std::size_t i : doubted)
                histories[i].push_back({Report::omitted, doubt_until, doubt_until});
            doubted.clear();
            doubt_until = 0;
        } else if (doubt_until) {
            // Stay clear of the timeout by more than the resolution of the timer wheel, 1 ms.
            if (test.now + by < doubt_until - 2 * kMillisecond) test.advance(by);
        } else {
            test.advance(by);
        }
        const auto i = static_cast<std::size_t>(roll(worker_count));
        WorkerEntry& worker = test.membership.find_or_add(name(i));
        switch (roll(8)) {
            case 0:
            case 1: {  // an update with some entries, possibly old
                const Nanos age = roll(3) ? 0 : roll(30) * kSecond;
                test.membership.begin_update(test.now, age, false);
                for (int k = roll(4); k >= 0; --k) {
                    const auto j = static_cast<std::size_t>(roll(worker_count));
                    if (!histories[j].empty() && histories[j].back().at == test.now &&
                        histories[j].back().kind == Report::named)
                        continue;
                    const auto phase = static_cast<EndpointPhase>(roll(6) < 4 ? 0 : 1 + roll(2));
                    test.membership.on_endpoint(test.now, test.membership.find_or_add(name(j)),
                                                test.at(phase), name(j) + ":1");
                    const WorkerState before = evaluate_state(histories[j], test.now);
                    histories[j].push_back({Report::named, test.now, test.now - age, age, phase});
                    Nanos newest = 0;
                    for (const Report& report : histories[j])
                        if (report.kind == Report::named || report.kind == Report::omitted)
                            newest = std::max(newest, report.as_of);
                    if (before == WorkerState::unknown || test.now - age >= newest) doubted.erase(j);
                }
                test.membership.end_update(test.now);
                break;
            }
            case 2: {  // a snapshot with some of the workers
                std::vector<std::size_t> omitted_workers;
                std::size_t known = 0, omitted_and_connected = 0;
                const int share = roll(5);
                test.membership.begin_update(test.now, 0, true);
                std::vector<std::size_t> named;
                for (std::size_t j = 0; j < histories.size(); ++j) {
                    const WorkerState state = evaluate_state(histories[j], test.now);
                    const bool is_known = state != WorkerState::unknown && state != WorkerState::delisted &&
                                          state != WorkerState::gone;
                    known += is_known;
                    if (roll(4) < share) {
                        test.membership.on_endpoint(test.now, test.membership.find_or_add(name(j)), test.at(),
                                                    name(j) + ":1");
                        named.push_back(j);
                    } else if (is_known) {
                        omitted_workers.push_back(j);
                        omitted_and_connected += up[j];
                    }
                }
                test.membership.end_update(test.now);
                for (const std::size_t j : named) {
                    known += histories[j].empty() ||
                             evaluate_state(histories[j], test.now) == WorkerState::unknown ||
                             evaluate_state(histories[j], test.now) == WorkerState::delisted ||
                             evaluate_state(histories[j], test.now) == WorkerState::gone;
                    histories[j].push_back({Report::named, test.now, test.now});
                    doubted.erase(j);
                }
                if (omitted_workers.size() >= 3 && 2 * omitted_and_connected > omitted_workers.size() &&
                    2 * omitted_workers.size() > known) {
                    doubted.insert(omitted_workers.begin(), omitted_workers.end());
                    if (!doubt_until) doubt_until = test.now + kGrace / 2;
                } else {
                    doubt_until = 0;
                    for (const std::size_t j : omitted_workers) {
                        histories[j].push_back({Report::omitted, test.now, test.now});
                        doubted.erase(j);
                    }
                }
                break;
            }
            case 3:
            case 4:
                if (roll(5) == 0) ++incarnations[i];
                {
                    const bool is_draining = roll(6) == 0;
                    test.greet(name(i), incarnations[i], roll(2) ? 0 : kSecond, is_draining);
                    histories[i].push_back({Report::greeted, test.now, 0, 0, EndpointPhase::serving,
                                            incarnations[i], is_draining});
                    up[i] = true;
                }
                break;
            case 5:
                test.membership.on_drain_announced(test.now, worker);
                histories[i].push_back({Report::drain_announced, test.now});
                break;
            case 6:
                test.membership.on_disconnected(test.now, worker);
                histories[i].push_back({Report::disconnected, test.now});
                up[i] = false;
                break;
            case 7:
                if (up[i]) break;
                test.membership.on_dial_failed(test.now, worker);
                histories[i].push_back({Report::dial_failed, test.now});
                break;
        }
        for (std::size_t j = 0; j < histories.size(); ++j) {
            INFO("seed " << seed << " step " << step << " worker " << j);
            REQUIRE(membership::to_string(test.membership.find_or_add(name(j)).state) ==
                    membership::to_string(evaluate_state(histories[j], test.now)));
            const WorkerState state = test.membership.find_or_add(name(j)).state;
            // on_drain_started() was called for exactly the workers that are draining or gone.
            REQUIRE(test.handler.draining.contains(name(j)) ==
                    (state == WorkerState::draining || state == WorkerState::delisted ||
                     state == WorkerState::gone));
        }
    }
}
