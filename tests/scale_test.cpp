// Work that must not grow with the fleet, counted and never timed; the capacity page beside its raw points.
#include "scale.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <set>

#include "support/scheduler_rig.h"
#include "whinpost/hash_ring.h"

using namespace whinpost;

namespace {

struct Member {
    std::uint64_t mark;
    bool on_ring = false;
};
constexpr std::uint64_t kPointsOfOne = 8;
std::uint64_t point(const Member& m, std::uint64_t i) {
    return (m.mark * kPointsOfOne + i + 1) * 0x9e3779b97f4a7c15u;
}
const auto points_of = [](const Member& m, auto add) {
    for (std::uint64_t i = 0; i < kPointsOfOne; ++i) add(point(m, i));
};

std::string text_of(const std::filesystem::path& path) {
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

// A fleet of that many machines with room on all of them, or on none.
std::unique_ptr<Stand> fleet_of(int machines, bool room) {
    auto t = std::make_unique<Stand>();
    for (int i = 0; i < machines; ++i) {
        Worker& m = t->placer.add_worker(static_cast<std::uint64_t>(i));
        t->machines.push_back(&m);
        t->placer.update_endpoint(t->now, m, {0, 0, 0, room ? 16.0 : -24.0, 32, EndpointPhase::serving, 0});
    }
    t->placer.on_watch_event_done(t->now, true);
    return t;
}
std::size_t considered(const Stand& t) {
    std::uint64_t latest = 0;
    for (const Worker* m : t.machines) latest = std::max(latest, m->considered_in);
    return static_cast<std::size_t>(
        std::count_if(t.machines.begin(), t.machines.end(),
                      [latest](const Worker* m) { return m->considered_in == latest; }));
}

}  // namespace

TEST_CASE("the hash ring answers like one that is sorted anew after each change") {
    const auto seed = GENERATE(take(20, random(1u, 1u << 30)));
    std::ranlux24_base chance(seed);
    std::vector<Member> all(400);
    for (std::size_t i = 0; i < all.size(); ++i) all[i].mark = i;
    HashRing<Member> ring;
    for (int step = 0; step < 400; ++step) {
        const bool in = chance() % 2;
        std::vector<Member*> joined;
        for (unsigned n = chance() % (chance() % 10 ? 3 : 200); n > 0; --n) {
            Member& m = all[chance() % all.size()];
            if (!in) ring.erase(&m);
            else if (!m.on_ring && std::find(joined.begin(), joined.end(), &m) == joined.end())
                joined.push_back(&m);
        }
        ring.insert(joined, points_of);
        std::vector<std::pair<std::uint64_t, const Member*>> plain;
        for (const Member& m : all)
            for (std::uint64_t i = 0; m.on_ring && i < kPointsOfOne; ++i) plain.emplace_back(point(m, i), &m);
        std::sort(plain.begin(), plain.end());
        REQUIRE(ring.empty() == plain.empty());
        REQUIRE(ring.members() * kPointsOfOne == plain.size());
        for (int i = 0; i < 20 && !plain.empty(); ++i) {
            const std::uint64_t at = i ? chance() * 0x9e3779b97f4a7c15u : plain.back().first + 1;
            auto it = std::lower_bound(plain.begin(), plain.end(), at,
                                       [](const auto& p, std::uint64_t x) { return p.first < x; });
            if (it == plain.end()) it = plain.begin();
            REQUIRE(ring.at(at) == it->second);
        }
    }
}

TEST_CASE("members that leave for good are let go by the ring: 14,000 in and out, ten times over") {
    std::vector<Member> all(14'000);
    for (std::size_t i = 0; i < all.size(); ++i) all[i].mark = i;
    std::vector<Member*> members;
    for (Member& m : all) members.push_back(&m);
    HashRing<Member> ring;
    for (int round = 0; round < 10; ++round) {
        ring.insert(members, points_of);
        CHECK(ring.points() == all.size() * kPointsOfOne);
        for (Member* m : members) ring.erase(m);
        CHECK(ring.empty());
        CHECK(ring.points() <= 64 * kPointsOfOne);
    }
}

TEST_CASE("a decision considers no more machines at 14,000 than at 400") {
    const auto at = [](int machines) {
        const auto t = fleet_of(machines, true);
        t->bound(t->placer.add_service(1));
        REQUIRE(t->count('b') == 1);
        return considered(*t);
    };
    CHECK(at(14'000) <= at(400) + 8);
    CHECK(at(14'000) <= 64);
}

TEST_CASE("where no machine has room, a decision considers each once and all asks are answered in time") {
    const auto t = fleet_of(14'000, false);
    for (int i = 0; i < 5; ++i) t->take(t->placer.add_service(static_cast<std::uint64_t>(i)));
    t->pass(200 * kMillisecond, 50 * kMillisecond);
    CHECK(considered(*t) == 14'000);
    t->pass(4 * kSecond, 500 * kMillisecond);
    CHECK(t->count('d') == 5);
    CHECK(t->count('b') == 0);
}

TEST_CASE(
    "where no machine has room, waiting asks are not looked up anew in a large fleet; in a small one they "
    "are") {
    const auto looks_at = [](int machines) {
        const auto t = fleet_of(machines, false);
        for (std::uint64_t i = 0; i < 20; ++i) t->take(t->placer.add_service(i));
        t->pass(2 * kSecond, 20 * kMillisecond);
        return t->machines[0]->considered_in;  // the number of the latest look at the whole fleet
    };
    CHECK(looks_at(14'000) <= 80);
    CHECK(looks_at(400) > 500);
}

TEST_CASE(
    "the first room that comes free in a full large fleet is found by what waits, within a quarter second") {
    const auto t = fleet_of(3000, false);
    Task& c = t->take(t->placer.add_service(1));
    t->pass(kSecond);
    REQUIRE(t->count('b') == 0);
    t->entry(*t->machines[1234], {0, 0, 0, 16, 32, EndpointPhase::serving, 0});
    t->pass(300 * kMillisecond);
    CHECK(c.worker == t->machines[1234]);
}

TEST_CASE("a container that may go nowhere for reasons of its own closes no large fleet to others") {
    const auto t = fleet_of(3000, false);
    t->entry(*t->machines[7], {0, 0, 0, 16, 32, EndpointPhase::serving, 0});
    Task& refused = t->take(t->placer.add_service(1));
    t->pass(100 * kMillisecond);
    REQUIRE(refused.worker == t->machines[7]);
    t->end(refused, AttemptOutcome::rejected);  // by the only one that has room
    t->pass(60 * kMillisecond, 60 * kMillisecond);
    Task& other = t->take(t->placer.add_service(2));
    t->pass(120 * kMillisecond);
    CHECK(other.worker == t->machines[7]);
}

TEST_CASE("machines that come back, in one event or several, are chosen again; all gone leaves none") {
    auto t = fleet_of(40, true);
    const auto tell = [&t](EndpointPhase stage, std::size_t from, std::size_t to) {
        for (std::size_t i = from; i < to; ++i)
            t->placer.update_endpoint(t->now, *t->machines[i], {0, 0, 0, 16, 32, stage, 0});
        t->placer.on_watch_event_done(t->now, false);
    };
    tell(EndpointPhase::gone, 0, 40);
    t->bound(t->placer.add_service(1));
    CHECK(t->count('b') == 0);
    tell(EndpointPhase::serving, 7, 8);
    t->pass(200 * kMillisecond);
    REQUIRE(t->count('b') == 1);
    CHECK(t->seen.back().machine == t->machines[7]);
    tell(EndpointPhase::draining, 7, 8);
    tell(EndpointPhase::serving, 8, 9);
    t->bound(t->placer.add_service(2));
    REQUIRE(t->count('b') == 2);
    CHECK(t->seen.back().machine == t->machines[8]);
}

TEST_CASE("a fleet that is told machine by machine decides as one told at once, whatever came between") {
    const auto seed = GENERATE(take(10, random(1u, 1u << 30)));
    std::ranlux24_base chance(seed);
    const auto once = fleet_of(60, true), bit_by_bit = fleet_of(60, true);
    std::vector<EndpointPhase> stage(60, EndpointPhase::serving);
    for (int step = 0; step < 200; ++step) {
        const std::size_t i = chance() % 60;
        stage[i] = chance() % 2 ? EndpointPhase::serving : EndpointPhase::draining;
        bit_by_bit->entry(*bit_by_bit->machines[i], {0, 0, 0, 16, 32, stage[i], 0});
    }
    for (std::size_t i = 0; i < 60; ++i)
        once->placer.update_endpoint(once->now, *once->machines[i], {0, 0, 0, 16, 32, stage[i], 0});
    once->placer.on_watch_event_done(once->now, true);
    for (std::uint64_t mark = 0; mark < 30; ++mark) {
        const Worker* a = once->bound(once->placer.add_service(mark)).worker;
        const Worker* b = bit_by_bit->bound(bit_by_bit->placer.add_service(mark)).worker;
        REQUIRE(a);
        REQUIRE(b);
        CHECK(a->name_hash == b->name_hash);
    }
}

TEST_CASE("the tables of the capacity page are what its raw points give") {
    const std::filesystem::path docs = std::filesystem::path(WHINPOST_SOURCE) / "docs";
    const std::string page = text_of(docs / "CAPACITY.md");
    std::size_t files = 0;
    for (const auto& entry : std::filesystem::directory_iterator(docs / "capacity")) {
        INFO(entry.path());
        ++files;
        const std::string name = entry.path().filename().string();
        const std::string table = bench::table(bench::read_record(entry.path().string()));
        CHECK(page.find("`capacity/" + name + "`\n\n" + table) != std::string::npos);
    }
    CHECK(files >= 2);
}

TEST_CASE("sizes that can't be are refused before anything starts, raw points that can't be read are named") {
    bench::ScaleSizes s;
    CHECK(bench::check(s).empty());
    s.workers = 0;
    CHECK(bench::check(s).find("--workers") == 0);
    s.workers = 10'000'000;
    CHECK(bench::check(s).find("--workers: would pass half of the machine's memory") == 0);
    s = {};
    s.updates = -1;
    CHECK(bench::check(s).find("--updates") == 0);
    const auto path = std::filesystem::path(WHINPOST_BINARY) / "half.json";
    std::ofstream(path) << R"({"commit":"a","command":"b","machine":"c","points":[{"varied":"workers"}]})";
    CHECK_THROWS_WITH(bench::read_record(path.string()),
                      Catch::Contains("half.json") && Catch::Contains("sizes"));
    CHECK_THROWS_WITH(bench::read_record("/nowhere.json"), Catch::Contains("/nowhere.json"));
}
