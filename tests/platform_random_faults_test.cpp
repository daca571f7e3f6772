// The platform's server with workers and clients that behave at random; in virtual time.
#include <catch2/catch.hpp>
#include <random>
#include <utility>

#include "support/platform_rig.h"

using namespace whinpost;

TEST_CASE(
    "whatever workers and other clients do, each request gets in time an answer or a release, one of each at "
    "most") {
    const auto seed = GENERATE(take(12, random(1u, 1u << 30)));
    std::ranlux24_base chance(seed);
    const auto roll = [&chance](unsigned n) { return static_cast<unsigned>(chance() % n); };
    PlatformRig rig(64);
    std::vector<PlatformRig::FakeWorker*> workers;
    std::vector<std::string> entries;
    for (int i = 0; i < 6; ++i) {
        workers.push_back(&rig.add_worker("h" + std::to_string(i)));
        entries.push_back(PlatformRig::entry(*workers.back()));
    }
    rig.start();
    rig.publish(entries, true);
    struct Request {
        TestClient* client;
        std::uint64_t id;
        Nanos until;
    };
    std::vector<TestClient*> good;
    for (int i = 0; i < 5; ++i) good.push_back(&rig.connect_client(10 + i));
    std::vector<Request> requests;
    std::uint64_t next = 1;
    for (int step = 0; step < 300; ++step) {
        TestClient& client = *good[roll(5)];
        const int wait = 300 + static_cast<int>(roll(1500));
        const char* const groups[] = {"free", "marked", "once"};
        if (!client.closed && roll(2)) {
            client.send_bytes(place_task_bytes(next, groups[roll(3)], wait, ""));
            requests.push_back({&client, next++, rig.world.now() + wait * kMillisecond});
        }
        for (PlatformRig::FakeWorker* worker : workers)
            for (const auto& connection : worker->connections)
                for (const TestClient::ReceivedMessage& received_message :
                     std::exchange(connection->received, {})) {
                    if (received_message.type != MessageType::place_task) continue;
                    switch (roll(8)) {  // otherwise the worker never answers
                        case 0:
                            connection->answer(received_message.task);
                            break;
                        case 1:
                            connection->release(received_message.task, platform_codec::Cause::full,
                                                "queue_full");
                            break;
                        case 2:
                            connection->release(received_message.task, platform_codec::Cause::error);
                            break;
                        case 3:
                            connection->send_bytes("noise that is no message");
                            break;
                        case 4:
                            connection->stream.reset();
                            break;
                        case 5:
                            connection->answer(received_message.task);
                            connection->release(received_message.task, platform_codec::Cause::ok);
                            break;
                        default:
                            break;
                    }
                }
        if (roll(10) == 0) {  // a misbehaving client
            TestClient& bad = rig.connect_client(100 + static_cast<int>(roll(50)));
            switch (roll(4)) {
                case 0:
                    bad.send_bytes("GET / HTTP/1.1\r\n\r\n");
                    break;
                case 1:
                    bad.send_bytes(place_task_bytes(next - 1, "free", 500, ""));
                    break;  // an id that another client has used
                case 2:
                    bad.release(next - 1, platform_codec::Cause::given_up);
                    break;
                default:
                    break;  // sends nothing
            }
        }
        if (roll(40) == 0)
            rig.publish({endpoint_entry(workers[roll(6)]->name, workers[roll(6)]->address, "leaving")});
        if (roll(30) == 0) rig.publish(entries, true);
        rig.run(20 * kMillisecond);
    }
    rig.run(3 * kSecond);
    for (const Request& a : requests) {
        INFO("seed " << seed << ", request " << a.id);
        REQUIRE(!a.client->closed);
        const std::size_t answered = a.client->count(MessageType::answer, a.id);
        const std::size_t released = a.client->count(MessageType::release, a.id);
        CHECK(answered <= 1);
        CHECK(released <= 1);
        CHECK(answered + released >= 1);
    }
}
