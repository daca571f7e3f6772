// TaskRecovery: reports of running tasks whose worker may not be listed yet.
#include "platform/task_recovery.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

using namespace whinpost;
using platform::RunningTaskReport;

namespace {

struct FakeAdopter : platform::TaskAdopter {
    bool adopt(const RunningTaskReport& report, platform::ClientConnection* client) override {
        if (!listed.contains(report.request.running_on)) return false;
        adopted.push_back(report.id);
        with_client += client != nullptr;
        return true;
    }
    void on_report_dropped(const RunningTaskReport& report, platform::ClientConnection* client) override {
        dropped.push_back(report.id);
        dropped_with_client += client != nullptr;
    }
    std::set<std::string> listed;
    std::vector<std::uint64_t> dropped;
    std::vector<std::uint64_t> adopted;
    int with_client = 0, dropped_with_client = 0;
};

RunningTaskReport report(std::uint64_t id, const std::string& worker, Nanos since = 0) {
    RunningTaskReport made{id, {}, "10.0.0.1", since};
    made.request.running_on = worker;
    return made;
}

struct RecoveryFixture {
    int storage = 0;  // only its address is used
    platform::ClientConnection& client = reinterpret_cast<platform::ClientConnection&>(storage);
    FakeAdopter adopter;
    platform::TaskRecovery recovery{adopter};
};

}  // namespace

TEST_CASE("a reported task on a listed worker is adopted at once, with its client") {
    RecoveryFixture fixture;
    fixture.adopter.listed = {"w1"};
    fixture.recovery.on_report(report(1, "w1"), fixture.client);
    CHECK(fixture.recovery.size() == 0);
    CHECK(fixture.adopter.adopted == std::vector<std::uint64_t>{1});
    CHECK(fixture.adopter.with_client == 1);
}

TEST_CASE("reports stay pending in order until their worker is listed; a closed client is forgotten") {
    RecoveryFixture fixture;
    for (std::uint64_t id = 1; id <= 4; ++id)
        fixture.recovery.on_report(report(id, id % 2 ? "w1" : "w2"), fixture.client);
    fixture.adopter.listed = {"w2"};
    fixture.recovery.retry_all();
    CHECK(fixture.adopter.adopted == std::vector<std::uint64_t>{2, 4});
    CHECK(fixture.recovery.size() == 2);
    CHECK(fixture.adopter.with_client == 2);
    CHECK(fixture.recovery.is_waiting_on(fixture.client));
    fixture.recovery.on_client_left(fixture.client);
    CHECK_FALSE(fixture.recovery.is_waiting_on(fixture.client));
    fixture.adopter.listed = {"w1"};
    fixture.recovery.retry_all();
    CHECK(fixture.adopter.adopted == std::vector<std::uint64_t>{2, 4, 1, 3});
    CHECK(fixture.adopter.with_client == 2);
}

TEST_CASE(
    "reports are dropped when cancelled, and dropped with a call to the adopter after 2.5 s or above 2000") {
    RecoveryFixture fixture;
    fixture.recovery.on_report(report(1, "w1", 0), fixture.client);
    fixture.recovery.on_report(report(2, "w1", kSecond), fixture.client);
    fixture.recovery.on_report(report(3, "w1", kSecond), fixture.client);
    int other_storage = 0;
    fixture.recovery.cancel(2, reinterpret_cast<platform::ClientConnection&>(other_storage));
    CHECK(fixture.recovery.size() == 3);
    fixture.recovery.cancel(2, fixture.client);
    CHECK(fixture.recovery.size() == 2);
    fixture.recovery.expire(2500 * kMillisecond - 1);
    CHECK(fixture.recovery.size() == 2);
    fixture.recovery.expire(2500 * kMillisecond);
    CHECK(fixture.recovery.size() == 1);
    CHECK(fixture.adopter.dropped == std::vector<std::uint64_t>{1});
    CHECK(fixture.adopter.dropped_with_client == 1);
    for (std::uint64_t id = 10; id < 2100; ++id) fixture.recovery.on_report(report(id, "w1"), fixture.client);
    CHECK(fixture.recovery.size() == 2000);
    fixture.adopter.listed = {"w1"};
    fixture.recovery.retry_all();
    CHECK(fixture.adopter.adopted.front() == 100);
}
