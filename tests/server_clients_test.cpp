// Clients that disconnect, hang or flood the placer. Runs in virtual time with injected faults.
#include <catch2/catch.hpp>

#include "support/server_rig.h"

using namespace whinpost;

TEST_CASE("when a client disconnects with 200 waiting tasks, all of them are removed") {
    ServerRig rig;
    TestClient &client = rig.connect_client();
    for (std::uint64_t i = 1; i <= 200; ++i) {
        v1::FromClient message;
        *message.mutable_submit() = rig.request(i, "free", 60 * kSecond);
        client.send(message);
    }
    rig.run(100 * kMillisecond);
    CHECK(rig.placer->server.tasks_held() == 200);
    CHECK(rig.placer->admission.waiting() == 200);
    client.stream.reset();
    rig.run(kSecond);
    CHECK(rig.placer->server.tasks_held() == 0);
    CHECK(rig.placer->admission.waiting() == 0);
    CHECK(rig.placer->planner.open_tasks() == 0);
}

TEST_CASE("a client that sends an incomplete message or never reads does not delay others") {
    ServerRig rig;
    FakeWorker &worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient &incomplete = rig.connect_client("incomplete"),
               &not_reading = rig.connect_client("not_reading"), &good = rig.connect_client("good");
    incomplete.stream->write(std::string("\0\0\1\0\x12\x05", 6));
    not_reading.stream->set_reading(false);
    for (std::uint64_t i = 1; i <= 6000; ++i) {
        v1::FromClient message;
        *message.mutable_submit() = rig.request(i, "free", kSecond);
        not_reading.send(message);
    }
    rig.run(kSecond);
    rig.submit(good, rig.request(1));
    rig.run(kSecond);
    CHECK(good.count(&v1::ToClient::has_received) == 1);
    CHECK_FALSE(incomplete.is_closed);
    CHECK(worker.connection().stream);
}

TEST_CASE(
    "tasks beyond the admission limit are rejected at once with the limit's name, and other clients are "
    "served") {
    ServerRig rig("[intake]\nwaiting = 100\nwaiting_an_owner = 1000\n");
    TestClient &flooding = rig.connect_client("flooding"), &other = rig.connect_client("other");
    for (std::uint64_t i = 1; i <= 500; ++i) {
        v1::FromClient message;
        *message.mutable_submit() = rig.request(i, i % 2 ? "free" : "once", 60 * kSecond);
        flooding.send(message);
    }
    rig.run(100 * kMillisecond);
    CHECK(flooding.count(&v1::ToClient::has_received) + flooding.count(&v1::ToClient::has_rejected) == 500);
    CHECK(flooding.count(&v1::ToClient::has_received) < 80);
    CHECK(flooding.messages(&v1::ToClient::has_rejected).back().rejected().reason().find("intake.waiting") ==
          0);
    for (std::uint64_t i = 1; i <= 20; ++i) rig.submit(other, rig.request(i, "free", 60 * kSecond));
    CHECK(other.count(&v1::ToClient::has_received) >= 16);
}

TEST_CASE(
    "a client that sends no Hello is sent an Error and closed after 5 s, one that has sent it stays "
    "connected") {
    ServerRig rig;
    TestClient &silent = rig.connect_client("silent", false), &greeted = rig.connect_client("greeted");
    rig.run(4900 * kMillisecond);
    CHECK_FALSE(silent.is_closed);
    rig.run(300 * kMillisecond);
    CHECK(silent.is_closed);
    CHECK(silent.count(&v1::ToClient::has_error) == 1);
    rig.run(10 * kSecond);
    CHECK_FALSE(greeted.is_closed);
}
