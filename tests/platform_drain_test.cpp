// Graceful shutdown of the platform server, in virtual time.
#include <catch2/catch.hpp>

#include "support/platform_rig.h"

using namespace whinpost;

TEST_CASE(
    "a draining server fails health checks, accepts requests for a while, answers all of them, then ends") {
    SingleWorkerRig rig;
    rig.request_placement(rig.client, 1);
    bool ended = false;
    rig.server.drain([&ended] { ended = true; });
    Message check;
    check.type = MessageType::health_check;
    check.task = 9;
    check.cause = platform_codec::Cause::check_failed;
    rig.client.send(check);
    rig.request_placement(rig.client, 2);
    CHECK(rig.worker.attempts().size() == 2);
    REQUIRE(rig.client.messages(MessageType::health_check_reply).size() == 1);
    CHECK(rig.client.messages(MessageType::health_check_reply)[0].cause ==
          platform_codec::Cause::check_failed);
    rig.run(kSecond);
    CHECK(!ended);
    rig.request_placement(rig.client, 3);
    CHECK(rig.client.count(MessageType::release, 3) == 1);
    for (const auto& connection : rig.worker.connections)
        for (const auto& attempt : connection->messages(MessageType::place_task))
            connection->answer(attempt.task);
    rig.run(200 * kMillisecond);
    CHECK(ended);
    CHECK(rig.client.messages(MessageType::answer).size() == 2);
}
