// Delivery of a task's release to its client after a connection broke or stalled.
//
// The failure that these tests guard against: the connection on which a task was placed or reported broke or
// stalled, and its client connected again. When the task ended, the placer wrote the release to the stalled
// connection, or to the first one from the client's address: the health checker's or another client's. The
// client waited forever. A write is not a delivery, and an address does not identify a client.
#include <catch2/catch.hpp>

#include "support/process_rig.h"

using namespace whinpost;
using platform_codec::Cause;

namespace {

// From a release sent by a worker to the one received by the client.
constexpr Nanos kReleaseLimit = kSecond;
// From a task's end to its release if the worker's release is lost.
constexpr Nanos kEndLimit = 8 * kSecond;
// From a misbehaving client's connect to its first message or its close.
constexpr Nanos kMisbehavingLimit = 3 * kSecond;
constexpr Nanos kSettleTime = 150 * kMillisecond;

bool is_released(SocketPeer& client, std::uint64_t id) {
    client.read_available();
    return client.count(MessageType::release, id) > 0;
}

// A placer with one worker, and a health checker and clients that share one address.
struct SharedAddress {
    SharedAddress() : worker(rig.add_worker("w1")) {
        rig.wait_until_ready();
        checker = rig.connect_client();
        check_health();
    }
    void check_health() {
        const std::size_t before = checker.received.size();
        checker.send_plain(MessageType::health_check, ++last_check);
        rig.run_until("the health checker has its reply", [&] {
            checker.read_available();
            return checker.received.size() > before;
        });
    }
    // Places and ends a task, whose release the client acknowledges: this tells the placer that it sends
    // acknowledgements.
    void run_and_acknowledge(SocketPeer& client, std::uint64_t id) {
        rig.place(client, id);
        worker.end_task(id, Cause::ok);
        rig.run_until("the client has the release", [&] { return is_released(client, id); });
        client.send_plain(MessageType::release_ack, id);
    }
    bool is_released_in(SocketPeer& client, std::uint64_t id, Nanos limit) {
        return rig.time_until([&] { return is_released(client, id); }, limit) < limit;
    }

    ProcessRig rig;
    FakeWorker& worker;
    SocketPeer checker;
    std::uint64_t last_check = 0;
};

}  // namespace

TEST_CASE(
    "a client that reconnects receives the release of its task, whatever other connections its address has",
    "[delivery]") {
    SharedAddress shared;
    ProcessRig& rig = shared.rig;
    const bool was_reset = GENERATE(true, false);
    const bool ends_while_disconnected = GENERATE(true, false);
    const bool neighbour_first = GENERATE(true, false);
    INFO("reset " << was_reset << ", while disconnected " << ends_while_disconnected << ", neighbour "
                  << neighbour_first);
    SocketPeer neighbour = rig.connect_client();
    if (neighbour_first) rig.place(neighbour, 50);
    SocketPeer client = rig.connect_client();
    rig.place(client, 1);
    if (was_reset) client.reset_connection();
    else client.close();
    rig.run_for(kSettleTime);
    if (ends_while_disconnected) shared.worker.end_task(1, Cause::ok);
    rig.run_for(kSettleTime);
    shared.check_health();
    SocketPeer reconnected = rig.connect_client();
    rig.place(reconnected, 2);
    if (!ends_while_disconnected) shared.worker.end_task(1, Cause::ok);
    CHECK(shared.is_released_in(reconnected, 1, kReleaseLimit));
    shared.checker.read_available();
    CHECK(shared.checker.count(MessageType::release, 1) == 0);
}

TEST_CASE("a release that waits for its client is not sent to a health checker of the same address",
          "[delivery]") {
    SharedAddress shared;
    ProcessRig& rig = shared.rig;
    SocketPeer client = rig.connect_client();
    rig.place(client, 1);
    client.close();
    shared.checker.close();
    rig.run_for(kSettleTime);
    shared.worker.end_task(1, Cause::ok);
    rig.run_for(kSettleTime);
    shared.checker = rig.connect_client();
    shared.check_health();
    SocketPeer reconnected = rig.connect_client();
    rig.place(reconnected, 2);
    CHECK(shared.is_released_in(reconnected, 1, kReleaseLimit));
}

TEST_CASE("a release_ack from another client does not discard a release that waits for its own client",
          "[delivery]") {
    SharedAddress shared;
    ProcessRig& rig = shared.rig;
    SocketPeer client = rig.connect_client(), neighbour = rig.connect_client();
    rig.place(neighbour, 50);
    rig.place(client, 1);
    client.reset_connection();
    rig.run_for(kSettleTime);
    shared.worker.end_task(1, Cause::ok);
    rig.run_for(kSettleTime);
    neighbour.send_plain(MessageType::release_ack, 1);
    rig.run_for(kSettleTime);
    SocketPeer reconnected = rig.connect_client();
    rig.place(reconnected, 2);
    CHECK(shared.is_released_in(reconnected, 1, kReleaseLimit));
}

TEST_CASE("a release written to a connection that is open but stalled is also sent on the client's new one",
          "[delivery]") {
    SharedAddress shared;
    ProcessRig& rig = shared.rig;
    TcpProxy& proxy = rig.add_client_proxy();
    SocketPeer client = rig.connect_client(proxy);
    shared.run_and_acknowledge(client, 1);
    rig.place(client, 2);
    proxy.connections[0]->to_client.stall();
    const bool reconnects_first = GENERATE(true, false);
    SocketPeer reconnected;
    if (!reconnects_first) shared.worker.end_task(2, Cause::ok);
    rig.run_for(kSettleTime);
    reconnected = rig.connect_client(proxy);
    rig.place(reconnected, 3);
    if (reconnects_first) shared.worker.end_task(2, Cause::ok);
    CHECK(shared.is_released_in(reconnected, 2, kReleaseLimit));
}

TEST_CASE("a release written to a half-closed connection is sent again on the client's next one",
          "[delivery]") {
    SharedAddress shared;
    ProcessRig& rig = shared.rig;
    TcpProxy& proxy = rig.add_client_proxy();
    SocketPeer client = rig.connect_client(proxy);
    shared.run_and_acknowledge(client, 1);
    rig.place(client, 2);
    proxy.connections[0]->to_client.stall();
    proxy.half_close_to_server(*proxy.connections[0]);
    rig.run_for(kSettleTime);
    shared.worker.end_task(2, Cause::ok);
    SocketPeer reconnected = rig.connect_client(proxy);
    rig.place(reconnected, 3);
    CHECK(shared.is_released_in(reconnected, 2, kReleaseLimit));
}

TEST_CASE(
    "a task that ends while one connection of its worker is stalled is released, though the others are busy",
    "[delivery]") {
    ProcessRig rig;
    FakeWorker& worker = rig.add_worker("w1", false);
    TcpProxy& proxy = rig.add_worker_proxy(worker);
    rig.wait_until_ready();
    SocketPeer client = rig.connect_client();
    client.send_bytes(place_task_bytes(1, "free", 5000, "") + place_task_bytes(2, "free", 5000, ""));
    rig.run_until("two tasks run", [&] {
        client.read_available();
        return client.count(MessageType::answer, 1) + client.count(MessageType::answer, 2) == 2;
    });
    REQUIRE(proxy.connections.size() >= 2);
    const std::size_t silent = GENERATE(std::size_t{0}, std::size_t{1});
    proxy.connections[silent]->to_client.stall();
    rig.run_for(kSettleTime);
    worker.end_task(1, Cause::ok);
    worker.end_task(2, Cause::ok);
    // Requests keep the worker's other connections busy.
    std::uint64_t next = 10;
    Nanos place_at = 0;
    const auto both_released = [&] {
        if (const Nanos now = read_clock(CLOCK_MONOTONIC); now >= place_at) {
            place_at = now + 400 * kMillisecond;
            client.send_bytes(place_task_bytes(++next, "free", 5000, ""));
        }
        const bool first = is_released(client, 1);
        return is_released(client, 2) && first;
    };
    CHECK(rig.time_until(both_released, kEndLimit) < kEndLimit);
}

TEST_CASE("a task that a second client of the same address reports is released to both clients",
          "[delivery]") {
    SharedAddress shared;
    ProcessRig& rig = shared.rig;
    SocketPeer client = rig.connect_client(), other = rig.connect_client();
    rig.place(client, 1);
    other.send_bytes(place_task_bytes(1, "free", 4'294'967, ";at:w1"));
    rig.run_for(kSettleTime);
    shared.worker.end_task(1, Cause::ok);
    CHECK(shared.is_released_in(client, 1, kReleaseLimit));
    CHECK(shared.is_released_in(other, 1, kReleaseLimit));
}

TEST_CASE("a client that reports an unknown task 1.5 s after connecting gets a message or a close in 3 s",
          "[delivery]") {
    SharedAddress shared;
    ProcessRig& rig = shared.rig;
    SocketPeer client = rig.connect_client();
    const Nanos connected_at = read_clock(CLOCK_MONOTONIC);
    rig.run_for(1500 * kMillisecond);
    client.send_bytes(place_task_bytes(100, "free", 4'294'967, ";at:w1"));
    const auto has_message_or_close = [&] {
        client.read_available();
        return !client.received.empty() || client.peer_closed || client.was_reset;
    };
    rig.time_until(has_message_or_close, kMisbehavingLimit);
    CHECK(has_message_or_close());
    CHECK(read_clock(CLOCK_MONOTONIC) - connected_at < kMisbehavingLimit);
}

TEST_CASE("a reported task on a silent worker is kept if its client's report on another worker was confirmed",
          "[delivery]") {
    ProcessRig rig;
    FakeWorker &reachable = rig.add_worker("w1"), &silent_worker = rig.add_worker("w2");
    rig.wait_until_ready();
    SocketPeer client = rig.connect_client();
    reachable.add_running_task(1);
    silent_worker.add_running_task(2);
    silent_worker.is_silent = true;
    rig.report_running(client, reachable, 1);
    rig.report_running(client, silent_worker, 2);
    rig.run_for(5 * kSecond);
    CHECK_FALSE(is_released(client, 2));
    silent_worker.is_silent = false;
    rig.run_for(kSecond);
    silent_worker.end_task(2, Cause::ok);
    CHECK(rig.time_until([&] { return is_released(client, 2); }, kReleaseLimit) < kReleaseLimit);
    CHECK(client.messages(MessageType::release)[0].cause == Cause::ok);
}

TEST_CASE(
    "a task is released in 8 s after its worker's machine was replaced and left its old connections open",
    "[silence]") {
    ProcessRig rig;
    FakeWorker& worker = rig.add_worker("w1");
    rig.wait_until_ready();
    SocketPeer client = rig.connect_client();
    const bool was_reported = GENERATE(true, false);
    if (was_reported) {
        worker.add_running_task(1);
        rig.report_running(client, worker, 1);
        rig.run_for(kSettleTime);
    } else {
        rig.place(client, 1);
    }
    worker.replace_silently();  // and discovery publishes no restart
    CHECK(rig.time_until([&] { return is_released(client, 1); }, kEndLimit) < kEndLimit);
}

TEST_CASE("a task is kept while its worker hangs or one of the worker's connections stalls", "[silence]") {
    ProcessRig rig;
    FakeWorker& worker = rig.add_worker("w1", false);
    TcpProxy& proxy = rig.add_worker_proxy(worker);
    rig.wait_until_ready();
    SocketPeer client = rig.connect_client();
    client.send_bytes(place_task_bytes(1, "free", 5000, "") + place_task_bytes(2, "free", 5000, ""));
    rig.run_until("two tasks run", [&] {
        client.read_available();
        return client.count(MessageType::answer, 1) + client.count(MessageType::answer, 2) == 2;
    });
    rig.run_for(kSettleTime);
    const bool hangs = GENERATE(true, false);
    if (hangs) worker.is_silent = true;
    else proxy.connections[0]->to_client.stall();
    rig.run_for(10 * kSecond);
    CHECK_FALSE(is_released(client, 1));
    CHECK_FALSE(is_released(client, 2));
    worker.is_silent = false;
    rig.run_for(kSecond);
    worker.end_task(1, Cause::ok);
    worker.end_task(2, Cause::ok);
    const auto both_released = [&] {
        const bool first = is_released(client, 1);
        return is_released(client, 2) && first;
    };
    CHECK(rig.time_until(both_released, kEndLimit) < kEndLimit);
}
