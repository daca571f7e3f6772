// The platform's front on real sockets: what happens between two of its steps, in the bad order each time.
#include <catch2/catch.hpp>

#include "support/platform_sockets_rig.h"

using namespace whinpost;

namespace {

constexpr Nanos kPastTaking = 800 * kMillisecond;  // after the call to end nothing new is taken any more

// The end, as its owners see it: each closes once it sees that we have.
void see_out(SocketRig& t, std::vector<SocketPeer*> owners, bool& done) {
    t.run_until([&] {
        if (done) return true;
        for (SocketPeer* o : owners) {
            o->read_available();
            if (o->peer_closed || o->was_reset) o->close();
        }
        return done;
    });
}

// The process has left, and set-up 7 of `o` was answered all the same.
void refused_then_gone(SocketRig& t, SocketPeer& o) {
    t.server.reset();
    o.read_available();
    CHECK(o.count(MessageType::release, 7) == 1);
    CHECK(!o.was_reset);
}

}  // namespace

// ---------------------------------------------------------------- the end of the process

TEST_CASE(
    "a request that came in two halves round the call to end is answered, and its connection not reset") {
    SocketRig t;
    SocketPeer o = t.connect_client();
    const std::string bytes = SocketRig::place_task(7);
    o.send_bytes(bytes.substr(0, bytes.size() / 2));
    t.run_until([&] { return t.server->connection_count() == 1; });
    t.run_times(3);
    bool done = false;
    t.server->drain([&] { done = true; });
    t.run_times(3);
    o.send_bytes(bytes.substr(bytes.size() / 2));
    t.run_until([&] { return t.planner.taken.size() == 1; });
    t.server->reject(t.planner.taken[0], 0);
    see_out(t, {&o}, done);
    CHECK(o.count(MessageType::release, 7) == 1);
    CHECK(o.peer_closed);
    CHECK(!o.was_reset);
}

TEST_CASE("what lies in the line of connections or unread at the end is refused, not reset") {
    SocketRig t;
    const bool accepted = GENERATE(false, true);
    SocketPeer o;
    if (accepted) {
        o = t.connect_client();
        t.run_until([&] { return t.server->connection_count() == 1; });
    }
    bool done = false;
    t.server->drain([&] { done = true; });
    t.run_times(3);
    // In one pass of the loop, after it has asked the kernel what there is and before it looks round.
    auto between = t.loop.make_timer([&] {
        if (!accepted) o = t.connect_client();
        o.send_bytes(SocketRig::place_task(7));
    });
    between->arm(t.loop.now());
    t.block_for(kPastTaking);
    t.run_once();
    see_out(t, {&o}, done);
    refused_then_gone(t, o);
}

TEST_CASE("what an owner says while the process ends does not reset the connection that its answer is on") {
    SocketRig t;
    SocketPeer o = t.connect_client();
    o.send_bytes(SocketRig::place_task(7));
    t.run_until([&] { return t.planner.taken.size() == 1; });
    bool done = false;
    t.server->drain([&] {
        done = true;
        if (o.is_open()) o.send_plain(MessageType::progress, 7);
    });
    t.block_for(kPastTaking);
    t.server->reject(t.planner.taken[0], 0);
    see_out(t, {&o}, done);
    refused_then_gone(t, o);
}

TEST_CASE("what a host says once owners can be told nothing more is left for the next placer") {
    SocketRig t;
    ListeningSocket host;
    t.publish_initial({SocketRig::entry("h", host.address())}, true);
    SocketPeer o = t.connect_client();
    t.run_task(o, host, 7);
    bool done = false;
    t.server->drain([&] { done = true; });
    t.run_until([&] {
        o.read_available();
        return o.peer_closed;
    });
    host.connections.back()->release(7, platform_codec::Cause::ok);
    t.run_until([&] { return done; });
    CHECK(t.planner.outcomes.empty());
    CHECK(t.ledger.open_tasks() == 1);
}

// ---------------------------------------------------------------- clients that go

TEST_CASE("a client that closes as its launch is refused is launched nowhere else") {
    SocketRig t;
    ListeningSocket host;
    t.publish_initial({SocketRig::entry("h", host.address())}, true);
    SocketPeer o = t.connect_client();
    const auto n = t.start_attempt(o, host, 7);
    const bool ahead = GENERATE(false, true);  // bytes lie before its close
    if (ahead)
        for (std::uint64_t id = 100; id < 150; ++id) o.send_bytes(SocketRig::place_task(id, "no such class"));
    host.connections.back()->release(7, platform_codec::Cause::full);
    o.close();
    t.run_until([&] { return t.server->task_count() == 0; });
    t.server->place(n, 0, kSecond);
    t.run_times(20);
    host.accept_and_read();
    CHECK(host.count(MessageType::place_task, 7) == 1);
}

TEST_CASE("a client that goes while its launch waits for a connection: nothing leaves once that comes up") {
    SocketRig t;
    ListeningSocket host(0);
    SocketPeer full[] = {SocketPeer::dial(host.port())};  // the line of a host that accepts nothing
    t.publish_initial({SocketRig::entry("h", host.address())}, true);
    SocketPeer o = t.connect_client();
    o.send_bytes(SocketRig::place_task(7));
    t.run_until([&] { return t.planner.taken.size() == 1; });
    t.server->place(t.planner.taken[0], 0, 10 * kSecond);
    t.run_times(5);
    o.close();
    t.run_until([&] { return t.server->task_count() == 0; });
    t.run_until([&] {
        host.accept_and_read();
        return host.connections.size() == 2;
    });
    t.run_times(20);
    host.accept_and_read();
    CHECK(host.count(MessageType::place_task, 7) == 0);
    full[0].close();
}

TEST_CASE("a cancel that crosses the host's yes leaves nothing standing") {
    SocketRig t;
    ListeningSocket host;
    t.publish_initial({SocketRig::entry("h", host.address())}, true);
    SocketPeer o = t.connect_client();
    t.start_attempt(o, host, 7);
    if (GENERATE(true, false)) {
        host.connections.back()->answer(7);
        o.release(7, platform_codec::Cause::given_up);
    } else {
        o.release(7, platform_codec::Cause::given_up);
        t.run_times(5);
        host.connections.back()->answer(7);
    }
    t.run_until([&] {
        host.accept_and_read();
        return host.count(MessageType::release, 7) >= 1 && t.server->task_count() == 0;
    });
    o.read_available();
    CHECK(o.count(MessageType::answer, 7) + o.count(MessageType::release, 7) <= 1);
    CHECK(host.count(MessageType::place_task, 7) == 1);
}

TEST_CASE("an owner that gives up on another connection of its own has given up") {
    SocketRig t;
    ListeningSocket host;
    t.publish_initial({SocketRig::entry("h", host.address())}, true);
    SocketPeer o = t.connect_client(), other = t.connect_client();
    const auto n = t.start_attempt(o, host, 7);
    host.connections.back()->release(7, platform_codec::Cause::full);
    t.run_until([&] { return t.planner.outcomes.size() == 1; });
    other.release(7, platform_codec::Cause::given_up);
    t.run_until([&] { return t.server->task_count() == 0; });
    t.server->place(n, 0, kSecond);
    t.run_times(20);
    host.accept_and_read();
    CHECK(host.count(MessageType::place_task, 7) == 1);
}

TEST_CASE("a request that comes in single bytes is taken as one") {
    SocketRig t;
    SocketPeer o = t.connect_client();
    for (const char c : SocketRig::place_task(7)) {
        o.send_bytes(std::string_view(&c, 1));
        t.run_once();
    }
    t.run_until([&] { return t.planner.taken.size() == 1; });
    o.read_available();
    CHECK(o.received.empty());
    CHECK(!o.peer_closed);
}

// ---------------------------------------------------------------- every request that was read is answered

TEST_CASE("requests read together with what ends their connection are answered, each of them") {
    SocketRig t;
    SocketPeer o = t.connect_client();
    Message stray;  // what only hosts say
    stray.type = MessageType::answer;
    stray.task = 5;
    stray.description = "stands";
    std::string ends;
    const int how = GENERATE(0, 1, 2);
    if (how == 0) platform_codec::encode(ends, stray);
    if (how == 1) ends = SocketRig::place_task(7);  // open already
    if (how == 2) ends = "";
    std::string after =
        how == 2 ? "GET / HTTP/1.1\r\n\r\n" : SocketRig::place_task(9) + SocketRig::place_task(10);
    o.send_bytes(SocketRig::place_task(7) + SocketRig::place_task(8) + ends + after);
    t.run_until([&] {
        o.read_available();
        return o.peer_closed || o.was_reset;
    });
    CHECK(!o.was_reset);
    CHECK(o.count(MessageType::release, 7) == 1);
    CHECK(o.count(MessageType::release, 8) == 1);
    CHECK(o.count(MessageType::release, 9) == (how == 2 ? 0 : 1));
    CHECK(o.count(MessageType::release, 10) == (how == 2 ? 0 : 1));
    CHECK(t.server->task_count() == 0);
}

TEST_CASE("a client that closes its side only is answered, and nothing more is sent on for it") {
    SocketRig t;
    ListeningSocket host;
    t.publish_initial({SocketRig::entry("h", host.address())}, true);
    SocketPeer o = t.connect_client();
    o.send_bytes(SocketRig::place_task(7));
    t.run_until([&] { return t.planner.taken.size() == 1; });
    o.half_close();
    t.run_until([&] {
        o.read_available();
        return o.count(MessageType::release, 7) == 1;
    });
    t.server->place(t.planner.taken[0], 0, kSecond);
    t.run_times(20);
    host.accept_and_read();
    CHECK(host.count(MessageType::place_task, 7) == 0);
    CHECK(t.server->task_count() == 0);
}

TEST_CASE("where all have something open, a new client is refused, not reset") {
    SocketRig t(64);
    std::vector<SocketPeer> owners;
    for (std::uint64_t i = 0; i < 30; ++i) {  // all that there is room for
        owners.push_back(t.connect_client());
        owners.back().send_bytes(SocketRig::place_task(100 + i));
        t.run_until([&] { return t.planner.taken.size() == i + 1; });
    }
    for (std::uint64_t id = 7; id < 27; ++id) {
        SocketPeer more = t.connect_client();
        if (id % 2) t.run_times(3);  // the request comes with the connection, or after it
        more.send_bytes(SocketRig::place_task(id) + SocketRig::place_task(id + 1000));
        t.run_until([&] {
            more.read_available();
            return more.peer_closed || more.was_reset;
        });
        CHECK(!more.was_reset);
        CHECK(more.count(MessageType::release, id) == 1);
        CHECK(more.count(MessageType::release, id + 1000) == 1);
    }
    CHECK(t.planner.taken.size() == 30);
    for (SocketPeer& o : owners) {
        o.read_available();
        CHECK(o.received.empty());
        CHECK(!o.peer_closed);
    }
}

// ---------------------------------------------------------------- what lay unread

TEST_CASE("nothing is sent on for a client whose close or cancel lies unread") {
    SocketRig t;
    ListeningSocket host;
    t.publish_initial({SocketRig::entry("h", host.address())}, true);
    t.server->check_health(0);  // so that a connection is up
    t.run_until([&] {
        return t.server->connection_count() == 1 && (host.accept_and_read(), host.received_byte_count() > 0);
    });
    SocketPeer o = t.connect_client();
    const int how = GENERATE(0, 1, 2);
    constexpr int kFlood = 160 << 10;  // over twice what is read at once
    o.set_send_buffer(kFlood);
    std::string bytes = SocketRig::place_task(7);
    if (how < 2) {  // behind more than one read takes: its cancel, or its close
        Message m;
        m.type = MessageType::progress;
        m.task = 7;
        while (bytes.size() < kFlood) platform_codec::encode(bytes, m);
    }
    o.send_bytes(bytes);
    if (how == 0) o.send_plain(MessageType::release, 7, platform_codec::Cause::given_up);
    if (how == 1) o.close();
    t.run_until([&] { return t.planner.taken.size() == 1; });
    // In one pass of the loop: the loop is busy, the client gives up meanwhile, the planner decides.
    auto busy = t.loop.make_timer([&] {
        if (how == 2) {
            o.send_plain(MessageType::release, 7, platform_codec::Cause::given_up);
            t.block_for(80 * kMillisecond);
        }
        t.server->place(t.planner.taken[0], 0, 10 * kSecond);
    });
    busy->arm(t.loop.now());
    t.run_until([&] { return t.server->task_count() == 0; });
    t.run_times(20);
    host.accept_and_read();
    CHECK(host.count(MessageType::place_task, 7) == 0);
}

TEST_CASE("the wait passed on leaves out the time for which a request lay unread") {
    SocketRig t;
    ListeningSocket host;
    t.publish_initial({SocketRig::entry("h", host.address())}, true);
    constexpr int kWait = 30'000, kAway = 400;  // milliseconds
    const bool new_connection = GENERATE(false, true);
    SocketPeer o;
    if (!new_connection) {
        o = t.connect_client();
        t.run_until([&] { return t.server->connection_count() == 1; });
    }
    t.run_times(2);
    if (new_connection) o = t.connect_client();
    o.send_bytes(SocketRig::place_task(7, "free", "", kWait));
    t.block_for(kAway * kMillisecond);
    t.run_times(1);  // a new connection is accepted in one pass and read in the next
    t.run_until([&] { return t.planner.taken.size() == 1; });
    t.server->place(t.planner.taken[0], 0, kWait * kMillisecond);
    t.run_until([&] {
        host.accept_and_read();
        return host.count(MessageType::place_task, 7) == 1;
    });
    CHECK(std::stoi(host.connections.back()->messages(MessageType::place_task)[0].time_left_ms) <=
          kWait - kAway);
}

// ---------------------------------------------------------------- connections of owners

TEST_CASE(
    "a full house does not show out an owner whose request lies unread, nor one whose answer has not left") {
    SocketRig t(64);
    // 40 of 64 are for connections, 30 of them for owners while hosts hold none.
    std::vector<SocketPeer> owners;
    for (int i = 0; i < 30; ++i) {
        owners.push_back(t.connect_client());
        owners.back().send_plain(MessageType::health_check, 1);
        t.run_until([&] {
            owners.back().read_available();
            return owners.back().count(MessageType::health_check_reply, 1) == 1;
        });
    }
    REQUIRE(t.server->connection_count() == 30);
    // The new one has come first, so its turn is first in the pass; the request of the one that was of no use
    // for the longest lies unread by then.
    SocketPeer more = t.connect_client();
    owners[0].send_bytes(SocketRig::place_task(7));
    more.send_plain(MessageType::health_check, 2);
    t.run_until([&] {
        more.read_available();
        return more.count(MessageType::health_check_reply, 2) == 1;
    });
    t.run_until([&] { return t.planner.taken.size() == 1; });
    owners[0].read_available();
    CHECK(!owners[0].peer_closed);
    CHECK(!owners[0].was_reset);
}

TEST_CASE("a release that met its owner's close is said again on the next connection from there") {
    SocketRig t;
    ListeningSocket host;
    t.publish_initial({SocketRig::entry("h", host.address())}, true);
    SocketPeer o = t.connect_client();
    t.run_task(o, host, 7);
    t.run_task(o, host, 8);
    host.connections.front()->release(7, platform_codec::Cause::ok);
    t.run_until([&] {
        o.read_available();
        return o.count(MessageType::release, 7) == 1;
    });
    o.send_plain(MessageType::release_ack, 7);
    host.connections.front()->release(8, platform_codec::Cause::ok);
    t.run_until([&] { return t.server->task_count() == 0; });
    t.run_times(3);
    o.close();  // the release lies in its socket, unread
    t.run_until([&] { return t.server->connection_count() == host.connections.size(); });
    SocketPeer next = t.connect_client();
    next.send_plain(MessageType::health_check, 1);
    t.run_until([&] {
        next.read_available();
        return next.count(MessageType::health_check_reply, 1) == 1;
    });
    CHECK(next.count(MessageType::release, 8) == 1);
    CHECK(next.count(MessageType::release, 7) == 0);
}

// ---------------------------------------------------------------- hosts

TEST_CASE("an answer and a reset that come together: it stands, and is launched once") {
    SocketRig t;
    ListeningSocket host;
    t.publish_initial({SocketRig::entry("h", host.address())}, true);
    SocketPeer o = t.connect_client();
    t.start_attempt(o, host, 7, "once");
    host.connections.back()->answer(7);
    host.connections.back()->reset_connection();
    t.run_until([&] {
        o.read_available();
        return !o.received.empty();
    });
    t.run_times(20);
    o.read_available();
    host.accept_and_read();
    REQUIRE(o.received.size() == 1);
    CHECK(o.received[0].type == MessageType::answer);
    CHECK(host.count(MessageType::place_task, 7) == 1);
    CHECK(t.server->task_count() == 1);
}

TEST_CASE("a second answer that comes late changes nothing") {
    SocketRig t;
    ListeningSocket host;
    t.publish_initial({SocketRig::entry("h", host.address())}, true);
    SocketPeer o = t.connect_client();
    t.run_task(o, host, 7);
    host.connections.back()->answer(7, "another");
    host.connections.back()->release(7, platform_codec::Cause::ok);
    host.connections.back()->answer(7, "once more");
    t.run_until([&] {
        o.read_available();
        return o.count(MessageType::release, 7) == 1;
    });
    t.run_times(20);
    o.read_available();
    CHECK(o.received.size() == 2);
    CHECK(!host.connections.back()->peer_closed);
}

TEST_CASE(
    "an idle connection that its host closes as a launch leaves: in doubt, and never twice where that "
    "harms") {
    SocketRig t;
    ListeningSocket host;
    t.publish_initial({SocketRig::entry("h", host.address())}, true);
    SocketPeer o = t.connect_client();
    t.run_task(o, host, 7);
    o.send_bytes(SocketRig::place_task(8, "once"));
    t.run_until([&] { return t.planner.taken.size() == 2; });
    host.connections.back()->close();
    t.server->place(t.planner.taken[1], 0, 10 * kSecond);
    t.run_until([&] { return !t.planner.outcomes.empty(); });
    CHECK(t.planner.outcomes[0] != AttemptOutcome::completed);
    t.server->reject(t.planner.taken[1], 0);
    t.run_until([&] {
        o.read_available();
        return o.count(MessageType::release, 8) == 1;
    });
    // Written or not, nobody can tell: a deferral would invite it to run twice.
    if (t.planner.outcomes[0] == AttemptOutcome::reset)
        CHECK(o.received.back().cause == platform_codec::Cause::reset);
    else CHECK(o.received.back().cause == platform_codec::Cause::try_later);
}

TEST_CASE("a dial that was begun before its host left says nothing to the one that has its address now") {
    SocketRig t;
    ListeningSocket gone(0);
    SocketPeer in_line = SocketPeer::dial(gone.port());  // it accepts nothing
    t.publish_initial({SocketRig::entry("h", gone.address())}, true);
    const bool by_cut = GENERATE(true, false);
    SocketPeer o = t.connect_client();
    if (by_cut) {  // taken over there, and ended by its owner while the connection is not up
        o.send_bytes(SocketRig::place_task(7, "free", ";at:h"));
        t.run_until([&] { return t.server->task_count() == 1; });
        o.release(7, platform_codec::Cause::cancelled);
        t.run_until([&] { return t.server->task_count() == 0; });
    } else t.server->check_health(0);
    t.run_times(5);
    t.publish_initial(
        {SocketRig::entry("h", gone.address(), "left"), SocketRig::entry("heir", gone.address())});
    // The line moves on: from here on it is the heir who accepts.
    t.run_until([&] {
        gone.accept_and_read();
        return gone.connections.size() >= 1;
    });
    t.block_for(1200 * kMillisecond);  // the dial's next try, if there is one
    for (int i = 0; i < 50; ++i) {
        t.run_once();
        gone.accept_and_read();
        usleep(1000);
    }
    CHECK(gone.received_byte_count() == 0);
}

TEST_CASE(
    "what ended while the placer started anew is released, though its host says so before its owner asks") {
    SocketRig t;
    ListeningSocket host;
    t.publish_initial({SocketRig::entry("h", host.address())}, true);
    t.server->check_health(0);
    t.run_until([&] {
        host.accept_and_read();
        return host.connections.size() == 1 && !host.connections[0]->received.empty();
    });
    host.connections[0]->release(7, platform_codec::Cause::ok);
    host.connections[0]->send_plain(MessageType::health_check_reply, host.connections[0]->received[0].task,
                                    platform_codec::Cause::check_passed);
    t.run_until([&] { return t.planner.load_reports == 1; });
    SocketPeer o = t.connect_client();
    o.send_bytes(SocketRig::place_task(7, "free", ";at:h"));
    t.run_until([&] {
        o.read_available();
        return !o.received.empty();
    });
    CHECK(o.count(MessageType::release, 7) == 1);
    CHECK(o.received[0].cause == platform_codec::Cause::ok);
    CHECK(t.server->task_count() == 0);
}

TEST_CASE("a machine that is listed as started anew holds nothing from before, and what came to it since") {
    SocketRig t;
    ListeningSocket host;
    t.publish_initial({SocketRig::entry("h", host.address())}, true);
    SocketPeer o = t.connect_client();
    t.run_task(o, host, 7);
    t.block_for(2 * kMillisecond);
    const Nanos back = t.loop.now() / kMillisecond * kMillisecond;
    t.block_for(2 * kMillisecond);
    t.run_task(o, host, 8);
    std::string e = SocketRig::entry("h", host.address());
    e.replace(e.find("\"born_ms\":0"), 11, "\"born_ms\":" + std::to_string(back / kMillisecond));
    t.publish_initial({e});
    t.run_until([&] {
        o.read_available();
        return o.count(MessageType::release, 7) == 1;
    });
    t.run_times(20);
    o.read_available();
    CHECK(o.count(MessageType::release, 8) == 0);
    CHECK(t.server->task_count() == 1);
}

TEST_CASE("more hosts than descriptors: the sum holds, each has its turn, and the watch finds one") {
    SocketRig t(64);
    std::vector<std::unique_ptr<ListeningSocket>> hosts;
    std::vector<std::string> entries;
    for (int i = 0; i < 60; ++i) {
        hosts.push_back(std::make_unique<ListeningSocket>());
        entries.push_back(SocketRig::entry("h" + std::to_string(i), hosts.back()->address()));
    }
    t.publish_initial(entries, true);
    std::size_t most = 0;
    const auto heard_by_all = [&] {
        std::size_t n = 0;
        for (const auto& h : hosts) {
            h->accept_and_read();
            for (const auto& l : h->connections)
                for (const auto& g : l->received)
                    if (g.type == MessageType::health_check && !l->peer_closed)
                        l->send_plain(MessageType::health_check_reply, g.task,
                                      platform_codec::Cause::check_passed);
            for (const auto& l : h->connections) l->received.clear();
            n += !h->connections.empty();
        }
        most = std::max(most, t.server->connection_count());
        return n == hosts.size();
    };
    std::uint32_t next = 0;
    t.run_until([&] {
        t.server->check_health(next++ % 60);
        return heard_by_all();
    });
    std::vector<SocketPeer> idle;
    for (int i = 0; i < 60; ++i) {
        idle.push_back(t.connect_client());
        t.run_once();
        most = std::max(most, t.server->connection_count());
    }
    CHECK(most <= 40);
    t.discovery.accept_and_read();
    for (const auto& l : t.discovery.connections) l->close();
    const std::size_t before = t.discovery.connections.size();
    t.run_until([&] {
        t.discovery.accept_and_read();
        heard_by_all();
        return t.discovery.connections.size() > before;
    });
    CHECK(most <= 40);
}

// ---------------------------------------------------------------- the watch on the list

TEST_CASE("a watch that says nothing whole is opened again, from the last number") {
    SocketRig t;
    const int how = GENERATE(0, 1, 2, 3);
    // From its first byte; after an event; a head that never ends; an event that never does.
    t.run_until([&] {
        t.discovery.accept_and_read();
        return t.discovery.connections.size() == 1 && !t.discovery.connections[0]->received_bytes.empty();
    });
    SocketPeer& first = *t.discovery.connections[0];
    if (how == 1)
        first.send_bytes(SocketRig::response_head() + t.event({SocketRig::entry("h", "127.0.0.1:1")}, true));
    if (how == 2) first.send_bytes("HTTP/1.1 200 OK\r\nX-Long: ");
    if (how == 3) first.send_bytes(SocketRig::response_head() + "data: {");
    t.run_until([&] {
        t.discovery.accept_and_read();
        if (how >= 2 && !first.peer_closed && !first.was_reset && t.discovery.connections.size() == 1)
            first.send_bytes("a");
        return t.discovery.connections.size() == 2 && !t.discovery.connections[1]->received_bytes.empty();
    });
    const std::string last = how == 1 ? "Last-Event-ID: 1\r\n" : "Last-Event-ID: 0\r\n";
    CHECK(t.discovery.connections[1]->received_bytes.find(last) != std::string::npos);
}

TEST_CASE("a new address in the middle of an event: the event comes whole from there, and once") {
    SocketRig t;
    t.run_until([&] {
        t.discovery.accept_and_read();
        return t.discovery.connections.size() == 1 && !t.discovery.connections[0]->received_bytes.empty();
    });
    const std::string e = t.event({SocketRig::entry("h", "127.0.0.1:1")}, true);
    t.discovery.connections[0]->send_bytes(SocketRig::response_head() + e.substr(0, e.size() / 2));
    t.run_times(5);
    CHECK(t.server->worker_count() == 0);
    ListeningSocket other;
    t.server->discovery_watch().move_to(other.address());
    t.server->discovery_watch().move_to(other.address());  // told twice
    t.run_until([&] {
        other.accept_and_read();
        return !other.connections.empty() && !other.connections.back()->received_bytes.empty();
    });
    CHECK(other.connections.back()->received_bytes.find("Last-Event-ID: 0\r\n") != std::string::npos);
    other.connections.back()->send_bytes(SocketRig::response_head() + e + e);
    t.run_until([&] { return t.server->discovery_watch().last_sequence() == 1; });
    t.run_times(5);
    CHECK(t.server->worker_count() == 1);
    t.discovery.accept_and_read();
    CHECK(t.discovery.connections[0]->peer_closed);
}

TEST_CASE("a whole list that leaves a host out: nothing is launched there, by anybody's books") {
    SocketRig t;
    ListeningSocket host, other;
    t.publish_initial({SocketRig::entry("h", host.address()), SocketRig::entry("o", other.address())}, true);
    SocketPeer o = t.connect_client();
    t.run_task(o, host, 7);
    o.send_bytes(SocketRig::place_task(8));
    t.run_until([&] { return t.planner.taken.size() == 2; });
    t.publish_initial({SocketRig::entry("o", other.address())}, true);
    t.server->place(t.planner.taken[1], 0, kSecond);
    t.run_times(20);
    host.accept_and_read();
    CHECK(host.count(MessageType::place_task, 8) == 0);
    CHECK(t.ledger.statistics().refused_to_planner == 1);
    // What stands there still has its last words.
    host.connections.back()->release(7, platform_codec::Cause::ok);
    t.run_until([&] {
        o.read_available();
        return o.count(MessageType::release, 7) == 1;
    });
}
