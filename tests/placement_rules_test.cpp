// Compares the scheduler with a simple model of the placement rules on random sequences of events: the model
// must allow every placement and every answer.
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <random>
#include <vector>

#include "support/scheduler_rig.h"

using namespace whinpost;

namespace {

struct SentAttempt {
    Worker* worker;
    Nanos sent;
    bool in_flight = true, proves_not_run = false;
};

struct Model {
    SchedulerRig& rig;
    std::vector<QueueGroup> groups;
    SlowStartSettings slow_start;
    std::map<Task*, std::vector<SentAttempt>> attempts;
    std::map<Task*, DecisionKind> answers;
    std::map<Worker*, std::vector<Nanos>> warming_up;
    std::size_t read = 0;
    Nanos previous_round = 0;

    bool in_same_domain(const Worker& first, const Worker& second, FailureDomain domain) const {
        return domain == FailureDomain::all ||
               (domain == FailureDomain::zone && first.endpoint.zone == second.endpoint.zone) ||
               (domain == FailureDomain::cell && first.endpoint.cell == second.endpoint.cell) ||
               (domain == FailureDomain::worker && &first == &second);
    }
    void check_placement(const Decision& decision) {
        const QueueGroup& group = groups[static_cast<std::size_t>(decision.task->request.queue_group)];
        REQUIRE_FALSE(answers.contains(decision.task));
        REQUIRE(decision.worker->endpoint.phase == EndpointPhase::serving);
        REQUIRE((group.worker_kind < 0 || group.worker_kind == decision.worker->endpoint.kind));
        REQUIRE(rig.now < decision.task->deadline);
        REQUIRE(decision.attempt_timeout <= decision.task->deadline - rig.now);
        auto& task_attempts = attempts[decision.task];
        REQUIRE(task_attempts.size() < 4);
        const SentAttempt* first = nullptr;
        for (const SentAttempt& attempt : task_attempts) {
            REQUIRE_FALSE(attempt.in_flight);
            if (!attempt.proves_not_run && !first) first = &attempt;
        }
        if (first) {
            REQUIRE(group.effect != Effect::side_effecting);
            if (group.effect == Effect::keyed) {
                REQUIRE(in_same_domain(*first->worker, *decision.worker, group.deduplicated_by));
                REQUIRE(rig.now - first->sent < group.deduplication_window);
            }
        }
        task_attempts.push_back({decision.worker, rig.now});
        if (group.spread_domain != FailureDomain::none) {
            int running = 0;
            for (const auto& [task, all] : attempts)
                for (const SentAttempt& attempt : all)
                    running += attempt.in_flight && task->service == decision.task->service &&
                               in_same_domain(*attempt.worker, *decision.worker, group.spread_domain);
            REQUIRE(running <= group.max_per_domain);
        }
        if (decision.worker->endpoint.started_at &&
            rig.now - decision.worker->endpoint.started_at < slow_start.warm_up_time) {
            auto& placements = warming_up[decision.worker];
            placements.push_back(rig.now);
            int in_window = 0;
            for (const Nanos at : placements) in_window += rig.now - at < slow_start.window;
            REQUIRE(in_window <=
                    2 * std::ceil(std::floor(slow_start.guaranteed_attempts / 2) / slow_start.placers));
        }
    }
    void check_answer(const Decision& decision) {
        const QueueGroup& group = groups[static_cast<std::size_t>(decision.task->request.queue_group)];
        REQUIRE(answers.emplace(decision.task, decision.kind).second);
        // At the latest in the first round after the queue timeout.
        REQUIRE(previous_round <= decision.task->deadline);
        if (decision.kind != DecisionKind::reject || group.effect == Effect::idempotent) return;
        for (const SentAttempt& attempt : attempts[decision.task])
            REQUIRE((attempt.proves_not_run ||
                     (group.effect == Effect::keyed && group.deduplicated_by == FailureDomain::all &&
                      !attempt.in_flight)));
    }
    void catch_up() {
        for (; read < rig.decisions.size(); ++read) {
            const Decision& decision = rig.decisions[read];
            if (decision.kind == DecisionKind::place) check_placement(decision);
            if (decision.kind == DecisionKind::reject || decision.kind == DecisionKind::fail)
                check_answer(decision);
        }
    }
};

}  // namespace

TEST_CASE("under random events, the model of the rules allows every placement and every answer") {
    const auto seed = GENERATE(take(60, random(1u, 1u << 30)));
    std::ranlux24_base chance(seed);
    const auto roll = [&chance](int n) { return static_cast<int>(chance() % static_cast<unsigned>(n)); };
    std::vector<QueueGroup> groups;
    for (const Effect effect : {Effect::idempotent, Effect::keyed, Effect::side_effecting}) {
        const FailureDomain domains[] = {FailureDomain::all, FailureDomain::zone, FailureDomain::cell,
                                         FailureDomain::worker};
        const FailureDomain spreads[] = {FailureDomain::none, FailureDomain::worker, FailureDomain::cell,
                                         FailureDomain::zone};
        QueueGroup group = queue_group(effect, domains[roll(4)], (1 + roll(4)) * kSecond);
        group.spread_domain = spreads[roll(4)];
        group.max_per_domain = 1 + roll(4);
        group.worker_kind = roll(5) - 4;
        groups.push_back(group);
    }
    SlowStartSettings slow_start = SchedulerRig::default_slow_start();
    slow_start.guaranteed_attempts = roll(30);
    SchedulerRig rig(groups, slow_start);
    Model model{rig, groups, slow_start, {}, {}, {}};
    std::vector<Service*> services;
    for (int i = 0; i < 4; ++i) services.push_back(&rig.scheduler.add_service(1));
    for (int i = 0; i < 6; ++i) rig.add_worker(i / 2, i / 4, roll(2) ? 0 : rig.now - roll(12) * kSecond);
    std::vector<Task*> alive;
    for (int step = 0; step < 1500; ++step) {
        model.previous_round = rig.now;
        // Sometimes jumps by seconds.
        rig.now += roll(200) == 0 ? roll(20) * kSecond : roll(40) * kMillisecond;
        for (Task* task : alive)  // every attempt ends by its timeout
            if (task->worker && !task->accepted && rig.now >= task->deadline) {
                model.attempts[task].back().in_flight = false;
                rig.end_attempt(*task, AttemptOutcome::timed_out);
                model.catch_up();
            }
        if (roll(3) == 0) {
            const int group_number = roll(3);
            Task& task = rig.submit(*services[static_cast<std::size_t>(roll(4))], group_number, 0.5 + roll(8),
                                    (1 + roll(6)) * kSecond);
            alive.push_back(&task);
        }
        if (roll(60) == 0) {
            Worker& worker = *rig.workers[static_cast<std::size_t>(roll(6))];
            EndpointState state = worker.endpoint;
            state.phase = static_cast<EndpointPhase>(roll(3));
            if (roll(2)) state.started_at = rig.now, state.phase = EndpointPhase::serving;
            state.free_cores = roll(40) - 24;
            rig.list(worker, state);
        }
        if (!alive.empty() && roll(2) == 0) {
            Task& task = *alive[static_cast<std::size_t>(roll(static_cast<int>(alive.size())))];
            if (task.worker && !task.accepted && roll(2)) task.on_accepted(rig.now, task.attempts - 1);
            else if (task.worker) {
                const auto outcome = static_cast<AttemptOutcome>(roll(9));
                SentAttempt& attempt = model.attempts[&task].back();
                attempt.in_flight = false;
                attempt.proves_not_run = outcome == AttemptOutcome::rejected ||
                                         outcome == AttemptOutcome::connect_failed ||
                                         outcome == AttemptOutcome::not_sent;
                rig.end_attempt(task, outcome, static_cast<OutcomeReason>(roll(8)),
                                task.accepted || task.settled);
                model.catch_up();
                if (task.settled) model.answers.emplace(&task, DecisionKind::cancel);
            }
            model.catch_up();
        }
        rig.scheduler.run_round(rig.now);
        model.catch_up();
    }
    for (int i = 0; i < 500; ++i) {
        model.previous_round = rig.now;
        rig.advance(20 * kMillisecond);
        model.catch_up();
    }
    for (Task* task : alive) CHECK((task->settled || task->worker));  // no task is left waiting
}
