// Tests of the ledger, among them a comparison with a simple model of the placement rules on generated
// sequences of events.
#include "ledger/ledger.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "whinpost/stable_hash.h"

using namespace whinpost;
using ledger::Answer;
using ledger::Refusal;

namespace {

// The model stores the history of each task and evaluates every rule from it on each call.
struct ModelAttempt {
    ledger::WorkerRecord* node;
    Nanos sent;
    bool ended = false, yes = false, proven = false;
};
struct ModelTask {
    const QueueGroup* group;
    std::uint64_t service;
    Nanos until;
    std::vector<ModelAttempt> attempts;
    char answer = 0;  // 0: none, p: placed, d: rejected, k: failed, w: cancelled
    bool is_over() const {
        for (const ModelAttempt& l : attempts)
            if (!l.ended) return false;
        return answer != 0;
    }
};

struct LedgerModel {
    std::map<std::uint64_t, ModelTask> all;
    std::map<const ledger::WorkerRecord*, std::vector<Nanos>> young;
    SlowStartSettings cold;
    int most;

    static bool same(const ledger::WorkerRecord& a, const ledger::WorkerRecord& b, FailureDomain p) {
        if (p == FailureDomain::all) return true;
        if (p == FailureDomain::zone) return a.endpoint.zone == b.endpoint.zone;
        if (p == FailureDomain::cell) return a.endpoint.cell == b.endpoint.cell;
        return p == FailureDomain::worker && &a == &b;
    }
    // Deals half of the guaranteed attempts one by one: the k-th goes to the placer whose rank it falls on.
    int tokens(const ledger::WorkerRecord& n, Nanos now, Nanos turn) const {
        if (now - turn * cold.window < std::min(50 * kMillisecond, cold.window / 8)) return 0;
        const int half = static_cast<int>(cold.guaranteed_attempts / 2);
        const auto offset = static_cast<Nanos>(stable_hash(n.name) % 1'000'003);
        const Nanos mine = (cold.placer_index + turn + offset) % cold.placers;
        int out = 0;
        for (int k = 1; k <= half; ++k) out += (k * cold.placers + half - 1) / half - 1 == mine;
        return out;
    }
    bool may_start(Nanos now, const ModelTask& c, const ledger::WorkerRecord& n, bool listed,
                   bool drains) const {
        if (c.answer || now >= c.until || static_cast<int>(c.attempts.size()) >= most) return false;
        if (!listed || drains) return false;
        if (c.group->worker_kind >= 0 && c.group->worker_kind != n.endpoint.kind) return false;
        for (const ModelAttempt& l : c.attempts)
            if (!l.ended) return false;
        for (const ModelAttempt& l : c.attempts) {
            if (l.proven) continue;
            if (c.group->effect == Effect::side_effecting) return false;
            if (c.group->effect == Effect::keyed && (!same(*l.node, n, c.group->deduplicated_by) ||
                                                     now - l.sent >= c.group->deduplication_window))
                return false;
            break;  // the first attempt that may have run determines domain and window
        }
        if (c.group->spread_domain != FailureDomain::none) {
            int there = 0;
            for (const auto& [number, other] : all)
                for (const ModelAttempt& l : other.attempts)
                    there += !l.ended && other.service == c.service &&
                             other.group->spread_domain != FailureDomain::none &&
                             same(*l.node, n, c.group->spread_domain);
            if (there >= c.group->max_per_domain) return false;
        }
        if (n.endpoint.started_at > 0 && now - n.endpoint.started_at < cold.warm_up_time) {
            const Nanos turn = now / cold.window;
            int in_turn = 0;
            if (const auto it = young.find(&n); it != young.end())
                for (const Nanos at : it->second) in_turn += at / cold.window == turn;
            if (in_turn >= tokens(n, now, turn)) return false;
        }
        return true;
    }
    static bool may_defer(const ModelTask& c) {
        for (const ModelAttempt& l : c.attempts) {
            if (c.group->effect == Effect::idempotent) break;
            if (!l.ended) return false;
            if (!l.proven &&
                !(c.group->effect == Effect::keyed && c.group->deduplicated_by == FailureDomain::all))
                return false;
        }
        return true;
    }
};

QueueGroup group(Effect e) {
    QueueGroup g;
    g.effect = e;
    g.deduplication_window = 3 * kSecond;
    return g;
}
EndpointState serving(int zone = 0, int cell = 0) {
    return {zone, cell, 0, 8, 16, EndpointPhase::serving, 0};
}
ResourceRequest asking(int group = 0, Nanos left = 5 * kSecond) {
    ResourceRequest a;
    a.cores = a.memory = 1;
    a.queue_group = group;
    a.time_left = left;
    return a;
}

}  // namespace

TEST_CASE("on generated sequences the ledger allows the same attempts and answers as a simple model") {
    const auto seed = GENERATE(take(80, random(1u, 1u << 30)));
    std::ranlux24_base chance(seed);
    const auto roll = [&chance](int n) { return static_cast<int>(chance() % static_cast<unsigned>(n)); };
    std::vector<QueueGroup> groups;
    for (const Effect e : {Effect::idempotent, Effect::keyed, Effect::side_effecting}) {
        QueueGroup g = group(e);
        const FailureDomain scopes[] = {FailureDomain::all, FailureDomain::zone, FailureDomain::cell,
                                        FailureDomain::worker};
        const FailureDomain spreads[] = {FailureDomain::none, FailureDomain::worker, FailureDomain::cell,
                                         FailureDomain::zone};
        g.deduplicated_by = scopes[roll(4)];
        g.deduplication_window = (1 + roll(4)) * kSecond;
        g.spread_domain = spreads[roll(4)];
        g.max_per_domain = 1 + roll(4);
        g.worker_kind = roll(6) ? -1 : 0;
        groups.push_back(g);
    }
    SlowStartSettings cold{0.2, 8 * kSecond, 2, kSecond, static_cast<double>(roll(20)), 1 + roll(4), 0};
    LedgerModel plain;
    plain.cold = cold;
    plain.most = 1 + roll(4);
    ledger::Ledger led(groups, {plain.most, true}, cold);
    std::vector<ledger::WorkerRecord*> nodes;
    std::map<ledger::WorkerRecord*, bool> said, listed_draining, listed;
    Nanos now = 1000 * kSecond;
    for (int i = 0; i < 6; ++i) {
        ledger::WorkerRecord& n = led.add_worker("n" + std::to_string(i));
        EndpointState l = serving(i / 4, i / 2);
        l.kind = i % 2;
        l.started_at = roll(2) ? 0 : now - roll(10) * kSecond;
        led.on_endpoint(now, n, l);
        listed[&n] = true;
        nodes.push_back(&n);
    }
    std::vector<std::uint64_t> open;
    for (int step = 0; step < 1500; ++step) {
        now += roll(30) ? roll(60) * kMillisecond : roll(4) * kSecond;
        const int what = roll(12);
        if (what < 3) {
            const int g = roll(3);
            ledger::TaskRecord& r = led.create_task(now, "c", static_cast<std::uint64_t>(g * 10 + roll(2)),
                                                    asking(g, (1 + roll(5)) * kSecond));
            plain.all[r.number] = {&groups[static_cast<std::size_t>(g)], r.service, r.deadline, {}, 0};
            open.push_back(r.number);
            continue;
        }
        if (what == 3) {  // an endpoint list entry, a drain announcement, or a restart
            ledger::WorkerRecord& n = *nodes[static_cast<std::size_t>(roll(6))];
            const int how = roll(5);
            if (how == 0) {
                led.on_drain_announced(now, n, true);
                said[&n] = true;
            } else if (how == 1) {
                led.on_removed(now, n);
                listed[&n] = false;
                listed_draining[&n] = true;
            } else {
                EndpointState l = n.endpoint;
                l.phase = roll(3) ? EndpointPhase::serving : EndpointPhase::draining;
                if (roll(3) == 0) l.started_at = now;
                if (listed[&n] && l.started_at > n.endpoint.started_at) {
                    said[&n] = false;
                    plain.young[&n].clear();
                }
                led.on_endpoint(now, n, l);
                listed[&n] = true;
                listed_draining[&n] = l.phase != EndpointPhase::serving;
            }
            continue;
        }
        if (open.empty()) continue;
        const std::uint64_t number = open[static_cast<std::size_t>(roll(static_cast<int>(open.size())))];
        ledger::TaskRecord& r = *led.find_task(number);
        ModelTask& c = plain.all[number];
        if (what < 8) {
            ledger::WorkerRecord& n = *nodes[static_cast<std::size_t>(roll(6))];
            const bool allowed = plain.may_start(now, c, n, listed[&n], said[&n] || listed_draining[&n]);
            INFO(ledger::to_string(led.check_attempt(now, r, n)));
            REQUIRE((led.check_attempt(now, r, n) == Refusal::none) == allowed);
            ledger::Attempt* l = led.start_attempt(now, r, n, roll(3000) * kMillisecond).value_or(nullptr);
            REQUIRE((l != nullptr) == allowed);
            if (!l) continue;
            REQUIRE(l->deadline <= r.deadline);
            c.attempts.push_back({&n, now});
            if (n.endpoint.started_at > 0 && now - n.endpoint.started_at < cold.warm_up_time)
                plain.young[&n].push_back(now);
        } else if (what < 11 && !r.attempts.empty()) {
            // Any event may arrive for any attempt, also late, twice or out of order.
            const auto i = static_cast<std::size_t>(roll(static_cast<int>(r.attempts.size())));
            ledger::Attempt& l = r.attempts[i];
            ModelAttempt& p = c.attempts[i];
            if (roll(3) == 0) {
                const bool counts = !p.ended && !p.yes && !c.answer;
                REQUIRE(led.on_accepted(now, l) == counts);
                if (counts) {
                    p.yes = true;
                    c.answer = 'p';
                }
            } else {
                const auto how = static_cast<AttemptOutcome>(roll(9));
                REQUIRE(led.on_ended(now, l, how) == !p.ended);
                if (!p.ended) {
                    p.ended = true;
                    p.proven =
                        !p.yes && (how == AttemptOutcome::rejected || how == AttemptOutcome::connect_failed ||
                                   how == AttemptOutcome::not_sent);
                }
            }
        } else {
            const Answer a = roll(3) == 0 ? Answer::cancelled : roll(2) ? Answer::rejected : Answer::failed;
            const bool allowed = !c.answer && (a != Answer::rejected || LedgerModel::may_defer(c));
            REQUIRE(led.may_reject(r) == LedgerModel::may_defer(c));
            REQUIRE(led.record_answer(now, r, a) == allowed);
            if (allowed) c.answer = a == Answer::cancelled ? 'w' : a == Answer::rejected ? 'd' : 'k';
        }
        REQUIRE(r.closed == c.is_over());
        if (r.closed && roll(2)) {
            led.erase_task(r);
            plain.all.erase(number);
            std::erase(open, number);
        }
    }
}

TEST_CASE(
    "an acceptance counts only once, and not after the final answer, after the attempt's end, or from an "
    "earlier attempt") {
    ledger::Ledger led({group(Effect::idempotent)}, {4, true}, {});
    ledger::WorkerRecord& n = led.add_worker("n");
    led.on_endpoint(0, n, serving());
    ledger::TaskRecord& r = led.create_task(0, "c", 1, asking());
    ledger::Attempt* first = led.start_attempt(0, r, n, kSecond).value_or(nullptr);
    led.on_ended(kSecond, *first, AttemptOutcome::timed_out);
    ledger::Attempt* second = led.start_attempt(kSecond, r, n, kSecond).value_or(nullptr);
    CHECK_FALSE(led.on_accepted(kSecond, *first));
    CHECK(led.statistics().late_accepts == 1);
    CHECK(led.on_accepted(kSecond, *second));
    CHECK_FALSE(led.on_accepted(kSecond, *second));
    CHECK(led.statistics().accepted == 1);

    ledger::TaskRecord& late = led.create_task(0, "d", 1, asking());
    ledger::Attempt* l = led.start_attempt(0, late, n, kSecond).value_or(nullptr);
    REQUIRE(led.record_answer(0, late, Answer::failed));
    CHECK_FALSE(led.on_accepted(kSecond, *l));
    CHECK_FALSE(late.closed);
    CHECK(led.on_ended(kSecond, *l, AttemptOutcome::completed));
    CHECK(late.closed);
}

TEST_CASE(
    "a drain that the worker announced is not revoked by a list entry in phase serving, but by a restart") {
    ledger::Ledger led({group(Effect::idempotent)}, {4, true}, {});
    ledger::WorkerRecord& n = led.add_worker("n");
    led.on_endpoint(0, n, serving());
    ledger::TaskRecord& r = led.create_task(0, "c", 1, asking());
    led.on_drain_announced(1, n, true);
    led.on_endpoint(2, n, serving());
    CHECK(led.check_attempt(2, r, n) == Refusal::draining);
    CHECK(n.drain_known_at == 1);
    EndpointState anew = serving();
    anew.started_at = 3;
    led.on_endpoint(4, n, anew);
    CHECK(led.check_attempt(4, r, n) == Refusal::none);
}

TEST_CASE("a recorded attempt may not be sent after its deadline, a known drain or the final answer") {
    ledger::Ledger led({group(Effect::idempotent)}, {4, true}, {});
    ledger::WorkerRecord& n = led.add_worker("n");
    led.on_endpoint(0, n, serving());
    ledger::TaskRecord& r = led.create_task(0, "c", 1, asking());
    ledger::Attempt* l = led.start_attempt(0, r, n, kSecond).value_or(nullptr);
    CHECK(led.may_still_send(0, *l));
    CHECK_FALSE(led.may_still_send(kSecond, *l));  // its deadline has passed
    led.on_drain_announced(1, n, true);
    CHECK_FALSE(led.may_still_send(2, *l));
    led.on_drain_announced(3, n, false);
    CHECK(led.may_still_send(3, *l));
    led.record_answer(3, r, Answer::cancelled);
    CHECK_FALSE(led.may_still_send(3, *l));
}

TEST_CASE("a repeat that waits for its connection beyond the deduplication window may not be sent") {
    ledger::Ledger led({group(Effect::keyed)}, {4, true}, {});
    ledger::WorkerRecord& n = led.add_worker("n");
    led.on_endpoint(kSecond, n, serving());
    ledger::TaskRecord& r = led.create_task(kSecond, "c", 1, asking(0, 20 * kSecond));
    ledger::Attempt* first = led.start_attempt(kSecond, r, n, kSecond).value_or(nullptr);
    REQUIRE(first);
    CHECK(led.may_still_send(kSecond, *first));
    led.on_ended(2 * kSecond, *first, AttemptOutcome::reset);
    ledger::Attempt* second =
        led.start_attempt(4 * kSecond - kMillisecond, r, n, 5 * kSecond).value_or(nullptr);
    REQUIRE(second);
    CHECK(led.may_still_send(4 * kSecond - kMillisecond, *second));
    CHECK(!led.may_still_send(4 * kSecond, *second));
}
