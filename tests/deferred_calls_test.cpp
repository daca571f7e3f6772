// The queue of calls that run before and after a planner's round.
#include "planner/deferred_calls.h"

#include <catch2/catch.hpp>
#include <vector>

using whinpost::planner::DeferredCalls;

TEST_CASE("deferred calls run once, in the order in which they were deferred") {
    DeferredCalls calls;
    std::vector<int> ran;
    calls.defer([&] { ran.push_back(1); });
    calls.defer([&] { ran.push_back(2); });
    CHECK(ran.empty());
    CHECK_FALSE(calls.empty());
    calls.run_all();
    calls.run_all();
    CHECK(ran == std::vector<int>{1, 2});
    CHECK(calls.empty());
}

TEST_CASE("a call that is deferred by a deferred call runs in the same pass, after those queued before") {
    DeferredCalls calls;
    std::vector<int> ran;
    calls.defer([&] {
        ran.push_back(1);
        calls.defer([&] { ran.push_back(3); });
    });
    calls.defer([&] { ran.push_back(2); });
    calls.run_all();
    CHECK(ran == std::vector<int>{1, 2, 3});
}
