// Releases and running tasks that outlive a connection or a placer, in virtual time.
#include <catch2/catch.hpp>

#include "support/platform_rig.h"
#include "support/quiet_planner.h"

using namespace whinpost;

TEST_CASE("a release whose client has no open connection is sent on the next one from its address") {
    SingleWorkerRig rig;
    rig.request_placement(rig.client, 1);
    rig.worker.last_connection().answer(1);
    rig.run(20 * kMillisecond);
    rig.client.stream.reset();
    rig.run(20 * kMillisecond);
    rig.worker.last_connection().release(1, platform_codec::Cause::ok);
    rig.run(2 * kSecond);
    TestClient& stranger = rig.connect_client(2);
    rig.request_placement(stranger, 50, "unknown group");
    CHECK(stranger.count(MessageType::release, 1) == 0);
    TestClient& reconnected = rig.connect_client(1);
    rig.request_placement(reconnected, 51, "unknown group");
    CHECK(reconnected.count(MessageType::release, 1) == 1);
}

TEST_CASE("a reported running task is adopted once, also if its worker is listed only later") {
    PlatformRig rig;
    rig.start();
    PlatformRig::FakeWorker& worker = rig.add_worker("h");
    TestClient& client = rig.connect_client();
    const bool early = GENERATE(true, false);
    if (!early) rig.publish({PlatformRig::entry(worker)}, true);
    rig.request_placement(client, 1, "free", 4294967, ";at:h");
    rig.request_placement(client, 1, "free", 4294967, ";at:h");
    if (early) rig.publish({PlatformRig::entry(worker)}, true);
    CHECK(client.received.empty());
    CHECK(rig.server.task_count() == 1);
    rig.run(50 * kMillisecond);
    CHECK(worker.attempts().empty());
    REQUIRE(worker.connections.size() == 1);  // opened to receive the task's end
    worker.last_connection().release(1, platform_codec::Cause::ok);
    rig.run(20 * kMillisecond);
    CHECK(client.count(MessageType::release, 1) == 1);
}

TEST_CASE(
    "a migration without a connection of its client waits for one, and is dropped if the drain is over") {
    SingleWorkerRig rig;
    QuietPlanner quiet;
    rig.server.set_planner(quiet);
    rig.request_placement(rig.client, 1);
    REQUIRE(quiet.submitted.size() == 1);
    rig.server.place(quiet.submitted[0], 0, kSecond);
    rig.run(20 * kMillisecond);
    rig.worker.last_connection().answer(1);
    rig.run(20 * kMillisecond);
    rig.client.stream.reset();
    const bool still_draining = GENERATE(true, false);
    rig.publish({PlatformRig::entry(rig.worker, "leaving")});
    rig.server.migrate(quiet.submitted[0]);
    rig.run(100 * kMillisecond);
    CHECK(rig.worker.count(MessageType::release, 1) == 0);
    if (!still_draining) rig.publish({PlatformRig::entry(rig.worker)});
    TestClient& reconnected = rig.connect_client(1);
    rig.request_placement(reconnected, 51, "unknown group");
    rig.run(40 * kMillisecond);
    CHECK(reconnected.count(MessageType::migrate, 1) == (still_draining ? 1u : 0u));
    CHECK(rig.worker.count(MessageType::release, 1) == (still_draining ? 1u : 0u));
    CHECK(rig.server.task_count() == (still_draining ? 0u : 1u));
}

TEST_CASE("a repeated report from the same address has the task's end sent to the newer connection too") {
    SingleWorkerRig rig;
    rig.request_placement(rig.client, 1);
    rig.worker.last_connection().answer(1);
    rig.run(20 * kMillisecond);
    TestClient &reporting_again = rig.connect_client(1), &stranger = rig.connect_client(2);
    TestClient& neighbour = rig.connect_client(1);  // another client at the same address
    rig.request_placement(reporting_again, 1, "free", 4294967, ";at:h");
    rig.request_placement(stranger, 1, "free", 4294967, ";at:h");
    neighbour.send_bytes(place_task_bytes(1, "free", 4294967, ";at:h", 77));
    rig.run(3 * kSecond);
    CHECK_FALSE(reporting_again.closed);
    CHECK(neighbour.closed);
    CHECK(neighbour.received.empty());
    CHECK(stranger.closed);  // from another address: gets no release and is closed
    rig.worker.last_connection().release(1, platform_codec::Cause::ok);
    rig.run(20 * kMillisecond);
    // The end is sent to both connections: the first may be dead, or the second may be another client's.
    CHECK(reporting_again.count(MessageType::release, 1) == 1);
    CHECK(rig.client.count(MessageType::release, 1) == 1);
    CHECK(stranger.received.empty());
}

TEST_CASE("the end of a task is sent to each client that reported it, in whatever order they reported") {
    SingleWorkerRig rig;
    TestClient &first = rig.connect_client(2), &owner = rig.connect_client(3);
    rig.request_placement(first, 1, "free", 4294967, ";at:h");
    owner.send_plain_check();
    owner.send_bytes(place_task_bytes(1, "free", 4294967, ";at:h", 77));
    rig.run(20 * kMillisecond);
    rig.worker.last_connection().release(1, platform_codec::Cause::ok);
    rig.run(20 * kMillisecond);
    CHECK(first.count(MessageType::release, 1) == 1);
    CHECK(owner.count(MessageType::release, 1) == 1);
}

TEST_CASE("of two clients that report a task, the one without another confirmed task is closed") {
    SingleWorkerRig rig;
    TestClient &first = rig.connect_client(2), &owner = rig.connect_client(2);
    const auto report = [&rig](TestClient& client, std::uint64_t id, std::uint64_t name) {
        client.send_bytes(place_task_bytes(id, "free", 4294967, ";at:h", name));
        rig.run(20 * kMillisecond);
        rig.worker.last_connection().report_use(id);
        rig.run(20 * kMillisecond);
    };
    report(first, 1, 77);
    report(owner, 2, 2);
    report(owner, 1, 1);
    rig.run(2800 * kMillisecond);
    CHECK(first.closed);
    CHECK_FALSE(owner.closed);
    rig.worker.last_connection().release(1, platform_codec::Cause::ok);
    rig.run(20 * kMillisecond);
    CHECK(owner.count(MessageType::release, 1) == 1);
}

TEST_CASE(
    "a migration that its client may not have received is followed by a release on another connection") {
    SingleWorkerRig rig;
    QuietPlanner quiet;
    rig.server.set_planner(quiet);
    rig.request_placement(rig.client, 1);
    REQUIRE(quiet.submitted.size() == 1);
    rig.server.place(quiet.submitted[0], 0, kSecond);
    rig.run(20 * kMillisecond);
    rig.worker.last_connection().answer(1);
    TestClient& other = rig.connect_client(1);
    rig.request_placement(other, 51, "unknown group");
    rig.server.migrate(quiet.submitted[0]);
    rig.run(100 * kMillisecond);
    CHECK(rig.client.count(MessageType::migrate, 1) == 1);
    const bool is_placed_again = GENERATE(true, false);
    if (is_placed_again) rig.client.send_bytes(place_task_bytes(2, "free", 5000, "", 1));
    rig.run(1500 * kMillisecond);
    CHECK(other.count(MessageType::release, 1) == (is_placed_again ? 0u : 1u));
    CHECK(rig.client.count(MessageType::release, 1) == 0);
}

TEST_CASE("a disconnected client receives the end of its task though another client reported that task") {
    SingleWorkerRig rig;
    TestClient& owner = rig.connect_client(2);
    rig.request_placement(owner, 1, "free", 4294967, ";at:h");
    rig.worker.last_connection().report_use(1);
    rig.run(20 * kMillisecond);
    owner.stream.reset();
    rig.run(20 * kMillisecond);
    TestClient& other = rig.connect_client(3);
    other.send_bytes(place_task_bytes(1, "free", 4294967, ";at:h", 77));
    rig.run(20 * kMillisecond);
    rig.worker.last_connection().release(1, platform_codec::Cause::ok);
    rig.run(20 * kMillisecond);
    TestClient& reconnected = rig.connect_client(2);
    rig.request_placement(reconnected, 51, "unknown group");
    CHECK(reconnected.count(MessageType::release, 1) == 1);
}

TEST_CASE("a disconnected client receives the end of its task after another client has ended it") {
    SingleWorkerRig rig;
    rig.request_placement(rig.client, 1);
    rig.worker.last_connection().answer(1);
    rig.run(20 * kMillisecond);
    rig.client.stream.reset();
    rig.run(20 * kMillisecond);
    TestClient& other = rig.connect_client(3);
    other.release(1, platform_codec::Cause::given_up);
    rig.run(20 * kMillisecond);
    TestClient& reconnected = rig.connect_client(1);
    rig.request_placement(reconnected, 51, "unknown group");
    CHECK(reconnected.count(MessageType::release, 1) == 1);
    CHECK(other.count(MessageType::release, 1) == 0);
}
