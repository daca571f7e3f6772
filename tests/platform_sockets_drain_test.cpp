// Graceful shutdown of the platform server on real sockets: messages that arrive between two steps of a
// drain.
#include <catch2/catch.hpp>

#include "support/platform_sockets_rig.h"

using namespace whinpost;

namespace {

// This long after drain(), new requests are rejected.
constexpr Nanos kPastRequestAcceptance = 800 * kMillisecond;

// Runs the loop until the drain is done; each client closes its side once the server has closed.
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

// Destroys the server. The client must have received the release of request 7, and no reset.
void check_rejected_not_reset(SocketRig& rig, SocketPeer& client) {
    rig.server.reset();
    client.read_available();
    CHECK(client.count(MessageType::release, 7) == 1);
    CHECK(!client.was_reset);
}

}  // namespace

TEST_CASE(
    "a request with one half before drain() and one after is answered, and its connection is not reset") {
    SocketRig rig;
    SocketPeer client = rig.connect_client();
    const std::string bytes = SocketRig::place_task(7);
    client.send_bytes(bytes.substr(0, bytes.size() / 2));
    rig.run_until([&] { return rig.server->connection_count() == 1; });
    rig.run_passes(3);
    bool done = false;
    rig.server->drain([&] { done = true; });
    rig.run_passes(3);
    client.send_bytes(bytes.substr(bytes.size() / 2));
    rig.run_until([&] { return rig.planner.submitted.size() == 1; });
    rig.server->reject(rig.planner.submitted[0], 0);
    run_until_drained(rig, {&client}, done);
    CHECK(client.count(MessageType::release, 7) == 1);
    CHECK(client.peer_closed);
    CHECK(!client.was_reset);
}

TEST_CASE("a request that is in the listen backlog or unread at the end of a drain is rejected, not reset") {
    SocketRig rig;
    const bool accepted = GENERATE(false, true);
    SocketPeer client;
    if (accepted) {
        client = rig.connect_client();
        rig.run_until([&] { return rig.server->connection_count() == 1; });
    }
    bool done = false;
    rig.server->drain([&] { done = true; });
    rig.run_passes(3);
    // Runs within one pass of the loop, after the loop has polled the kernel and before the drain's sweep.
    auto mid_pass = rig.loop.make_timer([&] {
        if (!accepted) client = rig.connect_client();
        client.send_bytes(SocketRig::place_task(7));
    });
    mid_pass->arm(rig.loop.now());
    rig.block_for(kPastRequestAcceptance);
    rig.run_once();
    run_until_drained(rig, {&client}, done);
    check_rejected_not_reset(rig, client);
}

TEST_CASE(
    "a message from a client at the end of a drain does not reset the connection that carries its answer") {
    SocketRig rig;
    SocketPeer client = rig.connect_client();
    client.send_bytes(SocketRig::place_task(7));
    rig.run_until([&] { return rig.planner.submitted.size() == 1; });
    bool done = false;
    rig.server->drain([&] {
        done = true;
        if (client.is_open()) client.send_plain(MessageType::progress, 7);
    });
    rig.block_for(kPastRequestAcceptance);
    rig.server->reject(rig.planner.submitted[0], 0);
    run_until_drained(rig, {&client}, done);
    check_rejected_not_reset(rig, client);
}

TEST_CASE("a worker's release that arrives after client connections were closed is left to the next placer") {
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
