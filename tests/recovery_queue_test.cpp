// Tests of the queue of running tasks that are handed over before their workers are known, among them a
// comparison with a simple model.
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

struct RecordingHandler : recovery::RecoveryHandler {
    void on_worker_known(Nanos, PendingRecovery& pending) override {
        ended[*static_cast<int*>(pending.tag)] = true;
    }
    void on_worker_gone(Nanos, PendingRecovery& pending) override {
        ended[*static_cast<int*>(pending.tag)] = false;
    }
    void on_snapshot_needed(Nanos) override { ++snapshots_requested; }
    void wake_at(Nanos at) override { wake_up_at = at; }
    std::map<int, bool> ended;  // by task: true if its worker became known, false if it is gone
    int snapshots_requested = 0;
    Nanos wake_up_at = 0;
};

}  // namespace

TEST_CASE("a task handed over before the first endpoint list is held until a list arrives") {
    RecordingHandler handler;
    RecoveryQueue queue(handler);
    int one = 1, two = 2;
    queue.add(kSecond, "a", &one);
    queue.add(kSecond, "b", &two);
    queue.run_timers(1000 * kSecond);
    CHECK(handler.ended.empty());
    CHECK(handler.snapshots_requested == 0);  // the first list arrives without a request
    queue.on_worker_listed(1000 * kSecond, "a");
    queue.on_update(1000 * kSecond, 999 * kSecond, true);
    CHECK(handler.ended == std::map<int, bool>{{1, true}, {2, false}});
    CHECK(queue.size() == 0);
}

TEST_CASE(
    "a snapshot older than the client's report does not end the wait for its worker, and a newer one is "
    "requested") {
    RecordingHandler handler;
    RecoveryQueue queue(handler);
    int one = 1;
    const Nanos t = 1000 * kSecond;
    queue.on_update(t, t, true);
    queue.add(t + kSecond, "a", &one);
    queue.run_timers(handler.wake_up_at);
    CHECK(handler.snapshots_requested == 1);
    queue.on_update(t + 2 * kSecond, t, true);                 // older than the report
    queue.on_update(t + 2 * kSecond, t + 2 * kSecond, false);  // not a snapshot
    CHECK(handler.ended.empty());
    queue.run_timers(handler.wake_up_at);
    CHECK(handler.snapshots_requested == 2);
    SECTION("a newer snapshot omits the worker") {
        queue.on_update(t + 3 * kSecond, t + 3 * kSecond, true);
        CHECK(handler.ended == std::map<int, bool>{{1, false}});
        queue.run_timers(handler.wake_up_at);
        CHECK(handler.snapshots_requested == 2);  // no task is held, so none is requested
    }
    SECTION("old snapshots count once the maximum wait has passed") {
        queue.on_update(t + 60 * kSecond, t, true);
        CHECK(handler.ended.empty());
        queue.on_update(t + 62 * kSecond, t, true);
        CHECK(handler.ended == std::map<int, bool>{{1, false}});
    }
    SECTION("a task is removed") {
        PendingRecovery& pending = queue.add(t + 3 * kSecond, "a", &one);
        queue.remove(pending);
        CHECK(queue.size() == 1);
    }
}

TEST_CASE("the recovery queue agrees with a simple model on generated sequences") {
    const unsigned seed = GENERATE(range(1u, 31u));
    std::ranlux24_base engine(seed);
    const auto roll = [&engine](int n) { return static_cast<int>(engine() % static_cast<unsigned>(n)); };
    struct ModelEntry {
        std::string worker;
        Nanos handed_over_at;
        PendingRecovery* pending;
    };
    RecordingHandler handler;
    RecoveryQueue queue(handler);
    std::map<int, ModelEntry> open;
    std::map<int, bool> ended;
    std::vector<int> ids(600);
    int next = 0;
    Nanos now = 1000 * kSecond;
    for (int step = 0; step < 600; ++step) {
        now += roll(4000) * kMillisecond;
        queue.run_timers(now);
        const std::string worker(1, static_cast<char>('a' + roll(6)));
        switch (roll(5)) {
            case 0:
            case 1:
                ids[static_cast<std::size_t>(next)] = next;
                open[next] = {worker, now, &queue.add(now, worker, &ids[static_cast<std::size_t>(next)])};
                ++next;
                break;
            case 2: {
                queue.on_worker_listed(now, worker);
                std::erase_if(open, [&](const auto& entry) {
                    if (entry.second.worker != worker) return false;
                    ended[entry.first] = true;
                    return true;
                });
                break;
            }
            case 3: {
                const Nanos as_of = now - roll(3) * roll(20) * kSecond;
                const bool is_snapshot = roll(3) > 0;
                queue.on_update(now, as_of, is_snapshot);
                if (is_snapshot)
                    std::erase_if(open, [&](const auto& entry) {
                        if (as_of <= entry.second.handed_over_at &&
                            now - entry.second.handed_over_at < 60 * kSecond)
                            return false;
                        ended[entry.first] = false;
                        return true;
                    });
                break;
            }
            case 4:
                if (open.empty()) break;
                queue.remove(*open.begin()->second.pending);
                open.erase(open.begin());
                break;
        }
        INFO("seed " << seed << " step " << step);
        REQUIRE(handler.ended == ended);
        REQUIRE(queue.size() == open.size());
    }
}
