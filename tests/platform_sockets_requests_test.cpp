// Requests to the platform server on real sockets: each request that was read is answered.
#include <catch2/catch.hpp>

#include "support/platform_sockets_rig.h"

using namespace whinpost;

TEST_CASE("a request that arrives in single bytes is accepted as one request") {
    SocketRig rig;
    SocketPeer client = rig.connect_client();
    for (const char byte : SocketRig::place_task(7)) {
        client.send_bytes(std::string_view(&byte, 1));
        rig.run_once();
    }
    rig.run_until([&] { return rig.planner.submitted.size() == 1; });
    client.read_available();
    CHECK(client.received.empty());
    CHECK(!client.peer_closed);
}

TEST_CASE("each request that is read together with bytes that end its connection is answered") {
    SocketRig rig;
    SocketPeer client = rig.connect_client();
    Message worker_message;  // a message that only workers send
    worker_message.type = MessageType::answer;
    worker_message.task = 5;
    worker_message.description = "stands";
    std::string ends;
    const int variant = GENERATE(0, 1, 2);
    if (variant == 0) platform_codec::encode(ends, worker_message);
    if (variant == 1) ends = SocketRig::place_task(7);  // the id of an open request
    if (variant == 2) ends = "";
    std::string after =
        variant == 2 ? "GET / HTTP/1.1\r\n\r\n" : SocketRig::place_task(9) + SocketRig::place_task(10);
    client.send_bytes(SocketRig::place_task(7) + SocketRig::place_task(8) + ends + after);
    rig.run_until([&] {
        client.read_available();
        return client.peer_closed || client.was_reset;
    });
    CHECK(!client.was_reset);
    CHECK(client.count(MessageType::release, 7) == 1);
    CHECK(client.count(MessageType::release, 8) == 1);
    CHECK(client.count(MessageType::release, 9) == (variant == 2 ? 0 : 1));
    CHECK(client.count(MessageType::release, 10) == (variant == 2 ? 0 : 1));
    CHECK(rig.server->task_count() == 0);
}

TEST_CASE(
    "while all clients have an open request, the requests of a new client are rejected and it is not reset") {
    SocketRig rig(64);
    std::vector<SocketPeer> clients;
    for (std::uint64_t i = 0; i < 30; ++i) {  // the limit of client connections
        clients.push_back(rig.connect_client());
        clients.back().send_bytes(SocketRig::place_task(100 + i));
        rig.run_until([&] { return rig.planner.submitted.size() == i + 1; });
    }
    for (std::uint64_t id = 7; id < 27; ++id) {
        SocketPeer newcomer = rig.connect_client();
        if (id % 2) rig.run_passes(3);  // the requests arrive with the connection, or after it
        newcomer.send_bytes(SocketRig::place_task(id) + SocketRig::place_task(id + 1000));
        rig.run_until([&] {
            newcomer.read_available();
            return newcomer.peer_closed || newcomer.was_reset;
        });
        CHECK(!newcomer.was_reset);
        CHECK(newcomer.count(MessageType::release, id) == 1);
        CHECK(newcomer.count(MessageType::release, id + 1000) == 1);
    }
    CHECK(rig.planner.submitted.size() == 30);
    for (SocketPeer& client : clients) {
        client.read_available();
        CHECK(client.received.empty());
        CHECK(!client.peer_closed);
    }
}

TEST_CASE("the time left that is sent to a worker excludes the time for which the request was unread") {
    SocketRig rig;
    ListeningSocket worker;
    rig.publish_initial({SocketRig::entry("h", worker.address())}, true);
    constexpr int kTimeLeft = 30'000, kUnreadFor = 400;  // milliseconds
    const bool new_connection = GENERATE(false, true);
    SocketPeer client;
    if (!new_connection) {
        client = rig.connect_client();
        rig.run_until([&] { return rig.server->connection_count() == 1; });
    }
    rig.run_passes(2);
    if (new_connection) client = rig.connect_client();
    client.send_bytes(SocketRig::place_task(7, "free", "", kTimeLeft));
    rig.block_for(kUnreadFor * kMillisecond);
    rig.run_passes(1);  // a new connection is accepted in one pass and read in the next
    rig.run_until([&] { return rig.planner.submitted.size() == 1; });
    rig.server->place(rig.planner.submitted[0], 0, kTimeLeft * kMillisecond);
    rig.run_until([&] {
        worker.accept_and_read();
        return worker.count(MessageType::place_task, 7) == 1;
    });
    CHECK(std::stoi(worker.connections.back()->messages(MessageType::place_task)[0].time_left_ms) <=
          kTimeLeft - kUnreadFor);
}
