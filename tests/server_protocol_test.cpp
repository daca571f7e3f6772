// Peers that violate the protocol. Runs in virtual time with injected faults.
#include <catch2/catch.hpp>

#include "support/server_rig.h"

using namespace whinpost;

TEST_CASE(
    "a peer that violates the protocol is sent one Error and closed; other connections are not affected") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient& good = rig.connect_client("good");
    rig.submit(good, rig.request(1));
    struct Case {
        std::string bytes, error;
    };
    v1::FromClient version, twice, field, unknown_group;
    fill_hello(*version.mutable_hello(), "x", 1);
    version.mutable_hello()->set_version(9);
    const auto framed = [](const v1::FromClient& message) {
        std::string out;
        net::encode_frame(out, message);
        return out;
    };
    v1::FromClient hello;
    fill_hello(*hello.mutable_hello(), "x", 1);
    *field.mutable_submit() = rig.request(1);
    field.mutable_submit()->set_cores(-1);
    *unknown_group.mutable_submit() = rig.request(1, "nosuch");
    *twice.mutable_submit() = rig.request(1);
    const std::vector<Case> cases = {
        {framed(version), "version 9 is not spoken here, only 1"},
        {framed(field), "the first message must be a hello"},
        {framed(hello) + framed(hello), "a second hello"},
        {framed(hello) + framed(field), "offer.cores: must be a number from 0 to 1e9"},
        {framed(hello) + framed(unknown_group), "offer.group: no such queue group"},
        {framed(hello) + framed(twice) + framed(twice), "offer.id: is in use on this session"},
        {std::string("\x7f\xff\xff\xff", 4), "a message is longer than 65536 bytes"},
        {std::string("\0\0\0\3\xff\xff\xff", 7), "not a message of this protocol"},
    };
    for (const Case& expected : cases) {
        TestClient& bad = rig.connect_client("bad", false);
        bad.stream->write(expected.bytes);
        rig.run(50 * kMillisecond);
        INFO(expected.error);
        REQUIRE(bad.count(&v1::ToClient::has_error) == 1);
        CHECK(bad.messages(&v1::ToClient::has_error)[0].error().text() == expected.error);
        CHECK(bad.is_closed);
    }
    CHECK_FALSE(good.is_closed);
    SECTION("a worker that accepts an attempt it was never sent is closed and dialled again") {
        worker.accept(987654321);
        rig.run(kSecond);
        REQUIRE(worker.connections.size() == 2);
        CHECK(worker.connections[0]->count(&v1::ToWorker::has_error) == 1);
        CHECK(rig.placer->server.connection("n")->state() == worker_connection::ConnectionState::up);
    }
    SECTION("an endpoint update with one field out of range is rejected as a whole") {
        v1::Endpoint wrong = rig.endpoint("m");
        wrong.set_kind(7);
        rig.publish({rig.endpoint("n", 0, 0, v1::Endpoint::DRAINING), wrong}, false);
        CHECK(rig.discovery_streams[0]->count(&v1::ToDiscovery::has_error) == 1);
        CHECK_FALSE(rig.placer->ledger->find_worker("n")->is_draining());
        rig.run(kSecond);
        CHECK(rig.discovery_streams.size() == 2);  // the placer has reconnected
    }
}
