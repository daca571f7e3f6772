// Attempts: late and repeated acceptances, deadlines and cancellations. Runs in virtual time with injected
// faults.
#include <catch2/catch.hpp>

#include "support/server_rig.h"

using namespace whinpost;

TEST_CASE(
    "an attempt accepted after its deadline is cancelled if its task is idempotent, else the client is sent "
    "TaskFound") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient& client = rig.connect_client();
    const std::string group = GENERATE("free", "marked", "once");
    rig.submit(client, rig.request(1, group));
    REQUIRE(worker.attempts().size() == 1);
    rig.run(3 * kSecond);
    REQUIRE(final_answers(client) == 1);
    CHECK(client.count(&v1::ToClient::has_placed) == 0);
    CHECK(client.count(&v1::ToClient::has_rejected) == (group == std::string("free") ? 1 : 0));
    worker.accept(worker.attempts()[0].attempt());
    rig.run(kSecond);
    CHECK(final_answers(client) == 1);
    const bool is_idempotent = group == std::string("free");
    CHECK(client.count(&v1::ToClient::has_found) == (is_idempotent ? 0 : 1));
    CHECK((worker.connection().count(&v1::ToWorker::has_cancel_attempt) > 0) == is_idempotent);
    CHECK((group != std::string("once") || worker.attempts().size() == 1));
}

TEST_CASE(
    "a repeated AttemptAccepted and one for an attempt that was given up do not place the task a second "
    "time") {
    ServerRig rig;
    FakeWorker &worker_a = rig.add_worker("a"), &worker_b = rig.add_worker("b");
    rig.publish({rig.endpoint("a"), rig.endpoint("b")});
    TestClient& client = rig.connect_client();
    rig.submit(client, rig.request(1, "free", 10 * kSecond));
    FakeWorker& first = worker_a.attempts().empty() ? worker_b : worker_a;
    FakeWorker& second = worker_a.attempts().empty() ? worker_a : worker_b;
    // The first worker does not answer: the scheduler gives up the attempt and tries the other worker.
    for (int i = 0; i < 300 && second.attempts().empty(); ++i) rig.run(10 * kMillisecond);
    REQUIRE(second.attempts().size() == 1);
    second.accept(second.attempts()[0].attempt());
    second.accept(second.attempts()[0].attempt());
    first.accept(first.attempts()[0].attempt());
    rig.run(kSecond);
    CHECK(client.count(&v1::ToClient::has_placed) == 1);
    CHECK(final_answers(client) == 1);
    REQUIRE(first.connection().count(&v1::ToWorker::has_cancel_attempt) >= 1);
    CHECK(second.connection().count(&v1::ToWorker::has_cancel_attempt) == 0);
}

TEST_CASE("StartAttempt carries the time after which the attempt must not begin, on the worker's own clock") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    worker.clock = 77 * kSecond;
    rig.publish({rig.endpoint("n")});
    rig.run(100 * kMillisecond);
    const Nanos greeted = rig.network.now();
    TestClient& client = rig.connect_client();
    rig.submit(client, rig.request(1, "once", 2 * kSecond));
    REQUIRE(worker.attempts().size() == 1);
    // not_after is the deadline less the answer margin: a little under 2 s after the request, and never later
    // on the worker's clock than on the placer's.
    const Nanos at = worker.attempts()[0].not_after();
    CHECK(at > 78 * kSecond);
    CHECK(at < 77 * kSecond + (rig.network.now() - greeted) + 2 * kSecond + 100 * kMillisecond);
    // A later AttemptsRead replaces the worker's clock; one with clock 0 removes it.
    v1::FromWorker message;
    message.mutable_attempts_read()->set_attempts(1);
    message.mutable_attempts_read()->set_clock(5 * kSecond);
    worker.connection().send(message);
    rig.run(10 * kMillisecond);
    rig.submit(client, rig.request(2, "once", 2 * kSecond));
    REQUIRE(worker.attempts().size() == 2);
    CHECK(worker.attempts()[1].not_after() < 8 * kSecond);
    message.mutable_attempts_read()->set_clock(0);
    worker.connection().send(message);
    rig.run(10 * kMillisecond);
    rig.submit(client, rig.request(3, "once", 2 * kSecond));
    CHECK(worker.attempts().at(2).not_after() == 0);
}

TEST_CASE(
    "CancelAttempt for a task cancelled while its worker was disconnected is sent when the worker "
    "reconnects") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient& client = rig.connect_client();
    rig.submit(client, rig.request(1, "free", 20 * kSecond));
    const std::uint64_t attempt = worker.attempts().at(0).attempt();
    worker.accept(attempt);
    rig.run(100 * kMillisecond);
    worker.held_attempts = {attempt};
    worker.connection().stream.reset();  // the connection closes, but the worker keeps running
    rig.run(10 * kMillisecond);
    v1::FromClient cancel;
    cancel.mutable_cancel()->set_id(1);
    client.send(cancel);
    rig.run(3 * kSecond);
    REQUIRE(worker.connections.size() == 2);
    CHECK(worker.connection().count(&v1::ToWorker::has_cancel_attempt) >= 1);
}
