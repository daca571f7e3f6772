// TaskTable: lookup, order and removal of tasks.
#include "platform/task_table.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace whinpost;
using platform::InFlightTask;

namespace {

struct TableFixture : platform::AnswerDeadlineHandler, platform::AttemptTimeoutHandler {
    void on_answer_deadline(InFlightTask&, Nanos) override { ++deadlines; }
    void on_attempt_timeout(InFlightTask&) override { ++timeouts; }
    InFlightTask& create(std::uint64_t number, std::uint64_t id,
                         platform::ClientConnection* client = nullptr) {
        records.push_back(std::make_unique<ledger::TaskRecord>());
        records.back()->number = number;
        return table.create(id, *records.back(), client, "10.0.0.1");
    }
    std::vector<std::unique_ptr<ledger::TaskRecord>> records;
    int deadlines = 0, timeouts = 0;
    platform::TaskTable table{*this, *this};
};

}  // namespace

TEST_CASE("a task is found by planner number, by client id and, once it runs, by name") {
    TableFixture fixture;
    InFlightTask& task = fixture.create(3, 77);
    task.name = "name";
    CHECK(fixture.table.find(3) == &task);
    CHECK(fixture.table.find_by_id(77) == &task);
    CHECK(fixture.table.find_running("name") == nullptr);
    CHECK(fixture.table.find(77) == nullptr);
    CHECK(fixture.table.find_by_id(3) == nullptr);
    fixture.table.add_running(task);
    CHECK(fixture.table.find_running("name") == &task);
}

TEST_CASE("a removed task is no longer found, its timers are disarmed, and it stays valid until freed") {
    TableFixture fixture;
    InFlightTask& task = fixture.create(1, 10);
    task.name = "name";
    fixture.table.add_running(task);
    timer_wheel::TimerWheel wheel(0);
    wheel.arm(task.answer_deadline, kSecond);
    wheel.arm(task.attempt_timeout, kSecond);
    CHECK(fixture.table.remove(task));
    CHECK_FALSE(fixture.table.remove(task));
    CHECK(fixture.table.size() == 0);
    CHECK(fixture.table.find_by_id(10) == nullptr);
    CHECK(fixture.table.find_running("name") == nullptr);
    wheel.run_timers(2 * kSecond);
    CHECK(fixture.deadlines + fixture.timeouts == 0);
    CHECK(task.name == "name");
    fixture.table.free_removed();
}

TEST_CASE("tasks of a client are returned in the order in which they were created") {
    TableFixture fixture;
    int client_storage = 0, other_storage = 0;  // only their addresses are compared
    auto* client = reinterpret_cast<platform::ClientConnection*>(&client_storage);
    auto* other = reinterpret_cast<platform::ClientConnection*>(&other_storage);
    std::vector<InFlightTask*> expected;
    for (std::uint64_t number = 1; number <= 20; ++number) {
        InFlightTask& task = fixture.create(number, 1000 - 37 * number, number % 3 ? client : other);
        if (number % 3) expected.push_back(&task);
    }
    CHECK(fixture.table.tasks_of(*client) == expected);
    CHECK_FALSE(fixture.table.all_running());
}
