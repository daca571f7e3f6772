// Workers of the platform server on real sockets: workers that left or restarted, and more workers than
// descriptors.
#include <catch2/catch.hpp>

#include "support/platform_sockets_rig.h"

using namespace whinpost;

TEST_CASE("a connect begun before its worker left sends nothing to the worker that has the address now") {
    SocketRig rig;
    ListeningSocket socket(0);
    SocketPeer in_backlog = SocketPeer::dial(socket.port());  // fills the listen backlog
    rig.publish_initial({SocketRig::entry("h", socket.address())}, true);
    const bool by_cancel = GENERATE(true, false);
    SocketPeer client = rig.connect_client();
    if (by_cancel) {  // adopted on the worker, and cancelled by its client before the connection is up
        client.send_bytes(SocketRig::place_task(7, "free", ";at:h"));
        rig.run_until([&] { return rig.server->task_count() == 1; });
        client.release(7, platform_codec::Cause::cancelled);
        rig.run_until([&] { return rig.server->task_count() == 0; });
    } else rig.server->check_health(0);
    rig.run_passes(5);
    rig.publish_initial(
        {SocketRig::entry("h", socket.address(), "left"), SocketRig::entry("successor", socket.address())});
    // The backlog has room again: from here on the successor accepts.
    rig.run_until([&] {
        socket.accept_and_read();
        return socket.connections.size() >= 1;
    });
    rig.block_for(1200 * kMillisecond);  // time for a second connect to be made, if there is one
    for (int i = 0; i < 50; ++i) {
        rig.run_once();
        socket.accept_and_read();
        usleep(1000);
    }
    CHECK(socket.received_byte_count() == 0);
}

TEST_CASE(
    "a task that ended while the placer restarted is released, also if its worker's release comes first") {
    SocketRig rig;
    ListeningSocket worker;
    rig.publish_initial({SocketRig::entry("h", worker.address())}, true);
    rig.server->check_health(0);
    rig.run_until([&] {
        worker.accept_and_read();
        return worker.connections.size() == 1 && !worker.connections[0]->received.empty();
    });
    worker.connections[0]->release(7, platform_codec::Cause::ok);
    worker.connections[0]->send_plain(MessageType::health_check_reply,
                                      worker.connections[0]->received[0].task,
                                      platform_codec::Cause::check_passed);
    rig.run_until([&] { return rig.planner.load_reports == 1; });
    SocketPeer client = rig.connect_client();
    client.send_bytes(SocketRig::place_task(7, "free", ";at:h"));
    rig.run_until([&] {
        client.read_available();
        return !client.received.empty();
    });
    CHECK(client.count(MessageType::release, 7) == 1);
    CHECK(client.received[0].cause == platform_codec::Cause::ok);
    CHECK(rig.server->task_count() == 0);
}

TEST_CASE(
    "a worker that is listed as restarted has lost its tasks from before, and keeps those sent to it since") {
    SocketRig rig;
    ListeningSocket worker;
    rig.publish_initial({SocketRig::entry("h", worker.address())}, true);
    SocketPeer client = rig.connect_client();
    rig.run_task(client, worker, 7);
    rig.block_for(2 * kMillisecond);
    const Nanos restarted_at = rig.loop.now() / kMillisecond * kMillisecond;
    rig.block_for(2 * kMillisecond);
    rig.run_task(client, worker, 8);
    std::string event = SocketRig::entry("h", worker.address());
    event.replace(event.find("\"born_ms\":0"), 11,
                  "\"born_ms\":" + std::to_string(restarted_at / kMillisecond));
    rig.publish_initial({event});
    rig.run_until([&] {
        client.read_available();
        return client.count(MessageType::release, 7) == 1;
    });
    rig.run_passes(20);
    client.read_available();
    CHECK(client.count(MessageType::release, 8) == 0);
    CHECK(rig.server->task_count() == 1);
}

TEST_CASE(
    "more workers than descriptors: the limit holds, each worker is reached, and the watch connects again") {
    SocketRig rig(64);
    std::vector<std::unique_ptr<ListeningSocket>> workers;
    std::vector<std::string> entries;
    for (int i = 0; i < 60; ++i) {
        workers.push_back(std::make_unique<ListeningSocket>());
        entries.push_back(SocketRig::entry("h" + std::to_string(i), workers.back()->address()));
    }
    rig.publish_initial(entries, true);
    std::size_t most_connections = 0;
    const auto reached_all = [&] {
        std::size_t reached = 0;
        for (const auto& worker : workers) {
            worker->accept_and_read();
            for (const auto& connection : worker->connections)
                for (const auto& received_message : connection->received)
                    if (received_message.type == MessageType::health_check && !connection->peer_closed)
                        connection->send_plain(MessageType::health_check_reply, received_message.task,
                                               platform_codec::Cause::check_passed);
            for (const auto& connection : worker->connections) connection->received.clear();
            reached += !worker->connections.empty();
        }
        most_connections = std::max(most_connections, rig.server->connection_count());
        return reached == workers.size();
    };
    std::uint32_t next = 0;
    rig.run_until([&] {
        rig.server->check_health(next++ % 60);
        return reached_all();
    });
    std::vector<SocketPeer> idle;
    for (int i = 0; i < 60; ++i) {
        idle.push_back(rig.connect_client());
        rig.run_once();
        most_connections = std::max(most_connections, rig.server->connection_count());
    }
    CHECK(most_connections <= 40);
    rig.discovery.accept_and_read();
    for (const auto& connection : rig.discovery.connections) connection->close();
    const std::size_t before = rig.discovery.connections.size();
    rig.run_until([&] {
        rig.discovery.accept_and_read();
        reached_all();
        return rig.discovery.connections.size() > before;
    });
    CHECK(most_connections <= 40);
}
