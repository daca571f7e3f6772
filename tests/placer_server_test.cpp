// What goes wrong between a placer and its peers, each caused on purpose, in virtual time.
#include <catch2/catch.hpp>

#include "support/quiet_planner.h"
#include "support/server_rig.h"

using namespace whinpost;
using ToOwner = v1::ToClient;

namespace {

std::size_t finals(const OwnerPeer& o) {
    return o.count(&ToOwner::has_placed) + o.count(&ToOwner::has_rejected) + o.count(&ToOwner::has_failed);
}

}  // namespace

TEST_CASE(
    "a yes after the queue timeout: the copy is stopped where that does no harm, else its owner learns of "
    "it") {
    Rig t;
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    OwnerPeer& o = t.owner();
    const std::string group = GENERATE("free", "marked", "once");
    t.ask(o, t.offer(1, group));
    REQUIRE(n.launches().size() == 1);
    t.run(3 * kSecond);
    REQUIRE(finals(o) == 1);
    CHECK(o.count(&ToOwner::has_placed) == 0);
    CHECK(o.count(&ToOwner::has_rejected) == (group == std::string("free") ? 1 : 0));
    n.yes(n.launches()[0].attempt());
    t.run(kSecond);
    CHECK(finals(o) == 1);
    const bool harmless = group == std::string("free");
    CHECK(o.count(&ToOwner::has_found) == (harmless ? 0 : 1));
    CHECK((n.now().count(&v1::ToWorker::has_cancel_attempt) > 0) == harmless);
    CHECK((group != std::string("once") || n.launches().size() == 1));
}

TEST_CASE("a yes said twice, and one for a launch that was given up for another, place it once") {
    Rig t;
    Rig::NodeAt &a = t.node("a"), &b = t.node("b");
    t.list({t.entry("a"), t.entry("b")});
    OwnerPeer& o = t.owner();
    t.ask(o, t.offer(1, "free", 10 * kSecond));
    Rig::NodeAt& first = a.launches().empty() ? b : a;
    Rig::NodeAt& second = a.launches().empty() ? a : b;
    // The module gives the silent launch up and tries the other.
    for (int i = 0; i < 300 && second.launches().empty(); ++i) t.run(10 * kMillisecond);
    REQUIRE(second.launches().size() == 1);
    second.yes(second.launches()[0].attempt());
    second.yes(second.launches()[0].attempt());
    first.yes(first.launches()[0].attempt());
    t.run(kSecond);
    CHECK(o.count(&ToOwner::has_placed) == 1);
    CHECK(finals(o) == 1);
    REQUIRE(first.now().count(&v1::ToWorker::has_cancel_attempt) >= 1);
    CHECK(second.now().count(&v1::ToWorker::has_cancel_attempt) == 0);
}

TEST_CASE("a node cut in between says yes when it is back, and the container counts as placed there") {
    Rig t;
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    OwnerPeer& o = t.owner();
    t.ask(o, t.offer(1, "once", 20 * kSecond));
    REQUIRE(n.launches().size() == 1);
    n.holds = {n.launches()[0].attempt()};
    n.now().stream->abort();
    n.now().stream.reset();
    t.run(2 * kSecond);  // it is dialled again and greets with what it holds
    CHECK(n.conns.size() == 2);
    CHECK(o.count(&ToOwner::has_placed) == 1);
    CHECK(n.launches().size() == 1);
}

TEST_CASE("a launch that the node says it never had is sent again, even of what must not run twice") {
    Rig t;
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    OwnerPeer& o = t.owner();
    t.ask(o, t.offer(1, "once", 20 * kSecond));
    REQUIRE(n.launches().size() == 1);
    n.now().stream->abort();
    n.now().stream.reset();
    t.run(5 * kSecond);
    REQUIRE(n.launches().size() == 2);
    CHECK(n.launches()[1].attempt() != n.launches()[0].attempt());
    n.yes(n.launches()[1].attempt());
    t.run(kSecond);
    CHECK(o.count(&ToOwner::has_placed) == 1);
    CHECK(finals(o) == 1);
}

TEST_CASE(
    "a node killed with thirty launches out: what may run twice goes elsewhere, the rest is answered "
    "honestly") {
    Rig t;
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    OwnerPeer& o = t.owner();
    for (std::uint64_t i = 1; i <= 30; ++i) {
        t.ask(o, t.offer(i, i % 3 == 0 ? "once" : i % 3 == 1 ? "free" : "marked", 8 * kSecond));
        t.run(400 * kMillisecond);  // beyond what the module lets wait at one node
    }
    const std::size_t sent = n.launches().size();
    REQUIRE(sent >= 8);
    t.kill(n);
    Rig::NodeAt& other = t.node("m");
    t.list({t.entry("m", 1, 5)});
    for (int i = 0; i < 200; ++i) {
        t.run(50 * kMillisecond);
        if (other.conns.empty()) continue;
        static std::size_t answered = 0;
        const auto launches = other.launches();
        if (i == 0) answered = 0;
        for (std::size_t k = 0; k < launches.size(); ++k)
            if (k >= answered) other.yes(launches[k].attempt());
        answered = launches.size();
    }
    CHECK(finals(o) == 30);
    // The side-effecting ones that had been sent are never sent again.
    std::vector<std::string> at_n;
    for (const v1::StartAttempt& l : n.launches())
        if (l.queue_group() == 2) at_n.push_back(l.task());
    for (const v1::StartAttempt& l : other.launches())
        CHECK(std::find(at_n.begin(), at_n.end(), l.task()) == at_n.end());
    CHECK(t.placer->edge.statistics().planner_faults == 0);
}

TEST_CASE("a node that dies between yes and run is lost once another stands in its place, and not before") {
    Rig t;
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    OwnerPeer& o = t.owner();
    t.ask(o, t.offer(1));
    n.yes(n.launches().at(0).attempt());
    t.run(100 * kMillisecond);
    t.kill(n);
    t.run(5 * kSecond);
    CHECK(o.count(&ToOwner::has_ended) == 0);  // cut off is not dead
    n.incarnation = 2;
    t.stand(n);
    t.run(10 * kSecond);
    REQUIRE(o.count(&ToOwner::has_ended) == 1);
    CHECK(o.all(&ToOwner::has_ended)[0].ended().outcome() == v1::TaskEnded::LOST);
}

TEST_CASE(
    "a node that takes the connection and never reads costs its containers a moment, not their chance") {
    Rig t;
    t.node("mute", true);
    t.list({t.entry("mute")});
    OwnerPeer& o = t.owner();
    t.ask(o, t.offer(1, "once", 8 * kSecond));
    Rig::NodeAt& good = t.node("good");
    t.list({t.entry("mute"), t.entry("good")});
    t.run(3 * kSecond);
    REQUIRE(good.launches().size() ==
            1);  // side-effecting: only since the first is proven never to have been sent
    good.yes(good.launches()[0].attempt());
    t.run(kSecond);
    CHECK(o.count(&ToOwner::has_placed) == 1);
}

TEST_CASE("the node's name at another node's address is refused in words") {
    Rig t;
    Rig::NodeAt& n = t.node("n");
    n.name = "imposter";
    t.list({t.entry("n")});
    t.run(kSecond);
    REQUIRE(!n.conns.empty());
    REQUIRE(n.conns[0]->count(&v1::ToWorker::has_error) == 1);
    CHECK(n.conns[0]->all(&v1::ToWorker::has_error)[0].error().text().find("hello.name") == 0);
}

TEST_CASE(
    "a list that goes backwards is passed over; a node named twice counts by the more careful word; a list "
    "that names none leaves what runs alone") {
    Rig t;
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    OwnerPeer& o = t.owner();
    t.ask(o, t.offer(1, "free", 5 * kSecond));
    n.yes(n.launches().at(0).attempt());
    t.list({t.entry("n", 0, 0, v1::Endpoint::DRAINING)}, false);
    t.list({t.entry("n")}, true, 1);  // from before the drain
    CHECK(t.placer->edge.statistics().stale_endpoint_updates == 1);
    t.ask(o, t.offer(2));
    CHECK(n.launches().size() == 1);
    t.list({t.entry("n", 0, 0, v1::Endpoint::DRAINING), t.entry("n")}, false);
    t.ask(o, t.offer(3));
    CHECK(n.launches().size() == 1);
    t.list({t.entry("n")}, false);
    t.run(200 * kMillisecond);
    t.ask(o, t.offer(5));
    CHECK(n.launches().size() >= 2);
    const std::size_t before = n.launches().size();
    t.list({});
    t.ask(o, t.offer(4));
    CHECK(n.launches().size() == before);
    CHECK(o.count(&ToOwner::has_ended) == 0);
    v1::FromWorker m;
    m.mutable_ended()->set_attempt(n.launches()[0].attempt());
    n.now().say(m);
    t.run(kSecond);
    CHECK(o.count(&ToOwner::has_ended) == 1);
}

TEST_CASE(
    "a drain told while launches lie on the way: none is read after the grace, whatever stalls the node") {
    Rig t("[links]\ndrain_grace_ms = 1000\nsilent_after_ms = 60000\n");
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    OwnerPeer& o = t.owner();
    t.run(100 * kMillisecond);
    t.world.slow("n", 300 * kMillisecond);
    t.world.cut("10.0.0.1", "n", true);  // what is sent stands on the way
    for (std::uint64_t i = 1; i <= 5; ++i) t.ask(o, t.offer(i, "free", 8 * kSecond));
    CHECK(n.launches().empty());
    t.list({t.entry("n", 0, 0, v1::Endpoint::DRAINING)}, false);
    t.run(3 * kSecond);
    CHECK(t.placer->edge.connection("n")->statistics().drain_timeouts == 1);
    t.world.cut("10.0.0.1", "n", false);
    t.run(3 * kSecond);
    CHECK(n.launches().empty());
}

TEST_CASE("an owner that leaves with two hundred containers waiting leaves nothing behind") {
    Rig t;
    OwnerPeer& o = t.owner();
    for (std::uint64_t i = 1; i <= 200; ++i) {
        v1::FromClient m;
        *m.mutable_submit() = t.offer(i, "free", 60 * kSecond);
        o.say(m);
    }
    t.run(100 * kMillisecond);
    CHECK(t.placer->edge.tasks_held() == 200);
    CHECK(t.placer->intake.waiting() == 200);
    o.stream.reset();
    t.run(kSecond);
    CHECK(t.placer->edge.tasks_held() == 0);
    CHECK(t.placer->intake.waiting() == 0);
    CHECK(t.placer->planner.open_tasks() == 0);
}

TEST_CASE("half a message for ever, and an owner that never reads, hold up nobody else") {
    Rig t;
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    OwnerPeer &half = t.owner("half"), &deaf = t.owner("deaf"), &good = t.owner("good");
    half.stream->write(std::string("\0\0\1\0\x12\x05", 6));
    deaf.stream->set_reading(false);
    for (std::uint64_t i = 1; i <= 6000; ++i) {
        v1::FromClient m;
        *m.mutable_submit() = t.offer(i, "free", kSecond);
        deaf.say(m);
    }
    t.run(kSecond);
    t.ask(good, t.offer(1));
    t.run(kSecond);
    CHECK(good.count(&ToOwner::has_received) == 1);
    CHECK_FALSE(half.over);
    CHECK(n.now().stream);
}

TEST_CASE("a flood is turned away at once with the limit's name, and other owners are served") {
    Rig t("[intake]\nwaiting = 100\nwaiting_an_owner = 1000\n");
    OwnerPeer &flood = t.owner("flood"), &other = t.owner("other");
    for (std::uint64_t i = 1; i <= 500; ++i) {
        v1::FromClient m;
        *m.mutable_submit() = t.offer(i, i % 2 ? "free" : "once", 60 * kSecond);
        flood.say(m);
    }
    t.run(100 * kMillisecond);
    CHECK(flood.count(&ToOwner::has_received) + flood.count(&ToOwner::has_rejected) == 500);
    CHECK(flood.count(&ToOwner::has_received) < 80);
    CHECK(flood.all(&ToOwner::has_rejected).back().rejected().reason().find("intake.waiting") == 0);
    for (std::uint64_t i = 1; i <= 20; ++i) t.ask(other, t.offer(i, "free", 60 * kSecond));
    CHECK(other.count(&ToOwner::has_received) >= 16);
}

TEST_CASE("a placer killed with launches out learns from owners what runs, and looks after it") {
    Rig t;
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    OwnerPeer& o = t.owner();
    t.ask(o, t.offer(1));
    n.yes(n.launches().at(0).attempt());
    t.run(kSecond);
    REQUIRE(o.count(&ToOwner::has_placed) == 1);
    t.kill();
    t.run(kSecond);
    CHECK(o.over);
    t.raise();
    t.run(100 * kMillisecond);
    t.list({t.entry("n")});
    OwnerPeer& again = t.owner();
    v1::FromClient m;
    *m.mutable_hand_over()->mutable_submit() = t.offer(1);
    m.mutable_hand_over()->set_worker("n");
    again.say(m);
    *m.mutable_hand_over()->mutable_submit() = t.offer(2);
    m.mutable_hand_over()->set_worker("nowhere");
    again.say(m);
    t.run(kSecond);
    REQUIRE(n.now().count(&v1::ToWorker::has_adopt_attempt) == 1);
    CHECK(again.count(&ToOwner::has_ended) == 0);  // no list that is young enough says that it is lost
    t.list({t.entry("n")});
    CHECK(again.count(&ToOwner::has_ended) == 1);  // the one on a node that no list names
    n.end(n.now().all(&v1::ToWorker::has_adopt_attempt)[0].adopt_attempt().attempt(),
          v1::AttemptEnded::COMPLETED);
    t.run(kSecond);
    CHECK(again.count(&ToOwner::has_ended) == 2);
    CHECK(again.all(&ToOwner::has_ended)[1].ended().outcome() == v1::TaskEnded::COMPLETED);
}

TEST_CASE("a planner that says nothing: every container is answered by the ledger in time, and honestly") {
    Rig t;
    QuietPlanner silent;
    t.placer->edge.set_planner(silent);
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    OwnerPeer& o = t.owner();
    t.ask(o, t.offer(1, "once"));
    t.ask(o, t.offer(2, "once"));
    t.placer->edge.place(silent.taken.at(1), 0, 60 * kSecond);
    t.run(100 * kMillisecond);
    REQUIRE(n.launches().size() == 1);
    const Nanos begun = t.world.now();
    while (finals(o) < 2 && t.world.now() < begun + 5 * kSecond) t.run(kMillisecond);
    CHECK(t.world.now() - begun < 2 * kSecond);  // before its owner gives up
    REQUIRE(o.count(&ToOwner::has_rejected) == 1);
    CHECK(o.all(&ToOwner::has_rejected)[0].rejected().id() == 1);
    CHECK(o.count(&ToOwner::has_failed) == 1);
    CHECK(t.placer->ledger->statistics().answered_by_deadline == 2);

    SECTION("and one that asks for what breaks a rule is refused, and counted") {
        t.ask(o, t.offer(3, "once"));
        const auto c = silent.taken.at(2);
        t.placer->edge.place(c, 0, 60 * kSecond);
        t.placer->edge.place(c, 0, 60 * kSecond);
        t.placer->edge.place(c, 99, 60 * kSecond);
        t.placer->edge.place(12345, 0, 60 * kSecond);
        t.placer->edge.reject(c, 0);
        t.run(100 * kMillisecond);
        CHECK(n.launches().size() == 2);
        CHECK(t.placer->edge.statistics().planner_faults == 4);
        CHECK(o.count(&ToOwner::has_rejected) == 1);
    }
}

TEST_CASE("asked to close, it takes nothing more, answers what waits, and then says it is done") {
    Rig t;
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    OwnerPeer& o = t.owner();
    t.ask(o, t.offer(1, "once", 3 * kSecond));
    bool done = false;
    t.placer->edge.drain([&done] { done = true; });
    t.ask(o, t.offer(2));
    CHECK(o.count(&ToOwner::has_rejected) == 1);
    CHECK(o.all(&ToOwner::has_rejected)[0].rejected().reason() == "the placer is closing");
    CHECK_FALSE(done);
    n.yes(n.launches().at(0).attempt());
    t.run(100 * kMillisecond);
    CHECK(done);
    CHECK(finals(o) == 2);
}

TEST_CASE("what breaks the protocol gets one error in words and is closed; the others notice nothing") {
    Rig t;
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    OwnerPeer& good = t.owner("good");
    t.ask(good, t.offer(1));
    struct Case {
        std::string bytes, says;
    };
    v1::FromClient version, twice, field, unknown_group;
    Rig::greet(*version.mutable_hello(), "x", 1);
    version.mutable_hello()->set_version(9);
    const auto framed = [](const v1::FromClient& m) {
        std::string out;
        net::encode_frame(out, m);
        return out;
    };
    v1::FromClient hello;
    Rig::greet(*hello.mutable_hello(), "x", 1);
    *field.mutable_submit() = t.offer(1);
    field.mutable_submit()->set_cores(-1);
    *unknown_group.mutable_submit() = t.offer(1, "nosuch");
    *twice.mutable_submit() = t.offer(1);
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
    for (const Case& c : cases) {
        OwnerPeer& bad = t.owner("bad", false);
        bad.stream->write(c.bytes);
        t.run(50 * kMillisecond);
        INFO(c.says);
        REQUIRE(bad.count(&ToOwner::has_error) == 1);
        CHECK(bad.all(&ToOwner::has_error)[0].error().text() == c.says);
        CHECK(bad.over);
    }
    CHECK_FALSE(good.over);
    SECTION("a node that names a launch it was never given is closed, and dialled again") {
        n.yes(987654321);
        t.run(kSecond);
        REQUIRE(n.conns.size() == 2);
        CHECK(n.conns[0]->count(&v1::ToWorker::has_error) == 1);
        CHECK(t.placer->edge.connection("n")->state() == worker_connection::ConnectionState::up);
    }
    SECTION("a list with a field out of range is refused whole, and the view that stands is kept") {
        v1::Endpoint wrong = t.entry("m");
        wrong.set_kind(7);
        t.list({t.entry("n", 0, 0, v1::Endpoint::DRAINING), wrong}, false);
        CHECK(t.lists[0]->count(&v1::ToDiscovery::has_error) == 1);
        CHECK_FALSE(t.placer->ledger->find_worker("n")->is_draining());
        t.run(kSecond);
        CHECK(t.lists.size() == 2);  // it is connected again
    }
}

TEST_CASE("a placer without a descriptor left keeps what it has and dials again") {
    Rig t;
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    OwnerPeer& o = t.owner();
    t.run(100 * kMillisecond);
    t.placer_host->files(-1);
    n.now().stream->abort();
    n.now().stream.reset();
    t.run(2 * kSecond);
    t.ask(o, t.offer(1));
    CHECK(o.count(&ToOwner::has_received) == 1);
    t.placer_host->files(100);
    t.run(8 * kSecond);
    CHECK(t.placer->edge.connection("n")->state() == worker_connection::ConnectionState::up);
}

TEST_CASE("a list that must be asked for is asked for, and asked again when it fails") {
    Rig t;
    t.kill();
    t.text.replace(t.text.find("address = \"10.0.0.9:1\""), 22,
                   "address = \"10.0.0.9:1\"\nmode = \"on_request\"");
    t.raise();
    t.run(100 * kMillisecond);
    REQUIRE(t.lists.back()->count(&v1::ToDiscovery::has_fetch_snapshot) == 1);
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    CHECK(t.lists.back()->count(&v1::ToDiscovery::has_watch) == 1);
    v1::FromDiscovery failed;
    failed.mutable_failed()->set_text("too busy");
    t.lists.back()->say(failed);
    t.run(5 * kSecond);
    std::size_t follows = 0;  // the calls that nobody answers have their connection given up
    for (const auto& l : t.lists) follows += l->count(&v1::ToDiscovery::has_watch);
    CHECK(follows >= 3);
    CHECK(n.conns.size() == 1);
}

TEST_CASE("a whole list that names none of what answers is asked for again, and work goes on meanwhile") {
    Rig t;
    std::vector<v1::Endpoint> all;
    for (const char* name : {"a", "b", "c"}) {
        t.node(name);
        all.push_back(t.entry(name));
    }
    t.list(all);
    OwnerPeer& o = t.owner();
    t.run(100 * kMillisecond);
    t.list({});
    CHECK(t.lists.back()->count(&v1::ToDiscovery::has_fetch_snapshot) == 1);
    const auto launches = [&t] {
        std::size_t sum = 0;
        for (const auto& n : t.nodes) sum += n->launches().size();
        return sum;
    };
    t.ask(o, t.offer(1));
    CHECK(launches() == 1);
    // Nothing better comes: within the grace of one second it is believed.
    t.run(kSecond);
    t.ask(o, t.offer(2));
    CHECK(launches() == 1);
    t.list(all);
    t.run(200 * kMillisecond);
    CHECK(launches() >= 2);
}

TEST_CASE("a drain that a node tells while a call for the list has failed does not end the asking") {
    // The planner takes what the edge tells it of one node for a list that came, and would ask no more.
    Rig t;
    t.kill();
    t.text.replace(t.text.find("address = \"10.0.0.9:1\""), 22,
                   "address = \"10.0.0.9:1\"\nmode = \"on_request\"");
    t.raise();
    Rig::NodeAt& n = t.node("n");
    t.run(20 * kMillisecond);
    t.list({t.entry("n")});
    t.run(100 * kMillisecond);
    v1::FromDiscovery failed;
    failed.mutable_failed()->set_text("busy");
    t.lists.back()->say(failed);
    t.run(20 * kMillisecond);
    const auto asked = [&t] {
        std::size_t sum = 0;
        for (const auto& l : t.lists) sum += l->count(&v1::ToDiscovery::has_watch);
        return sum;
    };
    const std::size_t before = asked();
    v1::FromWorker m;
    m.mutable_draining();
    n.now().say(m);
    t.run(3 * kSecond);
    CHECK(asked() > before);
}

TEST_CASE("a list that is an hour old names what is no more: nothing is launched at it") {
    Rig t;
    Rig::NodeAt& n = t.node("there");
    v1::FromDiscovery m;
    t.run(10 * kMillisecond);
    m.mutable_update()->set_is_snapshot(true);
    m.mutable_update()->set_sequence(1);
    m.mutable_update()->set_age(3600 * kSecond);
    for (const char* name : {"there", "gone1", "gone2", "gone3"})
        *m.mutable_update()->add_endpoints() = t.entry(name);
    t.lists.back()->say(m);
    OwnerPeer& o = t.owner();
    t.run(300 * kMillisecond);
    for (std::uint64_t id = 1; id <= 20; ++id) {
        t.ask(o, t.offer(id));
        if (n.launches().size() == id) n.yes(id);
    }
    CHECK(n.launches().size() == 20);
    CHECK(t.placer->edge.membership().count(membership::WorkerState::unreachable) == 3);
}

TEST_CASE("a node that stands again under its name is young by its own word before the list knows") {
    Rig t("[cold]\nfrom = 0.2\nwarm_after_ms = 10000\nmultiple = 2\nwindow_ms = 1000\nalways_borne = 4\n");
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    t.run(100 * kMillisecond);
    t.kill(n);
    n.incarnation = 2;
    n.up_for = 200 * kMillisecond;
    t.stand(n);
    t.run(500 * kMillisecond);
    const std::size_t before = n.launches().size();
    OwnerPeer& o = t.owner();
    for (std::uint64_t id = 1; id <= 30; ++id) t.ask(o, t.offer(id, "free", 800 * kMillisecond));
    // 1.5 s have gone by: four in each second and a half, at the very most.
    CHECK(n.launches().size() - before <= 8);
    CHECK(n.launches().size() > before);
}

TEST_CASE("a launch carries the time after which it must not begin, by the node's own clock") {
    Rig t;
    Rig::NodeAt& n = t.node("n");
    n.clock = 77 * kSecond;
    t.list({t.entry("n")});
    t.run(100 * kMillisecond);
    const Nanos greeted = t.world.now();
    OwnerPeer& o = t.owner();
    t.ask(o, t.offer(1, "once", 2 * kSecond));
    REQUIRE(n.launches().size() == 1);
    // The queue timeout, less what the answer needs: a little under two seconds after the offer, and never
    // later by the node's clock than by the placer's own.
    const Nanos at = n.launches()[0].not_after();
    CHECK(at > 78 * kSecond);
    CHECK(at < 77 * kSecond + (t.world.now() - greeted) + 2 * kSecond + 100 * kMillisecond);
    // A word of the node's sets it anew; one without a clock takes it away.
    v1::FromWorker m;
    m.mutable_attempts_read()->set_attempts(1);
    m.mutable_attempts_read()->set_clock(5 * kSecond);
    n.now().say(m);
    t.run(10 * kMillisecond);
    t.ask(o, t.offer(2, "once", 2 * kSecond));
    REQUIRE(n.launches().size() == 2);
    CHECK(n.launches()[1].not_after() < 8 * kSecond);
    m.mutable_attempts_read()->set_clock(0);
    n.now().say(m);
    t.run(10 * kMillisecond);
    t.ask(o, t.offer(3, "once", 2 * kSecond));
    CHECK(n.launches().at(2).not_after() == 0);
}

TEST_CASE(
    "what is handed over before its node is known waits for the list, and is never called lost while it "
    "runs") {
    Rig t;
    Rig::NodeAt& n = t.node("n");
    OwnerPeer& o = t.owner();
    const auto hand = [&](std::uint64_t id, const std::string& node) {
        v1::FromClient m;
        *m.mutable_hand_over()->mutable_submit() = t.offer(id, "once");
        m.mutable_hand_over()->set_worker(node);
        o.say(m);
    };
    hand(1, "n");
    hand(2, "n");
    hand(3, "elsewhere");
    v1::FromClient away;
    away.mutable_cancel()->set_id(2);
    o.say(away);
    t.run(30 * kSecond);  // the list service is down all the while
    CHECK(o.count(&ToOwner::has_ended) == 0);
    CHECK(t.placer->edge.recovery_queue().size() == 3);
    v1::FromClient same;
    *same.mutable_submit() = t.offer(1);
    t.list({t.entry("n")});
    t.run(200 * kMillisecond);
    // Its node was asked after both; the one that nobody wants is stopped, and a young list leaves the third
    // out.
    CHECK(n.now().count(&v1::ToWorker::has_adopt_attempt) >= 1);
    CHECK(n.now().count(&v1::ToWorker::has_cancel_attempt) == 1);
    REQUIRE(o.count(&ToOwner::has_ended) == 1);
    CHECK(o.all(&ToOwner::has_ended)[0].ended().id() == 3);
    CHECK(o.all(&ToOwner::has_ended)[0].ended().outcome() == v1::TaskEnded::LOST);
    // One more that no list names yet: a younger list is asked for.
    const std::size_t asked = t.lists.back()->count(&v1::ToDiscovery::has_fetch_snapshot);
    hand(4, "new");
    t.run(kSecond);
    CHECK(t.lists.back()->count(&v1::ToDiscovery::has_fetch_snapshot) > asked);
    CHECK(o.count(&ToOwner::has_ended) == 1);
    // An owner that leaves takes it along.
    o.stream.reset();
    t.run(100 * kMillisecond);
    CHECK(t.placer->edge.recovery_queue().size() == 0);
}

TEST_CASE("a container withdrawn while its node is cut off is stopped when the node is back") {
    Rig t;
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    OwnerPeer& o = t.owner();
    t.ask(o, t.offer(1, "free", 20 * kSecond));
    const std::uint64_t launch = n.launches().at(0).attempt();
    n.yes(launch);
    t.run(100 * kMillisecond);
    n.holds = {launch};
    n.now().stream.reset();  // the connection breaks; the node lives
    t.run(10 * kMillisecond);
    v1::FromClient away;
    away.mutable_cancel()->set_id(1);
    o.say(away);
    t.run(3 * kSecond);
    REQUIRE(n.conns.size() == 2);
    CHECK(n.now().count(&v1::ToWorker::has_cancel_attempt) >= 1);
}
