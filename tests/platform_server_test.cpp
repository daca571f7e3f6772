// The platform's front: what goes wrong between a placer and its owners, hosts and event bus, each caused on
// purpose, in virtual time.
#include <catch2/catch.hpp>
#include <random>
#include <utility>

#include "support/platform_rig.h"
#include "support/quiet_planner.h"

using namespace whinpost;

namespace {

// One host, listed, and one owner.
struct One : PlatformRig {
    explicit One(std::size_t descriptors = 256)
        : PlatformRig(descriptors), h(add_worker("h")), o(connect_client()) {
        start();
        publish({entry(h)}, true);
    }
    FakeWorker& h;
    TestClient& o;
};

std::size_t answers(const TestClient& o, std::uint64_t id) {
    return o.count(MessageType::answer, id) + o.count(MessageType::release, id);
}

std::string health_checks(std::uint64_t count) {
    std::string out;
    for (std::uint64_t k = 0; k < count; ++k) {
        Message m;
        m.type = MessageType::health_check;
        m.task = k;
        m.cause = platform_codec::Cause::check_failed;
        platform_codec::encode(out, m);
    }
    return out;
}

}  // namespace

TEST_CASE("a container is launched with its owner's words, and the host's yes and end pass on") {
    One t;
    t.request_placement(t.o, 0x8c1f30d27a5be964, "marked");
    REQUIRE(t.h.attempts().size() == 1);
    const TestClient::ReceivedMessage l = t.h.attempts()[0];
    CHECK(l.task == 0x8c1f30d27a5be964);
    CHECK(l.queue_group == "marked");
    CHECK(l.task_name == "8c1f30d27a5be964");
    CHECK(l.idempotency_key == "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
    CHECK(l.description == "asked");
    CHECK(std::stoi(l.time_left_ms) > 0);
    t.h.last_connection().answer(l.task, "it stands at h");
    t.run(20 * kMillisecond);
    REQUIRE(t.o.messages(MessageType::answer).size() == 1);
    CHECK(t.o.messages(MessageType::answer)[0].description == "it stands at h");
    t.h.last_connection().release(l.task, platform_codec::Cause::ok);
    t.run(20 * kMillisecond);
    REQUIRE(t.o.messages(MessageType::release).size() == 1);
    CHECK(t.o.messages(MessageType::release)[0].cause == platform_codec::Cause::ok);
    CHECK(t.server.task_count() == 0);
    CHECK(t.ledger.open_tasks() == 0);
}

TEST_CASE("a late yes of a launch given up: cut where a repeat may stand elsewhere, else left") {
    One t;
    const std::string group = GENERATE("free", "marked", "once");
    t.request_placement(t.o, 7, group, 1000);
    REQUIRE(t.h.attempts().size() == 1);
    t.run(1500 * kMillisecond);
    CHECK(answers(t.o, 7) == 1);
    CHECK(t.o.count(MessageType::answer, 7) == 0);
    const std::size_t before = t.h.count(MessageType::release, 7);
    CHECK(before >= 1);  // given up
    t.h.connections[0]->answer(7);
    t.run(50 * kMillisecond);
    CHECK(t.h.count(MessageType::release, 7) - before == (group == "free" ? 1u : 0u));
    CHECK(answers(t.o, 7) == 1);
}

TEST_CASE("a second launch of one container to one host leaves on another connection") {
    One t;
    QuietPlanner quiet;
    t.server.set_planner(quiet);
    t.request_placement(t.o, 7, "free", 5000);
    REQUIRE(quiet.taken.size() == 1);
    t.server.place(quiet.taken[0], 0, 500 * kMillisecond);
    t.run(kSecond);
    REQUIRE(t.h.attempts().size() == 1);
    CHECK(t.h.count(MessageType::release, 7) == 1);  // given up
    t.server.place(quiet.taken[0], 0, 500 * kMillisecond);
    t.run(50 * kMillisecond);
    REQUIRE(t.h.attempts().size() == 2);
    REQUIRE(t.h.connections.size() == 2);
    CHECK(t.h.connections[1]->count(MessageType::place_task, 7) == 1);
    t.h.connections[0]->answer(7, "the first one's");  // of the launch that was given up
    t.run(20 * kMillisecond);
    CHECK(t.o.count(MessageType::answer, 7) == 0);
    t.h.connections[1]->answer(7, "the second one's");
    t.run(20 * kMillisecond);
    REQUIRE(t.o.messages(MessageType::answer).size() == 1);
    CHECK(t.o.messages(MessageType::answer)[0].description == "the second one's");
}

TEST_CASE("spoilt bytes end a connection: its launches are in doubt, what stands does not end") {
    One t;
    const std::string bytes = GENERATE(std::string("\xff\xff garbage, no message"),
                                       std::string("\x00\x03\x09xy", 5), std::string("\x00\x40\x09half", 7));
    t.request_placement(t.o, 1);
    t.h.last_connection().answer(1);
    t.run(20 * kMillisecond);
    t.request_placement(t.o, 2, "once");
    REQUIRE(t.h.attempts().size() == 2);
    t.h.last_connection().send_bytes(bytes);
    t.run(600 * kMillisecond);
    CHECK(t.h.connections[0]->closed);
    CHECK(t.h.attempts().size() == 2);  // side-effecting: it may have run
    REQUIRE(t.o.count(MessageType::release, 2) == 1);
    CHECK(t.o.messages(MessageType::release)[0].cause != platform_codec::Cause::try_later);
    CHECK(t.o.count(MessageType::release, 1) == 0);
    REQUIRE(t.h.connections.size() == 2);  // dialled again for what stands
    t.h.connections[1]->release(1, platform_codec::Cause::reset, "evicted");
    t.run(20 * kMillisecond);
    CHECK(t.o.count(MessageType::release, 1) == 1);
}

TEST_CASE("launches on one host go on connections of their own, so that one that breaks puts one in doubt") {
    One t;
    QuietPlanner quiet;
    t.server.set_planner(quiet);
    for (std::uint64_t id = 1; id <= 3; ++id) t.request_placement(t.o, id);
    for (const auto n : quiet.taken) t.server.place(n, 0, 2 * kSecond);
    t.run(50 * kMillisecond);
    REQUIRE(t.h.connections.size() == 3);
    for (const auto& c : t.h.connections) CHECK(c->messages(MessageType::place_task).size() == 1);
    const std::uint64_t broken = t.h.connections[1]->messages(MessageType::place_task)[0].task;
    t.h.connections[1]->stream->abort();
    t.h.connections[1]->stream.reset();
    t.run(50 * kMillisecond);
    // It may stand there, where its word can't reach us: cut, on a connection that is up.
    CHECK(t.h.count(MessageType::release, broken) == 1);
    CHECK(t.h.count(MessageType::release, 1) + t.h.count(MessageType::release, 2) +
              t.h.count(MessageType::release, 3) ==
          1);
    for (const auto n : quiet.taken)
        t.server.place(n, 0, 2 * kSecond);  // those that are out: refused by the ledger
    t.run(50 * kMillisecond);
    CHECK(t.h.count(MessageType::place_task, broken) == 2);
    CHECK(t.ledger.statistics().refused_to_planner == 2);
}

TEST_CASE("what may not be repeated is not cut when its connection breaks") {
    One t;
    const std::string group = GENERATE("marked", "once");
    t.request_placement(t.o, 1, group);
    REQUIRE(t.h.attempts().size() == 1);
    t.h.last_connection().stream->abort();
    t.h.last_connection().stream.reset();
    t.run(kSecond);
    CHECK(t.h.count(MessageType::release, 1) == 0);
}

TEST_CASE("a stray answer in front and a second copy change nothing") {
    One t;
    t.request_placement(t.o, 1);
    t.h.last_connection().answer(99);
    t.h.last_connection().answer(1, "first");
    t.h.last_connection().answer(1, "second");
    t.run(20 * kMillisecond);
    REQUIRE(t.o.messages(MessageType::answer).size() == 1);
    CHECK(t.o.messages(MessageType::answer)[0].description == "first");
    CHECK(t.o.messages(MessageType::answer)[0].task == 1);
    CHECK(!t.h.connections[0]->closed);
}

TEST_CASE(
    "a container that has ended before its answer left comes as both in one, and is not launched again") {
    One t;
    t.request_placement(t.o, 1);
    Message m;
    m.type = MessageType::release;
    m.task = 1;
    m.cause = platform_codec::Cause::ok;
    m.description = "stood and ended";
    t.h.last_connection().send(m);
    t.run(200 * kMillisecond);
    CHECK(t.h.attempts().size() == 1);
    REQUIRE(t.o.received.size() == 2);
    CHECK(t.o.received[0].type == MessageType::answer);
    CHECK(t.o.received[0].description == "stood and ended");
    CHECK(t.o.received[1].type == MessageType::release);
    CHECK(t.o.received[1].cause == platform_codec::Cause::ok);
    CHECK(t.server.task_count() == 0);
    t.request_placement(t.o, 2, "once");
    m.task = 2;
    m.description.reset();  // says no such thing: in doubt
    t.h.last_connection().send(m);
    t.run(200 * kMillisecond);
    CHECK(t.o.count(MessageType::answer, 2) == 0);
    CHECK(t.o.count(MessageType::release, 2) == 1);
}

TEST_CASE(
    "what stood by its notes and ended before its late answer came is told to its owner, not launched anew") {
    One t;
    const bool noted = GENERATE(true, false);
    t.request_placement(t.o, 1);
    Message note;
    note.type = MessageType::note;
    note.task = 1;
    note.detail = "cores";
    note.metric_value = "0.2";
    if (noted) t.h.last_connection().send(note);
    t.run(20 * kMillisecond);
    t.h.last_connection().release(1, platform_codec::Cause::reset, "sent_away");
    t.run(20 * kMillisecond);
    REQUIRE(t.o.count(MessageType::release, 1) == (noted ? 1u : 0u));
    t.run(5 * kSecond);
    CHECK(t.o.count(MessageType::release, 1) == 1);
    t.h.connections[0]->answer(1);
    t.run(20 * kMillisecond);
    CHECK(t.o.count(MessageType::answer, 1) == 0);
    CHECK(t.server.task_count() == 0);
    CHECK(t.planner.open_tasks() == 0);
}

TEST_CASE("a refused connection proves that nothing ran, a reset proves nothing") {
    One t;
    const bool refused = GENERATE(true, false);
    if (refused) t.h.listener.reset();
    t.request_placement(t.o, 5, "once", 2000);
    if (!refused) {
        REQUIRE(t.h.attempts().size() == 1);
        t.h.last_connection().stream->abort();
        t.h.last_connection().stream.reset();
    }
    t.run(2 * kSecond);
    REQUIRE(t.o.messages(MessageType::release).size() == 1);
    CHECK((t.o.messages(MessageType::release)[0].cause == platform_codec::Cause::try_later) == refused);
}

TEST_CASE("what stood on a machine that vanished is released within 8 s, on one whose process died at once") {
    One t;
    const bool vanished = GENERATE(true, false);
    t.request_placement(t.o, 1);
    t.h.last_connection().answer(1);
    t.run(kSecond);
    if (vanished) t.world.vanish(*t.h.process);
    else t.world.kill(*t.h.process);
    t.run(vanished ? 3 * kSecond : 2 * kSecond);
    CHECK(t.o.count(MessageType::release, 1) == (vanished ? 0u : 1u));
    t.run(4900 * kMillisecond);
    CHECK(t.o.count(MessageType::release, 1) == 1);
    CHECK(t.server.task_count() == 0);
}

TEST_CASE("a host that is merely quiet keeps its connection: its last words may be on their way") {
    One t;
    t.request_placement(t.o, 1);
    t.h.last_connection().answer(1);
    t.run(12 * kSecond);
    CHECK(!t.h.connections[0]->closed);
    CHECK(t.o.count(MessageType::release, 1) == 0);
    t.h.connections[0]->release(1, platform_codec::Cause::ok);
    t.run(20 * kMillisecond);
    CHECK(t.o.count(MessageType::release, 1) == 1);
}

TEST_CASE("owners that ask once and hold their connection do not push out the one that is of use") {
    One t(128);
    t.request_placement(t.o, 1, "free", 5000);
    t.h.last_connection().answer(1);
    t.run(20 * kMillisecond);
    std::uint64_t id = 1000;
    for (int i = 0; i < 150; ++i) {
        TestClient& once = t.connect_client(2 + i);
        t.request_placement(once, ++id, "free", 5000);
        t.h.last_connection().release(id, platform_codec::Cause::error);
        if (i % 20 == 0)
            t.request_placement(t.o, ++id, "nothing known");  // refused at the door, and a sign of life
    }
    CHECK(!t.o.closed);
    CHECK(t.server.connection_count() < 128);
    t.h.connections[0]->release(1, platform_codec::Cause::ok);
    t.run(20 * kMillisecond);
    CHECK(t.o.count(MessageType::release, 1) == 1);
}

TEST_CASE("an owner that asked once keeps its connection while its container stands, however quiet") {
    One t(128);
    TestClient& quiet = t.connect_client(2);
    t.request_placement(quiet, 1, "free", 5000);
    t.h.last_connection().answer(1);
    t.run(20 * kMillisecond);
    std::uint64_t id = 1000;
    for (int i = 0; i < 150; ++i) {
        t.request_placement(t.connect_client(3 + i), ++id, "free", 5000);
        for (const auto& c : t.h.connections)
            if (c->count(MessageType::place_task, id)) c->release(id, platform_codec::Cause::error);
    }
    CHECK(!quiet.closed);
    t.h.connections[0]->release(1, platform_codec::Cause::ok);
    t.run(20 * kMillisecond);
    CHECK(quiet.count(MessageType::release, 1) == 1);
}

TEST_CASE("a release whose owner has no connection open finds the next one from there") {
    One t;
    t.request_placement(t.o, 1);
    t.h.last_connection().answer(1);
    t.run(20 * kMillisecond);
    t.o.stream.reset();
    t.run(20 * kMillisecond);
    t.h.last_connection().release(1, platform_codec::Cause::ok);
    t.run(2 * kSecond);
    TestClient& stranger = t.connect_client(2);
    t.request_placement(stranger, 50, "nothing known");
    CHECK(stranger.count(MessageType::release, 1) == 0);
    TestClient& back = t.connect_client(1);
    t.request_placement(back, 51, "nothing known");
    CHECK(back.count(MessageType::release, 1) == 1);
}

TEST_CASE("a release by the owner cuts the container at its host and is owed nothing") {
    One t;
    t.request_placement(t.o, 1);
    t.h.last_connection().answer(1);
    t.run(20 * kMillisecond);
    t.o.release(1, platform_codec::Cause::cancelled);
    t.run(20 * kMillisecond);
    CHECK(t.h.count(MessageType::release, 1) == 1);
    t.h.last_connection().release(1, platform_codec::Cause::cancelled);
    t.run(20 * kMillisecond);
    CHECK(t.o.count(MessageType::release, 1) == 0);
    CHECK(t.server.task_count() == 0);
}

TEST_CASE("an owner that gives up, or goes, is owed no answer, and its launch is given up") {
    One t;
    const bool goes = GENERATE(true, false);
    t.request_placement(t.o, 1);
    REQUIRE(t.h.attempts().size() == 1);
    if (goes) t.o.stream.reset();
    else t.o.release(1, platform_codec::Cause::given_up);
    t.run(20 * kMillisecond);
    CHECK(t.h.count(MessageType::release, 1) == 1);
    CHECK(answers(t.o, 1) == 0);
    CHECK(t.server.task_count() == 0);
    CHECK(t.planner.open_tasks() == 0);
}

TEST_CASE("what runs already is taken over, also before its host is listed, and once only") {
    PlatformRig t;
    t.start();
    PlatformRig::FakeWorker& h = t.add_worker("h");
    TestClient& o = t.connect_client();
    const bool early = GENERATE(true, false);
    if (!early) t.publish({PlatformRig::entry(h)}, true);
    t.request_placement(o, 1, "free", 4294967, ";at:h");
    t.request_placement(o, 1, "free", 4294967, ";at:h");
    if (early) t.publish({PlatformRig::entry(h)}, true);
    CHECK(o.received.empty());
    CHECK(t.server.task_count() == 1);
    t.run(50 * kMillisecond);
    CHECK(h.attempts().empty());
    REQUIRE(h.connections.size() == 1);  // its end may come on any connection, so there is one
    h.last_connection().release(1, platform_codec::Cause::ok);
    t.run(20 * kMillisecond);
    CHECK(o.count(MessageType::release, 1) == 1);
}

TEST_CASE("bad clients get a refusal or a close, no launch, and cost the others nothing") {
    One t;
    TestClient& bad = t.connect_client(2);
    t.request_placement(bad, 10, "no such class");
    CHECK(bad.count(MessageType::release, 10) == 1);
    t.request_placement(bad, 0);  // no id: a host closes on it, whatever else is open there
    CHECK(bad.count(MessageType::release, 0) == 1);
    t.request_placement(bad, 11, "free", -5);
    CHECK(bad.count(MessageType::release, 11) == 1);
    CHECK(t.h.attempts().empty());
    t.request_placement(t.o, 12);
    REQUIRE(t.h.attempts().size() == 1);
    t.request_placement(bad, 12);  // an open id of another's
    CHECK(bad.count(MessageType::release, 12) == 1);
    CHECK(t.o.count(MessageType::release, 12) == 0);
    TestClient& twice = t.connect_client(3);
    t.request_placement(twice, 20);
    t.request_placement(twice, 20, "once");
    CHECK(twice.closed);
    CHECK(twice.count(MessageType::answer, 20) == 0);
    TestClient &noise = t.connect_client(4), &silent = t.connect_client(5), &half = t.connect_client(6);
    noise.send_bytes("GET / HTTP/1.1\r\n\r\n");
    half.send_bytes(std::string("\x00\x20\x01\x01", 4));
    t.run(2200 * kMillisecond);
    CHECK(noise.closed);
    CHECK(silent.closed);
    CHECK(half.closed);
    t.h.connections[0]->answer(12);
    t.run(20 * kMillisecond);
    CHECK(t.o.count(MessageType::answer, 12) == 1);
}

TEST_CASE(
    "a client whose words call for no answer is shown out in time, one with something that stands is not") {
    One t;
    TestClient &bad = t.connect_client(2), &odd = t.connect_client(3), &good = t.connect_client(4);
    for (std::uint64_t id = 100; id < 5000; ++id) {
        Message m;
        m.type = MessageType::place_task;
        m.task = id;
        const std::string name = task_name_of(id);
        m.queue_group = "free";
        m.task_name = name;
        m.requirements = "cores:1;memory:2;service:00000000b4d65521;at:nowhere";
        bad.send(m);
    }
    odd.release(77, platform_codec::Cause::given_up);
    t.request_placement(good, 9, "free", 4294967, ";at:h");
    t.run(2500 * kMillisecond);
    CHECK(bad.closed);
    CHECK(odd.closed);
    CHECK(!good.closed);
    CHECK(t.server.task_count() == 1);
    CHECK(t.server.pending_recovery_count() <= 2000);
}

TEST_CASE("a client that reads nothing holds bounded memory") {
    One t;
    TestClient& deaf = t.connect_client(2);
    deaf.stream->set_reading(false);
    for (int i = 0; i < 40; ++i) {
        deaf.send_bytes(health_checks(200));
        t.run(5 * kMillisecond);
    }
    t.run(kSecond);
    CHECK(t.server.connection_count() <= 2);
}

TEST_CASE(
    "an owner that reads none of its answers is ended between two rounds of the planner, never within one") {
    constexpr std::size_t kAsked = 14'000;  // their refusals are over what a connection holds
    struct AllAtOnce : QuietPlanner {
        explicit AllAtOnce(platform::PlatformServer& f) : front(f) {}
        void run_round(Nanos) override {
            if (taken.size() < kAsked) return;
            in_round = true;
            for (std::size_t i = 0; i < kAsked - 50; ++i) front.reject(taken[i], kSecond * 1'000'000'000);
            in_round = false;
        }
        void cancel(Nanos, planner::TaskNumber) override {
            ++gone;
            within += in_round;
        }
        platform::PlatformServer& front;
        bool in_round = false;
        int gone = 0, within = 0;
    };
    PlatformRig t;
    AllAtOnce planner(t.server);
    t.server.set_planner(planner);
    TestClient& o = t.connect_client();
    o.stream->set_reading(false);
    Message m;
    m.type = MessageType::place_task;
    m.queue_group = "free";
    m.time_left_ms = "60000";
    m.requirements = "cores:1;memory:2;service:00000000b4d65521";
    m.description = "asked";
    for (std::uint64_t id = 1; id <= kAsked; ++id) {
        const std::string name = task_name_of(id);
        m.task = id;
        m.task_name = name;
        o.send(m);
    }
    t.run(kSecond);
    REQUIRE(planner.taken.size() == kAsked);
    CHECK(planner.gone == 50);
    CHECK(planner.within == 0);
    CHECK(t.server.task_count() == 0);
    t.run(kSecond);
    CHECK(t.server.connection_count() == 0);
}

TEST_CASE("launches to a host that reads nothing wait where they can be taken back once their owner goes") {
    One t(64);
    QuietPlanner quiet;
    t.server.set_planner(quiet);
    t.request_placement(t.o, 1);
    t.server.place(quiet.taken[0], 0, 60 * kSecond);
    t.run(20 * kMillisecond);
    REQUIRE(t.h.connections.size() == 1);
    // Further launches go on connections of their own, up to ten.
    const std::string wide(1000, 'd');
    Message m;
    m.type = MessageType::place_task;
    m.queue_group = "free";
    m.time_left_ms = "60000";
    m.requirements = "cores:1;memory:2;service:00000000b4d65521";
    m.description = wide;
    constexpr std::uint64_t kLaunches = 3200;  // of 1 kB, on ten connections of 256 kB each
    for (std::uint64_t id = 2; id < 2 + kLaunches; ++id) {
        const std::string name = task_name_of(id);
        m.task = id;
        m.task_name = name;
        t.o.send(m);
        t.run(kMillisecond);
        t.server.place(quiet.taken.back(), 0, 60 * kSecond);
        t.run(kMillisecond);
        for (const auto& c : t.h.connections)
            if (c->stream) c->stream->set_reading(false);
    }
    REQUIRE(quiet.taken.size() == 1 + kLaunches);
    REQUIRE(t.h.connections.size() == 10);
    m.task_name = "0000000000000000";
    m.requirements.reset();  // hosts are not told them
    std::string one;
    platform_codec::encode(one, m);
    const std::size_t whole = one.size();
    t.o.stream.reset();
    t.run(100 * kMillisecond);
    CHECK(t.server.task_count() == 0);
    for (const auto& c : t.h.connections)
        if (c->stream) c->stream->set_reading(true);
    t.run(kSecond);
    // The kernels hold 256 kB of each connection; one more message may be in parts, one was read before.
    const std::size_t most = (256u << 10) / whole + 2;
    for (const auto& c : t.h.connections) {
        std::size_t wide_ones = 0;
        for (const TestClient::ReceivedMessage& g : c->received)
            wide_ones += g.type == MessageType::place_task && g.description == wide;
        CHECK(wide_ones <= most);
    }
}

TEST_CASE("the bus breaks mid-event, repeats events, falls silent, moves: asked again with the last number") {
    PlatformRig t;
    t.start();
    PlatformRig::FakeWorker &a = t.add_worker("a"), &b = t.add_worker("b");
    const std::string first = t.event({PlatformRig::entry(a)}, true),
                      second = t.event({PlatformRig::entry(b)});
    t.publish_bytes(first + first + second.substr(0, second.size() / 2));
    t.run(20 * kMillisecond);
    CHECK(t.server.worker_count() == 1);
    CHECK(t.server.discovery_watch().last_sequence() == 1);
    t.watches.back()->stream.reset();
    t.run(500 * kMillisecond);
    REQUIRE(t.watches.size() == 2);
    CHECK(t.watches[1]->requests.find("Last-Event-ID: 1\r\n") != std::string::npos);
    t.publish_bytes(second);
    t.run(20 * kMillisecond);
    CHECK(t.server.worker_count() == 2);
    t.comments = false;  // silent, and open
    t.run(2500 * kMillisecond);
    REQUIRE(t.watches.size() >= 3);
    CHECK(t.watches[2]->requests.find("Last-Event-ID: 2\r\n") != std::string::npos);
    t.comments = true;
    t.open_discovery("10.0.9.1:2");
    const std::size_t before = t.watches.size();
    t.server.discovery_watch().move_to("10.0.9.1:2");
    t.run(50 * kMillisecond);
    REQUIRE(t.watches.size() == before + 1);
    CHECK(t.watches.back()->requests.find("Last-Event-ID: 2\r\n") != std::string::npos);
}

TEST_CASE("nothing for a host that left reaches a new one at its address") {
    One t;
    t.request_placement(t.o, 1);
    t.h.last_connection().answer(1);
    t.run(20 * kMillisecond);
    t.world.kill(*t.h.process);
    t.h.listener.reset();
    PlatformRig::FakeWorker& heir = t.workers["heir"];
    heir.name = "heir";
    heir.address = t.h.address;
    heir.process = &t.world.process("10.0.1.1");
    t.publish({PlatformRig::entry(t.h, "left")});
    t.listen(heir);
    t.publish({PlatformRig::entry(heir)});
    t.o.release(1, platform_codec::Cause::cancelled);
    t.run(3 * kSecond);
    CHECK(heir.connections.empty());
    t.request_placement(t.o, 2);
    CHECK(heir.attempts().size() == 1);
}

TEST_CASE("after the call to end it serves a while, fails tests, answers all that is owed, then ends") {
    One t;
    t.request_placement(t.o, 1);
    bool ended = false;
    t.server.drain([&ended] { ended = true; });
    Message test;
    test.type = MessageType::health_check;
    test.task = 9;
    test.cause = platform_codec::Cause::check_failed;
    t.o.send(test);
    t.request_placement(t.o, 2);
    CHECK(t.h.attempts().size() == 2);
    REQUIRE(t.o.messages(MessageType::health_check_reply).size() == 1);
    CHECK(t.o.messages(MessageType::health_check_reply)[0].cause == platform_codec::Cause::check_failed);
    t.run(kSecond);
    CHECK(!ended);
    t.request_placement(t.o, 3);
    CHECK(t.o.count(MessageType::release, 3) == 1);
    for (const auto& c : t.h.connections)
        for (const auto& l : c->messages(MessageType::place_task)) c->answer(l.task);
    t.run(200 * kMillisecond);
    CHECK(ended);
    CHECK(t.o.messages(MessageType::answer).size() == 2);
}

TEST_CASE("more hosts than descriptors, all in use all the time: each host is reached again and again") {
    constexpr std::size_t kHosts = 60;
    PlatformRig t(64);                           // 40 of them for connections
    const bool answers = GENERATE(true, false);  // whether hosts answer health checks
    std::vector<PlatformRig::FakeWorker*> hosts;
    std::vector<std::string> entries;
    for (std::size_t i = 0; i < kHosts; ++i) {
        hosts.push_back(&t.add_worker("h" + std::to_string(100 + i)));
        entries.push_back(PlatformRig::entry(*hosts.back()));
    }
    t.start();
    t.publish(entries, true);
    std::vector<std::size_t> checked(kHosts);  // health checks that came to each host
    const auto answer_checks = [&] {
        for (std::size_t i = 0; i < kHosts; ++i)
            for (const auto& c : hosts[i]->connections)
                for (const TestClient::ReceivedMessage& g : std::exchange(c->received, {})) {
                    if (g.type != MessageType::health_check) continue;
                    ++checked[i];
                    Message m;
                    m.type = MessageType::health_check_reply;
                    m.task = g.task;
                    m.cause = platform_codec::Cause::check_passed;
                    if (answers) c->send(m);
                }
    };
    for (int part = 0; part < 3; ++part) {
        const std::vector<std::size_t> before = checked;
        // Each connection is used again long before it counts as idle.
        for (const Nanos end = t.world.now() + 4 * kSecond; t.world.now() < end;) {
            for (planner::WorkerNumber n = 0; n < kHosts; ++n) t.server.check_health(n);
            t.run(5 * kMillisecond);
            CHECK(t.server.connection_count() <= 40);
            answer_checks();
        }
        for (std::size_t i = 0; i < kHosts; ++i) {
            INFO("part " << part << ", host " << i);
            CHECK(checked[i] > before[i]);
        }
    }
}

TEST_CASE("a client that reads nothing and has something open is answered in the pass that shows it") {
    One t;
    TestClient& deaf = t.connect_client(2);
    t.request_placement(deaf, 7);
    REQUIRE(t.h.attempts().size() == 1);
    deaf.stream->set_reading(false);
    deaf.send_bytes(health_checks(60'000));
    // No sweep, which comes every 100 ms, is needed for it.
    for (int i = 0; i < 90 && t.server.task_count(); ++i) t.run(kMillisecond);
    CHECK(t.server.task_count() == 0);
    CHECK(t.h.count(MessageType::release, 7) == 1);  // given up
}

TEST_CASE("whatever hosts and other clients do, each request has one final answer, and that in time") {
    const auto seed = GENERATE(take(12, random(1u, 1u << 30)));
    std::ranlux24_base chance(seed);
    const auto roll = [&chance](unsigned n) { return static_cast<unsigned>(chance() % n); };
    PlatformRig t(64);
    std::vector<PlatformRig::FakeWorker*> hosts;
    std::vector<std::string> entries;
    for (int i = 0; i < 6; ++i) {
        hosts.push_back(&t.add_worker("h" + std::to_string(i)));
        entries.push_back(PlatformRig::entry(*hosts.back()));
    }
    t.start();
    t.publish(entries, true);
    struct Asked {
        TestClient* client;
        std::uint64_t id;
        Nanos until;
    };
    std::vector<TestClient*> good;
    for (int i = 0; i < 5; ++i) good.push_back(&t.connect_client(10 + i));
    std::vector<Asked> asked;
    std::uint64_t next = 1;
    for (int step = 0; step < 300; ++step) {
        TestClient& client = *good[roll(5)];
        const int wait = 300 + static_cast<int>(roll(1500));
        const char* const groups[] = {"free", "marked", "once"};
        if (!client.closed && roll(2)) {
            client.send_bytes(place_task_bytes(next, groups[roll(3)], wait, ""));
            asked.push_back({&client, next++, t.world.now() + wait * kMillisecond});
        }
        for (PlatformRig::FakeWorker* h : hosts)
            for (const auto& c : h->connections)
                for (const TestClient::ReceivedMessage& g : std::exchange(c->received, {})) {
                    if (g.type != MessageType::place_task) continue;
                    switch (roll(8)) {  // else silent for good
                        case 0:
                            c->answer(g.task);
                            break;
                        case 1:
                            c->release(g.task, platform_codec::Cause::full, "queue_full");
                            break;
                        case 2:
                            c->release(g.task, platform_codec::Cause::error);
                            break;
                        case 3:
                            c->send_bytes("noise that is no message");
                            break;
                        case 4:
                            c->stream.reset();
                            break;
                        case 5:
                            c->answer(g.task);
                            c->release(g.task, platform_codec::Cause::ok);
                            break;
                        default:
                            break;
                    }
                }
        if (roll(10) == 0) {  // another client's trouble
            TestClient& bad = t.connect_client(100 + static_cast<int>(roll(50)));
            switch (roll(4)) {
                case 0:
                    bad.send_bytes("GET / HTTP/1.1\r\n\r\n");
                    break;
                case 1:
                    bad.send_bytes(place_task_bytes(next - 1, "free", 500, ""));
                    break;  // an id of another's
                case 2:
                    bad.release(next - 1, platform_codec::Cause::given_up);
                    break;
                default:
                    break;  // silent
            }
        }
        if (roll(40) == 0)
            t.publish({endpoint_entry(hosts[roll(6)]->name, hosts[roll(6)]->address, "leaving")});
        if (roll(30) == 0) t.publish(entries, true);
        t.run(20 * kMillisecond);
    }
    t.run(3 * kSecond);
    for (const Asked& a : asked) {
        INFO("seed " << seed << ", request " << a.id);
        REQUIRE(!a.client->closed);
        const std::size_t stands = a.client->count(MessageType::answer, a.id);
        const std::size_t over = a.client->count(MessageType::release, a.id);
        CHECK(stands <= 1);
        CHECK(over <= 1);
        CHECK(stands + over >= 1);
    }
}
