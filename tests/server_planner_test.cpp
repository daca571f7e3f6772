// The server with a planner that makes no decisions or invalid ones. Runs in virtual time with injected
// faults.
#include <catch2/catch.hpp>

#include "support/quiet_planner.h"
#include "support/server_rig.h"

using namespace whinpost;

TEST_CASE(
    "with a planner that never answers, a task is rejected before its deadline if it was not sent, else "
    "failed") {
    ServerRig rig;
    QuietPlanner silent;
    rig.placer->server.set_planner(silent);
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient& client = rig.connect_client();
    rig.submit(client, rig.request(1, "once"));
    rig.submit(client, rig.request(2, "once"));
    rig.placer->server.place(silent.submitted.at(1), 0, 60 * kSecond);
    rig.run(100 * kMillisecond);
    REQUIRE(worker.attempts().size() == 1);
    const Nanos start = rig.network.now();
    while (final_answers(client) < 2 && rig.network.now() < start + 5 * kSecond) rig.run(kMillisecond);
    CHECK(rig.network.now() - start < 2 * kSecond);  // before the client's deadline
    REQUIRE(client.count(&v1::ToClient::has_rejected) == 1);
    CHECK(client.messages(&v1::ToClient::has_rejected)[0].rejected().id() == 1);
    CHECK(client.count(&v1::ToClient::has_failed) == 1);
    CHECK(rig.placer->ledger->statistics().answered_by_deadline == 2);

    SECTION("invalid decisions of the planner are refused and counted") {
        rig.submit(client, rig.request(3, "once"));
        const auto task = silent.submitted.at(2);
        rig.placer->server.place(task, 0, 60 * kSecond);
        rig.placer->server.place(task, 0, 60 * kSecond);
        rig.placer->server.place(task, 99, 60 * kSecond);
        rig.placer->server.place(12345, 0, 60 * kSecond);
        rig.placer->server.reject(task, 0);
        rig.run(100 * kMillisecond);
        CHECK(worker.attempts().size() == 2);
        CHECK(rig.placer->server.statistics().planner_faults == 4);
        CHECK(client.count(&v1::ToClient::has_rejected) == 1);
    }
}
