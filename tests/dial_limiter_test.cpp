// Tests of the limits on concurrent dials and on dials per second.
#include "worker_connection/dial_limiter.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "worker_connection/worker_connection.h"

using namespace whinpost;
using worker_connection::DialLimiter;
using worker_connection::WorkerConnection;

namespace {
// Records which connections are woken; none is dialled.
struct RecordedWakeups final : worker_connection::ConnectionHandler {
    void dial(WorkerConnection&) override {}
    void close(WorkerConnection&, bool) override {}
    void write_attempt(WorkerConnection&, ledger::Attempt&) override {}
    void send_keepalive(WorkerConnection&) override {}
    void send_adoption(WorkerConnection&, ledger::Attempt&) override {}
    std::size_t unsent_bytes(const WorkerConnection&) const override { return 0; }
    std::uint64_t bytes_passed_to_kernel(const WorkerConnection&) const override { return 0; }
    std::uint64_t written_bytes(const WorkerConnection&) const override { return 0; }
    bool may_still_send(Nanos, const ledger::Attempt&) const override { return true; }
    void on_attempt_ended(Nanos, ledger::Attempt&, AttemptOutcome) override {}
    void wake_at(WorkerConnection& connection, Nanos) override { woken.push_back(&connection); }
    void on_disconnected(Nanos, WorkerConnection&, bool) override {}
    std::vector<WorkerConnection*> woken;
};

struct TestLimiter {
    explicit TestLimiter(int max_concurrent, int max_per_second) : limiter(max_concurrent, max_per_second) {}
    WorkerConnection& add() {
        ledger::WorkerRecord& worker = ledger.add_worker(std::to_string(connections.size()));
        connections.push_back(std::make_unique<WorkerConnection>(handler, limiter, worker,
                                                                 worker_connection::ConnectionSettings{}, 1));
        return *connections.back();
    }

    RecordedWakeups handler;
    ledger::Ledger ledger{{QueueGroup{}}, {4, true}, {}};
    DialLimiter limiter;
    std::vector<std::unique_ptr<WorkerConnection>> connections;
};
}  // namespace

TEST_CASE("a released permit goes to the first queued connection, and a removed connection is skipped") {
    TestLimiter test(1, 100);
    WorkerConnection &first = test.add(), &second = test.add(), &third = test.add();
    REQUIRE(test.limiter.try_acquire(kSecond, first));
    CHECK_FALSE(test.limiter.try_acquire(kSecond, second));
    CHECK_FALSE(test.limiter.try_acquire(kSecond, third));
    CHECK(test.limiter.next_dial_at(kSecond) == 0);  // when a permit is released
    test.limiter.remove(second);
    CHECK(test.limiter.is_first(third));
    test.handler.woken.clear();
    test.limiter.release(first);
    CHECK(test.handler.woken == std::vector<WorkerConnection*>{&third});
    CHECK(test.limiter.try_acquire(kSecond, third));
    CHECK(test.limiter.dialling() == 1);
    test.limiter.release(third);
}

TEST_CASE("at most max_per_second dials start within a second, and the next one may start when it is over") {
    TestLimiter test(100, 2);
    WorkerConnection &first = test.add(), &second = test.add(), &third = test.add();
    REQUIRE(test.limiter.try_acquire(10 * kSecond, first));
    REQUIRE(test.limiter.try_acquire(10 * kSecond + kMillisecond, second));
    CHECK_FALSE(test.limiter.try_acquire(10 * kSecond + 2 * kMillisecond, third));
    CHECK(test.limiter.next_dial_at(10 * kSecond + 2 * kMillisecond) == 11 * kSecond);
    CHECK_FALSE(test.limiter.try_acquire(11 * kSecond - 1, third));
    CHECK(test.limiter.try_acquire(11 * kSecond, third));
    for (WorkerConnection* connection : {&first, &second, &third}) test.limiter.release(*connection);
}
