// Clients of the platform server on real sockets: closes and cancels that arrive at an unfavourable moment.
#include <catch2/catch.hpp>

#include "support/platform_sockets_rig.h"

using namespace whinpost;

TEST_CASE("no second attempt is made for a client that closes as its first one is rejected") {
    SocketRig rig;
    ListeningSocket worker;
    rig.publish_initial({SocketRig::entry("h", worker.address())}, true);
    SocketPeer client = rig.connect_client();
    const auto task = rig.start_attempt(client, worker, 7);
    const bool has_unread_requests = GENERATE(false, true);  // other requests are unread before its close
    if (has_unread_requests)
        for (std::uint64_t id = 100; id < 150; ++id)
            client.send_bytes(SocketRig::place_task(id, "no such class"));
    worker.connections.back()->release(7, platform_codec::Cause::full);
    client.close();
    rig.run_until([&] { return rig.server->task_count() == 0; });
    rig.server->place(task, 0, kSecond);
    rig.run_passes(20);
    worker.accept_and_read();
    CHECK(worker.count(MessageType::place_task, 7) == 1);
}

TEST_CASE("a client that closes while its attempt waits for a connection: nothing is sent once that is up") {
    SocketRig rig;
    ListeningSocket worker(0);
    SocketPeer backlog[] = {SocketPeer::dial(worker.port())};  // fills the listen backlog of the worker
    rig.publish_initial({SocketRig::entry("h", worker.address())}, true);
    SocketPeer client = rig.connect_client();
    client.send_bytes(SocketRig::place_task(7));
    rig.run_until([&] { return rig.planner.submitted.size() == 1; });
    rig.server->place(rig.planner.submitted[0], 0, 10 * kSecond);
    rig.run_passes(5);
    client.close();
    rig.run_until([&] { return rig.server->task_count() == 0; });
    rig.run_until([&] {
        worker.accept_and_read();
        return worker.connections.size() == 2;
    });
    rig.run_passes(20);
    worker.accept_and_read();
    CHECK(worker.count(MessageType::place_task, 7) == 0);
    backlog[0].close();
}

TEST_CASE("a client may cancel a task on another of its connections") {
    SocketRig rig;
    ListeningSocket worker;
    rig.publish_initial({SocketRig::entry("h", worker.address())}, true);
    SocketPeer client = rig.connect_client(), other = rig.connect_client();
    const auto task = rig.start_attempt(client, worker, 7);
    worker.connections.back()->release(7, platform_codec::Cause::full);
    rig.run_until([&] { return rig.planner.outcomes.size() == 1; });
    other.release(7, platform_codec::Cause::given_up);
    rig.run_until([&] { return rig.server->task_count() == 0; });
    rig.server->place(task, 0, kSecond);
    rig.run_passes(20);
    worker.accept_and_read();
    CHECK(worker.count(MessageType::place_task, 7) == 1);
}

TEST_CASE("a client that half-closes its connection is answered, and no attempt is made for it") {
    SocketRig rig;
    ListeningSocket worker;
    rig.publish_initial({SocketRig::entry("h", worker.address())}, true);
    SocketPeer client = rig.connect_client();
    client.send_bytes(SocketRig::place_task(7));
    rig.run_until([&] { return rig.planner.submitted.size() == 1; });
    client.half_close();
    rig.run_until([&] {
        client.read_available();
        return client.count(MessageType::release, 7) == 1;
    });
    rig.server->place(rig.planner.submitted[0], 0, kSecond);
    rig.run_passes(20);
    worker.accept_and_read();
    CHECK(worker.count(MessageType::place_task, 7) == 0);
    CHECK(rig.server->task_count() == 0);
}

TEST_CASE("no attempt is sent for a client whose close or cancel is still unread") {
    SocketRig rig;
    ListeningSocket worker;
    rig.publish_initial({SocketRig::entry("h", worker.address())}, true);
    rig.server->check_health(0);  // opens a connection to the worker
    rig.run_until([&] {
        return rig.server->connection_count() == 1 &&
               (worker.accept_and_read(), worker.received_byte_count() > 0);
    });
    SocketPeer client = rig.connect_client();
    const int variant = GENERATE(0, 1, 2);
    constexpr int kFlood = 160 << 10;  // bytes; over twice what one read takes
    client.set_send_buffer(kFlood);
    std::string bytes = SocketRig::place_task(7);
    if (variant < 2) {  // more than one read takes, ahead of the cancel or close
        Message message;
        message.type = MessageType::progress;
        message.task = 7;
        while (bytes.size() < kFlood) platform_codec::encode(bytes, message);
    }
    client.send_bytes(bytes);
    if (variant == 0) client.send_plain(MessageType::release, 7, platform_codec::Cause::given_up);
    if (variant == 1) client.close();
    rig.run_until([&] { return rig.planner.submitted.size() == 1; });
    // Within one pass of the loop: the client cancels, the loop is busy for a while, then the task is placed.
    auto busy = rig.loop.make_timer([&] {
        if (variant == 2) {
            client.send_plain(MessageType::release, 7, platform_codec::Cause::given_up);
            rig.block_for(80 * kMillisecond);
        }
        rig.server->place(rig.planner.submitted[0], 0, 10 * kSecond);
    });
    busy->arm(rig.loop.now());
    rig.run_until([&] { return rig.server->task_count() == 0; });
    rig.run_passes(20);
    worker.accept_and_read();
    CHECK(worker.count(MessageType::place_task, 7) == 0);
}

TEST_CASE("a full server does not evict a client whose request is unread or whose answer is not yet sent") {
    SocketRig rig(64);
    // Of 64 descriptors 40 are for connections, and 30 of these for clients while no worker is connected.
    std::vector<SocketPeer> clients;
    for (int i = 0; i < 30; ++i) {
        clients.push_back(rig.connect_client());
        clients.back().send_plain(MessageType::health_check, 1);
        rig.run_until([&] {
            clients.back().read_available();
            return clients.back().count(MessageType::health_check_reply, 1) == 1;
        });
    }
    REQUIRE(rig.server->connection_count() == 30);
    // The newcomer connects first, so the pass accepts it first; the request of clients[0], which has been
    // idle for the longest time, is still unread then.
    SocketPeer newcomer = rig.connect_client();
    clients[0].send_bytes(SocketRig::place_task(7));
    newcomer.send_plain(MessageType::health_check, 2);
    rig.run_until([&] {
        newcomer.read_available();
        return newcomer.count(MessageType::health_check_reply, 2) == 1;
    });
    rig.run_until([&] { return rig.planner.submitted.size() == 1; });
    clients[0].read_available();
    CHECK(!clients[0].peer_closed);
    CHECK(!clients[0].was_reset);
}

TEST_CASE("a release that crossed its client's close is sent again on the next connection from its address") {
    SocketRig rig;
    ListeningSocket worker;
    rig.publish_initial({SocketRig::entry("h", worker.address())}, true);
    SocketPeer client = rig.connect_client();
    rig.run_task(client, worker, 7);
    rig.run_task(client, worker, 8);
    worker.connections.front()->release(7, platform_codec::Cause::ok);
    rig.run_until([&] {
        client.read_available();
        return client.count(MessageType::release, 7) == 1;
    });
    client.send_plain(MessageType::release_ack, 7);
    worker.connections.front()->release(8, platform_codec::Cause::ok);
    rig.run_until([&] { return rig.server->task_count() == 0; });
    rig.run_passes(3);
    client.close();  // the release is unread in its socket
    rig.run_until([&] { return rig.server->connection_count() == worker.connections.size(); });
    SocketPeer next = rig.connect_client();
    next.send_plain(MessageType::health_check, 1);
    rig.run_until([&] {
        next.read_available();
        return next.count(MessageType::health_check_reply, 1) == 1;
    });
    CHECK(next.count(MessageType::release, 8) == 0);  // a health check alone identifies no client
    next.send_bytes(SocketRig::place_task(9, "nothing known"));
    rig.run_until([&] {
        next.read_available();
        return next.count(MessageType::release, 9) == 1;
    });
    CHECK(next.count(MessageType::release, 8) == 1);
    CHECK(next.count(MessageType::release, 7) == 0);
}

TEST_CASE("a client is sent a migrate message for a migrated task and no release") {
    SocketRig rig;
    ListeningSocket worker;
    rig.publish_initial({SocketRig::entry("h", worker.address())}, true);
    SocketPeer client = rig.connect_client();
    rig.run_task(client, worker, 7);
    rig.server->migrate(rig.planner.submitted.back());
    rig.run_until([&] {
        client.read_available();
        return client.count(MessageType::migrate, 7) + client.count(MessageType::release, 7) > 0;
    });
    CHECK(client.count(MessageType::migrate, 7) == 1);
    rig.run_until([&] { return rig.server->task_count() == 0; });
    client.read_available();
    CHECK(client.count(MessageType::release, 7) == 0);
}
