// Releases that wait for the next connection of their client.
#include "platform/pending_releases.h"

#include <catch2/catch.hpp>

using namespace whinpost;
using platform_codec::Cause;

TEST_CASE("releases are taken by their client's address, in order and once") {
    platform::PendingReleases releases;
    releases.add({1, Cause::ok, "10.0.0.1", 0});
    releases.add({2, Cause::reset, "10.0.0.2", 0});
    releases.add({3, Cause::error, "10.0.0.1", 0});
    const auto taken = releases.take("10.0.0.1");
    REQUIRE(taken.size() == 2);
    CHECK(taken[0].id == 1);
    CHECK(taken[1].id == 3);
    CHECK(taken[1].cause == Cause::error);
    CHECK(releases.take("10.0.0.1").empty());
    CHECK(releases.size() == 1);
}

TEST_CASE("releases expire 60 s after the task's end, in whatever order they were added") {
    platform::PendingReleases releases;
    releases.add({1, Cause::ok, "a", 5 * kSecond});
    releases.add({2, Cause::ok, "a", 0});
    CHECK(releases.expire(60 * kSecond).empty());
    CHECK(releases.size() == 2);
    const auto expired = releases.expire(60 * kSecond + 1);
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].id == 2);
    REQUIRE(releases.size() == 1);
    CHECK(releases.take("a")[0].id == 1);
}
