// The retry policy: placement rules, attempt timeouts and the final answer.
#include "scheduler/retry_policy.h"

#include <catch2/catch.hpp>

#include "support/scheduler_rig.h"

using namespace whinpost;

TEST_CASE(
    "after its last attempt, a task is rejected only if a repeated run would be harmless, else it fails") {
    const auto [effect, scope, outcome, answer] =
        GENERATE(table<Effect, FailureDomain, AttemptOutcome, DecisionKind>(
            {{Effect::side_effecting, FailureDomain::all, AttemptOutcome::timed_out, DecisionKind::fail},
             {Effect::side_effecting, FailureDomain::all, AttemptOutcome::unknown, DecisionKind::fail},
             {Effect::side_effecting, FailureDomain::all, AttemptOutcome::rejected, DecisionKind::reject},
             {Effect::keyed, FailureDomain::all, AttemptOutcome::failed, DecisionKind::reject},
             {Effect::keyed, FailureDomain::cell, AttemptOutcome::failed, DecisionKind::fail},
             {Effect::idempotent, FailureDomain::all, AttemptOutcome::failed, DecisionKind::reject}}));
    SchedulerRig rig({queue_group(effect, scope)}, SchedulerRig::default_slow_start(), {}, 1);
    rig.add_worker();
    Task& task = rig.submit_and_run_round(rig.scheduler.add_service(1));
    REQUIRE(rig.count(DecisionKind::place) == 1);
    rig.end_attempt(task, outcome);
    CHECK(task.settled);
    CHECK(rig.decisions.back().kind == answer);
}

namespace {

// A task that may have run on `first`, and a second worker.
struct RepeatedTask {
    explicit RepeatedTask(const QueueGroup& queue_group) : group(queue_group) {
        first.listing.is_listed = second.listing.is_listed = true;
        task.queue_group = &group;
        task.service = &service;
        task.submitted_at = kSubmitted;
        task.deadline = kSubmitted + 10 * kSecond;
        task.first_possible_run = &first;
        task.first_possible_run_at = kSubmitted;
        task.attempts = 1;
    }
    static constexpr Nanos kSubmitted = 1000 * kSecond;
    QueueGroup group;
    Service service{0, 1};
    Worker first{1, kSecond, 1}, second{2, kSecond, 1};
    Task task;
};

}  // namespace

TEST_CASE("a task that may have run is placed again only where a repeated run is harmless") {
    const scheduler::RetryPolicy policy({4, true}, false);
    const Nanos now = RepeatedTask::kSubmitted + kSecond;
    RepeatedTask idempotent(queue_group(Effect::idempotent));
    CHECK(policy.may_place(now, idempotent.task, idempotent.second));
    CHECK(policy.may_reject(idempotent.task));
    RepeatedTask harmful(queue_group(Effect::side_effecting));
    CHECK_FALSE(policy.may_place(now, harmful.task, harmful.first));
    CHECK_FALSE(policy.may_retry(now, harmful.task));
    CHECK_FALSE(policy.may_reject(harmful.task));
    RepeatedTask keyed(queue_group(Effect::keyed, FailureDomain::cell, 3 * kSecond));
    CHECK(policy.may_place(now, keyed.task, keyed.second));
    keyed.second.endpoint.cell = 1;
    CHECK_FALSE(policy.may_place(now, keyed.task, keyed.second));
    CHECK(policy.may_place(now, keyed.task, keyed.first));
    CHECK_FALSE(policy.may_place(now + 2 * kSecond, keyed.task, keyed.first));
    CHECK_FALSE(policy.may_retry(now + 2 * kSecond, keyed.task));
}

TEST_CASE(
    "no attempt is placed on draining or unlisted workers, after the last attempt, or after the deadline") {
    const scheduler::RetryPolicy policy({2, true}, false);
    const Nanos now = RepeatedTask::kSubmitted + kSecond;
    RepeatedTask repeated(queue_group(Effect::idempotent));
    CHECK(policy.may_place(now, repeated.task, repeated.second));
    CHECK_FALSE(policy.may_place(repeated.task.deadline, repeated.task, repeated.second));
    repeated.second.endpoint.phase = EndpointPhase::draining;
    CHECK_FALSE(policy.may_place(now, repeated.task, repeated.second));
    repeated.second.endpoint.phase = EndpointPhase::serving;
    repeated.second.listing.is_listed = false;
    CHECK_FALSE(policy.may_place(now, repeated.task, repeated.second));
    repeated.task.attempts = 2;
    CHECK_FALSE(policy.may_place(now, repeated.task, repeated.first));
    CHECK_FALSE(policy.may_retry(now, repeated.task));
}

TEST_CASE(
    "an attempt times out early enough for another one, except the last one or if a repeat could do harm") {
    const scheduler::RetryPolicy policy({4, true}, false);
    const Nanos now = RepeatedTask::kSubmitted;
    RepeatedTask repeated(queue_group(Effect::idempotent));
    CHECK(policy.attempt_timeout(now, repeated.task, 0.2) == 1600 * kMillisecond);
    CHECK(policy.attempt_timeout(now, repeated.task, 0.01) == 400 * kMillisecond);
    CHECK(policy.attempt_timeout(now, repeated.task, 1) == 10 * kSecond);  // no time for another
    repeated.task.attempts = 3;
    CHECK(policy.attempt_timeout(now, repeated.task, 0.2) == 10 * kSecond);
    RepeatedTask harmful(queue_group(Effect::side_effecting));
    CHECK(policy.attempt_timeout(now, harmful.task, 0.2) == 10 * kSecond);
    CHECK(policy.give_up_at(harmful.task) == now + 5 * kSecond);
}

TEST_CASE(
    "the first attempt whose outcome does not prove that it never ran is kept as the first possible run") {
    const scheduler::RetryPolicy policy({4, true}, false);
    RepeatedTask repeated(queue_group(Effect::idempotent));
    repeated.task.worker = &repeated.second;
    policy.on_attempt_ended(repeated.task, AttemptOutcome::timed_out);
    CHECK(repeated.task.first_possible_run == &repeated.first);
    repeated.task.first_possible_run = nullptr;
    for (const AttemptOutcome outcome :
         {AttemptOutcome::rejected, AttemptOutcome::connect_failed, AttemptOutcome::not_sent}) {
        policy.on_attempt_ended(repeated.task, outcome);
        CHECK(repeated.task.first_possible_run == nullptr);
    }
    policy.on_attempt_ended(repeated.task, AttemptOutcome::unknown);
    CHECK(repeated.task.first_possible_run == &repeated.second);
}
