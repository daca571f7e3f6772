// Containers that run already, handed over before their node is known; beside a plain model of the same
// rules.
#include "recovery/recovery_queue.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <vector>

using namespace whinpost;
using recovery::PendingRecovery;
using recovery::RecoveryQueue;

namespace {

struct Door : recovery::RecoveryHandler {
    void on_worker_known(Nanos, PendingRecovery& h) override { ended[*static_cast<int*>(h.tag)] = true; }
    void on_worker_gone(Nanos, PendingRecovery& h) override { ended[*static_cast<int*>(h.tag)] = false; }
    void on_snapshot_needed(Nanos) override { ++asked; }
    void wake_at(Nanos at) override { next_run = at; }
    std::map<int, bool> ended;  // by container: found?
    int asked = 0;
    Nanos next_run = 0;
};

}  // namespace

TEST_CASE("what was handed over before any list waits for its node, however long the list takes") {
    Door door;
    RecoveryQueue r(door);
    int one = 1, two = 2;
    r.add(kSecond, "a", &one);
    r.add(kSecond, "b", &two);
    r.run_timers(1000 * kSecond);
    CHECK(door.ended.empty());
    CHECK(door.asked == 0);  // the first list comes of itself
    r.on_worker_listed(1000 * kSecond, "a");
    r.on_update(1000 * kSecond, 999 * kSecond, true);
    CHECK(door.ended == std::map<int, bool>{{1, true}, {2, false}});
    CHECK(r.size() == 0);
}

TEST_CASE(
    "a list that is older than the owner's word says nothing of its node, and a younger one is asked for") {
    Door door;
    RecoveryQueue r(door);
    int one = 1;
    const Nanos t = 1000 * kSecond;
    r.on_update(t, t, true);
    r.add(t + kSecond, "a", &one);
    r.run_timers(door.next_run);
    CHECK(door.asked == 1);
    r.on_update(t + 2 * kSecond, t, true);                 // an old view
    r.on_update(t + 2 * kSecond, t + 2 * kSecond, false);  // only changes
    CHECK(door.ended.empty());
    r.run_timers(door.next_run);
    CHECK(door.asked == 2);
    SECTION("a younger one without it") {
        r.on_update(t + 3 * kSecond, t + 3 * kSecond, true);
        CHECK(door.ended == std::map<int, bool>{{1, false}});
        r.run_timers(door.next_run);
        CHECK(door.asked == 2);  // nothing waits: nothing is asked
    }
    SECTION("always old ones are believed in the end") {
        r.on_update(t + 60 * kSecond, t, true);
        CHECK(door.ended.empty());
        r.on_update(t + 62 * kSecond, t, true);
        CHECK(door.ended == std::map<int, bool>{{1, false}});
    }
    SECTION("dropped by its owner") {
        PendingRecovery& h = r.add(t + 3 * kSecond, "a", &one);
        r.remove(h);
        CHECK(r.size() == 1);
    }
}

TEST_CASE("regain and plain model agree on generated sequences") {
    const unsigned seed = GENERATE(range(1u, 31u));
    std::ranlux24_base chance(seed);
    const auto roll = [&chance](int n) { return static_cast<int>(chance() % static_cast<unsigned>(n)); };
    struct Plain {
        std::string node;
        Nanos since;
        PendingRecovery* handle;
    };
    Door door;
    RecoveryQueue r(door);
    std::map<int, Plain> open;
    std::map<int, bool> ended;
    std::vector<int> ids(600);
    int next = 0;
    Nanos now = 1000 * kSecond;
    for (int step = 0; step < 600; ++step) {
        now += roll(4000) * kMillisecond;
        r.run_timers(now);
        const std::string node(1, static_cast<char>('a' + roll(6)));
        switch (roll(5)) {
            case 0:
            case 1:
                ids[static_cast<std::size_t>(next)] = next;
                open[next] = {node, now, &r.add(now, node, &ids[static_cast<std::size_t>(next)])};
                ++next;
                break;
            case 2: {
                r.on_worker_listed(now, node);
                std::erase_if(open, [&](const auto& o) {
                    if (o.second.node != node) return false;
                    ended[o.first] = true;
                    return true;
                });
                break;
            }
            case 3: {
                const Nanos as_of = now - roll(3) * roll(20) * kSecond;
                const bool whole = roll(3) > 0;
                r.on_update(now, as_of, whole);
                if (whole)
                    std::erase_if(open, [&](const auto& o) {
                        if (as_of <= o.second.since && now - o.second.since < 60 * kSecond) return false;
                        ended[o.first] = false;
                        return true;
                    });
                break;
            }
            case 4:
                if (open.empty()) break;
                r.remove(*open.begin()->second.handle);
                open.erase(open.begin());
                break;
        }
        INFO("seed " << seed << " step " << step);
        REQUIRE(door.ended == ended);
        REQUIRE(r.size() == open.size());
    }
}
