// Attempts: late and repeated acceptances, deadlines, cancellations. In virtual time, each fault caused on
// purpose.
#include <catch2/catch.hpp>

#include "support/server_rig.h"

using namespace whinpost;

TEST_CASE(
    "an acceptance after the deadline: the copy is cancelled where that does no harm, else its client learns "
    "of it") {
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
    const bool harmless = group == std::string("free");
    CHECK(client.count(&v1::ToClient::has_found) == (harmless ? 0 : 1));
    CHECK((worker.connection().count(&v1::ToWorker::has_cancel_attempt) > 0) == harmless);
    CHECK((group != std::string("once") || worker.attempts().size() == 1));
}

TEST_CASE(
    "an acceptance sent twice, and one of an attempt that was given up for another, place the task once") {
    ServerRig rig;
    FakeWorker &worker_a = rig.add_worker("a"), &worker_b = rig.add_worker("b");
    rig.publish({rig.endpoint("a"), rig.endpoint("b")});
    TestClient& client = rig.connect_client();
    rig.submit(client, rig.request(1, "free", 10 * kSecond));
    FakeWorker& first = worker_a.attempts().empty() ? worker_b : worker_a;
    FakeWorker& second = worker_a.attempts().empty() ? worker_a : worker_b;
    // The scheduler gives up the silent attempt and tries the other worker.
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

TEST_CASE("an attempt carries the time after which it must not begin, by the worker's own clock") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    worker.clock = 77 * kSecond;
    rig.publish({rig.endpoint("n")});
    rig.run(100 * kMillisecond);
    const Nanos greeted = rig.network.now();
    TestClient& client = rig.connect_client();
    rig.submit(client, rig.request(1, "once", 2 * kSecond));
    REQUIRE(worker.attempts().size() == 1);
    // The deadline, less what the answer needs: a little under two seconds after the request, and never later
    // by the worker's clock than by the placer's own.
    const Nanos at = worker.attempts()[0].not_after();
    CHECK(at > 78 * kSecond);
    CHECK(at < 77 * kSecond + (rig.network.now() - greeted) + 2 * kSecond + 100 * kMillisecond);
    // A message of the worker sets its clock anew; one without a clock removes it.
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

TEST_CASE("a task cancelled while its worker is disconnected is cancelled there when the worker is back") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient& client = rig.connect_client();
    rig.submit(client, rig.request(1, "free", 20 * kSecond));
    const std::uint64_t attempt = worker.attempts().at(0).attempt();
    worker.accept(attempt);
    rig.run(100 * kMillisecond);
    worker.held_attempts = {attempt};
    worker.connection().stream.reset();  // the connection breaks; the worker lives
    rig.run(10 * kMillisecond);
    v1::FromClient cancel;
    cancel.mutable_cancel()->set_id(1);
    client.send(cancel);
    rig.run(3 * kSecond);
    REQUIRE(worker.connections.size() == 2);
    CHECK(worker.connection().count(&v1::ToWorker::has_cancel_attempt) >= 1);
}
