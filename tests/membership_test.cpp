// Membership: what list, node and connection say, and what follows; beside a plain model that keeps all that
// was ever said and works everything out from the start.
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

struct Door : membership::MembershipHandler {
    void on_worker_changed(Nanos, WorkerEntry& m, bool careful) override {
        ++changes;
        careful_ones += careful;
        last = &m;
    }
    void on_drain_started(Nanos, WorkerEntry& m) override { draining.insert(m.name); }
    void on_drain_revoked(Nanos, WorkerEntry& m) override { draining.erase(m.name); }
    void on_snapshot_needed(Nanos) override { ++again; }
    void on_address_changed(Nanos, WorkerEntry&) override { ++anew; }
    void wake_at(Nanos) override {}
    int changes = 0, careful_ones = 0, again = 0, anew = 0;
    WorkerEntry* last = nullptr;
    std::set<std::string> draining;
};

LoadReport free_of(double cores) {
    LoadReport r;
    r.free_cores = cores;
    r.free_memory = 2 * cores;
    r.has_free_cores = r.has_free_memory = true;
    return r;
}

struct Stage1 {
    Stage1() : fleet(door, now, kGrace, true) {}
    EndpointState at(EndpointPhase s = EndpointPhase::serving, Nanos started = 0, double cores = 8) {
        return {0, 0, 0, cores, 2 * cores, s, started};
    }
    void list(const std::vector<std::pair<std::string, EndpointState>>& entries, bool whole = true,
              Nanos age = 0) {
        fleet.begin_update(now, age, whole);
        for (const auto& [name, l] : entries) fleet.on_endpoint(now, fleet.find_or_add(name), l, name + ":1");
        fleet.end_update(now);
    }
    void up(const std::string& name, std::uint64_t incarnation = 1, Nanos up_for = 0, bool drains = false) {
        fleet.on_greeting(now, fleet.find_or_add(name), incarnation, up_for, drains, {});
    }
    void pass(Nanos by) { fleet.run_timers(now += by); }
    WorkerState of(const std::string& name) { return fleet.find_or_add(name).state; }

    Nanos now = 1000 * kSecond;
    Door door;
    Membership fleet;
};

}  // namespace

TEST_CASE("a drain is believed from whoever says it, and taken back only by the one that said it") {
    Stage1 t;
    t.list({{"a", t.at()}});
    t.up("a");
    REQUIRE(t.of("a") == WorkerState::serving);
    t.fleet.on_drain_announced(t.now, t.fleet.find_or_add("a"));
    CHECK(t.of("a") == WorkerState::draining);
    CHECK(t.door.draining.contains("a"));
    // The list was made before it knew: it opens nothing.
    t.list({{"a", t.at()}}, false);
    CHECK(t.of("a") == WorkerState::draining);
    // A greeting of the same life that says nothing of a drain takes it back.
    t.up("a");
    CHECK(t.of("a") == WorkerState::serving);
    CHECK(t.door.draining.empty());
    t.list({{"a", t.at(EndpointPhase::draining)}}, false);
    t.up("a");
    CHECK(t.of("a") == WorkerState::draining);
    t.list({{"a", t.at()}}, false);
    CHECK(t.of("a") == WorkerState::serving);
}

TEST_CASE("what a node said of itself ends with its life, and it is young by its own word at once") {
    Stage1 t;
    t.list({{"a", t.at()}});
    t.up("a", 1);
    t.fleet.on_drain_announced(t.now, t.fleet.find_or_add("a"));
    t.pass(kSecond);
    t.fleet.on_disconnected(t.now, t.fleet.find_or_add("a"));
    t.up("a", 2, 300 * kMillisecond);
    CHECK(t.of("a") == WorkerState::serving);
    CHECK(t.fleet.find_or_add("a").effective_endpoint.started_at == t.now - 300 * kMillisecond);
    // The list comes with the same start, told by another clock: it is one start, not a third life.
    const Nanos before = t.fleet.find_or_add("a").effective_endpoint.started_at;
    t.list({{"a", t.at(EndpointPhase::serving, before + 200 * kMillisecond)}}, false);
    t.up("a", 2, t.now - before + 100 * kMillisecond);
    CHECK(t.fleet.find_or_add("a").effective_endpoint.started_at == before + 200 * kMillisecond);
    CHECK(t.fleet.statistics().restarts == 1);
}

TEST_CASE("a node that the list calls gone gets nothing, and is lost only when it can't be reached either") {
    Stage1 t;
    t.list({{"a", t.at()}, {"b", t.at()}});
    t.up("a");
    t.list({{"a", t.at(EndpointPhase::gone)}}, false);
    CHECK(t.of("a") == WorkerState::delisted);
    CHECK(t.fleet.find_or_add("a").effective_endpoint.phase == EndpointPhase::gone);
    CHECK(t.door.draining.contains("a"));
    t.fleet.on_disconnected(t.now, t.fleet.find_or_add("a"));
    CHECK(t.of("a") == WorkerState::gone);
    t.up("a");  // it is back: the list has the last word on new work
    CHECK(t.of("a") == WorkerState::delisted);
    t.list({{"b", t.at()}});  // a whole one that leaves it out
    CHECK(t.of("a") == WorkerState::delisted);
    t.list({{"a", t.at()}}, false);
    CHECK(t.of("a") == WorkerState::serving);
}

TEST_CASE(
    "a whole list that leaves out most of what answers is asked for again, and believed within the grace") {
    Stage1 t;
    std::vector<std::pair<std::string, EndpointState>> all;
    for (int i = 0; i < 9; ++i) all.emplace_back("n" + std::to_string(i), t.at());
    t.list(all);
    for (int i = 0; i < 9; ++i) t.up("n" + std::to_string(i));
    t.pass(kSecond);
    t.list({});
    CHECK(t.door.again == 1);
    CHECK(t.fleet.count(WorkerState::serving) == 9);
    SECTION("a better one comes") {
        t.pass(50 * kMillisecond);
        t.list(all);
        CHECK_FALSE(t.fleet.has_doubtful_snapshot());
        t.pass(kSecond);
        CHECK(t.fleet.count(WorkerState::serving) == 9);
        CHECK(t.fleet.statistics().confirmed_snapshots == 0);
    }
    SECTION("nothing better comes") {
        t.list({});
        t.pass(kGrace / 2 - kMillisecond);
        CHECK(t.fleet.count(WorkerState::serving) == 9);
        t.pass(2 * kMillisecond);
        CHECK(t.fleet.count(WorkerState::delisted) == 9);
        CHECK(t.door.draining.size() == 9);
        t.list(all, false);
        CHECK(t.fleet.count(WorkerState::serving) == 9);
    }
    SECTION("one that names some of them ends the doubt for these") {
        t.list({{"n0", t.at()}, {"n1", t.at(EndpointPhase::draining)}}, false);
        t.pass(kGrace);
        CHECK(t.of("n0") == WorkerState::serving);
        CHECK(t.of("n1") == WorkerState::draining);
        CHECK(t.of("n2") == WorkerState::delisted);
    }
}

TEST_CASE("a whole list that leaves out what does not answer, or a few, is believed at once") {
    Stage1 t;
    std::vector<std::pair<std::string, EndpointState>> all;
    for (int i = 0; i < 9; ++i) all.emplace_back("n" + std::to_string(i), t.at());
    t.list(all);
    SECTION("a few") {
        for (int i = 0; i < 9; ++i) t.up("n" + std::to_string(i));
        all.resize(5);
        t.list(all);
        CHECK(t.fleet.count(WorkerState::delisted) == 4);
    }
    SECTION("they were never reached") {
        all.resize(1);
        t.list(all);
        CHECK(t.fleet.count(WorkerState::gone) == 8);
    }
    CHECK(t.door.again == 0);
}

TEST_CASE("an older view says nothing of what a newer one has named or left out") {
    Stage1 t;
    t.list({{"a", t.at()}});
    t.pass(kSecond);
    t.list({{"a", t.at(EndpointPhase::draining)}, {"b", t.at()}}, false);
    t.list({{"a", t.at()}}, true, 3600 * kSecond);  // kept somewhere for an hour
    CHECK(t.of("a") == WorkerState::draining);
    CHECK(t.of("b") == WorkerState::serving);
    CHECK(t.fleet.statistics().stale_entries == 1);
}

TEST_CASE(
    "a list that is an hour old at the start: a node is given work once it greets, by its own amounts") {
    Stage1 t;
    t.list({{"a", t.at(EndpointPhase::serving, 0, 8)}, {"b", t.at()}}, true, 3600 * kSecond);
    CHECK(t.of("a") == WorkerState::unconfirmed);
    CHECK(t.fleet.find_or_add("a").effective_endpoint.phase == EndpointPhase::draining);
    t.fleet.on_greeting(t.now, t.fleet.find_or_add("a"), 1, 0, false, free_of(1.5));
    CHECK(t.of("a") == WorkerState::serving);
    CHECK(t.fleet.find_or_add("a").effective_endpoint.free_cores == 1.5);
    t.fleet.on_dial_failed(t.now, t.fleet.find_or_add("b"));
    CHECK(t.of("b") == WorkerState::unreachable);
    t.list({{"a", t.at(EndpointPhase::serving, 0, 4)}}, false);  // a fresh one stands for itself again
    CHECK(t.fleet.find_or_add("a").effective_endpoint.free_cores == 4);
}

TEST_CASE("amounts of a list that stands still are put right by reports, once a second at most") {
    Stage1 t;
    t.list({{"a", t.at(EndpointPhase::serving, 0, 8)}});
    t.up("a");
    t.pass(2 * kSecond);
    t.fleet.on_load_report(t.now, t.fleet.find_or_add("a"), free_of(2));
    CHECK(t.fleet.find_or_add("a").effective_endpoint.free_cores == 8);  // the list is not old
    t.pass(20 * kSecond);
    t.fleet.on_load_report(t.now, t.fleet.find_or_add("a"), free_of(2));
    CHECK(t.fleet.find_or_add("a").effective_endpoint.free_cores == 2);
    t.fleet.on_load_report(t.now, t.fleet.find_or_add("a"), free_of(1));
    CHECK(t.fleet.find_or_add("a").effective_endpoint.free_cores == 2);
    t.pass(kSecond);
    t.fleet.on_load_report(t.now, t.fleet.find_or_add("a"), free_of(1));
    CHECK(t.fleet.find_or_add("a").effective_endpoint.free_cores == 1);
}

TEST_CASE("what a former life reported says nothing of the present one") {
    Stage1 t;
    t.list({{"a", t.at(EndpointPhase::serving, 0, 8)}}, true, 60 * kSecond);
    t.fleet.on_greeting(t.now, t.fleet.find_or_add("a"), 1, 0, false, free_of(1));
    REQUIRE(t.fleet.find_or_add("a").effective_endpoint.free_cores == 1);
    t.fleet.on_disconnected(t.now, t.fleet.find_or_add("a"));
    t.up("a", 2);
    CHECK(t.fleet.find_or_add("a").effective_endpoint.free_cores == 8);
}

TEST_CASE("a node that can't be reached gets nothing new until it greets") {
    Stage1 t;
    t.list({{"a", t.at()}});
    CHECK(t.of("a") == WorkerState::serving);  // not tried yet: work waits for its connection
    t.up("a");
    t.fleet.on_disconnected(t.now, t.fleet.find_or_add("a"));
    CHECK(t.of("a") == WorkerState::unreachable);
    CHECK(t.door.careful_ones == 1);
    CHECK(t.door.draining.empty());  // nothing says that it drains
    t.up("a");
    CHECK(t.of("a") == WorkerState::serving);
}

TEST_CASE("a node that comes back again and again is held off, each time for longer") {
    Stage1 t;
    t.list({{"a", t.at()}});
    const auto again = [&](std::uint64_t life) {
        t.fleet.on_disconnected(t.now, t.fleet.find_or_add("a"));
        t.up("a", life, 100 * kMillisecond);
    };
    for (std::uint64_t life = 1; life <= 3; ++life) again(life);
    CHECK(t.of("a") == WorkerState::serving);  // two new lives
    again(4);
    CHECK(t.of("a") == WorkerState::flapping);
    t.pass(5 * kSecond + kMillisecond);
    CHECK(t.of("a") == WorkerState::serving);
    again(5);
    t.pass(6 * kSecond);
    CHECK(t.of("a") == WorkerState::flapping);
    t.pass(5 * kSecond);
    CHECK(t.of("a") == WorkerState::serving);
    t.pass(120 * kSecond);
    again(6);
    CHECK(t.of("a") == WorkerState::serving);
}

TEST_CASE(
    "a node named twice in one message: the more careful word stands, and the address where it greeted") {
    Stage1 t;
    t.list({{"a", t.at()}});
    t.up("a");
    EndpointState other = t.at(EndpointPhase::draining, 0, 1e6);
    t.fleet.begin_update(t.now, 0, false);
    t.fleet.on_endpoint(t.now, t.fleet.find_or_add("a"), t.at(), "a:1");
    t.fleet.on_endpoint(t.now, t.fleet.find_or_add("a"), other, "elsewhere:1");
    t.fleet.end_update(t.now);
    CHECK(t.of("a") == WorkerState::draining);
    CHECK(t.fleet.find_or_add("a").effective_endpoint.free_cores == 8);
    CHECK(t.fleet.find_or_add("a").address == "a:1");
    CHECK(t.fleet.statistics().contradictions == 1);
}

TEST_CASE("a later life at another address is dialled there; the same life moves with its next connection") {
    Stage1 t;
    t.list({{"a", t.at(EndpointPhase::serving, t.now - 100 * kSecond)}});
    t.up("a", 1, 100 * kSecond);
    t.fleet.begin_update(t.now, 0, false);
    t.fleet.on_endpoint(t.now, t.fleet.find_or_add("a"), t.at(EndpointPhase::serving, t.now - 100 * kSecond),
                        "a:2");
    t.fleet.end_update(t.now);
    CHECK(t.door.anew == 0);
    t.fleet.begin_update(t.now, 0, false);
    t.fleet.on_endpoint(t.now, t.fleet.find_or_add("a"), t.at(EndpointPhase::serving, t.now - kSecond),
                        "a:3");
    t.fleet.end_update(t.now);
    CHECK(t.door.anew == 1);
    CHECK(t.fleet.find_or_add("a").address == "a:3");
}

// ---------------------------------------------------------------- the plain model

namespace {

// Everything that was ever said of one node, in its order.
struct Said {
    enum What { named, left_out, doubted, greeted, drain, broke, dial } what;
    Nanos at, as_of = 0, age = 0;
    EndpointPhase stage = EndpointPhase::serving;
    std::uint64_t incarnation = 0;
    bool drains = false;
};

// Straight from the rules: reads the whole history each time.
WorkerState plainly(const std::vector<Said>& all, Nanos now) {
    const Said* list = nullptr;
    bool up = false, ever = false, failed = false, own_drain = false;
    std::uint64_t life = 0;
    std::vector<Nanos> lives;
    Nanos held_until = 0;
    for (const Said& s : all) {
        switch (s.what) {
            case Said::named:
                if (!list || s.as_of >= list->as_of) list = &s;
                break;
            case Said::left_out:
                list = &s;
                break;
            case Said::doubted:
                break;
            case Said::greeted:
                if (life && life != s.incarnation) {
                    lives.push_back(s.at);
                    int lately = 0;
                    for (const Nanos at : lives) lately += s.at / (5 * kSecond) - at / (5 * kSecond) < 12;
                    Nanos hold = 5 * kSecond;
                    for (int i = 3; i < lately && i < 13; ++i) hold *= 2;
                    if (lately >= 3) held_until = s.at + std::min(hold, 60 * kSecond);
                }
                life = s.incarnation;
                own_drain = s.drains;
                up = ever = true;
                failed = false;
                break;
            case Said::drain:
                own_drain = true;
                break;
            case Said::broke:
                up = false;
                break;
            case Said::dial:
                up = false;
                failed = true;
                break;
        }
    }
    if (!list) return WorkerState::unknown;
    if (list->what == Said::left_out || list->stage == EndpointPhase::gone)
        return up ? WorkerState::delisted : WorkerState::gone;
    if (list->stage == EndpointPhase::draining || own_drain) return WorkerState::draining;
    if (now < held_until) return WorkerState::flapping;
    if (!up && (ever || failed)) return WorkerState::unreachable;
    return !ever && list->age > 10 * kSecond ? WorkerState::unconfirmed : WorkerState::serving;
}

}  // namespace

TEST_CASE("fleet and plain model agree on generated histories") {
    const unsigned seed = GENERATE(range(1u, 41u));
    std::ranlux24_base chance(seed);
    const auto roll = [&chance](int n) { return static_cast<int>(chance() % static_cast<unsigned>(n)); };
    Stage1 t;
    const int nodes = 1 + roll(12);
    std::vector<std::vector<Said>> said(static_cast<std::size_t>(nodes));
    std::vector<std::uint64_t> lives(said.size(), 1);
    std::vector<bool> up(said.size(), false);
    std::set<std::size_t> doubted;
    Nanos doubt_until = 0;
    const auto name = [](std::size_t i) { return "n" + std::to_string(i); };
    for (std::size_t i = 0; i < said.size(); ++i) t.fleet.find_or_add(name(i));
    for (int step = 0; step < 400; ++step) {
        // Time passes, and with it a doubt.
        const Nanos by = roll(4) ? roll(900) * kMillisecond : roll(15) * kSecond;
        if (doubt_until && t.now + by >= doubt_until + Nanos{2} * kMillisecond) {
            t.pass(doubt_until + kMillisecond - t.now);
            for (const std::size_t i : doubted) said[i].push_back({Said::left_out, doubt_until, doubt_until});
            doubted.clear();
            doubt_until = 0;
        } else if (doubt_until) {
            // Not so near to its end that a millisecond of the wheel decides.
            if (t.now + by < doubt_until - 2 * kMillisecond) t.pass(by);
        } else {
            t.pass(by);
        }
        const auto i = static_cast<std::size_t>(roll(nodes));
        WorkerEntry& m = t.fleet.find_or_add(name(i));
        switch (roll(8)) {
            case 0:
            case 1: {  // some changes, or a view kept for a while
                const Nanos age = roll(3) ? 0 : roll(30) * kSecond;
                t.fleet.begin_update(t.now, age, false);
                for (int k = roll(4); k >= 0; --k) {
                    const auto j = static_cast<std::size_t>(roll(nodes));
                    if (!said[j].empty() && said[j].back().at == t.now && said[j].back().what == Said::named)
                        continue;
                    const auto stage = static_cast<EndpointPhase>(roll(6) < 4 ? 0 : 1 + roll(2));
                    t.fleet.on_endpoint(t.now, t.fleet.find_or_add(name(j)), t.at(stage), name(j) + ":1");
                    const WorkerState before = plainly(said[j], t.now);
                    said[j].push_back({Said::named, t.now, t.now - age, age, stage});
                    Nanos newest = 0;
                    for (const Said& s : said[j])
                        if (s.what == Said::named || s.what == Said::left_out)
                            newest = std::max(newest, s.as_of);
                    if (before == WorkerState::unknown || t.now - age >= newest) doubted.erase(j);
                }
                t.fleet.end_update(t.now);
                break;
            }
            case 2: {  // a whole list that names some
                std::vector<std::size_t> absent;
                std::size_t stood = 0, alive = 0;
                const int share = roll(5);
                t.fleet.begin_update(t.now, 0, true);
                std::vector<std::size_t> named;
                for (std::size_t j = 0; j < said.size(); ++j) {
                    const WorkerState s = plainly(said[j], t.now);
                    const bool there =
                        s != WorkerState::unknown && s != WorkerState::delisted && s != WorkerState::gone;
                    stood += there;
                    if (roll(4) < share) {
                        t.fleet.on_endpoint(t.now, t.fleet.find_or_add(name(j)), t.at(), name(j) + ":1");
                        named.push_back(j);
                    } else if (there) {
                        absent.push_back(j);
                        alive += up[j];
                    }
                }
                t.fleet.end_update(t.now);
                for (const std::size_t j : named) {
                    stood += said[j].empty() || plainly(said[j], t.now) == WorkerState::unknown ||
                             plainly(said[j], t.now) == WorkerState::delisted ||
                             plainly(said[j], t.now) == WorkerState::gone;
                    said[j].push_back({Said::named, t.now, t.now});
                    doubted.erase(j);
                }
                if (absent.size() >= 3 && 2 * alive > absent.size() && 2 * absent.size() > stood) {
                    doubted.insert(absent.begin(), absent.end());
                    if (!doubt_until) doubt_until = t.now + kGrace / 2;
                } else {
                    doubt_until = 0;
                    for (const std::size_t j : absent) {
                        said[j].push_back({Said::left_out, t.now, t.now});
                        doubted.erase(j);
                    }
                }
                break;
            }
            case 3:
            case 4:
                if (roll(5) == 0) ++lives[i];
                {
                    const bool drains = roll(6) == 0;
                    t.up(name(i), lives[i], roll(2) ? 0 : kSecond, drains);
                    said[i].push_back({Said::greeted, t.now, 0, 0, EndpointPhase::serving, lives[i], drains});
                    up[i] = true;
                }
                break;
            case 5:
                t.fleet.on_drain_announced(t.now, m);
                said[i].push_back({Said::drain, t.now});
                break;
            case 6:
                t.fleet.on_disconnected(t.now, m);
                said[i].push_back({Said::broke, t.now});
                up[i] = false;
                break;
            case 7:
                if (up[i]) break;
                t.fleet.on_dial_failed(t.now, m);
                said[i].push_back({Said::dial, t.now});
                break;
        }
        for (std::size_t j = 0; j < said.size(); ++j) {
            INFO("seed " << seed << " step " << step << " node " << j);
            REQUIRE(membership::to_string(t.fleet.find_or_add(name(j)).state) ==
                    membership::to_string(plainly(said[j], t.now)));
            const WorkerState s = t.fleet.find_or_add(name(j)).state;
            // What drains was told as draining, and nothing that takes work was.
            REQUIRE(t.door.draining.contains(name(j)) ==
                    (s == WorkerState::draining || s == WorkerState::delisted || s == WorkerState::gone));
        }
    }
}
