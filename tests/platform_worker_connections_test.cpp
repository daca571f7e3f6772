// The platform's server and its connections to workers: broken, lost, moved, or more than there are
// descriptors; in virtual time.
#include <catch2/catch.hpp>
#include <utility>

#include "support/platform_rig.h"
#include "support/quiet_planner.h"

using namespace whinpost;

TEST_CASE("malformed bytes close a worker's connection: its attempts may have run, its running tasks go on") {
    SingleWorkerRig rig;
    const std::string bytes = GENERATE(std::string("\xff\xff garbage, no message"),
                                       std::string("\x00\x03\x09xy", 5), std::string("\x00\x40\x09half", 7));
    rig.request_placement(rig.client, 1);
    rig.worker.last_connection().answer(1);
    rig.run(20 * kMillisecond);
    rig.request_placement(rig.client, 2, "once");
    REQUIRE(rig.worker.attempts().size() == 2);
    rig.worker.last_connection().send_bytes(bytes);
    rig.run(600 * kMillisecond);
    CHECK(rig.worker.connections[0]->closed);
    CHECK(rig.worker.attempts().size() == 2);  // not retried: it is side-effecting and may have run
    REQUIRE(rig.client.count(MessageType::release, 2) == 1);
    CHECK(rig.client.messages(MessageType::release)[0].cause != platform_codec::Cause::try_later);
    CHECK(rig.client.count(MessageType::release, 1) == 0);
    REQUIRE(rig.worker.connections.size() == 2);  // dialed again for the running task
    rig.worker.connections[1]->release(1, platform_codec::Cause::reset, "evicted");
    rig.run(20 * kMillisecond);
    CHECK(rig.client.count(MessageType::release, 1) == 1);
}

TEST_CASE(
    "each attempt at a worker is sent on a connection of its own, so that one that breaks affects one "
    "attempt") {
    SingleWorkerRig rig;
    QuietPlanner quiet;
    rig.server.set_planner(quiet);
    for (std::uint64_t id = 1; id <= 3; ++id) rig.request_placement(rig.client, id);
    for (const auto n : quiet.submitted) rig.server.place(n, 0, 2 * kSecond);
    rig.run(50 * kMillisecond);
    REQUIRE(rig.worker.connections.size() == 3);
    for (const auto& connection : rig.worker.connections)
        CHECK(connection->messages(MessageType::place_task).size() == 1);
    const std::uint64_t broken = rig.worker.connections[1]->messages(MessageType::place_task)[0].task;
    rig.worker.connections[1]->stream->abort();
    rig.worker.connections[1]->stream.reset();
    rig.run(50 * kMillisecond);
    // The attempt may run on the worker, and its messages would not reach the placer. So it is cancelled, on
    // a connection that is up.
    CHECK(rig.worker.count(MessageType::release, broken) == 1);
    CHECK(rig.worker.count(MessageType::release, 1) + rig.worker.count(MessageType::release, 2) +
              rig.worker.count(MessageType::release, 3) ==
          1);
    for (const auto n : quiet.submitted)
        rig.server.place(n, 0, 2 * kSecond);  // the ledger refuses those that are still in flight
    rig.run(50 * kMillisecond);
    CHECK(rig.worker.count(MessageType::place_task, broken) == 2);
    CHECK(rig.ledger.statistics().refused_to_planner == 2);
}

TEST_CASE("an attempt of a task that is not idempotent is not cancelled when its connection breaks") {
    SingleWorkerRig rig;
    const std::string group = GENERATE("marked", "once");
    rig.request_placement(rig.client, 1, group);
    REQUIRE(rig.worker.attempts().size() == 1);
    rig.worker.last_connection().stream->abort();
    rig.worker.last_connection().stream.reset();
    rig.run(kSecond);
    CHECK(rig.worker.count(MessageType::release, 1) == 0);
}

TEST_CASE(
    "tasks are released within 8 s if their worker's machine vanishes, within 2 s if its process dies") {
    SingleWorkerRig rig;
    const bool vanished = GENERATE(true, false);
    rig.request_placement(rig.client, 1);
    rig.worker.last_connection().answer(1);
    rig.run(kSecond);
    if (vanished) rig.world.vanish(*rig.worker.process);
    else rig.world.kill(*rig.worker.process);
    rig.run(vanished ? 3 * kSecond : 2 * kSecond);
    CHECK(rig.client.count(MessageType::release, 1) == (vanished ? 0u : 1u));
    rig.run(4900 * kMillisecond);
    CHECK(rig.client.count(MessageType::release, 1) == 1);
    CHECK(rig.server.task_count() == 0);
}

TEST_CASE("the connection to a silent worker is kept, since its last messages may be on their way") {
    SingleWorkerRig rig;
    rig.request_placement(rig.client, 1);
    rig.worker.last_connection().answer(1);
    rig.run(12 * kSecond);
    CHECK(!rig.worker.connections[0]->closed);
    CHECK(rig.client.count(MessageType::release, 1) == 0);
    rig.worker.connections[0]->release(1, platform_codec::Cause::ok);
    rig.run(20 * kMillisecond);
    CHECK(rig.client.count(MessageType::release, 1) == 1);
}

TEST_CASE(
    "attempts at a worker that does not read are withdrawn when their client disconnects, unless the kernel "
    "has them") {
    SingleWorkerRig rig(64);
    QuietPlanner quiet;
    rig.server.set_planner(quiet);
    rig.request_placement(rig.client, 1);
    rig.server.place(quiet.submitted[0], 0, 60 * kSecond);
    rig.run(20 * kMillisecond);
    REQUIRE(rig.worker.connections.size() == 1);
    // Further attempts get connections of their own, up to ten.
    const std::string description(1000, 'd');
    Message message;
    message.type = MessageType::place_task;
    message.queue_group = "free";
    message.time_left_ms = "60000";
    message.requirements = "cores:1;memory:2;service:00000000b4d65521";
    message.description = description;
    constexpr std::uint64_t kAttempts = 3200;  // of 1 kB, on ten connections of 256 kB each
    for (std::uint64_t id = 2; id < 2 + kAttempts; ++id) {
        const std::string name = task_name_of(id);
        message.task = id;
        message.task_name = name;
        rig.client.send(message);
        rig.run(kMillisecond);
        rig.server.place(quiet.submitted.back(), 0, 60 * kSecond);
        rig.run(kMillisecond);
        for (const auto& connection : rig.worker.connections)
            if (connection->stream) connection->stream->set_reading(false);
    }
    REQUIRE(quiet.submitted.size() == 1 + kAttempts);
    REQUIRE(rig.worker.connections.size() == 10);
    message.task_name = "0000000000000000";
    message.requirements.reset();  // not sent to workers
    std::string bytes;
    platform_codec::encode(bytes, message);
    const std::size_t size = bytes.size();
    rig.client.stream.reset();
    rig.run(100 * kMillisecond);
    CHECK(rig.server.task_count() == 0);
    for (const auto& connection : rig.worker.connections)
        if (connection->stream) connection->stream->set_reading(true);
    rig.run(kSecond);
    // The kernels hold 256 kB per connection. One more message may be sent in part, and one was read before.
    const std::size_t most = (256u << 10) / size + 2;
    for (const auto& connection : rig.worker.connections) {
        std::size_t attempts = 0;
        for (const TestClient::ReceivedMessage& received_message : connection->received)
            attempts += received_message.type == MessageType::place_task &&
                        received_message.description == description;
        CHECK(attempts <= most);
    }
}

TEST_CASE("no message for a worker that left reaches another worker at the same address") {
    SingleWorkerRig rig;
    rig.request_placement(rig.client, 1);
    rig.worker.last_connection().answer(1);
    rig.run(20 * kMillisecond);
    rig.world.kill(*rig.worker.process);
    rig.worker.listener.reset();
    PlatformRig::FakeWorker& successor = rig.workers["successor"];
    successor.name = "successor";
    successor.address = rig.worker.address;
    successor.process = &rig.world.add_process("10.0.1.1");
    rig.publish({PlatformRig::entry(rig.worker, "left")});
    rig.listen(successor);
    rig.publish({PlatformRig::entry(successor)});
    rig.client.release(1, platform_codec::Cause::cancelled);
    rig.run(3 * kSecond);
    CHECK(successor.connections.empty());
    rig.request_placement(rig.client, 2);
    CHECK(successor.attempts().size() == 1);
}

TEST_CASE("with more workers than descriptors, all in constant use, each worker is reached again and again") {
    constexpr std::size_t kWorkers = 60;
    PlatformRig rig(64);                         // 40 of them for connections
    const bool answers = GENERATE(true, false);  // whether workers answer health checks
    std::vector<PlatformRig::FakeWorker*> workers;
    std::vector<std::string> entries;
    for (std::size_t i = 0; i < kWorkers; ++i) {
        workers.push_back(&rig.add_worker("h" + std::to_string(100 + i)));
        entries.push_back(PlatformRig::entry(*workers.back()));
    }
    rig.start();
    rig.publish(entries, true);
    std::vector<std::size_t> checked(kWorkers);  // health checks received by each worker
    const auto answer_checks = [&] {
        for (std::size_t i = 0; i < kWorkers; ++i)
            for (const auto& connection : workers[i]->connections)
                for (const TestClient::ReceivedMessage& received_message :
                     std::exchange(connection->received, {})) {
                    if (received_message.type != MessageType::health_check) continue;
                    ++checked[i];
                    Message message;
                    message.type = MessageType::health_check_reply;
                    message.task = received_message.task;
                    message.cause = platform_codec::Cause::check_passed;
                    if (answers) connection->send(message);
                }
    };
    for (int part = 0; part < 3; ++part) {
        const std::vector<std::size_t> before = checked;
        // Each connection is used again long before it counts as idle.
        for (const Nanos end = rig.world.now() + 4 * kSecond; rig.world.now() < end;) {
            for (planner::WorkerNumber n = 0; n < kWorkers; ++n) rig.server.check_health(n);
            rig.run(5 * kMillisecond);
            CHECK(rig.server.connection_count() <= 40);
            answer_checks();
        }
        for (std::size_t i = 0; i < kWorkers; ++i) {
            INFO("part " << part << ", host " << i);
            CHECK(checked[i] > before[i]);
        }
    }
}
