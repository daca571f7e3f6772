// The platform's front on real sockets: what happens between two of its steps, in the bad order each time.
#include <catch2/catch.hpp>

#include "support/platform_sockets_rig.h"

using namespace whinpost;

namespace {

constexpr Nanos kPastTaking = 800 * kMillisecond;  // after the call to end nothing new is taken any more

// The end, as its owners see it: each closes once it sees that we have.
void see_out(SocketRig& t, std::vector<Plug*> owners, bool& done) {
    t.until([&] {
        if (done) return true;
        for (Plug* o : owners) {
            o->take();
            if (o->ended || o->reset) o->close();
        }
        return done;
    });
}

// The process has left, and set-up 7 of `o` was answered all the same.
void refused_then_gone(SocketRig& t, Plug& o) {
    t.front.reset();
    o.take();
    CHECK(o.count(MessageType::release, 7) == 1);
    CHECK(!o.reset);
}

}  // namespace

// ---------------------------------------------------------------- the end of the process

TEST_CASE(
    "a request that came in two halves round the call to end is answered, and its connection not reset") {
    SocketRig t;
    Plug o = t.owner();
    const std::string bytes = SocketRig::set_up(7);
    o.raw(bytes.substr(0, bytes.size() / 2));
    t.until([&] { return t.front->connections() == 1; });
    t.turns(3);
    bool done = false;
    t.front->close([&] { done = true; });
    t.turns(3);
    o.raw(bytes.substr(bytes.size() / 2));
    t.until([&] { return t.planner.taken.size() == 1; });
    t.front->reject(t.planner.taken[0], 0);
    see_out(t, {&o}, done);
    CHECK(o.count(MessageType::release, 7) == 1);
    CHECK(o.ended);
    CHECK(!o.reset);
}

TEST_CASE("what lies in the line of connections or unread at the end is refused, not reset") {
    SocketRig t;
    const bool accepted = GENERATE(false, true);
    Plug o;
    if (accepted) {
        o = t.owner();
        t.until([&] { return t.front->connections() == 1; });
    }
    bool done = false;
    t.front->close([&] { done = true; });
    t.turns(3);
    // In one pass of the loop, after it has asked the kernel what there is and before it looks round.
    auto between = t.loop.make_timer([&] {
        if (!accepted) o = t.owner();
        o.raw(SocketRig::set_up(7));
    });
    between->arm(t.loop.now());
    t.stand_still(kPastTaking);
    t.turn();
    see_out(t, {&o}, done);
    refused_then_gone(t, o);
}

TEST_CASE("what an owner says while the process ends does not reset the connection that its answer is on") {
    SocketRig t;
    Plug o = t.owner();
    o.raw(SocketRig::set_up(7));
    t.until([&] { return t.planner.taken.size() == 1; });
    bool done = false;
    t.front->close([&] {
        done = true;
        if (o.open()) o.plain(MessageType::progress, 7);
    });
    t.stand_still(kPastTaking);
    t.front->reject(t.planner.taken[0], 0);
    see_out(t, {&o}, done);
    refused_then_gone(t, o);
}

TEST_CASE("what a host says once owners can be told nothing more is left for the next placer") {
    SocketRig t;
    Ear host;
    t.known({SocketRig::entry("h", host.address())}, true);
    Plug o = t.owner();
    t.standing(o, host, 7);
    bool done = false;
    t.front->close([&] { done = true; });
    t.until([&] {
        o.take();
        return o.ended;
    });
    host.lines.back()->release(7, platform_codec::kOk);
    t.until([&] { return done; });
    CHECK(t.planner.endings.empty());
    CHECK(t.ledger.open_tasks() == 1);
}

// ---------------------------------------------------------------- clients that go

TEST_CASE("a client that closes as its launch is refused is launched nowhere else") {
    SocketRig t;
    Ear host;
    t.known({SocketRig::entry("h", host.address())}, true);
    Plug o = t.owner();
    const auto n = t.launched(o, host, 7);
    const bool ahead = GENERATE(false, true);  // bytes lie before its close
    if (ahead)
        for (std::uint64_t id = 100; id < 150; ++id) o.raw(SocketRig::set_up(id, "no such class"));
    host.lines.back()->release(7, platform_codec::kFull);
    o.close();
    t.until([&] { return t.front->tasks() == 0; });
    t.front->place(n, 0, kSecond);
    t.turns(20);
    host.take();
    CHECK(host.count(MessageType::set_up, 7) == 1);
}

TEST_CASE("a client that goes while its launch waits for a connection: nothing leaves once that comes up") {
    SocketRig t;
    Ear host(0);
    Plug full[] = {Plug::dial(host.port())};  // the line of a host that accepts nothing
    t.known({SocketRig::entry("h", host.address())}, true);
    Plug o = t.owner();
    o.raw(SocketRig::set_up(7));
    t.until([&] { return t.planner.taken.size() == 1; });
    t.front->place(t.planner.taken[0], 0, 10 * kSecond);
    t.turns(5);
    o.close();
    t.until([&] { return t.front->tasks() == 0; });
    t.until([&] {
        host.take();
        return host.lines.size() == 2;
    });
    t.turns(20);
    host.take();
    CHECK(host.count(MessageType::set_up, 7) == 0);
    full[0].close();
}

TEST_CASE("a cancel that crosses the host's yes leaves nothing standing") {
    SocketRig t;
    Ear host;
    t.known({SocketRig::entry("h", host.address())}, true);
    Plug o = t.owner();
    t.launched(o, host, 7);
    if (GENERATE(true, false)) {
        host.lines.back()->answer(7);
        o.release(7, platform_codec::kGivenUp);
    } else {
        o.release(7, platform_codec::kGivenUp);
        t.turns(5);
        host.lines.back()->answer(7);
    }
    t.until([&] {
        host.take();
        return host.count(MessageType::release, 7) >= 1 && t.front->tasks() == 0;
    });
    o.take();
    CHECK(o.count(MessageType::answer, 7) + o.count(MessageType::release, 7) <= 1);
    CHECK(host.count(MessageType::set_up, 7) == 1);
}

TEST_CASE("an owner that gives up on another connection of its own has given up") {
    SocketRig t;
    Ear host;
    t.known({SocketRig::entry("h", host.address())}, true);
    Plug o = t.owner(), other = t.owner();
    const auto n = t.launched(o, host, 7);
    host.lines.back()->release(7, platform_codec::kFull);
    t.until([&] { return t.planner.endings.size() == 1; });
    other.release(7, platform_codec::kGivenUp);
    t.until([&] { return t.front->tasks() == 0; });
    t.front->place(n, 0, kSecond);
    t.turns(20);
    host.take();
    CHECK(host.count(MessageType::set_up, 7) == 1);
}

TEST_CASE("a request that comes in single bytes is taken as one") {
    SocketRig t;
    Plug o = t.owner();
    for (const char c : SocketRig::set_up(7)) {
        o.raw(std::string_view(&c, 1));
        t.turn();
    }
    t.until([&] { return t.planner.taken.size() == 1; });
    o.take();
    CHECK(o.got.empty());
    CHECK(!o.ended);
}

// ---------------------------------------------------------------- every request that was read is answered

TEST_CASE("requests read together with what ends their connection are answered, each of them") {
    SocketRig t;
    Plug o = t.owner();
    Message stray;  // what only hosts say
    stray.type = MessageType::answer;
    stray.task = 5;
    stray.description = "stands";
    std::string ends;
    const int how = GENERATE(0, 1, 2);
    if (how == 0) platform_codec::encode(ends, stray);
    if (how == 1) ends = SocketRig::set_up(7);  // open already
    if (how == 2) ends = "";
    std::string after = how == 2 ? "GET / HTTP/1.1\r\n\r\n" : SocketRig::set_up(9) + SocketRig::set_up(10);
    o.raw(SocketRig::set_up(7) + SocketRig::set_up(8) + ends + after);
    t.until([&] {
        o.take();
        return o.ended || o.reset;
    });
    CHECK(!o.reset);
    CHECK(o.count(MessageType::release, 7) == 1);
    CHECK(o.count(MessageType::release, 8) == 1);
    CHECK(o.count(MessageType::release, 9) == (how == 2 ? 0 : 1));
    CHECK(o.count(MessageType::release, 10) == (how == 2 ? 0 : 1));
    CHECK(t.front->tasks() == 0);
}

TEST_CASE("a client that closes its side only is answered, and nothing more is sent on for it") {
    SocketRig t;
    Ear host;
    t.known({SocketRig::entry("h", host.address())}, true);
    Plug o = t.owner();
    o.raw(SocketRig::set_up(7));
    t.until([&] { return t.planner.taken.size() == 1; });
    o.half_close();
    t.until([&] {
        o.take();
        return o.count(MessageType::release, 7) == 1;
    });
    t.front->place(t.planner.taken[0], 0, kSecond);
    t.turns(20);
    host.take();
    CHECK(host.count(MessageType::set_up, 7) == 0);
    CHECK(t.front->tasks() == 0);
}

TEST_CASE("where all have something open, a new client is refused, not reset") {
    SocketRig t(64);
    std::vector<Plug> owners;
    for (std::uint64_t i = 0; i < 30; ++i) {  // all that there is room for
        owners.push_back(t.owner());
        owners.back().raw(SocketRig::set_up(100 + i));
        t.until([&] { return t.planner.taken.size() == i + 1; });
    }
    for (std::uint64_t id = 7; id < 27; ++id) {
        Plug more = t.owner();
        if (id % 2) t.turns(3);  // the request comes with the connection, or after it
        more.raw(SocketRig::set_up(id) + SocketRig::set_up(id + 1000));
        t.until([&] {
            more.take();
            return more.ended || more.reset;
        });
        CHECK(!more.reset);
        CHECK(more.count(MessageType::release, id) == 1);
        CHECK(more.count(MessageType::release, id + 1000) == 1);
    }
    CHECK(t.planner.taken.size() == 30);
    for (Plug& o : owners) {
        o.take();
        CHECK(o.got.empty());
        CHECK(!o.ended);
    }
}

// ---------------------------------------------------------------- what lay unread

TEST_CASE("nothing is sent on for a client whose close or cancel lies unread") {
    SocketRig t;
    Ear host;
    t.known({SocketRig::entry("h", host.address())}, true);
    t.front->check_health(0);  // so that a connection is up
    t.until([&] { return t.front->connections() == 1 && (host.take(), host.bytes() > 0); });
    Plug o = t.owner();
    const int how = GENERATE(0, 1, 2);
    constexpr int kFlood = 160 << 10;  // over twice what is read at once
    o.room(kFlood);
    std::string bytes = SocketRig::set_up(7);
    if (how < 2) {  // behind more than one read takes: its cancel, or its close
        Message m;
        m.type = MessageType::progress;
        m.task = 7;
        while (bytes.size() < kFlood) platform_codec::encode(bytes, m);
    }
    o.raw(bytes);
    if (how == 0) o.plain(MessageType::release, 7, platform_codec::kGivenUp);
    if (how == 1) o.close();
    t.until([&] { return t.planner.taken.size() == 1; });
    // In one pass of the loop: the loop is busy, the client gives up meanwhile, the planner decides.
    auto busy = t.loop.make_timer([&] {
        if (how == 2) {
            o.plain(MessageType::release, 7, platform_codec::kGivenUp);
            t.stand_still(80 * kMillisecond);
        }
        t.front->place(t.planner.taken[0], 0, 10 * kSecond);
    });
    busy->arm(t.loop.now());
    t.until([&] { return t.front->tasks() == 0; });
    t.turns(20);
    host.take();
    CHECK(host.count(MessageType::set_up, 7) == 0);
}

TEST_CASE("the wait passed on leaves out the time for which a request lay unread") {
    SocketRig t;
    Ear host;
    t.known({SocketRig::entry("h", host.address())}, true);
    constexpr int kWait = 30'000, kAway = 400;  // milliseconds
    const bool new_connection = GENERATE(false, true);
    Plug o;
    if (!new_connection) {
        o = t.owner();
        t.until([&] { return t.front->connections() == 1; });
    }
    t.turns(2);
    if (new_connection) o = t.owner();
    o.raw(SocketRig::set_up(7, "free", "", kWait));
    t.stand_still(kAway * kMillisecond);
    t.turns(1);  // a new connection is accepted in one pass and read in the next
    t.until([&] { return t.planner.taken.size() == 1; });
    t.front->place(t.planner.taken[0], 0, kWait * kMillisecond);
    t.until([&] {
        host.take();
        return host.count(MessageType::set_up, 7) == 1;
    });
    CHECK(std::stoi(host.lines.back()->all(MessageType::set_up)[0].wait) <= kWait - kAway);
}

// ---------------------------------------------------------------- connections of owners

TEST_CASE(
    "a full house does not show out an owner whose request lies unread, nor one whose answer has not left") {
    SocketRig t(64);
    // 40 of 64 are for connections, 30 of them for owners while hosts hold none.
    std::vector<Plug> owners;
    for (int i = 0; i < 30; ++i) {
        owners.push_back(t.owner());
        owners.back().plain(MessageType::test, 1);
        t.until([&] {
            owners.back().take();
            return owners.back().count(MessageType::tested, 1) == 1;
        });
    }
    REQUIRE(t.front->connections() == 30);
    // The new one has come first, so its turn is first in the pass; the request of the one that was of no use
    // for the longest lies unread by then.
    Plug more = t.owner();
    owners[0].raw(SocketRig::set_up(7));
    more.plain(MessageType::test, 2);
    t.until([&] {
        more.take();
        return more.count(MessageType::tested, 2) == 1;
    });
    t.until([&] { return t.planner.taken.size() == 1; });
    owners[0].take();
    CHECK(!owners[0].ended);
    CHECK(!owners[0].reset);
}

TEST_CASE("a release that met its owner's close is said again on the next connection from there") {
    SocketRig t;
    Ear host;
    t.known({SocketRig::entry("h", host.address())}, true);
    Plug o = t.owner();
    t.standing(o, host, 7);
    t.standing(o, host, 8);
    host.lines.front()->release(7, platform_codec::kOk);
    t.until([&] {
        o.take();
        return o.count(MessageType::release, 7) == 1;
    });
    o.plain(MessageType::release_heard, 7);
    host.lines.front()->release(8, platform_codec::kOk);
    t.until([&] { return t.front->tasks() == 0; });
    t.turns(3);
    o.close();  // the release lies in its socket, unread
    t.until([&] { return t.front->connections() == host.lines.size(); });
    Plug next = t.owner();
    next.plain(MessageType::test, 1);
    t.until([&] {
        next.take();
        return next.count(MessageType::tested, 1) == 1;
    });
    CHECK(next.count(MessageType::release, 8) == 1);
    CHECK(next.count(MessageType::release, 7) == 0);
}

// ---------------------------------------------------------------- hosts

TEST_CASE("an answer and a reset that come together: it stands, and is launched once") {
    SocketRig t;
    Ear host;
    t.known({SocketRig::entry("h", host.address())}, true);
    Plug o = t.owner();
    t.launched(o, host, 7, "once");
    host.lines.back()->answer(7);
    host.lines.back()->break_off();
    t.until([&] {
        o.take();
        return !o.got.empty();
    });
    t.turns(20);
    o.take();
    host.take();
    REQUIRE(o.got.size() == 1);
    CHECK(o.got[0].type == MessageType::answer);
    CHECK(host.count(MessageType::set_up, 7) == 1);
    CHECK(t.front->tasks() == 1);
}

TEST_CASE("a second answer that comes late changes nothing") {
    SocketRig t;
    Ear host;
    t.known({SocketRig::entry("h", host.address())}, true);
    Plug o = t.owner();
    t.standing(o, host, 7);
    host.lines.back()->answer(7, "another");
    host.lines.back()->release(7, platform_codec::kOk);
    host.lines.back()->answer(7, "once more");
    t.until([&] {
        o.take();
        return o.count(MessageType::release, 7) == 1;
    });
    t.turns(20);
    o.take();
    CHECK(o.got.size() == 2);
    CHECK(!host.lines.back()->ended);
}

TEST_CASE(
    "an idle connection that its host closes as a launch leaves: in doubt, and never twice where that "
    "harms") {
    SocketRig t;
    Ear host;
    t.known({SocketRig::entry("h", host.address())}, true);
    Plug o = t.owner();
    t.standing(o, host, 7);
    o.raw(SocketRig::set_up(8, "once"));
    t.until([&] { return t.planner.taken.size() == 2; });
    host.lines.back()->close();
    t.front->place(t.planner.taken[1], 0, 10 * kSecond);
    t.until([&] { return !t.planner.endings.empty(); });
    CHECK(t.planner.endings[0] != AttemptOutcome::completed);
    t.front->reject(t.planner.taken[1], 0);
    t.until([&] {
        o.take();
        return o.count(MessageType::release, 8) == 1;
    });
    // Written or not, nobody can tell: a deferral would invite it to run twice.
    if (t.planner.endings[0] == AttemptOutcome::reset) CHECK(o.got.back().cause == platform_codec::kReset);
    else CHECK(o.got.back().cause == platform_codec::kTryLater);
}

TEST_CASE("a dial that was begun before its host left says nothing to the one that has its address now") {
    SocketRig t;
    Ear gone(0);
    Plug in_line = Plug::dial(gone.port());  // it accepts nothing
    t.known({SocketRig::entry("h", gone.address())}, true);
    const bool by_cut = GENERATE(true, false);
    Plug o = t.owner();
    if (by_cut) {  // taken over there, and ended by its owner while the connection is not up
        o.raw(SocketRig::set_up(7, "free", ";at:h"));
        t.until([&] { return t.front->tasks() == 1; });
        o.release(7, platform_codec::kCancelled);
        t.until([&] { return t.front->tasks() == 0; });
    } else t.front->check_health(0);
    t.turns(5);
    t.known({SocketRig::entry("h", gone.address(), "left"), SocketRig::entry("heir", gone.address())});
    // The line moves on: from here on it is the heir who accepts.
    t.until([&] {
        gone.take();
        return gone.lines.size() >= 1;
    });
    t.stand_still(1200 * kMillisecond);  // the dial's next try, if there is one
    for (int i = 0; i < 50; ++i) {
        t.turn();
        gone.take();
        usleep(1000);
    }
    CHECK(gone.bytes() == 0);
}

TEST_CASE(
    "what ended while the placer started anew is released, though its host says so before its owner asks") {
    SocketRig t;
    Ear host;
    t.known({SocketRig::entry("h", host.address())}, true);
    t.front->check_health(0);
    t.until([&] {
        host.take();
        return host.lines.size() == 1 && !host.lines[0]->got.empty();
    });
    host.lines[0]->release(7, platform_codec::kOk);
    host.lines[0]->plain(MessageType::tested, host.lines[0]->got[0].task, platform_codec::kPassed);
    t.until([&] { return t.planner.reports == 1; });
    Plug o = t.owner();
    o.raw(SocketRig::set_up(7, "free", ";at:h"));
    t.until([&] {
        o.take();
        return !o.got.empty();
    });
    CHECK(o.count(MessageType::release, 7) == 1);
    CHECK(o.got[0].cause == platform_codec::kOk);
    CHECK(t.front->tasks() == 0);
}

TEST_CASE("a machine that is listed as started anew holds nothing from before, and what came to it since") {
    SocketRig t;
    Ear host;
    t.known({SocketRig::entry("h", host.address())}, true);
    Plug o = t.owner();
    t.standing(o, host, 7);
    t.stand_still(2 * kMillisecond);
    const Nanos back = t.loop.now() / kMillisecond * kMillisecond;
    t.stand_still(2 * kMillisecond);
    t.standing(o, host, 8);
    std::string e = SocketRig::entry("h", host.address());
    e.replace(e.find("\"born_ms\":0"), 11, "\"born_ms\":" + std::to_string(back / kMillisecond));
    t.known({e});
    t.until([&] {
        o.take();
        return o.count(MessageType::release, 7) == 1;
    });
    t.turns(20);
    o.take();
    CHECK(o.count(MessageType::release, 8) == 0);
    CHECK(t.front->tasks() == 1);
}

TEST_CASE("more hosts than descriptors: the sum holds, each has its turn, and the watch finds one") {
    SocketRig t(64);
    std::vector<std::unique_ptr<Ear>> hosts;
    std::vector<std::string> entries;
    for (int i = 0; i < 60; ++i) {
        hosts.push_back(std::make_unique<Ear>());
        entries.push_back(SocketRig::entry("h" + std::to_string(i), hosts.back()->address()));
    }
    t.known(entries, true);
    std::size_t most = 0;
    const auto heard_by_all = [&] {
        std::size_t n = 0;
        for (const auto& h : hosts) {
            h->take();
            for (const auto& l : h->lines)
                for (const auto& g : l->got)
                    if (g.type == MessageType::test && !l->ended)
                        l->plain(MessageType::tested, g.task, platform_codec::kPassed);
            for (const auto& l : h->lines) l->got.clear();
            n += !h->lines.empty();
        }
        most = std::max(most, t.front->connections());
        return n == hosts.size();
    };
    std::uint32_t next = 0;
    t.until([&] {
        t.front->check_health(next++ % 60);
        return heard_by_all();
    });
    std::vector<Plug> idle;
    for (int i = 0; i < 60; ++i) {
        idle.push_back(t.owner());
        t.turn();
        most = std::max(most, t.front->connections());
    }
    CHECK(most <= 40);
    t.bus.take();
    for (const auto& l : t.bus.lines) l->close();
    const std::size_t before = t.bus.lines.size();
    t.until([&] {
        t.bus.take();
        heard_by_all();
        return t.bus.lines.size() > before;
    });
    CHECK(most <= 40);
}

// ---------------------------------------------------------------- the watch on the list

TEST_CASE("a watch that says nothing whole is opened again, from the last number") {
    SocketRig t;
    const int how = GENERATE(0, 1, 2, 3);
    // From its first byte; after an event; a head that never ends; an event that never does.
    t.until([&] {
        t.bus.take();
        return t.bus.lines.size() == 1 && !t.bus.lines[0]->text.empty();
    });
    Plug& first = *t.bus.lines[0];
    if (how == 1) first.raw(SocketRig::head() + t.event({SocketRig::entry("h", "127.0.0.1:1")}, true));
    if (how == 2) first.raw("HTTP/1.1 200 OK\r\nX-Long: ");
    if (how == 3) first.raw(SocketRig::head() + "data: {");
    t.until([&] {
        t.bus.take();
        if (how >= 2 && !first.ended && !first.reset && t.bus.lines.size() == 1) first.raw("a");
        return t.bus.lines.size() == 2 && !t.bus.lines[1]->text.empty();
    });
    const std::string last = how == 1 ? "Last-Event-ID: 1\r\n" : "Last-Event-ID: 0\r\n";
    CHECK(t.bus.lines[1]->text.find(last) != std::string::npos);
}

TEST_CASE("a new address in the middle of an event: the event comes whole from there, and once") {
    SocketRig t;
    t.until([&] {
        t.bus.take();
        return t.bus.lines.size() == 1 && !t.bus.lines[0]->text.empty();
    });
    const std::string e = t.event({SocketRig::entry("h", "127.0.0.1:1")}, true);
    t.bus.lines[0]->raw(SocketRig::head() + e.substr(0, e.size() / 2));
    t.turns(5);
    CHECK(t.front->hosts() == 0);
    Ear other;
    t.front->bus().moved(other.address());
    t.front->bus().moved(other.address());  // told twice
    t.until([&] {
        other.take();
        return !other.lines.empty() && !other.lines.back()->text.empty();
    });
    CHECK(other.lines.back()->text.find("Last-Event-ID: 0\r\n") != std::string::npos);
    other.lines.back()->raw(SocketRig::head() + e + e);
    t.until([&] { return t.front->bus().last() == 1; });
    t.turns(5);
    CHECK(t.front->hosts() == 1);
    t.bus.take();
    CHECK(t.bus.lines[0]->ended);
}

TEST_CASE("a whole list that leaves a host out: nothing is launched there, by anybody's books") {
    SocketRig t;
    Ear host, other;
    t.known({SocketRig::entry("h", host.address()), SocketRig::entry("o", other.address())}, true);
    Plug o = t.owner();
    t.standing(o, host, 7);
    o.raw(SocketRig::set_up(8));
    t.until([&] { return t.planner.taken.size() == 2; });
    t.known({SocketRig::entry("o", other.address())}, true);
    t.front->place(t.planner.taken[1], 0, kSecond);
    t.turns(20);
    host.take();
    CHECK(host.count(MessageType::set_up, 8) == 0);
    CHECK(t.ledger.statistics().refused_to_planner == 1);
    // What stands there still has its last words.
    host.lines.back()->release(7, platform_codec::kOk);
    t.until([&] {
        o.take();
        return o.count(MessageType::release, 7) == 1;
    });
}
