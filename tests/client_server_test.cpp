// ClientServer and its connections, without the rest of the platform server.
#include "platform/client_server.h"

#include <catch2/catch.hpp>

#include "support/platform_fakes.h"

using namespace whinpost;
using platform_codec::Cause;

namespace {

struct ClientServerFixture {
    ClientServerFixture() { REQUIRE(server.listen("10.0.0.1:1").has_value()); }
    void run(Nanos by = 20 * kMillisecond) { world.run_until(world.now() + by); }
    TestClient& connect(int number = 1) {
        clients.push_back(std::make_unique<TestClient>());
        clients.back()->stream =
            world.add_process("10.0.2." + std::to_string(number)).dial("10.0.0.1:1", *clients.back());
        run();
        return *clients.back();
    }
    void request(TestClient& client, std::uint64_t id) {
        client.send_bytes(place_task_bytes(id, "free", 1000, ""));
        run();
    }
    // Sweeps as the server does, every 100 ms.
    void sweep_for(Nanos by) {
        for (const Nanos end = world.now() + by; world.now() < end;) {
            run(100 * kMillisecond);
            server.sweep(world.now());
        }
    }

    simulation::SimulatedNetwork world{1};
    simulation::SimulatedProcess& process = world.add_process("10.0.0.1");
    log::Logger log;
    RecordingClientHandler handler;
    platform::ClientServer server{process, log, handler};
    std::vector<std::unique_ptr<TestClient>> clients;
};

}  // namespace

TEST_CASE("listening on an address in use returns an error with the address and a reason") {
    ClientServerFixture fixture;
    platform::ClientServer second(fixture.process, fixture.log, fixture.handler);
    const auto listening = second.listen("10.0.0.1:1");
    REQUIRE_FALSE(listening.has_value());
    CHECK(listening.error().address == "10.0.0.1:1");
    CHECK_FALSE(listening.error().reason.empty());
}

TEST_CASE("a client is identified once and found by its address; a health checker at that address is not") {
    ClientServerFixture fixture;
    TestClient& client = fixture.connect(1);
    TestClient& checker = fixture.connect(1);
    checker.send_plain_check();
    fixture.run();
    CHECK(fixture.handler.identified == 0);
    CHECK(fixture.server.clients_at("10.0.2.1").empty());  // neither the silent client nor the checker
    fixture.request(client, 5);
    fixture.request(client, 6);
    CHECK(fixture.handler.identified == 1);
    REQUIRE(fixture.handler.requests.size() == 2);
    platform::ClientConnection* connection = fixture.handler.requests[0].first;
    CHECK(fixture.server.clients_at("10.0.2.1") == std::vector{connection});
    CHECK(fixture.server.clients_at("10.0.2.2").empty());
    CHECK(fixture.server.find(connection->number()) == connection);
    CHECK(fixture.server.find(connection->number() + 100) == nullptr);
    CHECK(fixture.server.size() == 2);
}

TEST_CASE("a client that sends nothing is closed after 2 s; one with an open request is not") {
    ClientServerFixture fixture;
    TestClient& silent = fixture.connect(1);
    TestClient& waiting = fixture.connect(2);
    fixture.request(waiting, 5);
    fixture.handler.requests[0].first->add_open_request();
    fixture.sweep_for(1900 * kMillisecond);
    CHECK_FALSE(silent.closed);
    fixture.sweep_for(300 * kMillisecond);
    CHECK(silent.closed);
    CHECK_FALSE(waiting.closed);
    CHECK(fixture.handler.left == 1);
}

TEST_CASE("a full server evicts the least useful client, or rejects the new one if all have open requests") {
    ClientServerFixture fixture;
    TestClient& idle = fixture.connect(1);
    TestClient& running = fixture.connect(2);
    fixture.request(idle, 5);
    fixture.request(running, 6);
    fixture.handler.requests[1].first->add_running_task(true);
    fixture.handler.room = false;
    fixture.connect(3);
    fixture.run(200 * kMillisecond);
    CHECK(idle.closed);
    CHECK_FALSE(running.closed);
    for (const auto& [client, task] : fixture.handler.requests)
        if (task == 6) client->add_open_request();
    TestClient& evicting = fixture.connect(4);  // evicts the third, which has sent nothing
    fixture.request(evicting, 7);
    fixture.handler.requests.back().first->add_open_request();
    const std::size_t before = fixture.handler.requests.size();
    TestClient& rejected = fixture.connect(5);
    fixture.request(rejected, 8);
    CHECK(fixture.handler.requests.size() == before);
    REQUIRE(rejected.messages(MessageType::release).size() == 1);
    CHECK(rejected.messages(MessageType::release)[0].cause == Cause::try_later);
    CHECK_FALSE(running.closed);
    CHECK_FALSE(evicting.closed);
}

TEST_CASE("an acknowledgement counts for its own connection only, not for others at the same address") {
    ClientServerFixture fixture;
    TestClient &client = fixture.connect(1), &neighbour = fixture.connect(1);
    fixture.request(client, 5);
    fixture.request(neighbour, 6);
    const platform::ClientConnection& connection = *fixture.handler.requests[0].first;
    CHECK_FALSE(connection.acknowledges());
    Message acknowledgement;
    acknowledgement.type = MessageType::release_ack;
    acknowledgement.task = 5;
    client.send(acknowledgement);
    fixture.run();
    CHECK(connection.acknowledges());
    CHECK_FALSE(fixture.handler.requests[1].first->acknowledges());
    CHECK(fixture.handler.acknowledged == std::vector<std::uint64_t>{5});
}

TEST_CASE(
    "a drain closes idle clients at once, waits for those with open requests, and ends at its deadline") {
    ClientServerFixture fixture;
    TestClient& idle = fixture.connect(1);
    TestClient& waiting = fixture.connect(2);
    fixture.request(idle, 5);
    fixture.request(waiting, 6);
    fixture.handler.requests[1].first->add_open_request();
    const Nanos deadline = fixture.world.now() + kSecond;
    CHECK_FALSE(fixture.server.drain(fixture.world.now(), deadline));
    fixture.run();
    CHECK(idle.closed);
    CHECK_FALSE(waiting.closed);
    CHECK_FALSE(fixture.server.drain(fixture.world.now(), deadline));
    CHECK(fixture.server.drain(deadline, deadline));
}

TEST_CASE("every close of a connection is counted by its reason") {
    ClientServerFixture fixture;
    TestClient& silent = fixture.connect(1);
    TestClient& malformed = fixture.connect(2);
    TestClient& leaving = fixture.connect(3);
    TestClient& lost = fixture.connect(4);
    TestClient& misbehaving = fixture.connect(5);
    malformed.send_bytes(std::string(64, '\xff'));
    misbehaving.answer(1);
    fixture.request(leaving, 5);
    fixture.request(lost, 6);
    leaving.stream.reset();
    lost.stream->abort();
    fixture.sweep_for(3 * kSecond);
    CHECK(silent.closed);
    const platform::ClientStatistics& statistics = fixture.server.statistics();
    const auto closed = [&statistics](platform::ClientCloseReason reason) {
        return statistics.closed[static_cast<std::size_t>(reason)];
    };
    CHECK(statistics.accepted == 5);
    CHECK(closed(platform::ClientCloseReason::no_request) == 1);
    CHECK(closed(platform::ClientCloseReason::malformed) == 1);
    CHECK(closed(platform::ClientCloseReason::protocol_error) == 1);
    CHECK(closed(platform::ClientCloseReason::closed_by_client) == 1);
    CHECK(closed(platform::ClientCloseReason::connection_lost) == 1);
}

TEST_CASE("a connection with an unconfirmed running task is evicted before one with a confirmed task") {
    ClientServerFixture fixture;
    TestClient& known = fixture.connect(1);
    fixture.request(known, 5);
    TestClient& reported = fixture.connect(2);
    fixture.request(reported, 6);  // used more recently
    fixture.handler.requests[0].first->add_running_task(false);
    fixture.handler.requests[0].first->confirm_running_task();
    fixture.handler.requests[1].first->add_running_task(false);
    fixture.handler.room = false;
    fixture.connect(3);
    fixture.run(200 * kMillisecond);
    CHECK(reported.closed);
    CHECK_FALSE(known.closed);
}
