#include "admission/admission_controller.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <random>

using namespace whinpost;
using namespace whinpost::admission;

TEST_CASE("a burst from one client leaves the other clients their shares, and may use the rest") {
    AdmissionController controller({1000, 1000, 1'000'000, 10}, 1);
    ClientShare busy(controller), other(controller);
    int admitted = 0;
    while (controller.admit(0, busy, 0) == AdmissionLimit::none) ++admitted;
    CHECK(admitted == 825);  // all but the other client's guarantee
    int other_admitted = 0;
    while (controller.admit(0, other, 0) == AdmissionLimit::none) ++other_admitted;
    CHECK(other_admitted == 175);
    // A third client connects and the guarantees shrink. It gets its share as waiting tasks of others are
    // answered.
    ClientShare late(controller);
    CHECK(controller.admit(0, late, 0) == AdmissionLimit::waiting);
    for (int i = 0; i < 400; ++i) controller.on_answered(&busy, 0);
    int late_admitted = 0;
    while (controller.admit(0, late, 0) == AdmissionLimit::none) ++late_admitted;
    CHECK(late_admitted >= 116);
}

TEST_CASE("a burst in one queue group leaves the other groups their shares") {
    AdmissionController controller({1000, 1000, 1'000'000, 10}, 3);
    ClientShare a(controller);
    while (controller.admit(0, a, 0) == AdmissionLimit::none) {
    }
    CHECK(controller.admit(0, a, 0) == AdmissionLimit::group_waiting);
    for (int i = 0; i < 116; ++i) REQUIRE(controller.admit(0, a, 1) == AdmissionLimit::none);
    for (int i = 0; i < 116; ++i) REQUIRE(controller.admit(0, a, 2) == AdmissionLimit::none);
}

TEST_CASE("the rate is counted over a sliding second, also for clients that have become idle") {
    AdmissionController controller({1'000'000, 1'000'000, 100, 10}, 1);
    ClientShare a(controller), b(controller);
    Nanos now = 50 * kMillisecond;
    int first = 0;
    while (controller.admit(now, a, 0) == AdmissionLimit::none) ++first;
    CHECK(first == 75);
    CHECK(controller.admit(now, a, 0) == AdmissionLimit::client_rate);
    CHECK(controller.admit(now + 500 * kMillisecond, a, 0) == AdmissionLimit::client_rate);
    int second = 0;
    now += 1100 * kMillisecond;
    while (controller.admit(now, b, 0) == AdmissionLimit::none) ++second;
    CHECK(second == 75);
    CHECK(controller.rejected(AdmissionLimit::client_rate) >= 3);
}

TEST_CASE("a disconnected client frees its share, and no task is admitted after the drain starts") {
    AdmissionController controller({10, 10, 1000, 10}, 1);
    {
        ClientShare a(controller);
        for (int i = 0; i < 10; ++i) CHECK(controller.admit(0, a, 0) == AdmissionLimit::none);
        for (int i = 0; i < 10; ++i) controller.on_answered(&a, 0);
    }
    ClientShare b(controller);
    CHECK(controller.admit(0, b, 0) == AdmissionLimit::none);
    controller.start_drain();
    CHECK(controller.admit(0, b, 0) == AdmissionLimit::draining);
    CHECK(controller.waiting() == 1);
}

TEST_CASE(
    "on generated sequences a member below its guarantee always fits, and the capacity is never exceeded") {
    const auto seed = GENERATE(take(60, random(1u, 1u << 30)));
    std::ranlux24_base engine(seed);
    const auto roll = [&engine](int n) { return static_cast<int>(engine() % static_cast<unsigned>(n)); };
    const int capacity = 1 + roll(300);
    FairShares shares(capacity, roll(11) / 10.0);
    std::vector<std::unique_ptr<ShareHolder>> members;
    for (int step = 0; step < 3000; ++step) {
        if (members.empty() || roll(40) == 0) {
            // Members join only while nothing is held: one that joins later may have to wait for its
            // guarantee.
            if (members.size() < 12 && shares.held() == 0)
                members.push_back(std::make_unique<ShareHolder>(shares));
        }
        if (members.empty()) continue;
        const auto index = static_cast<std::size_t>(roll(static_cast<int>(members.size())));
        ShareHolder& member = *members[index];
        if (roll(3)) {
            if (member.held() < shares.guaranteed() && shares.held() < capacity) REQUIRE(member.fits());
            if (member.fits()) member.add();
        } else if (member.held() > 0) member.remove(1 + roll(static_cast<int>(member.held())));
        if (roll(200) == 0) members.erase(members.begin() + static_cast<std::ptrdiff_t>(index));
        std::int64_t sum = 0;
        for (const auto& each : members) sum += each->held();
        REQUIRE(sum == shares.held());
        REQUIRE(sum <= capacity);
    }
}
