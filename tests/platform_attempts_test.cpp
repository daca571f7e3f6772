// Attempts of the platform's server: the messages to workers, and the handling of their replies; in virtual
// time.
#include <catch2/catch.hpp>

#include "support/platform_rig.h"
#include "support/quiet_planner.h"

using namespace whinpost;

TEST_CASE(
    "a task is sent to a worker as its client wrote it, and the worker's answer and release are passed on to "
    "the client") {
    SingleWorkerRig rig;
    rig.request_placement(rig.client, 0x8c1f30d27a5be964, "marked");
    REQUIRE(rig.worker.attempts().size() == 1);
    const TestClient::ReceivedMessage attempt = rig.worker.attempts()[0];
    CHECK(attempt.task == 0x8c1f30d27a5be964);
    CHECK(attempt.queue_group == "marked");
    CHECK(attempt.task_name == "8c1f30d27a5be964");
    CHECK(attempt.idempotency_key == "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
    CHECK(attempt.description == "asked");
    CHECK(std::stoi(attempt.time_left_ms) > 0);
    rig.worker.last_connection().answer(attempt.task, "runs on h");
    rig.run(20 * kMillisecond);
    REQUIRE(rig.client.messages(MessageType::answer).size() == 1);
    CHECK(rig.client.messages(MessageType::answer)[0].description == "runs on h");
    rig.worker.last_connection().release(attempt.task, platform_codec::Cause::ok);
    rig.run(20 * kMillisecond);
    REQUIRE(rig.client.messages(MessageType::release).size() == 1);
    CHECK(rig.client.messages(MessageType::release)[0].cause == platform_codec::Cause::ok);
    CHECK(rig.server.task_count() == 0);
    CHECK(rig.ledger.open_tasks() == 0);
}

TEST_CASE("a late answer to an abandoned attempt is cancelled if the task is idempotent, otherwise ignored") {
    SingleWorkerRig rig;
    const std::string group = GENERATE("free", "marked", "once");
    rig.request_placement(rig.client, 7, group, 1000);
    REQUIRE(rig.worker.attempts().size() == 1);
    rig.run(1500 * kMillisecond);
    CHECK(answer_count(rig.client, 7) == 1);
    CHECK(rig.client.count(MessageType::answer, 7) == 0);
    const std::size_t before = rig.worker.count(MessageType::release, 7);
    CHECK(before >= 1);  // for the abandoned attempt
    rig.worker.connections[0]->answer(7);
    rig.run(50 * kMillisecond);
    CHECK(rig.worker.count(MessageType::release, 7) - before == (group == "free" ? 1u : 0u));
    CHECK(answer_count(rig.client, 7) == 1);
}

TEST_CASE("a second attempt of one task at one worker is sent on another connection") {
    SingleWorkerRig rig;
    QuietPlanner quiet;
    rig.server.set_planner(quiet);
    rig.request_placement(rig.client, 7, "free", 5000);
    REQUIRE(quiet.submitted.size() == 1);
    rig.server.place(quiet.submitted[0], 0, 500 * kMillisecond);
    rig.run(kSecond);
    REQUIRE(rig.worker.attempts().size() == 1);
    CHECK(rig.worker.count(MessageType::release, 7) == 1);  // for the abandoned attempt
    rig.server.place(quiet.submitted[0], 0, 500 * kMillisecond);
    rig.run(50 * kMillisecond);
    REQUIRE(rig.worker.attempts().size() == 2);
    REQUIRE(rig.worker.connections.size() == 2);
    CHECK(rig.worker.connections[1]->count(MessageType::place_task, 7) == 1);
    rig.worker.connections[0]->answer(7, "the first one's");  // answers the abandoned attempt
    rig.run(20 * kMillisecond);
    CHECK(rig.client.count(MessageType::answer, 7) == 0);
    rig.worker.connections[1]->answer(7, "the second one's");
    rig.run(20 * kMillisecond);
    REQUIRE(rig.client.messages(MessageType::answer).size() == 1);
    CHECK(rig.client.messages(MessageType::answer)[0].description == "the second one's");
}

TEST_CASE("an answer to an unknown id and a repeated answer change nothing") {
    SingleWorkerRig rig;
    rig.request_placement(rig.client, 1);
    rig.worker.last_connection().answer(99);
    rig.worker.last_connection().answer(1, "first");
    rig.worker.last_connection().answer(1, "second");
    rig.run(20 * kMillisecond);
    REQUIRE(rig.client.messages(MessageType::answer).size() == 1);
    CHECK(rig.client.messages(MessageType::answer)[0].description == "first");
    CHECK(rig.client.messages(MessageType::answer)[0].task == 1);
    CHECK(!rig.worker.connections[0]->closed);
}

TEST_CASE(
    "a release that also carries the answer passes both on to the client, and the task is not started "
    "again") {
    SingleWorkerRig rig;
    rig.request_placement(rig.client, 1);
    Message message;
    message.type = MessageType::release;
    message.task = 1;
    message.cause = platform_codec::Cause::ok;
    message.description = "ran and ended";
    rig.worker.last_connection().send(message);
    rig.run(200 * kMillisecond);
    CHECK(rig.worker.attempts().size() == 1);
    REQUIRE(rig.client.received.size() == 2);
    CHECK(rig.client.received[0].type == MessageType::answer);
    CHECK(rig.client.received[0].description == "ran and ended");
    CHECK(rig.client.received[1].type == MessageType::release);
    CHECK(rig.client.received[1].cause == platform_codec::Cause::ok);
    CHECK(rig.server.task_count() == 0);
    rig.request_placement(rig.client, 2, "once");
    message.task = 2;
    message.description.reset();  // without a description it is unknown whether the task ran
    rig.worker.last_connection().send(message);
    rig.run(200 * kMillisecond);
    CHECK(rig.client.count(MessageType::answer, 2) == 0);
    CHECK(rig.client.count(MessageType::release, 2) == 1);
}

TEST_CASE(
    "if a note shows that an attempt runs, a release before its answer goes to the client and the task is "
    "not retried") {
    SingleWorkerRig rig;
    const bool has_note = GENERATE(true, false);
    rig.request_placement(rig.client, 1);
    Message note;
    note.type = MessageType::note;
    note.task = 1;
    note.detail = "cores";
    note.metric_value = "0.2";
    if (has_note) rig.worker.last_connection().send(note);
    rig.run(20 * kMillisecond);
    rig.worker.last_connection().release(1, platform_codec::Cause::reset, "sent_away");
    rig.run(20 * kMillisecond);
    REQUIRE(rig.client.count(MessageType::release, 1) == (has_note ? 1u : 0u));
    rig.run(5 * kSecond);
    CHECK(rig.client.count(MessageType::release, 1) == 1);
    rig.worker.connections[0]->answer(1);
    rig.run(20 * kMillisecond);
    CHECK(rig.client.count(MessageType::answer, 1) == 0);
    CHECK(rig.server.task_count() == 0);
    CHECK(rig.planner.open_tasks() == 0);
}

TEST_CASE(
    "a side-effecting task ends with try_later after a refused connection, with another cause after a "
    "reset") {
    SingleWorkerRig rig;
    const bool refused = GENERATE(true, false);
    if (refused) rig.worker.listener.reset();
    rig.request_placement(rig.client, 5, "once", 2000);
    if (!refused) {
        REQUIRE(rig.worker.attempts().size() == 1);
        rig.worker.last_connection().stream->abort();
        rig.worker.last_connection().stream.reset();
    }
    rig.run(2 * kSecond);
    REQUIRE(rig.client.messages(MessageType::release).size() == 1);
    CHECK((rig.client.messages(MessageType::release)[0].cause == platform_codec::Cause::try_later) ==
          refused);
}
