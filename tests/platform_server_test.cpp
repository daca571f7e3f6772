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
    explicit One(std::size_t descriptors = 256) : PlatformRig(descriptors), h(host("h")), o(owner()) {
        start();
        tell({entry(h)}, true);
    }
    HostAt& h;
    Line& o;
};

std::size_t answers(const Line& o, std::uint64_t id) {
    return o.count(MessageType::answer, id) + o.count(MessageType::release, id);
}

std::string health_checks(std::uint64_t count) {
    std::string out;
    for (std::uint64_t k = 0; k < count; ++k) {
        Message m;
        m.type = MessageType::test;
        m.task = k;
        m.cause = 0;
        platform_codec::encode(out, m);
    }
    return out;
}

}  // namespace

TEST_CASE("a container is launched with its owner's words, and the host's yes and end pass on") {
    One t;
    t.ask(t.o, 0x8c1f30d27a5be964, "marked");
    REQUIRE(t.h.launches().size() == 1);
    const Line::Got l = t.h.launches()[0];
    CHECK(l.task == 0x8c1f30d27a5be964);
    CHECK(l.group == "marked");
    CHECK(l.name == "8c1f30d27a5be964");
    CHECK(l.key == "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
    CHECK(l.description == "asked");
    CHECK(std::stoi(l.wait) > 0);
    t.h.last().answer(l.task, "it stands at h");
    t.run(20 * kMillisecond);
    REQUIRE(t.o.all(MessageType::answer).size() == 1);
    CHECK(t.o.all(MessageType::answer)[0].description == "it stands at h");
    t.h.last().release(l.task, platform_codec::kOk);
    t.run(20 * kMillisecond);
    REQUIRE(t.o.all(MessageType::release).size() == 1);
    CHECK(t.o.all(MessageType::release)[0].cause == platform_codec::kOk);
    CHECK(t.front.tasks() == 0);
    CHECK(t.ledger.open_tasks() == 0);
}

TEST_CASE("a late yes of a launch given up: cut where a repeat may stand elsewhere, else left") {
    One t;
    const std::string group = GENERATE("free", "marked", "once");
    t.ask(t.o, 7, group, 1000);
    REQUIRE(t.h.launches().size() == 1);
    t.run(1500 * kMillisecond);
    CHECK(answers(t.o, 7) == 1);
    CHECK(t.o.count(MessageType::answer, 7) == 0);
    const std::size_t before = t.h.count(MessageType::release, 7);
    CHECK(before >= 1);  // given up
    t.h.conns[0]->answer(7);
    t.run(50 * kMillisecond);
    CHECK(t.h.count(MessageType::release, 7) - before == (group == "free" ? 1u : 0u));
    CHECK(answers(t.o, 7) == 1);
}

TEST_CASE("a second launch of one container to one host leaves on another connection") {
    One t;
    QuietPlanner quiet;
    t.front.plan_with(quiet);
    t.ask(t.o, 7, "free", 5000);
    REQUIRE(quiet.taken.size() == 1);
    t.front.place(quiet.taken[0], 0, 500 * kMillisecond);
    t.run(kSecond);
    REQUIRE(t.h.launches().size() == 1);
    CHECK(t.h.count(MessageType::release, 7) == 1);  // given up
    t.front.place(quiet.taken[0], 0, 500 * kMillisecond);
    t.run(50 * kMillisecond);
    REQUIRE(t.h.launches().size() == 2);
    REQUIRE(t.h.conns.size() == 2);
    CHECK(t.h.conns[1]->count(MessageType::set_up, 7) == 1);
    t.h.conns[0]->answer(7, "the first one's");  // of the launch that was given up
    t.run(20 * kMillisecond);
    CHECK(t.o.count(MessageType::answer, 7) == 0);
    t.h.conns[1]->answer(7, "the second one's");
    t.run(20 * kMillisecond);
    REQUIRE(t.o.all(MessageType::answer).size() == 1);
    CHECK(t.o.all(MessageType::answer)[0].description == "the second one's");
}

TEST_CASE("spoilt bytes end a connection: its launches are in doubt, what stands does not end") {
    One t;
    const std::string bytes = GENERATE(std::string("\xff\xff garbage, no message"),
                                       std::string("\x00\x03\x09xy", 5), std::string("\x00\x40\x09half", 7));
    t.ask(t.o, 1);
    t.h.last().answer(1);
    t.run(20 * kMillisecond);
    t.ask(t.o, 2, "once");
    REQUIRE(t.h.launches().size() == 2);
    t.h.last().raw(bytes);
    t.run(600 * kMillisecond);
    CHECK(t.h.conns[0]->over);
    CHECK(t.h.launches().size() == 2);  // side-effecting: it may have run
    REQUIRE(t.o.count(MessageType::release, 2) == 1);
    CHECK(t.o.all(MessageType::release)[0].cause != platform_codec::kTryLater);
    CHECK(t.o.count(MessageType::release, 1) == 0);
    REQUIRE(t.h.conns.size() == 2);  // dialled again for what stands
    t.h.conns[1]->release(1, platform_codec::kReset, "evicted");
    t.run(20 * kMillisecond);
    CHECK(t.o.count(MessageType::release, 1) == 1);
}

TEST_CASE("launches on one host go on connections of their own, so that one that breaks puts one in doubt") {
    One t;
    QuietPlanner quiet;
    t.front.plan_with(quiet);
    for (std::uint64_t id = 1; id <= 3; ++id) t.ask(t.o, id);
    for (const auto n : quiet.taken) t.front.place(n, 0, 2 * kSecond);
    t.run(50 * kMillisecond);
    REQUIRE(t.h.conns.size() == 3);
    for (const auto& c : t.h.conns) CHECK(c->all(MessageType::set_up).size() == 1);
    const std::uint64_t broken = t.h.conns[1]->all(MessageType::set_up)[0].task;
    t.h.conns[1]->stream->abort();
    t.h.conns[1]->stream.reset();
    t.run(50 * kMillisecond);
    // It may stand there, where its word can't reach us: cut, on a connection that is up.
    CHECK(t.h.count(MessageType::release, broken) == 1);
    CHECK(t.h.count(MessageType::release, 1) + t.h.count(MessageType::release, 2) +
              t.h.count(MessageType::release, 3) ==
          1);
    for (const auto n : quiet.taken)
        t.front.place(n, 0, 2 * kSecond);  // those that are out: refused by the ledger
    t.run(50 * kMillisecond);
    CHECK(t.h.count(MessageType::set_up, broken) == 2);
    CHECK(t.ledger.statistics().refused_to_planner == 2);
}

TEST_CASE("what may not be repeated is not cut when its connection breaks") {
    One t;
    const std::string group = GENERATE("marked", "once");
    t.ask(t.o, 1, group);
    REQUIRE(t.h.launches().size() == 1);
    t.h.last().stream->abort();
    t.h.last().stream.reset();
    t.run(kSecond);
    CHECK(t.h.count(MessageType::release, 1) == 0);
}

TEST_CASE("a stray answer in front and a second copy change nothing") {
    One t;
    t.ask(t.o, 1);
    t.h.last().answer(99);
    t.h.last().answer(1, "first");
    t.h.last().answer(1, "second");
    t.run(20 * kMillisecond);
    REQUIRE(t.o.all(MessageType::answer).size() == 1);
    CHECK(t.o.all(MessageType::answer)[0].description == "first");
    CHECK(t.o.all(MessageType::answer)[0].task == 1);
    CHECK(!t.h.conns[0]->over);
}

TEST_CASE(
    "a container that has ended before its answer left comes as both in one, and is not launched again") {
    One t;
    t.ask(t.o, 1);
    Message m;
    m.type = MessageType::release;
    m.task = 1;
    m.cause = platform_codec::kOk;
    m.description = "stood and ended";
    t.h.last().say(m);
    t.run(200 * kMillisecond);
    CHECK(t.h.launches().size() == 1);
    REQUIRE(t.o.got.size() == 2);
    CHECK(t.o.got[0].type == MessageType::answer);
    CHECK(t.o.got[0].description == "stood and ended");
    CHECK(t.o.got[1].type == MessageType::release);
    CHECK(t.o.got[1].cause == platform_codec::kOk);
    CHECK(t.front.tasks() == 0);
    t.ask(t.o, 2, "once");
    m.task = 2;
    m.description.reset();  // says no such thing: in doubt
    t.h.last().say(m);
    t.run(200 * kMillisecond);
    CHECK(t.o.count(MessageType::answer, 2) == 0);
    CHECK(t.o.count(MessageType::release, 2) == 1);
}

TEST_CASE(
    "what stood by its notes and ended before its late answer came is told to its owner, not launched anew") {
    One t;
    const bool noted = GENERATE(true, false);
    t.ask(t.o, 1);
    Message note;
    note.type = MessageType::note;
    note.task = 1;
    note.notes = "cores";
    note.figure = "0.2";
    if (noted) t.h.last().say(note);
    t.run(20 * kMillisecond);
    t.h.last().release(1, platform_codec::kReset, "sent_away");
    t.run(20 * kMillisecond);
    REQUIRE(t.o.count(MessageType::release, 1) == (noted ? 1u : 0u));
    t.run(5 * kSecond);
    CHECK(t.o.count(MessageType::release, 1) == 1);
    t.h.conns[0]->answer(1);
    t.run(20 * kMillisecond);
    CHECK(t.o.count(MessageType::answer, 1) == 0);
    CHECK(t.front.tasks() == 0);
    CHECK(t.planner.open_tasks() == 0);
}

TEST_CASE("a refused connection proves that nothing ran, a reset proves nothing") {
    One t;
    const bool refused = GENERATE(true, false);
    if (refused) t.h.listener.reset();
    t.ask(t.o, 5, "once", 2000);
    if (!refused) {
        REQUIRE(t.h.launches().size() == 1);
        t.h.last().stream->abort();
        t.h.last().stream.reset();
    }
    t.run(2 * kSecond);
    REQUIRE(t.o.all(MessageType::release).size() == 1);
    CHECK((t.o.all(MessageType::release)[0].cause == platform_codec::kTryLater) == refused);
}

TEST_CASE("what stood on a machine that vanished is released within 8 s, on one whose process died at once") {
    One t;
    const bool vanished = GENERATE(true, false);
    t.ask(t.o, 1);
    t.h.last().answer(1);
    t.run(kSecond);
    if (vanished) t.world.vanish(*t.h.process);
    else t.world.kill(*t.h.process);
    t.run(vanished ? 3 * kSecond : 2 * kSecond);
    CHECK(t.o.count(MessageType::release, 1) == (vanished ? 0u : 1u));
    t.run(4900 * kMillisecond);
    CHECK(t.o.count(MessageType::release, 1) == 1);
    CHECK(t.front.tasks() == 0);
}

TEST_CASE("a host that is merely quiet keeps its connection: its last words may be on their way") {
    One t;
    t.ask(t.o, 1);
    t.h.last().answer(1);
    t.run(12 * kSecond);
    CHECK(!t.h.conns[0]->over);
    CHECK(t.o.count(MessageType::release, 1) == 0);
    t.h.conns[0]->release(1, platform_codec::kOk);
    t.run(20 * kMillisecond);
    CHECK(t.o.count(MessageType::release, 1) == 1);
}

TEST_CASE("owners that ask once and hold their connection do not push out the one that is of use") {
    One t(128);
    t.ask(t.o, 1, "free", 5000);
    t.h.last().answer(1);
    t.run(20 * kMillisecond);
    std::uint64_t id = 1000;
    for (int i = 0; i < 150; ++i) {
        Line& once = t.owner(2 + i);
        t.ask(once, ++id, "free", 5000);
        t.h.last().release(id, platform_codec::kError);
        if (i % 20 == 0) t.ask(t.o, ++id, "nothing known");  // refused at the door, and a sign of life
    }
    CHECK(!t.o.over);
    CHECK(t.front.connections() < 128);
    t.h.conns[0]->release(1, platform_codec::kOk);
    t.run(20 * kMillisecond);
    CHECK(t.o.count(MessageType::release, 1) == 1);
}

TEST_CASE("an owner that asked once keeps its connection while its container stands, however quiet") {
    One t(128);
    Line& quiet = t.owner(2);
    t.ask(quiet, 1, "free", 5000);
    t.h.last().answer(1);
    t.run(20 * kMillisecond);
    std::uint64_t id = 1000;
    for (int i = 0; i < 150; ++i) {
        t.ask(t.owner(3 + i), ++id, "free", 5000);
        for (const auto& c : t.h.conns)
            if (c->count(MessageType::set_up, id)) c->release(id, platform_codec::kError);
    }
    CHECK(!quiet.over);
    t.h.conns[0]->release(1, platform_codec::kOk);
    t.run(20 * kMillisecond);
    CHECK(quiet.count(MessageType::release, 1) == 1);
}

TEST_CASE("a release whose owner has no connection open finds the next one from there") {
    One t;
    t.ask(t.o, 1);
    t.h.last().answer(1);
    t.run(20 * kMillisecond);
    t.o.stream.reset();
    t.run(20 * kMillisecond);
    t.h.last().release(1, platform_codec::kOk);
    t.run(2 * kSecond);
    Line& stranger = t.owner(2);
    t.ask(stranger, 50, "nothing known");
    CHECK(stranger.count(MessageType::release, 1) == 0);
    Line& back = t.owner(1);
    t.ask(back, 51, "nothing known");
    CHECK(back.count(MessageType::release, 1) == 1);
}

TEST_CASE("a release by the owner cuts the container at its host and is owed nothing") {
    One t;
    t.ask(t.o, 1);
    t.h.last().answer(1);
    t.run(20 * kMillisecond);
    t.o.release(1, platform_codec::kCancelled);
    t.run(20 * kMillisecond);
    CHECK(t.h.count(MessageType::release, 1) == 1);
    t.h.last().release(1, platform_codec::kCancelled);
    t.run(20 * kMillisecond);
    CHECK(t.o.count(MessageType::release, 1) == 0);
    CHECK(t.front.tasks() == 0);
}

TEST_CASE("an owner that gives up, or goes, is owed no answer, and its launch is given up") {
    One t;
    const bool goes = GENERATE(true, false);
    t.ask(t.o, 1);
    REQUIRE(t.h.launches().size() == 1);
    if (goes) t.o.stream.reset();
    else t.o.release(1, platform_codec::kGivenUp);
    t.run(20 * kMillisecond);
    CHECK(t.h.count(MessageType::release, 1) == 1);
    CHECK(answers(t.o, 1) == 0);
    CHECK(t.front.tasks() == 0);
    CHECK(t.planner.open_tasks() == 0);
}

TEST_CASE("what runs already is taken over, also before its host is listed, and once only") {
    PlatformRig t;
    t.start();
    PlatformRig::HostAt& h = t.host("h");
    Line& o = t.owner();
    const bool early = GENERATE(true, false);
    if (!early) t.tell({PlatformRig::entry(h)}, true);
    t.ask(o, 1, "free", 4294967, ";at:h");
    t.ask(o, 1, "free", 4294967, ";at:h");
    if (early) t.tell({PlatformRig::entry(h)}, true);
    CHECK(o.got.empty());
    CHECK(t.front.tasks() == 1);
    t.run(50 * kMillisecond);
    CHECK(h.launches().empty());
    REQUIRE(h.conns.size() == 1);  // its end may come on any connection, so there is one
    h.last().release(1, platform_codec::kOk);
    t.run(20 * kMillisecond);
    CHECK(o.count(MessageType::release, 1) == 1);
}

TEST_CASE("bad clients get a refusal or a close, no launch, and cost the others nothing") {
    One t;
    Line& bad = t.owner(2);
    t.ask(bad, 10, "no such class");
    CHECK(bad.count(MessageType::release, 10) == 1);
    t.ask(bad, 0);  // no id: a host closes on it, whatever else is open there
    CHECK(bad.count(MessageType::release, 0) == 1);
    t.ask(bad, 11, "free", -5);
    CHECK(bad.count(MessageType::release, 11) == 1);
    CHECK(t.h.launches().empty());
    t.ask(t.o, 12);
    REQUIRE(t.h.launches().size() == 1);
    t.ask(bad, 12);  // an open id of another's
    CHECK(bad.count(MessageType::release, 12) == 1);
    CHECK(t.o.count(MessageType::release, 12) == 0);
    Line& twice = t.owner(3);
    t.ask(twice, 20);
    t.ask(twice, 20, "once");
    CHECK(twice.over);
    CHECK(twice.count(MessageType::answer, 20) == 0);
    Line &noise = t.owner(4), &silent = t.owner(5), &half = t.owner(6);
    noise.raw("GET / HTTP/1.1\r\n\r\n");
    half.raw(std::string("\x00\x20\x01\x01", 4));
    t.run(2200 * kMillisecond);
    CHECK(noise.over);
    CHECK(silent.over);
    CHECK(half.over);
    t.h.conns[0]->answer(12);
    t.run(20 * kMillisecond);
    CHECK(t.o.count(MessageType::answer, 12) == 1);
}

TEST_CASE(
    "a client whose words call for no answer is shown out in time, one with something that stands is not") {
    One t;
    Line &bad = t.owner(2), &odd = t.owner(3), &good = t.owner(4);
    for (std::uint64_t id = 100; id < 5000; ++id) {
        Message m;
        m.type = MessageType::set_up;
        m.task = id;
        const std::string name = name_of(id);
        m.group = "free";
        m.name = name;
        m.figures = "cores:1;memory:2;service:00000000b4d65521;at:nowhere";
        bad.say(m);
    }
    odd.release(77, platform_codec::kGivenUp);
    t.ask(good, 9, "free", 4294967, ";at:h");
    t.run(2500 * kMillisecond);
    CHECK(bad.over);
    CHECK(odd.over);
    CHECK(!good.over);
    CHECK(t.front.tasks() == 1);
    CHECK(t.front.early() <= 2000);
}

TEST_CASE("a client that reads nothing holds bounded memory") {
    One t;
    Line& deaf = t.owner(2);
    deaf.stream->set_reading(false);
    for (int i = 0; i < 40; ++i) {
        deaf.raw(health_checks(200));
        t.run(5 * kMillisecond);
    }
    t.run(kSecond);
    CHECK(t.front.connections() <= 2);
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
    AllAtOnce planner(t.front);
    t.front.plan_with(planner);
    Line& o = t.owner();
    o.stream->set_reading(false);
    Message m;
    m.type = MessageType::set_up;
    m.group = "free";
    m.wait = "60000";
    m.figures = "cores:1;memory:2;service:00000000b4d65521";
    m.description = "asked";
    for (std::uint64_t id = 1; id <= kAsked; ++id) {
        const std::string name = name_of(id);
        m.task = id;
        m.name = name;
        o.say(m);
    }
    t.run(kSecond);
    REQUIRE(planner.taken.size() == kAsked);
    CHECK(planner.gone == 50);
    CHECK(planner.within == 0);
    CHECK(t.front.tasks() == 0);
    t.run(kSecond);
    CHECK(t.front.connections() == 0);
}

TEST_CASE("launches to a host that reads nothing wait where they can be taken back once their owner goes") {
    One t(64);
    QuietPlanner quiet;
    t.front.plan_with(quiet);
    t.ask(t.o, 1);
    t.front.place(quiet.taken[0], 0, 60 * kSecond);
    t.run(20 * kMillisecond);
    REQUIRE(t.h.conns.size() == 1);
    // Further launches go on connections of their own, up to ten.
    const std::string wide(1000, 'd');
    Message m;
    m.type = MessageType::set_up;
    m.group = "free";
    m.wait = "60000";
    m.figures = "cores:1;memory:2;service:00000000b4d65521";
    m.description = wide;
    constexpr std::uint64_t kLaunches = 3200;  // of 1 kB, on ten connections of 256 kB each
    for (std::uint64_t id = 2; id < 2 + kLaunches; ++id) {
        const std::string name = name_of(id);
        m.task = id;
        m.name = name;
        t.o.say(m);
        t.run(kMillisecond);
        t.front.place(quiet.taken.back(), 0, 60 * kSecond);
        t.run(kMillisecond);
        for (const auto& c : t.h.conns)
            if (c->stream) c->stream->set_reading(false);
    }
    REQUIRE(quiet.taken.size() == 1 + kLaunches);
    REQUIRE(t.h.conns.size() == 10);
    m.name = "0000000000000000";
    m.figures.reset();  // hosts are not told them
    std::string one;
    platform_codec::encode(one, m);
    const std::size_t whole = one.size();
    t.o.stream.reset();
    t.run(100 * kMillisecond);
    CHECK(t.front.tasks() == 0);
    for (const auto& c : t.h.conns)
        if (c->stream) c->stream->set_reading(true);
    t.run(kSecond);
    // The kernels hold 256 kB of each connection; one more message may be in parts, one was read before.
    const std::size_t most = (256u << 10) / whole + 2;
    for (const auto& c : t.h.conns) {
        std::size_t wide_ones = 0;
        for (const Line::Got& g : c->got) wide_ones += g.type == MessageType::set_up && g.description == wide;
        CHECK(wide_ones <= most);
    }
}

TEST_CASE("the bus breaks mid-event, repeats events, falls silent, moves: asked again with the last number") {
    PlatformRig t;
    t.start();
    PlatformRig::HostAt &a = t.host("a"), &b = t.host("b");
    const std::string first = t.event({PlatformRig::entry(a)}, true),
                      second = t.event({PlatformRig::entry(b)});
    t.tell_raw(first + first + second.substr(0, second.size() / 2));
    t.run(20 * kMillisecond);
    CHECK(t.front.hosts() == 1);
    CHECK(t.front.bus().last() == 1);
    t.buses.back()->stream.reset();
    t.run(500 * kMillisecond);
    REQUIRE(t.buses.size() == 2);
    CHECK(t.buses[1]->asked.find("Last-Event-ID: 1\r\n") != std::string::npos);
    t.tell_raw(second);
    t.run(20 * kMillisecond);
    CHECK(t.front.hosts() == 2);
    t.comments = false;  // silent, and open
    t.run(2500 * kMillisecond);
    REQUIRE(t.buses.size() >= 3);
    CHECK(t.buses[2]->asked.find("Last-Event-ID: 2\r\n") != std::string::npos);
    t.comments = true;
    t.open_bus("10.0.9.1:2");
    const std::size_t before = t.buses.size();
    t.front.bus().moved("10.0.9.1:2");
    t.run(50 * kMillisecond);
    REQUIRE(t.buses.size() == before + 1);
    CHECK(t.buses.back()->asked.find("Last-Event-ID: 2\r\n") != std::string::npos);
}

TEST_CASE("nothing for a host that left reaches a new one at its address") {
    One t;
    t.ask(t.o, 1);
    t.h.last().answer(1);
    t.run(20 * kMillisecond);
    t.world.kill(*t.h.process);
    t.h.listener.reset();
    PlatformRig::HostAt& heir = t.hosts["heir"];
    heir.name = "heir";
    heir.address = t.h.address;
    heir.process = &t.world.process("10.0.1.1");
    t.tell({PlatformRig::entry(t.h, "left")});
    t.listen(heir);
    t.tell({PlatformRig::entry(heir)});
    t.o.release(1, platform_codec::kCancelled);
    t.run(3 * kSecond);
    CHECK(heir.conns.empty());
    t.ask(t.o, 2);
    CHECK(heir.launches().size() == 1);
}

TEST_CASE("after the call to end it serves a while, fails tests, answers all that is owed, then ends") {
    One t;
    t.ask(t.o, 1);
    bool ended = false;
    t.front.close([&ended] { ended = true; });
    Message test;
    test.type = MessageType::test;
    test.task = 9;
    test.cause = 0;
    t.o.say(test);
    t.ask(t.o, 2);
    CHECK(t.h.launches().size() == 2);
    REQUIRE(t.o.all(MessageType::tested).size() == 1);
    CHECK(t.o.all(MessageType::tested)[0].cause == platform_codec::kFailed);
    t.run(kSecond);
    CHECK(!ended);
    t.ask(t.o, 3);
    CHECK(t.o.count(MessageType::release, 3) == 1);
    for (const auto& c : t.h.conns)
        for (const auto& l : c->all(MessageType::set_up)) c->answer(l.task);
    t.run(200 * kMillisecond);
    CHECK(ended);
    CHECK(t.o.all(MessageType::answer).size() == 2);
}

TEST_CASE("more hosts than descriptors, all in use all the time: each host is reached again and again") {
    constexpr std::size_t kHosts = 60;
    PlatformRig t(64);                           // 40 of them for connections
    const bool answers = GENERATE(true, false);  // whether hosts answer health checks
    std::vector<PlatformRig::HostAt*> hosts;
    std::vector<std::string> entries;
    for (std::size_t i = 0; i < kHosts; ++i) {
        hosts.push_back(&t.host("h" + std::to_string(100 + i)));
        entries.push_back(PlatformRig::entry(*hosts.back()));
    }
    t.start();
    t.tell(entries, true);
    std::vector<std::size_t> checked(kHosts);  // health checks that came to each host
    const auto answer_checks = [&] {
        for (std::size_t i = 0; i < kHosts; ++i)
            for (const auto& c : hosts[i]->conns)
                for (const Line::Got& g : std::exchange(c->got, {})) {
                    if (g.type != MessageType::test) continue;
                    ++checked[i];
                    Message m;
                    m.type = MessageType::tested;
                    m.task = g.task;
                    m.cause = platform_codec::kPassed;
                    if (answers) c->say(m);
                }
    };
    for (int part = 0; part < 3; ++part) {
        const std::vector<std::size_t> before = checked;
        // Each connection is used again long before it counts as idle.
        for (const Nanos end = t.world.now() + 4 * kSecond; t.world.now() < end;) {
            for (planner::WorkerNumber n = 0; n < kHosts; ++n) t.front.check_health(n);
            t.run(5 * kMillisecond);
            CHECK(t.front.connections() <= 40);
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
    Line& deaf = t.owner(2);
    t.ask(deaf, 7);
    REQUIRE(t.h.launches().size() == 1);
    deaf.stream->set_reading(false);
    deaf.raw(health_checks(60'000));
    // No sweep, which comes every 100 ms, is needed for it.
    for (int i = 0; i < 90 && t.front.tasks(); ++i) t.run(kMillisecond);
    CHECK(t.front.tasks() == 0);
    CHECK(t.h.count(MessageType::release, 7) == 1);  // given up
}

TEST_CASE("whatever hosts and other clients do, each request has one final answer, and that in time") {
    const auto seed = GENERATE(take(12, random(1u, 1u << 30)));
    std::ranlux24_base chance(seed);
    const auto roll = [&chance](unsigned n) { return static_cast<unsigned>(chance() % n); };
    PlatformRig t(64);
    std::vector<PlatformRig::HostAt*> hosts;
    std::vector<std::string> entries;
    for (int i = 0; i < 6; ++i) {
        hosts.push_back(&t.host("h" + std::to_string(i)));
        entries.push_back(PlatformRig::entry(*hosts.back()));
    }
    t.start();
    t.tell(entries, true);
    struct Asked {
        Line* client;
        std::uint64_t id;
        Nanos until;
    };
    std::vector<Line*> good;
    for (int i = 0; i < 5; ++i) good.push_back(&t.owner(10 + i));
    std::vector<Asked> asked;
    std::uint64_t next = 1;
    for (int step = 0; step < 300; ++step) {
        Line& client = *good[roll(5)];
        const int wait = 300 + static_cast<int>(roll(1500));
        const char* const groups[] = {"free", "marked", "once"};
        if (!client.over && roll(2)) {
            client.raw(set_up_bytes(next, groups[roll(3)], wait, ""));
            asked.push_back({&client, next++, t.world.now() + wait * kMillisecond});
        }
        for (PlatformRig::HostAt* h : hosts)
            for (const auto& c : h->conns)
                for (const Line::Got& g : std::exchange(c->got, {})) {
                    if (g.type != MessageType::set_up) continue;
                    switch (roll(8)) {  // else silent for good
                        case 0:
                            c->answer(g.task);
                            break;
                        case 1:
                            c->release(g.task, platform_codec::kFull, "queue_full");
                            break;
                        case 2:
                            c->release(g.task, platform_codec::kError);
                            break;
                        case 3:
                            c->raw("noise that is no message");
                            break;
                        case 4:
                            c->stream.reset();
                            break;
                        case 5:
                            c->answer(g.task);
                            c->release(g.task, platform_codec::kOk);
                            break;
                        default:
                            break;
                    }
                }
        if (roll(10) == 0) {  // another client's trouble
            Line& bad = t.owner(100 + static_cast<int>(roll(50)));
            switch (roll(4)) {
                case 0:
                    bad.raw("GET / HTTP/1.1\r\n\r\n");
                    break;
                case 1:
                    bad.raw(set_up_bytes(next - 1, "free", 500, ""));
                    break;  // an id of another's
                case 2:
                    bad.release(next - 1, platform_codec::kGivenUp);
                    break;
                default:
                    break;  // silent
            }
        }
        if (roll(40) == 0) t.tell({host_entry(hosts[roll(6)]->name, hosts[roll(6)]->address, "leaving")});
        if (roll(30) == 0) t.tell(entries, true);
        t.run(20 * kMillisecond);
    }
    t.run(3 * kSecond);
    for (const Asked& a : asked) {
        INFO("seed " << seed << ", request " << a.id);
        REQUIRE(!a.client->over);
        const std::size_t stands = a.client->count(MessageType::answer, a.id);
        const std::size_t over = a.client->count(MessageType::release, a.id);
        CHECK(stands <= 1);
        CHECK(over <= 1);
        CHECK(stands + over >= 1);
    }
}
