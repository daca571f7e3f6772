// The graceful shutdown of the server. Runs in virtual time with injected faults.
#include <catch2/catch.hpp>

#include "support/server_rig.h"

using namespace whinpost;

TEST_CASE("a draining placer rejects new tasks, answers the waiting ones, and then calls back") {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient& client = rig.connect_client();
    rig.submit(client, rig.request(1, "once", 3 * kSecond));
    bool done = false;
    rig.placer->server.drain([&done] { done = true; });
    rig.submit(client, rig.request(2));
    CHECK(client.count(&v1::ToClient::has_rejected) == 1);
    CHECK(client.messages(&v1::ToClient::has_rejected)[0].rejected().reason() == "the placer is closing");
    CHECK_FALSE(done);
    worker.accept(worker.attempts().at(0).attempt());
    rig.run(100 * kMillisecond);
    CHECK(done);
    CHECK(final_answers(client) == 2);
}

TEST_CASE("a client that never reads delays the shutdown of the placer by 3 s at most") {
    ServerRig rig;
    TestClient& not_reading = rig.connect_client("not_reading");
    not_reading.stream->set_reading(false);
    for (std::uint64_t id = 1; id <= 20'000; ++id) {
        v1::FromClient message;
        *message.mutable_submit() = rig.request(id, "free", kSecond);
        not_reading.send(message);
    }
    rig.run(2 * kSecond);  // each task has its answer, and most answers are unsent
    bool done = false;
    rig.placer->server.drain([&done] { done = true; });
    rig.run(kSecond);
    CHECK_FALSE(done);
    rig.run(2 * kSecond);
    CHECK(done);
}
