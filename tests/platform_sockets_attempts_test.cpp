// Attempts of the platform server on real sockets: answers, closes and cancels that cross each other.
#include <catch2/catch.hpp>

#include "support/platform_sockets_rig.h"

using namespace whinpost;

TEST_CASE("a cancel that crosses the worker's answer leaves no task running") {
    SocketRig rig;
    ListeningSocket worker;
    rig.publish_initial({SocketRig::entry("h", worker.address())}, true);
    SocketPeer client = rig.connect_client();
    rig.start_attempt(client, worker, 7);
    if (GENERATE(true, false)) {
        worker.connections.back()->answer(7);
        client.release(7, platform_codec::Cause::given_up);
    } else {
        client.release(7, platform_codec::Cause::given_up);
        rig.run_passes(5);
        worker.connections.back()->answer(7);
    }
    rig.run_until([&] {
        worker.accept_and_read();
        return worker.count(MessageType::release, 7) >= 1 && rig.server->task_count() == 0;
    });
    client.read_available();
    CHECK(client.count(MessageType::answer, 7) + client.count(MessageType::release, 7) <= 1);
    CHECK(worker.count(MessageType::place_task, 7) == 1);
}

TEST_CASE("a worker's answer followed by a reset: the task counts as running and is started once") {
    SocketRig rig;
    ListeningSocket worker;
    rig.publish_initial({SocketRig::entry("h", worker.address())}, true);
    SocketPeer client = rig.connect_client();
    rig.start_attempt(client, worker, 7, "once");
    worker.connections.back()->answer(7);
    worker.connections.back()->reset_connection();
    rig.run_until([&] {
        client.read_available();
        return !client.received.empty();
    });
    rig.run_passes(20);
    client.read_available();
    worker.accept_and_read();
    REQUIRE(client.received.size() == 1);
    CHECK(client.received[0].type == MessageType::answer);
    CHECK(worker.count(MessageType::place_task, 7) == 1);
    CHECK(rig.server->task_count() == 1);
}

TEST_CASE("later answers of a worker to the same attempt are ignored") {
    SocketRig rig;
    ListeningSocket worker;
    rig.publish_initial({SocketRig::entry("h", worker.address())}, true);
    SocketPeer client = rig.connect_client();
    rig.run_task(client, worker, 7);
    worker.connections.back()->answer(7, "another");
    worker.connections.back()->release(7, platform_codec::Cause::ok);
    worker.connections.back()->answer(7, "once more");
    rig.run_until([&] {
        client.read_available();
        return client.count(MessageType::release, 7) == 1;
    });
    rig.run_passes(20);
    client.read_available();
    CHECK(client.received.size() == 2);
    CHECK(!worker.connections.back()->peer_closed);
}

TEST_CASE(
    "a worker closes an idle connection as an attempt is sent: a task of `once` is not deferred after a "
    "reset") {
    SocketRig rig;
    ListeningSocket worker;
    rig.publish_initial({SocketRig::entry("h", worker.address())}, true);
    SocketPeer client = rig.connect_client();
    rig.run_task(client, worker, 7);
    client.send_bytes(SocketRig::place_task(8, "once"));
    rig.run_until([&] { return rig.planner.submitted.size() == 2; });
    worker.connections.back()->close();
    rig.server->place(rig.planner.submitted[1], 0, 10 * kSecond);
    rig.run_until([&] { return !rig.planner.outcomes.empty(); });
    CHECK(rig.planner.outcomes[0] != AttemptOutcome::completed);
    rig.server->reject(rig.planner.submitted[1], 0);
    rig.run_until([&] {
        client.read_available();
        return client.count(MessageType::release, 8) == 1;
    });
    // After a reset the worker may have received the attempt: with `try_later` the client could run the task
    // twice.
    if (rig.planner.outcomes[0] == AttemptOutcome::reset)
        CHECK(client.received.back().cause == platform_codec::Cause::reset);
    else CHECK(client.received.back().cause == platform_codec::Cause::try_later);
}
