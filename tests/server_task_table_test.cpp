// The table of the server's tasks and attempts, indexed by number.
#include <catch2/catch.hpp>

#include "server/task_table.h"

using namespace whinpost;

namespace {
struct IgnoredDeadlines final : server::TaskDeadlineHandler {
    void on_answer_deadline(server::InFlightTask&) override {}
    void on_attempt_deadline(server::InFlightTask&) override {}
    void on_retention_end(server::InFlightTask&) override {}
};

struct TestTasks {
    server::InFlightTask& add(server::ClientConnection* client) {
        ResourceRequest request;
        request.time_left = kSecond;
        ledger::TaskRecord& record = ledger.create_task(0, "key", 1, request);
        server::InFlightTask& task = table.add(std::make_unique<server::InFlightTask>(handler, record));
        task.client = client;
        return task;
    }

    ledger::Ledger ledger{{QueueGroup{}}, {4, true}, {}};
    IgnoredDeadlines handler;
    server::TaskTable table;
};
}  // namespace

TEST_CASE("tasks_of returns a client's tasks in the order of creation, without those of others") {
    TestTasks test;
    // These pointers are only compared, never dereferenced.
    auto* const one = reinterpret_cast<server::ClientConnection*>(0x100);
    auto* const other = reinterpret_cast<server::ClientConnection*>(0x200);
    std::vector<server::InFlightTask*> expected;
    for (int i = 0; i < 100; ++i) {
        server::InFlightTask& task = test.add(i % 2 ? one : other);
        if (i % 2) expected.push_back(&task);
    }
    CHECK(test.table.size() == 100);
    CHECK(test.table.tasks_of(*one) == expected);
}

TEST_CASE("an erased task and its attempts are no longer found") {
    TestTasks test;
    server::InFlightTask& task = test.add(nullptr);
    const std::uint64_t number = task.record->number;
    ledger::WorkerRecord& worker = test.ledger.add_worker("worker");
    test.ledger.on_endpoint(0, worker, {0, 0, 0, 16, 32, EndpointPhase::serving, 0});
    ledger::Attempt& attempt = **test.ledger.start_attempt(0, *task.record, worker, kSecond);
    test.table.add_attempt(attempt);
    REQUIRE(test.table.find(number) == &task);
    REQUIRE(test.table.find_attempt(attempt.number) == &attempt);
    const std::uint64_t attempt_number = attempt.number;
    test.table.erase(task);
    CHECK(test.table.find(number) == nullptr);
    CHECK(test.table.find_attempt(attempt_number) == nullptr);
    CHECK(test.table.size() == 0);
}
