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
    ledger::Attempt* attempt;
    AttemptOutcome outcome;
};

// The server's side, with a socket whose kernel has taken the first `passed_to_kernel` bytes.
struct TestHandler : worker_connection::ConnectionHandler {
    explicit TestHandler(int max_concurrent = 100, int max_per_second = 1000)
        : dial_limiter(max_concurrent, max_per_second) {
        ledger.on_endpoint(0, worker, {0, 0, 0, 8, 16, EndpointPhase::serving, 0});
    }
    void dial(WorkerConnection&) override {
        ++dials;
        written = passed_to_kernel = 0;
    }
    void close(WorkerConnection&, bool at_once) override {
        ++closes;
        aborted = at_once;
    }
    void write_attempt(WorkerConnection&, ledger::Attempt& attempt) override {
        written += 100;
        sent.push_back(&attempt);
    }
    void send_keepalive(WorkerConnection&) override { ++keepalives_sent; }
    void send_adoption(WorkerConnection&, ledger::Attempt&) override { ++adoptions_sent; }
    std::size_t unsent_bytes(const WorkerConnection&) const override {
        return static_cast<std::size_t>(written - passed_to_kernel);
    }
    std::uint64_t bytes_passed_to_kernel(const WorkerConnection&) const override { return passed_to_kernel; }
    std::uint64_t written_bytes(const WorkerConnection&) const override { return written; }
    bool may_still_send(Nanos now, const ledger::Attempt& attempt) const override {
        return ledger.may_still_send(now, attempt);
    }
    void on_attempt_ended(Nanos now, ledger::Attempt& attempt, AttemptOutcome outcome) override {
        ended.push_back({&attempt, outcome});
        ledger.on_ended(now, attempt, outcome);
    }
    void wake_at(WorkerConnection&, Nanos at) override { next_wakeup = at; }
    void on_disconnected(Nanos, WorkerConnection&, bool was_up) override { disconnects.push_back(was_up); }

    ledger::Attempt& start_attempt() {
        ResourceRequest request;
        request.time_left = 60 * kSecond;
        return **ledger.start_attempt(now, ledger.create_task(now, "c", 1, request), worker, 50 * kSecond);
    }
    void up(WorkerConnection& connection, std::uint64_t incarnation = 7,
            std::vector<std::uint64_t> held = {}) {
        connection.set_wanted(now, true);
        if (connection.state() == ConnectionState::waiting)
            connection.run_timers(now = std::max(now, next_wakeup));
        REQUIRE(connection.state() == ConnectionState::dialling);
        connection.on_connected(now);
        connection.on_greeting(now, incarnation, held, 60 * kSecond);
        REQUIRE(connection.state() == ConnectionState::up);
    }
    using Refusal = ledger::Refusal;

    worker_connection::DialLimiter dial_limiter;
    ledger::Ledger ledger{{QueueGroup{}}, {4, true}, {}};
    ledger::WorkerRecord& worker = ledger.add_worker("n");
    Nanos now = 1000 * kSecond, next_wakeup = 0;
    std::uint64_t written = 0, passed_to_kernel = 0;
    int dials = 0, closes = 0, keepalives_sent = 0, adoptions_sent = 0;
    bool aborted = false;
    std::vector<ledger::Attempt*> sent;
    std::vector<EndedAttempt> ended;
    std::vector<bool> disconnects;  // for each call of on_disconnected(): its `was_up`
};

}  // namespace

TEST_CASE(
    "when a connection breaks, attempts not completely handed to the kernel are proven unsent; other written "
    "ones are in doubt") {
    TestHandler handler;
    WorkerConnection connection(handler, handler.dial_limiter, handler.worker, {}, 1);
    handler.up(connection);
    std::vector<ledger::Attempt*> all;
    for (int i = 0; i < 60; ++i) {
        all.push_back(&handler.start_attempt());
        connection.send(handler.now, *all.back());
    }
    CHECK(handler.sent.size() == 41);  // the others stay queued: 4 KiB are unsent
    handler.passed_to_kernel = 1050;   // ten complete attempts and half of one
    connection.on_disconnected(handler.now, handler.passed_to_kernel);
    REQUIRE(handler.ended.size() == 50);
    for (const EndedAttempt& each : handler.ended) CHECK(each.outcome == AttemptOutcome::not_sent);
    for (int i = 0; i < 10; ++i) CHECK_FALSE(all[static_cast<std::size_t>(i)]->ended);
    CHECK(connection.statistics().in_doubt == 10);
}

TEST_CASE(
    "a new greeting resolves attempts in doubt: held, never accepted, or lost with an earlier "
    "incarnation") {
    TestHandler handler;
    WorkerConnection connection(handler, handler.dial_limiter, handler.worker, {}, 1);
    handler.up(connection);
    ledger::Attempt &held = handler.start_attempt(), &never_accepted = handler.start_attempt(),
                    &accepted = handler.start_attempt();
    for (ledger::Attempt* each : {&held, &never_accepted, &accepted}) connection.send(handler.now, *each);
    handler.ledger.on_accepted(handler.now, accepted);
    handler.passed_to_kernel = handler.written;
    connection.on_disconnected(handler.now, handler.passed_to_kernel);
    CHECK(handler.ended.empty());
    SECTION("the same incarnation") {
        handler.up(connection, 7, {held.number, accepted.number});
        REQUIRE(handler.ended.size() == 1);
        CHECK(handler.ended[0].attempt == &never_accepted);
        CHECK(handler.ended[0].outcome == AttemptOutcome::not_sent);
    }
    SECTION("the same incarnation, disconnected for longer than the worker remembers attempts") {
        handler.now += 100 * kSecond;
        handler.up(connection, 7, {held.number, accepted.number});
        REQUIRE(handler.ended.size() == 1);
        CHECK(handler.ended[0].outcome == AttemptOutcome::reset);
    }
    SECTION("the same incarnation no longer holds an accepted attempt") {
        handler.up(connection, 7, {held.number});
        REQUIRE(handler.ended.size() == 2);
        CHECK(handler.ended[0].outcome == AttemptOutcome::not_sent);
        CHECK(handler.ended[1].outcome == AttemptOutcome::reset);
    }
    SECTION("another incarnation with the same address and name") {
        handler.up(connection, 8, {});
        REQUIRE(handler.ended.size() == 3);
        for (const EndedAttempt& each : handler.ended) CHECK(each.outcome == AttemptOutcome::reset);
    }
    SECTION("the worker is no longer in the endpoint list") {
        connection.on_worker_gone(handler.now);
        CHECK(handler.ended.size() == 3);
    }
}

TEST_CASE(
    "a connection without a greeting is closed after the timeout, and the attempts queued for it are "
    "unsent") {
    TestHandler handler;
    WorkerConnection connection(handler, handler.dial_limiter, handler.worker, {}, 1);
    connection.set_wanted(handler.now, true);
    ledger::Attempt& queued = handler.start_attempt();
    connection.send(handler.now, queued);
    connection.on_connected(handler.now);
    CHECK(handler.sent.empty());
    connection.run_timers(handler.now + 2 * kSecond);
    CHECK(handler.closes == 1);
    REQUIRE(handler.ended.size() == 1);
    CHECK(handler.ended[0].outcome == AttemptOutcome::not_sent);
    // During the backoff an attempt fails at once.
    connection.send(handler.now + 2 * kSecond, handler.start_attempt());
    REQUIRE(handler.ended.size() == 2);
    CHECK(handler.ended[1].outcome == AttemptOutcome::connect_failed);
}

TEST_CASE("a silent connection is sent one keepalive, and then closed") {
    TestHandler handler;
    WorkerConnection connection(handler, handler.dial_limiter, handler.worker, {}, 1);
    handler.up(connection);
    connection.run_timers(handler.now + 3 * kSecond);
    connection.run_timers(handler.now + 4 * kSecond);
    CHECK(handler.keepalives_sent == 1);
    CHECK(handler.closes == 0);
    connection.on_data(handler.now + 5 * kSecond);
    connection.run_timers(handler.now + 6 * kSecond);
    CHECK(connection.state() == ConnectionState::up);
    connection.run_timers(handler.now + 11 * kSecond);
    CHECK(handler.closes == 1);
    CHECK(connection.statistics().keepalive_timeouts == 1);
}

TEST_CASE(
    "on a drain queued attempts are withdrawn, and unread ones cause the connection to be aborted within the "
    "grace") {
    TestHandler handler;
    WorkerConnection connection(handler, handler.dial_limiter, handler.worker, {}, 1);
    handler.up(connection);
    for (int i = 0; i < 60; ++i) connection.send(handler.now, handler.start_attempt());
    handler.passed_to_kernel = 400;
    connection.on_attempts_read(handler.now, 3);
    CHECK(handler.sent.size() == 45);
    handler.ledger.on_drain_announced(handler.now, handler.worker, true);
    connection.on_drain(handler.now);
    CHECK(handler.ended.size() == 15);  // the queued ones
    connection.run_timers(handler.now + 500 * kMillisecond);
    CHECK(handler.closes == 0);
    SECTION("unread attempts: the connection is aborted in time, so that none arrives after the grace") {
        connection.run_timers(handler.now + 750 * kMillisecond);
        CHECK(handler.closes == 1);
        CHECK(handler.aborted);
        CHECK(handler.ended.size() == 15 + 41);
        CHECK(connection.statistics().in_doubt == 1);  // completely handed to the kernel, but not confirmed
    }
    SECTION("attempts that were given up may still lie in a buffer: the connection is aborted") {
        for (ledger::Attempt* attempt : connection.attempts_in_order())
            connection.on_attempt_ended(*attempt, false);
        connection.run_timers(handler.now + 750 * kMillisecond);
        CHECK(handler.closes == 1);
    }
    SECTION("an answer to the last attempt shows that all were read: the connection stays") {
        connection.on_attempt_ended(*connection.attempts_in_order().back(), true);
        connection.run_timers(handler.now + 750 * kMillisecond);
        CHECK(handler.closes == 0);
    }
    SECTION("the worker confirms reading all: the connection stays") {
        handler.passed_to_kernel = handler.written;
        connection.on_attempts_read(handler.now + 600 * kMillisecond, 45);
        connection.run_timers(handler.now + 750 * kMillisecond);
        CHECK(handler.closes == 0);
    }
}

TEST_CASE("a queued attempt can be withdrawn once, and is then never sent") {
    TestHandler handler;
    WorkerConnection connection(handler, handler.dial_limiter, handler.worker, {}, 1);
    connection.set_wanted(handler.now, true);
    ledger::Attempt& queued = handler.start_attempt();
    connection.send(handler.now, queued);
    CHECK(connection.withdraw(queued));
    CHECK_FALSE(connection.withdraw(queued));
    connection.on_connected(handler.now);
    connection.on_greeting(handler.now, 7, {}, 60 * kSecond);
    CHECK(handler.sent.empty());
}

TEST_CASE("after a partition a hundred workers are redialled within the dial limits") {
    struct ManyConnections : worker_connection::ConnectionHandler {
        void dial(WorkerConnection&) override { ++dials; }
        void close(WorkerConnection&, bool) override {}
        void write_attempt(WorkerConnection&, ledger::Attempt&) override {}
        void send_keepalive(WorkerConnection&) override {}
        void send_adoption(WorkerConnection&, ledger::Attempt&) override {}
        std::size_t unsent_bytes(const WorkerConnection&) const override { return 0; }
        std::uint64_t bytes_passed_to_kernel(const WorkerConnection&) const override { return 0; }
        std::uint64_t written_bytes(const WorkerConnection&) const override { return 0; }
        bool may_still_send(Nanos, const ledger::Attempt&) const override { return true; }
        void on_attempt_ended(Nanos, ledger::Attempt&, AttemptOutcome) override {}
        void on_disconnected(Nanos, WorkerConnection&, bool) override {}
        void wake_at(WorkerConnection& connection, Nanos at) override {
            wakeups[*static_cast<std::size_t*>(connection.tag)] = at;
        }
        int dials = 0;
        std::vector<Nanos> wakeups = std::vector<Nanos>(100, 0);
    } handler;
    worker_connection::DialLimiter dial_limiter(16, 50);
    ledger::Ledger ledger({QueueGroup{}}, {4, true}, {});
    std::vector<std::unique_ptr<WorkerConnection>> connections;
    std::vector<std::size_t> numbers(100);
    Nanos now = kSecond;
    for (std::size_t i = 0; i < 100; ++i) {
        numbers[i] = i;
        connections.push_back(std::make_unique<WorkerConnection>(
            handler, dial_limiter, ledger.add_worker("n" + std::to_string(i)),
            worker_connection::ConnectionSettings{}, i * 77 + 1));
        connections.back()->tag = &numbers[i];
        connections.back()->set_wanted(now, true);
    }
    int max_per_second = 0, max_concurrent = 0, up = 0;
    std::vector<Nanos> dialled;
    for (; now < 30 * kSecond; now += 10 * kMillisecond) {
        for (std::size_t i = 0; i < 100; ++i) {
            const int before = handler.dials;
            if (handler.wakeups[i] <= now) connections[i]->run_timers(now);
            if (handler.dials > before) dialled.push_back(now);
        }
        max_concurrent = std::max(max_concurrent, dial_limiter.dialling());
        // No worker is reachable for the first four seconds; then all are.
        for (const auto& connection : connections)
            if (connection->state() == ConnectionState::dialling) {
                if (now < 4 * kSecond) connection->on_dial_failed(now);
                else {
                    connection->on_connected(now);
                    connection->on_greeting(now, 7, {}, kSecond);
                }
            }
        int dials_in_last_second = 0;
        for (const Nanos at : dialled) dials_in_last_second += now - at < kSecond;
        max_per_second = std::max(max_per_second, dials_in_last_second);
    }
    for (const auto& connection : connections) up += connection->state() == ConnectionState::up;
    CHECK(up == 100);
    CHECK(max_per_second <= 50);
    CHECK(max_concurrent <= 16);
}

TEST_CASE("at most 64 attempts are written to a worker that has not confirmed reading them") {
    TestHandler handler;
    WorkerConnection connection(handler, handler.dial_limiter, handler.worker,
                                worker_connection::ConnectionSettings{}, 1);
    handler.up(connection);
    std::vector<ledger::Attempt*> all;
    for (int i = 0; i < 100; ++i) {
        all.push_back(&handler.start_attempt());
        connection.send(handler.now, *all.back());
        handler.passed_to_kernel = handler.written;  // the kernel takes all bytes
    }
    CHECK(handler.sent.size() == 64);
    connection.on_attempts_read(handler.now, 10);
    CHECK(handler.sent.size() == 74);
    // An answer to the first unread attempt shows that it was read.
    connection.on_attempt_ended(*all[10]);
    connection.on_drained(handler.now);
    CHECK(handler.sent.size() == 75);
    // Attempts that are still queued when the connection breaks are proven unsent.
    CHECK(connection.withdraw(*all[99]));
    connection.on_disconnected(handler.now, handler.written);
    int unsent = 0;
    for (const EndedAttempt& each : handler.ended) unsent += each.outcome == AttemptOutcome::not_sent;
    CHECK(unsent == 24);
}
