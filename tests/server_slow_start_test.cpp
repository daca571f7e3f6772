// The server and workers in slow start. Runs in virtual time with injected faults.
#include <catch2/catch.hpp>

#include "support/server_rig.h"

using namespace whinpost;

TEST_CASE(
    "a restarted worker is treated as in slow start from its greeting on, before the endpoint list reports "
    "it") {
    ServerRig rig(
        "[cold]\nfrom = 0.2\nwarm_after_ms = 10000\nmultiple = 2\nwindow_ms = 1000\nalways_borne = 4\n");
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    rig.run(100 * kMillisecond);
    rig.kill_worker(worker);
    worker.incarnation = 2;
    worker.uptime = 200 * kMillisecond;
    rig.start_worker(worker);
    rig.run(500 * kMillisecond);
    const std::size_t before = worker.attempts().size();
    TestClient& client = rig.connect_client();
    for (std::uint64_t id = 1; id <= 30; ++id)
        rig.submit(client, rig.request(id, "free", 800 * kMillisecond));
    // 1.5 s have passed: at most two windows of 1 s with 4 attempts each.
    CHECK(worker.attempts().size() - before <= 8);
    CHECK(worker.attempts().size() > before);
}
