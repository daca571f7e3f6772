#include "admission/admission_controller.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <random>

using namespace whinpost;
using namespace whinpost::admission;

TEST_CASE("one owner's flood leaves the others their share, and takes what nobody needs") {
    AdmissionController in({1000, 1000, 1'000'000, 10}, 1);
    ClientShare flood(in), quiet(in);
    int taken = 0;
    while (in.admit(0, flood, 0) == AdmissionLimit::none) ++taken;
    CHECK(taken == 825);  // all but what is kept for the other owner
    int others = 0;
    while (in.admit(0, quiet, 0) == AdmissionLimit::none) ++others;
    CHECK(others == 175);
    // A third comes: the guarantees shrink; what is held stays held, and it gets its part as room comes.
    ClientShare late(in);
    CHECK(in.admit(0, late, 0) == AdmissionLimit::waiting);
    for (int i = 0; i < 400; ++i) in.on_answered(&flood, 0);
    int third = 0;
    while (in.admit(0, late, 0) == AdmissionLimit::none) ++third;
    CHECK(third >= 116);
}

TEST_CASE("the flood of one queue group leaves the worst served its share") {
    AdmissionController in({1000, 1000, 1'000'000, 10}, 3);
    ClientShare a(in);
    while (in.admit(0, a, 0) == AdmissionLimit::none) {
    }
    CHECK(in.admit(0, a, 0) == AdmissionLimit::group_waiting);
    for (int i = 0; i < 116; ++i) REQUIRE(in.admit(0, a, 1) == AdmissionLimit::none);
    for (int i = 0; i < 116; ++i) REQUIRE(in.admit(0, a, 2) == AdmissionLimit::none);
}

TEST_CASE("containers a second are counted over a sliding second, also of owners that fell silent") {
    AdmissionController in({1'000'000, 1'000'000, 100, 10}, 1);
    ClientShare a(in), b(in);
    Nanos now = 50 * kMillisecond;
    int first = 0;
    while (in.admit(now, a, 0) == AdmissionLimit::none) ++first;
    CHECK(first == 75);
    CHECK(in.admit(now, a, 0) == AdmissionLimit::client_rate);
    CHECK(in.admit(now + 500 * kMillisecond, a, 0) == AdmissionLimit::client_rate);
    int second = 0;
    now += 1100 * kMillisecond;
    while (in.admit(now, b, 0) == AdmissionLimit::none) ++second;
    CHECK(second == 75);
    CHECK(in.rejected(AdmissionLimit::client_rate) >= 3);
}

TEST_CASE("an owner that leaves frees what it held, and nothing is taken once closing") {
    AdmissionController in({10, 10, 1000, 10}, 1);
    {
        ClientShare a(in);
        for (int i = 0; i < 10; ++i) CHECK(in.admit(0, a, 0) == AdmissionLimit::none);
        for (int i = 0; i < 10; ++i) in.on_answered(&a, 0);
    }
    ClientShare b(in);
    CHECK(in.admit(0, b, 0) == AdmissionLimit::none);
    in.start_drain();
    CHECK(in.admit(0, b, 0) == AdmissionLimit::draining);
    CHECK(in.waiting() == 1);
}

TEST_CASE(
    "on generated sequences a member below its guarantee always fits, and the capacity is never passed") {
    const auto seed = GENERATE(take(60, random(1u, 1u << 30)));
    std::ranlux24_base chance(seed);
    const auto roll = [&chance](int n) { return static_cast<int>(chance() % static_cast<unsigned>(n)); };
    const int capacity = 1 + roll(300);
    FairShares shares(capacity, roll(11) / 10.0);
    std::vector<std::unique_ptr<ShareHolder>> members;
    for (int step = 0; step < 3000; ++step) {
        if (members.empty() || roll(40) == 0) {
            // One that joins a full house waits for room: the guarantee holds for those who were there.
            if (members.size() < 12 && shares.held() == 0)
                members.push_back(std::make_unique<ShareHolder>(shares));
        }
        if (members.empty()) continue;
        const auto at = static_cast<std::size_t>(roll(static_cast<int>(members.size())));
        ShareHolder& m = *members[at];
        if (roll(3)) {
            if (m.held() < shares.guaranteed() && shares.held() < capacity) REQUIRE(m.fits());
            if (m.fits()) m.add();
        } else if (m.held() > 0) m.remove(1 + roll(static_cast<int>(m.held())));
        if (roll(200) == 0) members.erase(members.begin() + static_cast<std::ptrdiff_t>(at));
        std::int64_t sum = 0;
        for (const auto& each : members) sum += each->held();
        REQUIRE(sum == shares.held());
        REQUIRE(sum <= capacity);
    }
}
