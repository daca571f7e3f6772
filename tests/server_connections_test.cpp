// Workers that break off, die, hang or are somebody else. In virtual time, each fault caused on purpose.
#include <catch2/catch.hpp>

#include "support/server_rig.h"

using namespace whinpost;

TEST_CASE("a worker disconnected in between accepts when it is back, and the task counts as placed there") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient& client = rig.connect_client();
    rig.submit(client, rig.request(1, "once", 20 * kSecond));
    REQUIRE(worker.attempts().size() == 1);
    worker.held_attempts = {worker.attempts()[0].attempt()};
    worker.connection().stream->abort();
    worker.connection().stream.reset();
    rig.run(2 * kSecond);  // it is dialled again and greets with what it holds
    CHECK(worker.connections.size() == 2);
    CHECK(client.count(&v1::ToClient::has_placed) == 1);
    CHECK(worker.attempts().size() == 1);
}

TEST_CASE(
    "an attempt that the worker says it never received is sent again, even of a task that must not run "
    "twice") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient& client = rig.connect_client();
    rig.submit(client, rig.request(1, "once", 20 * kSecond));
    REQUIRE(worker.attempts().size() == 1);
    worker.connection().stream->abort();
    worker.connection().stream.reset();
    rig.run(5 * kSecond);
    REQUIRE(worker.attempts().size() == 2);
    CHECK(worker.attempts()[1].attempt() != worker.attempts()[0].attempt());
    worker.accept(worker.attempts()[1].attempt());
    rig.run(kSecond);
    CHECK(client.count(&v1::ToClient::has_placed) == 1);
    CHECK(final_answers(client) == 1);
}

TEST_CASE(
    "a worker killed with thirty attempts in flight: idempotent tasks go elsewhere, the rest is answered "
    "honestly") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient& client = rig.connect_client();
    for (std::uint64_t i = 1; i <= 30; ++i) {
        rig.submit(client, rig.request(i, i % 3 == 0 ? "once" : i % 3 == 1 ? "free" : "marked", 8 * kSecond));
        rig.run(400 * kMillisecond);  // beyond what the scheduler lets wait at one worker
    }
    const std::size_t sent = worker.attempts().size();
    REQUIRE(sent >= 8);
    rig.kill_worker(worker);
    FakeWorker& other = rig.add_worker("m");
    rig.publish({rig.endpoint("m", 1, 5)});
    for (int i = 0; i < 200; ++i) {
        rig.run(50 * kMillisecond);
        if (other.connections.empty()) continue;
        static std::size_t answered = 0;
        const auto attempts = other.attempts();
        if (i == 0) answered = 0;
        for (std::size_t index = 0; index < attempts.size(); ++index)
            if (index >= answered) other.accept(attempts[index].attempt());
        answered = attempts.size();
    }
    CHECK(final_answers(client) == 30);
    // The side-effecting ones that had been sent are never sent again.
    std::vector<std::string> at_worker;
    for (const v1::StartAttempt& attempt : worker.attempts())
        if (attempt.queue_group() == 2) at_worker.push_back(attempt.task());
    for (const v1::StartAttempt& attempt : other.attempts())
        CHECK(std::find(at_worker.begin(), at_worker.end(), attempt.task()) == at_worker.end());
    CHECK(rig.placer->server.statistics().planner_faults == 0);
}

TEST_CASE(
    "the task of a worker that dies between acceptance and start is lost once another incarnation greets, "
    "and not before") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient& client = rig.connect_client();
    rig.submit(client, rig.request(1));
    worker.accept(worker.attempts().at(0).attempt());
    rig.run(100 * kMillisecond);
    rig.kill_worker(worker);
    rig.run(5 * kSecond);
    CHECK(client.count(&v1::ToClient::has_ended) == 0);  // disconnected is not dead
    worker.incarnation = 2;
    rig.start_worker(worker);
    rig.run(10 * kSecond);
    REQUIRE(client.count(&v1::ToClient::has_ended) == 1);
    CHECK(client.messages(&v1::ToClient::has_ended)[0].ended().outcome() == v1::TaskEnded::LOST);
}

TEST_CASE("a worker that accepts the connection and never reads costs its tasks a moment, not their chance") {
    ServerRig rig;
    rig.add_worker("mute", true);
    rig.publish({rig.endpoint("mute")});
    TestClient& client = rig.connect_client();
    rig.submit(client, rig.request(1, "once", 8 * kSecond));
    FakeWorker& good = rig.add_worker("good");
    rig.publish({rig.endpoint("mute"), rig.endpoint("good")});
    rig.run(3 * kSecond);
    REQUIRE(good.attempts().size() ==
            1);  // side-effecting: only because the first attempt is proven never to have been sent
    good.accept(good.attempts()[0].attempt());
    rig.run(kSecond);
    CHECK(client.count(&v1::ToClient::has_placed) == 1);
}

TEST_CASE(
    "a worker that greets with another name than the endpoint list has for its address is rejected with an "
    "error") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    worker.name = "imposter";
    rig.publish({rig.endpoint("n")});
    rig.run(kSecond);
    REQUIRE(!worker.connections.empty());
    REQUIRE(worker.connections[0]->count(&v1::ToWorker::has_error) == 1);
    CHECK(worker.connections[0]->messages(&v1::ToWorker::has_error)[0].error().text().find("hello.name") ==
          0);
}

TEST_CASE("a placer without file descriptors keeps what it has and dials again") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient& client = rig.connect_client();
    rig.run(100 * kMillisecond);
    rig.placer_process->files(-1);
    worker.connection().stream->abort();
    worker.connection().stream.reset();
    rig.run(2 * kSecond);
    rig.submit(client, rig.request(1));
    CHECK(client.count(&v1::ToClient::has_received) == 1);
    rig.placer_process->files(100);
    rig.run(8 * kSecond);
    CHECK(rig.placer->server.connection("n")->state() == worker_connection::ConnectionState::up);
}
