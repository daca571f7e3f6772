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
    ledger::WorkerRecord* worker;
    Nanos sent_at;
    bool ended = false, accepted = false, proven_not_run = false;
};
struct ModelTask {
    const QueueGroup* group;
    std::uint64_t service;
    Nanos deadline;
    std::vector<ModelAttempt> attempts;
    char answer = 0;  // 0: none, p: placed, r: rejected, f: failed, c: cancelled
    bool is_over() const {
        for (const ModelAttempt& attempt : attempts)
            if (!attempt.ended) return false;
        return answer != 0;
    }
};

struct LedgerModel {
    std::map<std::uint64_t, ModelTask> tasks;
    std::map<const ledger::WorkerRecord*, std::vector<Nanos>> slow_start_sends;
    SlowStartSettings slow_start;
    int max_attempts;

    static bool same_domain(const ledger::WorkerRecord& a, const ledger::WorkerRecord& b,
                            FailureDomain domain) {
        if (domain == FailureDomain::all) return true;
        if (domain == FailureDomain::zone) return a.endpoint.zone == b.endpoint.zone;
        if (domain == FailureDomain::cell) return a.endpoint.cell == b.endpoint.cell;
        return domain == FailureDomain::worker && &a == &b;
    }
    // Deals half of the guaranteed attempts one by one: the k-th goes to the placer whose rank it falls on.
    int tokens(const ledger::WorkerRecord& worker, Nanos now, Nanos window) const {
        if (now - window * slow_start.window < std::min(50 * kMillisecond, slow_start.window / 8)) return 0;
        const int half = static_cast<int>(slow_start.guaranteed_attempts / 2);
        const auto offset = static_cast<Nanos>(stable_hash(worker.name) % 1'000'003);
        const Nanos own_rank = (slow_start.placer_index + window + offset) % slow_start.placers;
        int out = 0;
        for (int k = 1; k <= half; ++k) out += (k * slow_start.placers + half - 1) / half - 1 == own_rank;
        return out;
    }
    bool may_start(Nanos now, const ModelTask& task, const ledger::WorkerRecord& worker, bool listed,
                   bool drains) const {
        if (task.answer || now >= task.deadline || static_cast<int>(task.attempts.size()) >= max_attempts)
            return false;
        if (!listed || drains) return false;
        if (task.group->worker_kind >= 0 && task.group->worker_kind != worker.endpoint.kind) return false;
        for (const ModelAttempt& attempt : task.attempts)
            if (!attempt.ended) return false;
        for (const ModelAttempt& attempt : task.attempts) {
            if (attempt.proven_not_run) continue;
            if (task.group->effect == Effect::side_effecting) return false;
            if (task.group->effect == Effect::keyed &&
                (!same_domain(*attempt.worker, worker, task.group->deduplicated_by) ||
                 now - attempt.sent_at >= task.group->deduplication_window))
                return false;
            break;  // the first attempt that may have run determines domain and window
        }
        if (task.group->spread_domain != FailureDomain::none) {
            int tasks_in_domain = 0;
            for (const auto& [number, other] : tasks)
                for (const ModelAttempt& attempt : other.attempts)
                    tasks_in_domain += !attempt.ended && other.service == task.service &&
                                       other.group->spread_domain != FailureDomain::none &&
                                       same_domain(*attempt.worker, worker, task.group->spread_domain);
            if (tasks_in_domain >= task.group->max_per_domain) return false;
        }
        if (worker.endpoint.started_at > 0 && now - worker.endpoint.started_at < slow_start.warm_up_time) {
            const Nanos window = now / slow_start.window;
            int sent_in_window = 0;
            if (const auto it = slow_start_sends.find(&worker); it != slow_start_sends.end())
                for (const Nanos at : it->second) sent_in_window += at / slow_start.window == window;
            if (sent_in_window >= tokens(worker, now, window)) return false;
        }
        return true;
    }
    static bool may_reject(const ModelTask& task) {
        for (const ModelAttempt& attempt : task.attempts) {
            if (task.group->effect == Effect::idempotent) break;
            if (!attempt.ended) return false;
            if (!attempt.proven_not_run &&
                !(task.group->effect == Effect::keyed && task.group->deduplicated_by == FailureDomain::all))
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
ResourceRequest make_request(int group = 0, Nanos left = 5 * kSecond) {
    ResourceRequest request;
    request.cores = request.memory = 1;
    request.queue_group = group;
    request.time_left = left;
    return request;
}

}  // namespace

TEST_CASE("on generated sequences the ledger allows the same attempts and answers as a simple model") {
    const auto seed = GENERATE(take(80, random(1u, 1u << 30)));
    std::ranlux24_base engine(seed);
    const auto roll = [&engine](int n) { return static_cast<int>(engine() % static_cast<unsigned>(n)); };
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
    SlowStartSettings slow_start{0.2, 8 * kSecond, 2, kSecond, static_cast<double>(roll(20)), 1 + roll(4), 0};
    LedgerModel model;
    model.slow_start = slow_start;
    model.max_attempts = 1 + roll(4);
    ledger::Ledger ledger(groups, {model.max_attempts, true}, slow_start);
    std::vector<ledger::WorkerRecord*> workers;
    std::map<ledger::WorkerRecord*, bool> drain_announced, drain_listed, listed;
    Nanos now = 1000 * kSecond;
    for (int i = 0; i < 6; ++i) {
        ledger::WorkerRecord& worker = ledger.add_worker("n" + std::to_string(i));
        EndpointState entry = serving(i / 4, i / 2);
        entry.kind = i % 2;
        entry.started_at = roll(2) ? 0 : now - roll(10) * kSecond;
        ledger.on_endpoint(now, worker, entry);
        listed[&worker] = true;
        workers.push_back(&worker);
    }
    std::vector<std::uint64_t> open;
    for (int step = 0; step < 1500; ++step) {
        now += roll(30) ? roll(60) * kMillisecond : roll(4) * kSecond;
        const int event = roll(12);
        if (event < 3) {
            const int g = roll(3);
            ledger::TaskRecord& task =
                ledger.create_task(now, "c", static_cast<std::uint64_t>(g * 10 + roll(2)),
                                   make_request(g, (1 + roll(5)) * kSecond));
            model.tasks[task.number] = {
                &groups[static_cast<std::size_t>(g)], task.service, task.deadline, {}, 0};
            open.push_back(task.number);
            continue;
        }
        if (event == 3) {  // an endpoint list entry, a drain announcement, or a restart
            ledger::WorkerRecord& worker = *workers[static_cast<std::size_t>(roll(6))];
            const int how = roll(5);
            if (how == 0) {
                ledger.on_drain_announced(now, worker, true);
                drain_announced[&worker] = true;
            } else if (how == 1) {
                ledger.on_removed(now, worker);
                listed[&worker] = false;
                drain_listed[&worker] = true;
            } else {
                EndpointState entry = worker.endpoint;
                entry.phase = roll(3) ? EndpointPhase::serving : EndpointPhase::draining;
                if (roll(3) == 0) entry.started_at = now;
                if (listed[&worker] && entry.started_at > worker.endpoint.started_at) {
                    drain_announced[&worker] = false;
                    model.slow_start_sends[&worker].clear();
                }
                ledger.on_endpoint(now, worker, entry);
                listed[&worker] = true;
                drain_listed[&worker] = entry.phase != EndpointPhase::serving;
            }
            continue;
        }
        if (open.empty()) continue;
        const std::uint64_t number = open[static_cast<std::size_t>(roll(static_cast<int>(open.size())))];
        ledger::TaskRecord& task = *ledger.find_task(number);
        ModelTask& model_task = model.tasks[number];
        if (event < 8) {
            ledger::WorkerRecord& worker = *workers[static_cast<std::size_t>(roll(6))];
            const bool allowed = model.may_start(now, model_task, worker, listed[&worker],
                                                 drain_announced[&worker] || drain_listed[&worker]);
            INFO(ledger::to_string(ledger.check_attempt(now, task, worker)));
            REQUIRE((ledger.check_attempt(now, task, worker) == Refusal::none) == allowed);
            ledger::Attempt* attempt =
                ledger.start_attempt(now, task, worker, roll(3000) * kMillisecond).value_or(nullptr);
            REQUIRE((attempt != nullptr) == allowed);
            if (!attempt) continue;
            REQUIRE(attempt->deadline <= task.deadline);
            model_task.attempts.push_back({&worker, now});
            if (worker.endpoint.started_at > 0 && now - worker.endpoint.started_at < slow_start.warm_up_time)
                model.slow_start_sends[&worker].push_back(now);
        } else if (event < 11 && !task.attempts.empty()) {
            // Any event may arrive for any attempt, also late, twice or out of order.
            const auto i = static_cast<std::size_t>(roll(static_cast<int>(task.attempts.size())));
            ledger::Attempt& attempt = task.attempts[i];
            ModelAttempt& model_attempt = model_task.attempts[i];
            if (roll(3) == 0) {
                const bool counts = !model_attempt.ended && !model_attempt.accepted && !model_task.answer;
                REQUIRE(ledger.on_accepted(now, attempt) == counts);
                if (counts) {
                    model_attempt.accepted = true;
                    model_task.answer = 'p';
                }
            } else {
                const auto how = static_cast<AttemptOutcome>(roll(9));
                REQUIRE(ledger.on_ended(now, attempt, how) == !model_attempt.ended);
                if (!model_attempt.ended) {
                    model_attempt.ended = true;
                    model_attempt.proven_not_run =
                        !model_attempt.accepted &&
                        (how == AttemptOutcome::rejected || how == AttemptOutcome::connect_failed ||
                         how == AttemptOutcome::not_sent);
                }
            }
        } else {
            const Answer a = roll(3) == 0 ? Answer::cancelled : roll(2) ? Answer::rejected : Answer::failed;
            const bool allowed =
                !model_task.answer && (a != Answer::rejected || LedgerModel::may_reject(model_task));
            REQUIRE(ledger.may_reject(task) == LedgerModel::may_reject(model_task));
            REQUIRE(ledger.record_answer(now, task, a) == allowed);
            if (allowed) model_task.answer = a == Answer::cancelled ? 'c' : a == Answer::rejected ? 'r' : 'f';
        }
        REQUIRE(task.closed == model_task.is_over());
        if (task.closed && roll(2)) {
            ledger.erase_task(task);
            model.tasks.erase(number);
            std::erase(open, number);
        }
    }
}

TEST_CASE(
    "an acceptance counts only once, and not after the final answer, after the attempt's end, or from an "
    "earlier attempt") {
    ledger::Ledger ledger({group(Effect::idempotent)}, {4, true}, {});
    ledger::WorkerRecord& worker = ledger.add_worker("n");
    ledger.on_endpoint(0, worker, serving());
    ledger::TaskRecord& task = ledger.create_task(0, "c", 1, make_request());
    ledger::Attempt* first = ledger.start_attempt(0, task, worker, kSecond).value_or(nullptr);
    ledger.on_ended(kSecond, *first, AttemptOutcome::timed_out);
    ledger::Attempt* second = ledger.start_attempt(kSecond, task, worker, kSecond).value_or(nullptr);
    CHECK_FALSE(ledger.on_accepted(kSecond, *first));
    CHECK(ledger.statistics().late_accepts == 1);
    CHECK(ledger.on_accepted(kSecond, *second));
    CHECK_FALSE(ledger.on_accepted(kSecond, *second));
    CHECK(ledger.statistics().accepted == 1);

    ledger::TaskRecord& late = ledger.create_task(0, "d", 1, make_request());
    ledger::Attempt* attempt = ledger.start_attempt(0, late, worker, kSecond).value_or(nullptr);
    REQUIRE(ledger.record_answer(0, late, Answer::failed));
    CHECK_FALSE(ledger.on_accepted(kSecond, *attempt));
    CHECK_FALSE(late.closed);
    CHECK(ledger.on_ended(kSecond, *attempt, AttemptOutcome::completed));
    CHECK(late.closed);
}

TEST_CASE(
    "a drain that the worker announced is not revoked by a list entry in phase serving, but by a restart") {
    ledger::Ledger ledger({group(Effect::idempotent)}, {4, true}, {});
    ledger::WorkerRecord& worker = ledger.add_worker("n");
    ledger.on_endpoint(0, worker, serving());
    ledger::TaskRecord& task = ledger.create_task(0, "c", 1, make_request());
    ledger.on_drain_announced(1, worker, true);
    ledger.on_endpoint(2, worker, serving());
    CHECK(ledger.check_attempt(2, task, worker) == Refusal::draining);
    CHECK(worker.drain_known_at == 1);
    EndpointState restarted = serving();
    restarted.started_at = 3;
    ledger.on_endpoint(4, worker, restarted);
    CHECK(ledger.check_attempt(4, task, worker) == Refusal::none);
}

TEST_CASE("a recorded attempt may not be sent after its deadline, a known drain or the final answer") {
    ledger::Ledger ledger({group(Effect::idempotent)}, {4, true}, {});
    ledger::WorkerRecord& worker = ledger.add_worker("n");
    ledger.on_endpoint(0, worker, serving());
    ledger::TaskRecord& task = ledger.create_task(0, "c", 1, make_request());
    ledger::Attempt* attempt = ledger.start_attempt(0, task, worker, kSecond).value_or(nullptr);
    CHECK(ledger.may_still_send(0, *attempt));
    CHECK_FALSE(ledger.may_still_send(kSecond, *attempt));  // its deadline has passed
    ledger.on_drain_announced(1, worker, true);
    CHECK_FALSE(ledger.may_still_send(2, *attempt));
    ledger.on_drain_announced(3, worker, false);
    CHECK(ledger.may_still_send(3, *attempt));
    ledger.record_answer(3, task, Answer::cancelled);
    CHECK_FALSE(ledger.may_still_send(3, *attempt));
}

TEST_CASE("a repeat that waits for its connection beyond the deduplication window may not be sent") {
    ledger::Ledger ledger({group(Effect::keyed)}, {4, true}, {});
    ledger::WorkerRecord& worker = ledger.add_worker("n");
    ledger.on_endpoint(kSecond, worker, serving());
    ledger::TaskRecord& task = ledger.create_task(kSecond, "c", 1, make_request(0, 20 * kSecond));
    ledger::Attempt* first = ledger.start_attempt(kSecond, task, worker, kSecond).value_or(nullptr);
    REQUIRE(first);
    CHECK(ledger.may_still_send(kSecond, *first));
    ledger.on_ended(2 * kSecond, *first, AttemptOutcome::reset);
    ledger::Attempt* second =
        ledger.start_attempt(4 * kSecond - kMillisecond, task, worker, 5 * kSecond).value_or(nullptr);
    REQUIRE(second);
    CHECK(ledger.may_still_send(4 * kSecond - kMillisecond, *second));
    CHECK(!ledger.may_still_send(4 * kSecond, *second));
}
