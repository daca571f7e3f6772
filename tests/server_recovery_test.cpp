// Running tasks that clients hand over to a placer. Runs in virtual time with injected faults.
#include <catch2/catch.hpp>

#include "support/server_rig.h"

using namespace whinpost;

TEST_CASE("a placer that was killed and restarted adopts the running tasks that its clients hand over") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient& client = rig.connect_client();
    rig.submit(client, rig.request(1));
    worker.accept(worker.attempts().at(0).attempt());
    rig.run(kSecond);
    REQUIRE(client.count(&v1::ToClient::has_placed) == 1);
    rig.kill_placer();
    rig.run(kSecond);
    CHECK(client.is_closed);
    rig.start_placer();
    rig.run(100 * kMillisecond);
    rig.publish({rig.endpoint("n")});
    TestClient& again = rig.connect_client();
    v1::FromClient message;
    *message.mutable_hand_over()->mutable_submit() = rig.request(1);
    message.mutable_hand_over()->set_worker("n");
    again.send(message);
    *message.mutable_hand_over()->mutable_submit() = rig.request(2);
    message.mutable_hand_over()->set_worker("nowhere");
    again.send(message);
    rig.run(kSecond);
    REQUIRE(worker.connection().count(&v1::ToWorker::has_adopt_attempt) == 1);
    // No endpoint list that is newer than the handover omits the worker yet.
    CHECK(again.count(&v1::ToClient::has_ended) == 0);
    rig.publish({rig.endpoint("n")});
    CHECK(again.count(&v1::ToClient::has_ended) == 1);  // the task on the worker that no list names
    worker.end_attempt(
        worker.connection().messages(&v1::ToWorker::has_adopt_attempt)[0].adopt_attempt().attempt(),
        v1::AttemptEnded::COMPLETED);
    rig.run(kSecond);
    CHECK(again.count(&v1::ToClient::has_ended) == 2);
    CHECK(again.messages(&v1::ToClient::has_ended)[1].ended().outcome() == v1::TaskEnded::COMPLETED);
}

TEST_CASE(
    "a task handed over before its worker is known waits for the endpoint list, and is reported lost only "
    "when a newer list omits the worker") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    TestClient& client = rig.connect_client();
    const auto hand_over = [&](std::uint64_t id, const std::string& worker_name) {
        v1::FromClient message;
        *message.mutable_hand_over()->mutable_submit() = rig.request(id, "once");
        message.mutable_hand_over()->set_worker(worker_name);
        client.send(message);
    };
    hand_over(1, "n");
    hand_over(2, "n");
    hand_over(3, "elsewhere");
    v1::FromClient cancel;
    cancel.mutable_cancel()->set_id(2);
    client.send(cancel);
    rig.run(30 * kSecond);  // the discovery service is down all the while
    CHECK(client.count(&v1::ToClient::has_ended) == 0);
    CHECK(rig.placer->server.recovery_queue().size() == 3);
    v1::FromClient same;
    *same.mutable_submit() = rig.request(1);
    rig.publish({rig.endpoint("n")});
    rig.run(200 * kMillisecond);
    // Both tasks on "n" are adopted and the cancelled one is cancelled there. The third is lost, since a list
    // newer than its handover omits its worker.
    CHECK(worker.connection().count(&v1::ToWorker::has_adopt_attempt) >= 1);
    CHECK(worker.connection().count(&v1::ToWorker::has_cancel_attempt) == 1);
    REQUIRE(client.count(&v1::ToClient::has_ended) == 1);
    CHECK(client.messages(&v1::ToClient::has_ended)[0].ended().id() == 3);
    CHECK(client.messages(&v1::ToClient::has_ended)[0].ended().outcome() == v1::TaskEnded::LOST);
    // Another task on a worker that no list names yet: a snapshot is requested.
    const std::size_t requests = rig.discovery_streams.back()->count(&v1::ToDiscovery::has_fetch_snapshot);
    hand_over(4, "new");
    rig.run(kSecond);
    CHECK(rig.discovery_streams.back()->count(&v1::ToDiscovery::has_fetch_snapshot) > requests);
    CHECK(client.count(&v1::ToClient::has_ended) == 1);
    // The task is dropped when its client disconnects.
    client.stream.reset();
    rig.run(100 * kMillisecond);
    CHECK(rig.placer->server.recovery_queue().size() == 0);
}

TEST_CASE("a task handed over by two clients ends for the first and keeps running for the second") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient &first = rig.connect_client(), &second = rig.connect_client();
    v1::FromClient message;
    *message.mutable_hand_over()->mutable_submit() = rig.request(1);
    message.mutable_hand_over()->set_worker("n");
    first.send(message);
    rig.run(100 * kMillisecond);
    second.send(message);
    rig.run(100 * kMillisecond);
    const auto adoptions = worker.connection().messages(&v1::ToWorker::has_adopt_attempt);
    REQUIRE(adoptions.size() == 2);
    REQUIRE(first.count(&v1::ToClient::has_ended) == 1);
    CHECK(first.messages(&v1::ToClient::has_ended)[0].ended().outcome() != v1::TaskEnded::COMPLETED);
    CHECK(second.count(&v1::ToClient::has_ended) == 0);
    CHECK(worker.connection().count(&v1::ToWorker::has_cancel_attempt) == 0);
    worker.end_attempt(adoptions[1].adopt_attempt().attempt(), v1::AttemptEnded::COMPLETED);
    rig.run(100 * kMillisecond);
    CHECK(second.count(&v1::ToClient::has_ended) == 1);
}
