// Endpoint lists that are late, stale, wrong or unavailable, and drains of workers. Runs in virtual time with
// injected faults.
#include <catch2/catch.hpp>

#include "support/server_rig.h"

using namespace whinpost;

TEST_CASE(
    "a stale endpoint list is ignored; of two entries for one worker the draining one counts; a snapshot "
    "without workers leaves running tasks alone") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient& client = rig.connect_client();
    rig.submit(client, rig.request(1, "free", 5 * kSecond));
    worker.accept(worker.attempts().at(0).attempt());
    rig.publish({rig.endpoint("n", 0, 0, v1::Endpoint::DRAINING)}, false);
    rig.publish({rig.endpoint("n")}, true, 1);  // from before the drain
    CHECK(rig.placer->server.statistics().stale_endpoint_updates == 1);
    rig.submit(client, rig.request(2));
    CHECK(worker.attempts().size() == 1);
    rig.publish({rig.endpoint("n", 0, 0, v1::Endpoint::DRAINING), rig.endpoint("n")}, false);
    rig.submit(client, rig.request(3));
    CHECK(worker.attempts().size() == 1);
    rig.publish({rig.endpoint("n")}, false);
    rig.run(200 * kMillisecond);
    rig.submit(client, rig.request(5));
    CHECK(worker.attempts().size() >= 2);
    const std::size_t before = worker.attempts().size();
    rig.publish({});
    rig.submit(client, rig.request(4));
    CHECK(worker.attempts().size() == before);
    CHECK(client.count(&v1::ToClient::has_ended) == 0);
    v1::FromWorker message;
    message.mutable_ended()->set_attempt(worker.attempts()[0].attempt());
    worker.connection().send(message);
    rig.run(kSecond);
    CHECK(client.count(&v1::ToClient::has_ended) == 1);
}

TEST_CASE("a drained worker reads no attempt that was still in transit at the end of the grace period") {
    ServerRig rig("[links]\ndrain_grace_ms = 1000\nsilent_after_ms = 60000\n");
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient& client = rig.connect_client();
    rig.run(100 * kMillisecond);
    rig.network.set_added_delay("n", 300 * kMillisecond);
    rig.network.cut("10.0.0.1", "n", true);  // sent bytes are held in transit
    for (std::uint64_t i = 1; i <= 5; ++i) rig.submit(client, rig.request(i, "free", 8 * kSecond));
    CHECK(worker.attempts().empty());
    rig.publish({rig.endpoint("n", 0, 0, v1::Endpoint::DRAINING)}, false);
    rig.run(3 * kSecond);
    CHECK(rig.placer->server.connection("n")->statistics().drain_timeouts == 1);
    rig.network.cut("10.0.0.1", "n", false);
    rig.run(3 * kSecond);
    CHECK(worker.attempts().empty());
}

TEST_CASE("in on_request mode the endpoint list is polled, and polled again after a failure") {
    ServerRig rig;
    rig.kill_placer();
    rig.config.replace(rig.config.find("address = \"10.0.0.9:1\""), 22,
                       "address = \"10.0.0.9:1\"\nmode = \"on_request\"");
    rig.start_placer();
    rig.run(100 * kMillisecond);
    REQUIRE(rig.discovery_streams.back()->count(&v1::ToDiscovery::has_fetch_snapshot) == 1);
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    CHECK(rig.discovery_streams.back()->count(&v1::ToDiscovery::has_watch) == 1);
    v1::FromDiscovery failed;
    failed.mutable_failed()->set_text("too busy");
    rig.discovery_streams.back()->send(failed);
    rig.run(5 * kSecond);
    std::size_t watches = 0;  // over all connections: one is closed if a request gets no response
    for (const auto& stream : rig.discovery_streams) watches += stream->count(&v1::ToDiscovery::has_watch);
    CHECK(watches >= 3);
    CHECK(worker.connections.size() == 1);
}

TEST_CASE(
    "after a snapshot that omits all connected workers, another is requested and placements continue "
    "meanwhile") {
    ServerRig rig;
    std::vector<v1::Endpoint> all;
    for (const char* name : {"a", "b", "c"}) {
        rig.add_worker(name);
        all.push_back(rig.endpoint(name));
    }
    rig.publish(all);
    TestClient& client = rig.connect_client();
    rig.run(100 * kMillisecond);
    rig.publish({});
    CHECK(rig.discovery_streams.back()->count(&v1::ToDiscovery::has_fetch_snapshot) == 1);
    const auto attempts = [&rig] {
        std::size_t sum = 0;
        for (const auto& worker : rig.workers) sum += worker->attempts().size();
        return sum;
    };
    rig.submit(client, rig.request(1));
    CHECK(attempts() == 1);
    // No other snapshot arrives: after the drain grace of 1 s at the latest, the omission takes effect.
    rig.run(kSecond);
    rig.submit(client, rig.request(2));
    CHECK(attempts() == 1);
    rig.publish(all);
    rig.run(200 * kMillisecond);
    CHECK(attempts() >= 2);
}

TEST_CASE("a Draining message from a worker after a failed poll does not stop the polling") {
    // The server reports the drain to the planner by the calls of an endpoint update. The planner would take
    // it for the response to its poll, and stop polling.
    ServerRig rig;
    rig.kill_placer();
    rig.config.replace(rig.config.find("address = \"10.0.0.9:1\""), 22,
                       "address = \"10.0.0.9:1\"\nmode = \"on_request\"");
    rig.start_placer();
    FakeWorker& worker = rig.add_worker("n");
    rig.run(20 * kMillisecond);
    rig.publish({rig.endpoint("n")});
    rig.run(100 * kMillisecond);
    v1::FromDiscovery failed;
    failed.mutable_failed()->set_text("busy");
    rig.discovery_streams.back()->send(failed);
    rig.run(20 * kMillisecond);
    const auto requests = [&rig] {
        std::size_t sum = 0;
        for (const auto& stream : rig.discovery_streams) sum += stream->count(&v1::ToDiscovery::has_watch);
        return sum;
    };
    const std::size_t before = requests();
    v1::FromWorker message;
    message.mutable_draining();
    worker.connection().send(message);
    rig.run(3 * kSecond);
    CHECK(requests() > before);
}

TEST_CASE(
    "no attempt is sent to workers that only an hour-old endpoint list names and that can't be reached") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("there");
    v1::FromDiscovery message;
    rig.run(10 * kMillisecond);
    message.mutable_update()->set_is_snapshot(true);
    message.mutable_update()->set_sequence(1);
    message.mutable_update()->set_age(3600 * kSecond);
    for (const char* name : {"there", "gone1", "gone2", "gone3"})
        *message.mutable_update()->add_endpoints() = rig.endpoint(name);
    rig.discovery_streams.back()->send(message);
    TestClient& client = rig.connect_client();
    rig.run(300 * kMillisecond);
    for (std::uint64_t id = 1; id <= 20; ++id) {
        rig.submit(client, rig.request(id));
        if (worker.attempts().size() == id) worker.accept(id);
    }
    CHECK(worker.attempts().size() == 20);
    CHECK(rig.placer->server.membership().count(membership::WorkerState::unreachable) == 3);
}
