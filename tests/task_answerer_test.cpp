// Each request gets one final answer, at the deadline if the planner does not decide.
#include "platform/task_answerer.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "support/platform_fakes.h"
#include "support/quiet_planner.h"

using namespace whinpost;
using platform_codec::Cause;

namespace {

struct AnswererFixture : platform::RoundHandler, platform::AttemptTimeoutHandler {
    struct RecordingPlanner : QuietPlanner {
        void cancel(Nanos, planner::TaskNumber) override { ++cancelled; }
        int cancelled = 0;
    };

    AnswererFixture() {
        rounds.set_planner(planner);
        REQUIRE(clients.listen("10.0.0.1:1").has_value());
        client.stream = world.add_process("10.0.2.1").dial("10.0.0.1:1", client);
        client_message();
    }
    void on_round_done() override { tasks.free_removed(); }
    void on_attempt_timeout(platform::InFlightTask&) override {}
    void run(Nanos by = 20 * kMillisecond) { world.run_until(world.now() + by); }
    // Sends the first message, which makes the client's connection available to the test.
    void client_message() {
        run();
        client.send_bytes(place_task_bytes(1000, "free", 1000, ""));
        run();
        REQUIRE(client_handler.requests.size() == 1);
    }
    platform::InFlightTask& create(std::uint64_t id) {
        ResourceRequest request;
        request.time_left = kSecond;
        ledger::TaskRecord& record = ledger.create_task(world.now(), std::to_string(id), 1, request);
        platform::ClientConnection* connection = client_handler.requests[0].first;
        platform::InFlightTask& task = tasks.create(id, record, connection, connection->client_address());
        connection->add_open_request();
        timers.arm(task.answer_deadline, record.deadline);
        return task;
    }

    simulation::SimulatedNetwork world{1};
    simulation::SimulatedProcess& process = world.add_process("10.0.0.1");
    log::Logger log;
    ledger::Ledger ledger{
        std::vector<QueueGroup>(1), {4, true}, {0.25, 10 * kSecond, 3, 2 * kSecond, 40, 3, 0}};
    RecordingPlanner planner;
    RecordingClientHandler client_handler;
    platform::PlannerRounds rounds{process, *this};
    platform::DeadlineTimers timers{process};
    platform::ServerStatistics statistics;
    const platform::ServerContext context{process, log, ledger, rounds, timers, statistics};
    platform::ClientServer clients{process, log, client_handler};
    platform::TaskTable tasks{answerer, *this};
    platform::ReleaseController releases{context, clients};
    platform::TaskLifecycle lifecycle{context, tasks, clients, releases};
    platform::TaskAnswerer answerer{context, tasks, lifecycle};
    TestClient client;
};

}  // namespace

TEST_CASE("a second decision for an answered request is ignored") {
    AnswererFixture fixture;
    const planner::TaskNumber number = fixture.create(7).record->number;
    fixture.answerer.reject(number, 300 * kMillisecond);
    fixture.answerer.fail(number);
    fixture.run();
    REQUIRE(fixture.client.messages(MessageType::release).size() == 1);
    CHECK(fixture.client.messages(MessageType::release)[0].cause == Cause::try_later);
    CHECK(fixture.client.messages(MessageType::release)[0].retry_after_ms == "300");
    CHECK(fixture.tasks.size() == 0);
    CHECK(fixture.ledger.open_tasks() == 0);
}

TEST_CASE(
    "a request that the planner does not decide is answered at its deadline and cancelled at the planner") {
    AnswererFixture fixture;
    fixture.create(7);
    fixture.run(900 * kMillisecond);
    CHECK(fixture.client.count(MessageType::release, 7) == 0);
    fixture.run(200 * kMillisecond);
    CHECK(fixture.client.count(MessageType::release, 7) == 1);
    CHECK(fixture.planner.cancelled == 1);
    CHECK(fixture.ledger.statistics().answered_by_deadline == 1);
    CHECK(fixture.tasks.size() == 0);
}

TEST_CASE("a cancelled request gets no answer") {
    AnswererFixture fixture;
    fixture.answerer.cancel(fixture.create(7));
    fixture.run(2 * kSecond);
    CHECK(fixture.client.count(MessageType::release, 7) == 0);
    CHECK(fixture.planner.cancelled == 1);
    CHECK(fixture.ledger.statistics().cancelled == 1);
    CHECK(fixture.tasks.size() == 0);
}

TEST_CASE("the release of a running task is kept until acknowledged, or until its client connects") {
    AnswererFixture fixture;
    platform::InFlightTask& task = fixture.create(7);
    fixture.lifecycle.notify_task_ended(task, Cause::ok);
    fixture.run();
    CHECK(fixture.client.count(MessageType::release, 7) == 1);
    REQUIRE(fixture.releases.size() == 1);  // written but not acknowledged
    fixture.releases.on_release_ack(*task.client, 7);
    CHECK(fixture.releases.size() == 0);
    task.client = nullptr;
    task.client_address = "10.0.2.9";
    fixture.lifecycle.notify_task_ended(task, Cause::ok);
    CHECK(fixture.releases.size() == 1);
    CHECK(fixture.statistics.releases_pending == 1);
}
