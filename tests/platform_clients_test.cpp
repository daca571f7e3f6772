// The platform server with well-behaved, misbehaving and disconnecting clients, in virtual time.
#include <catch2/catch.hpp>

#include "support/platform_rig.h"
#include "support/quiet_planner.h"

using namespace whinpost;

namespace {

std::string health_checks(std::uint64_t count) {
    std::string out;
    for (std::uint64_t id = 0; id < count; ++id) {
        Message message;
        message.type = MessageType::health_check;
        message.task = id;
        message.cause = platform_codec::Cause::check_failed;
        platform_codec::encode(out, message);
    }
    return out;
}

}  // namespace

TEST_CASE("clients that send one request and stay connected do not cause a client in use to be evicted") {
    SingleWorkerRig rig(128);
    rig.request_placement(rig.client, 1, "free", 5000);
    rig.worker.last_connection().answer(1);
    rig.run(20 * kMillisecond);
    std::uint64_t id = 1000;
    for (int i = 0; i < 150; ++i) {
        TestClient& once = rig.connect_client(2 + i);
        rig.request_placement(once, ++id, "free", 5000);
        rig.worker.last_connection().release(id, platform_codec::Cause::error);
        if (i % 20 == 0)
            rig.request_placement(rig.client, ++id, "unknown group");  // rejected, and counts as use
    }
    CHECK(!rig.client.closed);
    CHECK(rig.server.connection_count() < 128);
    rig.worker.connections[0]->release(1, platform_codec::Cause::ok);
    rig.run(20 * kMillisecond);
    CHECK(rig.client.count(MessageType::release, 1) == 1);
}

TEST_CASE("a client that sends nothing more keeps its connection while its task runs") {
    SingleWorkerRig rig(128);
    TestClient& quiet = rig.connect_client(2);
    rig.request_placement(quiet, 1, "free", 5000);
    rig.worker.last_connection().answer(1);
    rig.run(20 * kMillisecond);
    std::uint64_t id = 1000;
    for (int i = 0; i < 150; ++i) {
        rig.request_placement(rig.connect_client(3 + i), ++id, "free", 5000);
        for (const auto& connection : rig.worker.connections)
            if (connection->count(MessageType::place_task, id))
                connection->release(id, platform_codec::Cause::error);
    }
    CHECK(!quiet.closed);
    rig.worker.connections[0]->release(1, platform_codec::Cause::ok);
    rig.run(20 * kMillisecond);
    CHECK(quiet.count(MessageType::release, 1) == 1);
}

TEST_CASE("a release from the client cancels its running task at the worker and gets no reply") {
    SingleWorkerRig rig;
    rig.request_placement(rig.client, 1);
    rig.worker.last_connection().answer(1);
    rig.run(20 * kMillisecond);
    rig.client.release(1, platform_codec::Cause::cancelled);
    rig.run(20 * kMillisecond);
    CHECK(rig.worker.count(MessageType::release, 1) == 1);
    rig.worker.last_connection().release(1, platform_codec::Cause::cancelled);
    rig.run(20 * kMillisecond);
    CHECK(rig.client.count(MessageType::release, 1) == 0);
    CHECK(rig.server.task_count() == 0);
}

TEST_CASE("a client that cancels or disconnects gets no answer, and its attempt is cancelled at the worker") {
    SingleWorkerRig rig;
    const bool disconnects = GENERATE(true, false);
    rig.request_placement(rig.client, 1);
    REQUIRE(rig.worker.attempts().size() == 1);
    if (disconnects) rig.client.stream.reset();
    else rig.client.release(1, platform_codec::Cause::given_up);
    rig.run(20 * kMillisecond);
    CHECK(rig.worker.count(MessageType::release, 1) == 1);
    CHECK(answer_count(rig.client, 1) == 0);
    CHECK(rig.server.task_count() == 0);
    CHECK(rig.planner.open_tasks() == 0);
}

TEST_CASE("a client gets a release if another client at its address ends its task or cancels its request") {
    SingleWorkerRig rig;
    TestClient& neighbour = rig.connect_client(1);
    rig.request_placement(rig.client, 1);
    const bool runs = GENERATE(true, false);
    if (runs) rig.worker.last_connection().answer(1);
    rig.run(20 * kMillisecond);
    neighbour.release(1, platform_codec::Cause::given_up);
    rig.run(20 * kMillisecond);
    CHECK(rig.client.count(MessageType::release, 1) == 1);
    CHECK(neighbour.count(MessageType::release, 1) == 0);
    CHECK(rig.worker.count(MessageType::release, 1) == 1);
    CHECK(rig.server.task_count() == 0);
}

TEST_CASE("misbehaving clients are rejected or closed, cause no attempt, and do not affect others") {
    SingleWorkerRig rig;
    TestClient& misbehaving = rig.connect_client(2);
    rig.request_placement(misbehaving, 10, "unknown group");
    CHECK(misbehaving.count(MessageType::release, 10) == 1);
    rig.request_placement(misbehaving, 0);  // id 0, on which a worker would close its connection
    CHECK(misbehaving.count(MessageType::release, 0) == 1);
    rig.request_placement(misbehaving, 11, "free", -5);
    CHECK(misbehaving.count(MessageType::release, 11) == 1);
    CHECK(rig.worker.attempts().empty());
    rig.request_placement(rig.client, 12);
    REQUIRE(rig.worker.attempts().size() == 1);
    rig.request_placement(misbehaving, 12);  // the id of another client's open request
    CHECK(misbehaving.count(MessageType::release, 12) == 1);
    CHECK(rig.client.count(MessageType::release, 12) == 0);
    TestClient& twice = rig.connect_client(3);
    rig.request_placement(twice, 20);
    rig.request_placement(twice, 20, "once");
    CHECK(twice.closed);
    CHECK(twice.count(MessageType::answer, 20) == 0);
    TestClient &garbage = rig.connect_client(4), &silent = rig.connect_client(5),
               &partial = rig.connect_client(6);
    garbage.send_bytes("GET / HTTP/1.1\r\n\r\n");
    partial.send_bytes(std::string("\x00\x20\x01\x01", 4));
    rig.run(2200 * kMillisecond);
    CHECK(garbage.closed);
    CHECK(silent.closed);
    CHECK(partial.closed);
    rig.worker.connections[0]->answer(12);
    rig.run(20 * kMillisecond);
    CHECK(rig.client.count(MessageType::answer, 12) == 1);
}

TEST_CASE(
    "clients whose messages need no answer get releases or are closed; one with a running task stays open") {
    SingleWorkerRig rig;
    TestClient &misbehaving = rig.connect_client(2), &other = rig.connect_client(3),
               &well_behaved = rig.connect_client(4);
    for (std::uint64_t id = 100; id < 5000; ++id) {
        Message message;
        message.type = MessageType::place_task;
        message.task = id;
        const std::string name = task_name_of(id);
        message.queue_group = "free";
        message.task_name = name;
        message.requirements = "cores:1;memory:2;service:00000000b4d65521;at:nowhere";
        misbehaving.send(message);
    }
    other.release(77, platform_codec::Cause::given_up);
    rig.request_placement(well_behaved, 9, "free", 4294967, ";at:h");
    rig.worker.last_connection().report_use(9);
    rig.run(2700 * kMillisecond);
    CHECK(misbehaving.messages(MessageType::release).size() == 4900);
    CHECK(other.closed);
    CHECK(!well_behaved.closed);
    CHECK(well_behaved.received.empty());
    CHECK(rig.server.task_count() == 1);
    CHECK(rig.server.pending_recovery_count() <= 2000);
}

TEST_CASE("a client that reads nothing uses bounded memory") {
    SingleWorkerRig rig;
    TestClient& stalled = rig.connect_client(2);
    stalled.stream->set_reading(false);
    for (int i = 0; i < 40; ++i) {
        stalled.send_bytes(health_checks(200));
        rig.run(5 * kMillisecond);
    }
    rig.run(kSecond);
    CHECK(rig.server.connection_count() <= 2);
}

TEST_CASE(
    "a connection with too much unsent data is closed between two rounds of the planner, not within one") {
    constexpr std::size_t kRequests = 14'000;  // their rejections exceed the limit of unsent data
    struct RejectingPlanner : QuietPlanner {
        explicit RejectingPlanner(platform::PlatformServer& platform_server) : server(platform_server) {}
        void run_round(Nanos) override {
            if (submitted.size() < kRequests) return;
            in_round = true;
            for (std::size_t i = 0; i < kRequests - 50; ++i)
                server.reject(submitted[i], kSecond * 1'000'000'000);
            in_round = false;
        }
        void cancel(Nanos, planner::TaskNumber) override {
            ++cancelled;
            cancelled_in_round += in_round;
        }
        platform::PlatformServer& server;
        bool in_round = false;
        int cancelled = 0, cancelled_in_round = 0;
    };
    PlatformRig rig;
    RejectingPlanner planner(rig.server);
    rig.server.set_planner(planner);
    TestClient& client = rig.connect_client();
    client.stream->set_reading(false);
    Message message;
    message.type = MessageType::place_task;
    message.queue_group = "free";
    message.time_left_ms = "60000";
    message.requirements = "cores:1;memory:2;service:00000000b4d65521";
    message.description = "asked";
    for (std::uint64_t id = 1; id <= kRequests; ++id) {
        const std::string name = task_name_of(id);
        message.task = id;
        message.task_name = name;
        client.send(message);
    }
    rig.run(kSecond);
    REQUIRE(planner.submitted.size() == kRequests);
    CHECK(planner.cancelled == 50);
    CHECK(planner.cancelled_in_round == 0);
    CHECK(rig.server.task_count() == 0);
    rig.run(kSecond);
    CHECK(rig.server.connection_count() == 0);
}

TEST_CASE("the request of a client that stops reading is ended without waiting for a sweep") {
    SingleWorkerRig rig;
    TestClient& stalled = rig.connect_client(2);
    rig.request_placement(stalled, 7);
    REQUIRE(rig.worker.attempts().size() == 1);
    stalled.stream->set_reading(false);
    stalled.send_bytes(health_checks(60'000));
    // Less than the 100 ms between two sweeps.
    for (int i = 0; i < 90 && rig.server.task_count(); ++i) rig.run(kMillisecond);
    CHECK(rig.server.task_count() == 0);
    CHECK(rig.worker.count(MessageType::release, 7) == 1);  // the attempt is cancelled
}
