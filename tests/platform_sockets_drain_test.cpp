// Graceful shutdown of the platform's server on real sockets: what happens between two of its steps.
#include <catch2/catch.hpp>

#include "support/platform_sockets_rig.h"

using namespace whinpost;

namespace {

constexpr Nanos kPastAccepting = 800 * kMillisecond;  // after the call to end nothing new is taken any more

// The end, as its clients see it: each closes once it sees that we have.
void run_until_drained(SocketRig& rig, std::vector<SocketPeer*> clients, bool& done) {
    rig.run_until([&] {
        if (done) return true;
        for (SocketPeer* client : clients) {
            client->read_available();
            if (client->peer_closed || client->was_reset) client->close();
        }
        return done;
    });
}

// The server has gone, and request 7 of the client was answered all the same.
void check_rejected_not_reset(SocketRig& rig, SocketPeer& client) {
    rig.server.reset();
    client.read_available();
    CHECK(client.count(MessageType::release, 7) == 1);
    CHECK(!client.was_reset);
}

}  // namespace

TEST_CASE(
    "a request that came in two halves round the call to drain is answered, and its connection not reset") {
    SocketRig rig;
    SocketPeer client = rig.connect_client();
    const std::string bytes = SocketRig::place_task(7);
    client.send_bytes(bytes.substr(0, bytes.size() / 2));
    rig.run_until([&] { return rig.server->connection_count() == 1; });
    rig.run_times(3);
    bool done = false;
    rig.server->drain([&] { done = true; });
    rig.run_times(3);
    client.send_bytes(bytes.substr(bytes.size() / 2));
    rig.run_until([&] { return rig.planner.submitted.size() == 1; });
    rig.server->reject(rig.planner.submitted[0], 0);
    run_until_drained(rig, {&client}, done);
    CHECK(client.count(MessageType::release, 7) == 1);
    CHECK(client.peer_closed);
    CHECK(!client.was_reset);
}

TEST_CASE("what lies in the listener's backlog or unread at the end is rejected, not reset") {
    SocketRig rig;
    const bool accepted = GENERATE(false, true);
    SocketPeer client;
    if (accepted) {
        client = rig.connect_client();
        rig.run_until([&] { return rig.server->connection_count() == 1; });
    }
    bool done = false;
    rig.server->drain([&] { done = true; });
    rig.run_times(3);
    // In one pass of the loop, after it has asked the kernel what there is and before it looks round.
    auto between = rig.loop.make_timer([&] {
        if (!accepted) client = rig.connect_client();
        client.send_bytes(SocketRig::place_task(7));
    });
    between->arm(rig.loop.now());
    rig.block_for(kPastAccepting);
    rig.run_once();
    run_until_drained(rig, {&client}, done);
    check_rejected_not_reset(rig, client);
}

TEST_CASE("what a client says while the process ends does not reset the connection that its answer is on") {
    SocketRig rig;
    SocketPeer client = rig.connect_client();
    client.send_bytes(SocketRig::place_task(7));
    rig.run_until([&] { return rig.planner.submitted.size() == 1; });
    bool done = false;
    rig.server->drain([&] {
        done = true;
        if (client.is_open()) client.send_plain(MessageType::progress, 7);
    });
    rig.block_for(kPastAccepting);
    rig.server->reject(rig.planner.submitted[0], 0);
    run_until_drained(rig, {&client}, done);
    check_rejected_not_reset(rig, client);
}

TEST_CASE("what a worker says once clients can be told nothing more is left for the next placer") {
    SocketRig rig;
    ListeningSocket worker;
    rig.publish_initial({SocketRig::entry("h", worker.address())}, true);
    SocketPeer client = rig.connect_client();
    rig.run_task(client, worker, 7);
    bool done = false;
    rig.server->drain([&] { done = true; });
    rig.run_until([&] {
        client.read_available();
        return client.peer_closed;
    });
    worker.connections.back()->release(7, platform_codec::Cause::ok);
    rig.run_until([&] { return done; });
    CHECK(rig.planner.outcomes.empty());
    CHECK(rig.ledger.open_tasks() == 1);
}
