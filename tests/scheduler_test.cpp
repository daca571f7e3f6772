// The scheduler as a whole: what happens to a task from its submission to its answer.
#include <catch2/catch.hpp>

#include "support/scheduler_rig.h"

using namespace whinpost;

TEST_CASE("a task without a worker waits, and is rejected well before its queue timeout") {
    SchedulerRig rig;
    Worker& worker = rig.add_worker();
    rig.list(worker, {0, 0, 0, -24, 32, EndpointPhase::serving, 0});
    Task& task = rig.submit(rig.scheduler.add_service(1));
    rig.advance(kSecond);
    CHECK(rig.decisions.empty());
    rig.advance(2 * kSecond);
    CHECK(task.settled);
    CHECK(rig.count(DecisionKind::reject) == 1);
}

TEST_CASE("after a task was cancelled and ended, late acceptances, outcomes and reports are ignored") {
    SchedulerRig rig;
    Worker& worker = rig.add_worker();
    Task& task = rig.submit_and_run_round(rig.scheduler.add_service(1));
    task.cancel(rig.now);
    task.on_accepted(rig.now, 0);
    rig.end_attempt(task, AttemptOutcome::cancelled);
    CHECK(task.finished());
    rig.end_attempt(task, AttemptOutcome::completed);
    task.on_service_share(rig.now, 0, 0.1);
    CHECK(rig.count(DecisionKind::reject) + rig.count(DecisionKind::fail) == 0);
    CHECK(worker.capacity.own_cores == Approx(0));
    CHECK(worker.capacity.unanswered == 0);
}

TEST_CASE("a task is rejected before its queue timeout when the endpoint list is empty") {
    SchedulerRig rig;
    Task& task = rig.submit(rig.scheduler.add_service(1));
    rig.advance(4 * kSecond);
    CHECK(task.settled);
    CHECK(rig.count(DecisionKind::reject) == 1);
}
