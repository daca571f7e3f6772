// Attempts of the platform's server on real sockets: answers, closes and cancels that cross.
#include <catch2/catch.hpp>

#include "support/platform_sockets_rig.h"

using namespace whinpost;

TEST_CASE("a cancel that crosses the worker's acceptance leaves nothing running") {
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
        rig.run_times(5);
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

TEST_CASE("an answer and a reset that come together: the task runs, and is started once") {
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
    rig.run_times(20);
    client.read_available();
    worker.accept_and_read();
    REQUIRE(client.received.size() == 1);
    CHECK(client.received[0].type == MessageType::answer);
    CHECK(worker.count(MessageType::place_task, 7) == 1);
    CHECK(rig.server->task_count() == 1);
}

TEST_CASE("a second answer that comes late changes nothing") {
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
    rig.run_times(20);
    client.read_available();
    CHECK(client.received.size() == 2);
    CHECK(!worker.connections.back()->peer_closed);
}

TEST_CASE(
    "an idle connection that its worker closes as an attempt is sent: in doubt, and never twice where that "
    "harms") {
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
    // Written or not, nobody can tell: a deferral would invite it to run twice.
    if (rig.planner.outcomes[0] == AttemptOutcome::reset)
        CHECK(client.received.back().cause == platform_codec::Cause::reset);
    else CHECK(client.received.back().cause == platform_codec::Cause::try_later);
}
