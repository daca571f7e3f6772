// Releases and running tasks that outlive a connection or a placer; in virtual time.
#include <catch2/catch.hpp>

#include "support/platform_rig.h"

using namespace whinpost;

TEST_CASE("a release whose client has no connection open is sent on the next one from its address") {
    SingleWorkerRig rig;
    rig.request_placement(rig.client, 1);
    rig.worker.last_connection().answer(1);
    rig.run(20 * kMillisecond);
    rig.client.stream.reset();
    rig.run(20 * kMillisecond);
    rig.worker.last_connection().release(1, platform_codec::Cause::ok);
    rig.run(2 * kSecond);
    TestClient& stranger = rig.connect_client(2);
    rig.request_placement(stranger, 50, "nothing known");
    CHECK(stranger.count(MessageType::release, 1) == 0);
    TestClient& back = rig.connect_client(1);
    rig.request_placement(back, 51, "nothing known");
    CHECK(back.count(MessageType::release, 1) == 1);
}

TEST_CASE("a task that runs already is adopted, also before its worker is listed, and once only") {
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
    REQUIRE(worker.connections.size() == 1);  // its end may come on any connection, so there is one
    worker.last_connection().release(1, platform_codec::Cause::ok);
    rig.run(20 * kMillisecond);
    CHECK(client.count(MessageType::release, 1) == 1);
}
