// The platform server's watch of discovery on real sockets.
#include <catch2/catch.hpp>

#include "support/platform_sockets_rig.h"

using namespace whinpost;

TEST_CASE("a watch that receives no complete message in time is opened again from the last event") {
    SocketRig rig;
    const int variant = GENERATE(0, 1, 2, 3);
    // 0: no response at all; 1: silence after an event; 2: an endless response head; 3: an endless event.
    rig.run_until([&] {
        rig.discovery.accept_and_read();
        return rig.discovery.connections.size() == 1 && !rig.discovery.connections[0]->received_bytes.empty();
    });
    SocketPeer& first = *rig.discovery.connections[0];
    if (variant == 1)
        first.send_bytes(SocketRig::response_head() +
                         rig.event({SocketRig::entry("h", "127.0.0.1:1")}, true));
    if (variant == 2) first.send_bytes("HTTP/1.1 200 OK\r\nX-Long: ");
    if (variant == 3) first.send_bytes(SocketRig::response_head() + "data: {");
    rig.run_until([&] {
        rig.discovery.accept_and_read();
        if (variant >= 2 && !first.peer_closed && !first.was_reset && rig.discovery.connections.size() == 1)
            first.send_bytes("a");
        return rig.discovery.connections.size() == 2 && !rig.discovery.connections[1]->received_bytes.empty();
    });
    const std::string last = variant == 1 ? "Last-Event-ID: 1\r\n" : "Last-Event-ID: 0\r\n";
    CHECK(rig.discovery.connections[1]->received_bytes.find(last) != std::string::npos);
}

TEST_CASE(
    "discovery moves in the middle of an event: the event is read from the new address and applied once") {
    SocketRig rig;
    rig.run_until([&] {
        rig.discovery.accept_and_read();
        return rig.discovery.connections.size() == 1 && !rig.discovery.connections[0]->received_bytes.empty();
    });
    const std::string event = rig.event({SocketRig::entry("h", "127.0.0.1:1")}, true);
    rig.discovery.connections[0]->send_bytes(SocketRig::response_head() + event.substr(0, event.size() / 2));
    rig.run_passes(5);
    CHECK(rig.server->worker_count() == 0);
    ListeningSocket other;
    rig.server->discovery_watch().move_to(other.address());
    rig.server->discovery_watch().move_to(other.address());  // no change
    rig.run_until([&] {
        other.accept_and_read();
        return !other.connections.empty() && !other.connections.back()->received_bytes.empty();
    });
    CHECK(other.connections.back()->received_bytes.find("Last-Event-ID: 0\r\n") != std::string::npos);
    other.connections.back()->send_bytes(SocketRig::response_head() + event + event);
    rig.run_until([&] { return rig.server->discovery_watch().last_sequence() == 1; });
    rig.run_passes(5);
    CHECK(rig.server->worker_count() == 1);
    rig.discovery.accept_and_read();
    CHECK(rig.discovery.connections[0]->peer_closed);
}

TEST_CASE("no attempt is sent to a worker that a snapshot omits") {
    SocketRig rig;
    ListeningSocket worker, other;
    rig.publish_initial({SocketRig::entry("h", worker.address()), SocketRig::entry("o", other.address())},
                        true);
    SocketPeer client = rig.connect_client();
    rig.run_task(client, worker, 7);
    client.send_bytes(SocketRig::place_task(8));
    rig.run_until([&] { return rig.planner.submitted.size() == 2; });
    rig.publish_initial({SocketRig::entry("o", other.address())}, true);
    rig.server->place(rig.planner.submitted[1], 0, kSecond);
    rig.run_passes(20);
    worker.accept_and_read();
    CHECK(worker.count(MessageType::place_task, 8) == 0);
    CHECK(rig.ledger.statistics().refused_to_planner == 1);
    // The worker can still release the task that runs there.
    worker.connections.back()->release(7, platform_codec::Cause::ok);
    rig.run_until([&] {
        client.read_available();
        return client.count(MessageType::release, 7) == 1;
    });
}
