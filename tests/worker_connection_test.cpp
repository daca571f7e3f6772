// Tests of a worker's connection: which attempts a break proves unsent, and how many dials follow the loss of
// many connections.
#include "worker_connection/worker_connection.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <vector>

using namespace whinpost;
using worker_connection::ConnectionState;
using worker_connection::WorkerConnection;

namespace {

struct EndedAttempt {
    ledger::Attempt* launch;
    AttemptOutcome how;
};

// The server's side, with a socket whose kernel has taken the first `taken` bytes.
struct TestHandler : worker_connection::ConnectionHandler {
    explicit TestHandler(int at_once = 100, int a_second = 1000) : dialler(at_once, a_second) {
        ledger.on_endpoint(0, node, {0, 0, 0, 8, 16, EndpointPhase::serving, 0});
    }
    void dial(WorkerConnection&) override {
        ++dials;
        bytes = taken = 0;
    }
    void close(WorkerConnection&, bool at_once) override {
        ++drops;
        aborted = at_once;
    }
    void write_attempt(WorkerConnection&, ledger::Attempt& l) override {
        bytes += 100;
        sent.push_back(&l);
    }
    void send_keepalive(WorkerConnection&) override { ++asked; }
    void send_adoption(WorkerConnection&, ledger::Attempt&) override { ++asked_after; }
    std::size_t unsent_bytes(const WorkerConnection&) const override {
        return static_cast<std::size_t>(bytes - taken);
    }
    std::uint64_t handed_over_bytes(const WorkerConnection&) const override { return taken; }
    std::uint64_t written_bytes(const WorkerConnection&) const override { return bytes; }
    bool may_still_send(Nanos t, const ledger::Attempt& l) const override {
        return ledger.may_still_send(t, l);
    }
    void on_attempt_ended(Nanos t, ledger::Attempt& l, AttemptOutcome how) override {
        ended.push_back({&l, how});
        ledger.on_ended(t, l, how);
    }
    void wake_at(WorkerConnection&, Nanos at) override { next_wakeup = at; }
    void on_disconnected(Nanos, WorkerConnection&, bool was_up) override { downs.push_back(was_up); }

    ledger::Attempt& launch() {
        ResourceRequest a;
        a.time_left = 60 * kSecond;
        return **ledger.start_attempt(now, ledger.create_task(now, "c", 1, a), node, 50 * kSecond);
    }
    void up(WorkerConnection& l, std::uint64_t incarnation = 7, std::vector<std::uint64_t> holds = {}) {
        l.set_wanted(now, true);
        if (l.state() == ConnectionState::waiting) l.run_timers(now = std::max(now, next_wakeup));
        REQUIRE(l.state() == ConnectionState::dialling);
        l.on_connected(now);
        l.on_greeting(now, incarnation, holds, 60 * kSecond);
        REQUIRE(l.state() == ConnectionState::up);
    }
    using Refusal = ledger::Refusal;

    worker_connection::DialLimiter dialler;
    ledger::Ledger ledger{{QueueGroup{}}, {4, true}, {}};
    ledger::WorkerRecord& node = ledger.add_worker("n");
    Nanos now = 1000 * kSecond, next_wakeup = 0;
    std::uint64_t bytes = 0, taken = 0;
    int dials = 0, drops = 0, asked = 0, asked_after = 0;
    bool aborted = false;
    std::vector<ledger::Attempt*> sent;
    std::vector<EndedAttempt> ended;
    std::vector<bool> downs;  // for each call of on_disconnected(): its `was_up`
};

}  // namespace

TEST_CASE(
    "when a connection breaks, attempts not completely handed to the kernel are proven unsent; other written "
    "ones are in doubt") {
    TestHandler b;
    WorkerConnection l(b, b.dialler, b.node, {}, 1);
    b.up(l);
    std::vector<ledger::Attempt*> all;
    for (int i = 0; i < 60; ++i) {
        all.push_back(&b.launch());
        l.send(b.now, *all.back());
    }
    CHECK(b.sent.size() == 41);  // the others stay queued: 4 KiB are unsent
    b.taken = 1050;              // ten complete attempts and half of one
    l.on_disconnected(b.now, b.taken);
    REQUIRE(b.ended.size() == 50);
    for (const EndedAttempt& t : b.ended) CHECK(t.how == AttemptOutcome::not_sent);
    for (int i = 0; i < 10; ++i) CHECK_FALSE(all[static_cast<std::size_t>(i)]->ended);
    CHECK(l.statistics().in_doubt == 10);
}

TEST_CASE(
    "a new greeting resolves attempts in doubt: held, never accepted, or lost with an earlier "
    "incarnation") {
    TestHandler b;
    WorkerConnection l(b, b.dialler, b.node, {}, 1);
    b.up(l);
    ledger::Attempt &held = b.launch(), &never = b.launch(), &yes = b.launch();
    for (ledger::Attempt* each : {&held, &never, &yes}) l.send(b.now, *each);
    b.ledger.on_accepted(b.now, yes);
    b.taken = b.bytes;
    l.on_disconnected(b.now, b.taken);
    CHECK(b.ended.empty());
    SECTION("the same incarnation") {
        b.up(l, 7, {held.number, yes.number});
        REQUIRE(b.ended.size() == 1);
        CHECK(b.ended[0].launch == &never);
        CHECK(b.ended[0].how == AttemptOutcome::not_sent);
    }
    SECTION("the same incarnation, disconnected for longer than the worker remembers attempts") {
        b.now += 100 * kSecond;
        b.up(l, 7, {held.number, yes.number});
        REQUIRE(b.ended.size() == 1);
        CHECK(b.ended[0].how == AttemptOutcome::reset);
    }
    SECTION("the same incarnation no longer holds an accepted attempt") {
        b.up(l, 7, {held.number});
        REQUIRE(b.ended.size() == 2);
        CHECK(b.ended[0].how == AttemptOutcome::not_sent);
        CHECK(b.ended[1].how == AttemptOutcome::reset);
    }
    SECTION("another incarnation with the same address and name") {
        b.up(l, 8, {});
        REQUIRE(b.ended.size() == 3);
        for (const EndedAttempt& t : b.ended) CHECK(t.how == AttemptOutcome::reset);
    }
    SECTION("the worker is no longer in the endpoint list") {
        l.on_worker_gone(b.now);
        CHECK(b.ended.size() == 3);
    }
}

TEST_CASE(
    "a connection without a greeting is closed after the timeout, and the attempts queued for it are "
    "unsent") {
    TestHandler b;
    WorkerConnection l(b, b.dialler, b.node, {}, 1);
    l.set_wanted(b.now, true);
    ledger::Attempt& waits = b.launch();
    l.send(b.now, waits);
    l.on_connected(b.now);
    CHECK(b.sent.empty());
    l.run_timers(b.now + 2 * kSecond);
    CHECK(b.drops == 1);
    REQUIRE(b.ended.size() == 1);
    CHECK(b.ended[0].how == AttemptOutcome::not_sent);
    // During the backoff an attempt fails at once.
    l.send(b.now + 2 * kSecond, b.launch());
    REQUIRE(b.ended.size() == 2);
    CHECK(b.ended[1].how == AttemptOutcome::connect_failed);
}

TEST_CASE("a silent connection is sent one keepalive, and then closed") {
    TestHandler b;
    WorkerConnection l(b, b.dialler, b.node, {}, 1);
    b.up(l);
    l.run_timers(b.now + 3 * kSecond);
    l.run_timers(b.now + 4 * kSecond);
    CHECK(b.asked == 1);
    CHECK(b.drops == 0);
    l.on_data(b.now + 5 * kSecond);
    l.run_timers(b.now + 6 * kSecond);
    CHECK(l.state() == ConnectionState::up);
    l.run_timers(b.now + 11 * kSecond);
    CHECK(b.drops == 1);
    CHECK(l.statistics().keepalive_timeouts == 1);
}

TEST_CASE(
    "on a drain queued attempts are withdrawn, and unread ones cause the connection to be aborted within the "
    "grace") {
    TestHandler b;
    WorkerConnection l(b, b.dialler, b.node, {}, 1);
    b.up(l);
    for (int i = 0; i < 60; ++i) l.send(b.now, b.launch());
    b.taken = 400;
    l.on_attempts_read(b.now, 3);
    CHECK(b.sent.size() == 45);
    b.ledger.on_drain_announced(b.now, b.node, true);
    l.on_drain(b.now);
    CHECK(b.ended.size() == 15);  // the queued ones
    l.run_timers(b.now + 500 * kMillisecond);
    CHECK(b.drops == 0);
    SECTION("unread attempts: the connection is aborted in time, so that none arrives after the grace") {
        l.run_timers(b.now + 750 * kMillisecond);
        CHECK(b.drops == 1);
        CHECK(b.aborted);
        CHECK(b.ended.size() == 15 + 41);
        CHECK(l.statistics().in_doubt == 1);  // completely handed to the kernel, but not confirmed
    }
    SECTION("attempts that were given up may still lie in a buffer: the connection is aborted") {
        for (ledger::Attempt* out : l.attempts_in_order()) l.on_attempt_ended(*out, false);
        l.run_timers(b.now + 750 * kMillisecond);
        CHECK(b.drops == 1);
    }
    SECTION("an answer to the last attempt shows that all were read: the connection stays") {
        l.on_attempt_ended(*l.attempts_in_order().back(), true);
        l.run_timers(b.now + 750 * kMillisecond);
        CHECK(b.drops == 0);
    }
    SECTION("the worker confirms reading all: the connection stays") {
        b.taken = b.bytes;
        l.on_attempts_read(b.now + 600 * kMillisecond, 45);
        l.run_timers(b.now + 750 * kMillisecond);
        CHECK(b.drops == 0);
    }
}

TEST_CASE("a queued attempt can be withdrawn once, and is then never sent") {
    TestHandler b;
    WorkerConnection l(b, b.dialler, b.node, {}, 1);
    l.set_wanted(b.now, true);
    ledger::Attempt& waits = b.launch();
    l.send(b.now, waits);
    CHECK(l.withdraw(waits));
    CHECK_FALSE(l.withdraw(waits));
    l.on_connected(b.now);
    l.on_greeting(b.now, 7, {}, 60 * kSecond);
    CHECK(b.sent.empty());
}

TEST_CASE("after a partition a hundred workers are redialled within the dial limits") {
    struct Many : worker_connection::ConnectionHandler {
        void dial(WorkerConnection&) override { ++dials; }
        void close(WorkerConnection&, bool) override {}
        void write_attempt(WorkerConnection&, ledger::Attempt&) override {}
        void send_keepalive(WorkerConnection&) override {}
        void send_adoption(WorkerConnection&, ledger::Attempt&) override {}
        std::size_t unsent_bytes(const WorkerConnection&) const override { return 0; }
        std::uint64_t handed_over_bytes(const WorkerConnection&) const override { return 0; }
        std::uint64_t written_bytes(const WorkerConnection&) const override { return 0; }
        bool may_still_send(Nanos, const ledger::Attempt&) const override { return true; }
        void on_attempt_ended(Nanos, ledger::Attempt&, AttemptOutcome) override {}
        void on_disconnected(Nanos, WorkerConnection&, bool) override {}
        void wake_at(WorkerConnection& l, Nanos at) override {
            wakes[*static_cast<std::size_t*>(l.tag)] = at;
        }
        int dials = 0;
        std::vector<Nanos> wakes = std::vector<Nanos>(100, 0);
    } wire;
    worker_connection::DialLimiter dialler(16, 50);
    ledger::Ledger ledger({QueueGroup{}}, {4, true}, {});
    std::vector<std::unique_ptr<WorkerConnection>> links;
    std::vector<std::size_t> numbers(100);
    Nanos now = kSecond;
    for (std::size_t i = 0; i < 100; ++i) {
        numbers[i] = i;
        links.push_back(
            std::make_unique<WorkerConnection>(wire, dialler, ledger.add_worker("n" + std::to_string(i)),
                                               worker_connection::ConnectionSettings{}, i * 77 + 1));
        links.back()->tag = &numbers[i];
        links.back()->set_wanted(now, true);
    }
    int most_in_a_second = 0, most_at_once = 0, up = 0;
    std::vector<Nanos> dialled;
    for (; now < 30 * kSecond; now += 10 * kMillisecond) {
        for (std::size_t i = 0; i < 100; ++i) {
            const int before = wire.dials;
            if (wire.wakes[i] <= now) links[i]->run_timers(now);
            if (wire.dials > before) dialled.push_back(now);
        }
        most_at_once = std::max(most_at_once, dialler.dialling());
        // No worker is reachable for the first four seconds; then all are.
        for (const auto& l : links)
            if (l->state() == ConnectionState::dialling) {
                if (now < 4 * kSecond) l->on_dial_failed(now);
                else {
                    l->on_connected(now);
                    l->on_greeting(now, 7, {}, kSecond);
                }
            }
        int lately = 0;
        for (const Nanos at : dialled) lately += now - at < kSecond;
        most_in_a_second = std::max(most_in_a_second, lately);
    }
    for (const auto& l : links) up += l->state() == ConnectionState::up;
    CHECK(up == 100);
    CHECK(most_in_a_second <= 50);
    CHECK(most_at_once <= 16);
}

TEST_CASE("at most 64 attempts are written to a worker that has not confirmed reading them") {
    TestHandler b;
    WorkerConnection l(b, b.dialler, b.node, worker_connection::ConnectionSettings{}, 1);
    b.up(l);
    std::vector<ledger::Attempt*> all;
    for (int i = 0; i < 100; ++i) {
        all.push_back(&b.launch());
        l.send(b.now, *all.back());
        b.taken = b.bytes;  // the kernel takes all bytes
    }
    CHECK(b.sent.size() == 64);
    l.on_attempts_read(b.now, 10);
    CHECK(b.sent.size() == 74);
    // An answer to the first unread attempt shows that it was read.
    l.on_attempt_ended(*all[10]);
    l.on_drained(b.now);
    CHECK(b.sent.size() == 75);
    // Attempts that are still queued when the connection breaks are proven unsent.
    CHECK(l.withdraw(*all[99]));
    l.on_disconnected(b.now, b.bytes);
    int unsent = 0;
    for (const EndedAttempt& t : b.ended) unsent += t.how == AttemptOutcome::not_sent;
    CHECK(unsent == 24);
}
