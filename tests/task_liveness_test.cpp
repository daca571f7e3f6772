// When a running task that its worker says nothing of is taken to be over.
#include "ledger/task_liveness.h"

#include <catch2/catch.hpp>

using namespace whinpost;
using ledger::TaskLiveness;
using Verdict = ledger::TaskLiveness::Verdict;

namespace {

constexpr Nanos kStart = 100 * kSecond;
constexpr Nanos kEnd = kStart + TaskLiveness::kInterruptionTimeout;

}  // namespace

TEST_CASE("a task that its worker accepted is kept for as long as nothing raises a doubt") {
    TaskLiveness liveness;
    CHECK_FALSE(liveness.in_doubt());
    CHECK(liveness.check(kStart + 3600 * kSecond, {.list_is_current = false}) == Verdict::keep);
}

TEST_CASE("a reported task that its worker does not confirm in time is over, whatever the list says") {
    TaskLiveness liveness;
    liveness.on_reported(kStart);
    const bool list_is_current = GENERATE(true, false);
    CHECK_FALSE(liveness.is_confirmed());
    CHECK(liveness.check(kStart + TaskLiveness::kConfirmationTimeout - 1,
                         {.list_is_current = list_is_current}) == Verdict::keep);
    liveness.on_interrupted(kStart + kSecond);  // the report's time goes on
    liveness.on_process_confirmed(kStart);      // that the process lives says nothing of this task
    CHECK(liveness.check(kStart + TaskLiveness::kConfirmationTimeout, {.list_is_current = list_is_current}) ==
          Verdict::unconfirmed);
}

TEST_CASE(
    "after an interruption a task is kept where the worker speaks, or the list would have told a restart") {
    TaskLiveness liveness;
    liveness.on_reported(kStart);
    liveness.on_worker_message();
    liveness.on_interrupted(kStart);
    CHECK(liveness.is_confirmed());
    SECTION("the list is current") {
        CHECK(liveness.check(kEnd, {.list_is_current = true}) == Verdict::keep);
    }
    SECTION("the worker has said something of the task") {
        liveness.on_worker_message();
        CHECK(liveness.check(kEnd, {.list_is_current = false}) == Verdict::keep);
    }
    SECTION("the worker has said something of a task that ran before the interruption") {
        liveness.on_process_confirmed(kStart);
        CHECK(liveness.check(kEnd, {.list_is_current = false}) == Verdict::keep);
    }
    CHECK_FALSE(liveness.in_doubt());
}

TEST_CASE("after an interruption a task is over where nothing shows that it runs") {
    TaskLiveness liveness;
    liveness.on_interrupted(kStart);
    liveness.on_interrupted(kStart + 5 * kSecond);  // it may be over since the first
    SECTION("the list is not current") {}
    SECTION("only a later process has shown itself") { liveness.on_process_confirmed(kStart + 1); }
    CHECK(liveness.check(kStart + TaskLiveness::kListDelay - 1, {.list_is_current = true}) ==
          Verdict::keep);  // too early to tell
    CHECK(liveness.check(kEnd - 1, {.list_is_current = false}) == Verdict::keep);
    CHECK(liveness.check(kEnd, {.list_is_current = false}) == Verdict::interrupted);
}

TEST_CASE("a refused dial after an interruption outweighs a list that tells no restart") {
    TaskLiveness liveness;
    liveness.on_dial_refused();  // nothing was in doubt
    liveness.on_interrupted(kStart);
    const bool refused = GENERATE(false, true);
    if (refused) liveness.on_dial_refused();
    CHECK(liveness.check(kEnd, {.list_is_current = true}) ==
          (refused ? Verdict::interrupted : Verdict::keep));
}

TEST_CASE("a list that is current at any moment in time is enough, though it is not at the last") {
    TaskLiveness liveness;
    liveness.on_interrupted(kStart);
    CHECK(liveness.check(kStart + TaskLiveness::kListDelay, {.list_is_current = true}) == Verdict::keep);
    CHECK(liveness.check(kEnd, {.list_is_current = false}) == Verdict::keep);
    CHECK_FALSE(liveness.in_doubt());
}

TEST_CASE(
    "a report of a trusted client is kept longer where its worker could not be heard, and not for good") {
    TaskLiveness liveness;
    liveness.on_reported(kStart);
    const bool heard = GENERATE(true, false), trusted = GENERATE(true, false);
    const TaskLiveness::Evidence evidence{true, heard, trusted};
    const bool is_kept = !heard && trusted;
    CHECK(liveness.check(kStart + TaskLiveness::kConfirmationTimeout, evidence) ==
          (is_kept ? Verdict::keep : Verdict::unconfirmed));
    CHECK(liveness.check(kEnd, evidence) == Verdict::unconfirmed);
}

TEST_CASE("a list that tells no restart does not keep a task whose worker speaks on newer connections only") {
    TaskLiveness liveness;
    liveness.on_silenced(kStart);
    CHECK(liveness.check(kEnd - 1, {.list_is_current = true}) == Verdict::keep);
    SECTION("the silent connection is heard again, or the worker speaks of the task") {
        if (GENERATE(true, false)) liveness.on_process_confirmed(0);
        else liveness.on_worker_message();
        CHECK(liveness.check(kEnd, {.list_is_current = false}) == Verdict::keep);
    }
    SECTION("it is not") { CHECK(liveness.check(kEnd, {.list_is_current = true}) == Verdict::interrupted); }
    SECTION("it was only reported: the report's time goes on") {
        TaskLiveness reported;
        reported.on_reported(kStart);
        reported.on_silenced(kStart);
        CHECK_FALSE(reported.is_confirmed());
    }
}
