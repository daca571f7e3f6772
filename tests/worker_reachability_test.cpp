// When a new connection to a worker is to bring what it may have said on another one.
#include "ledger/worker_reachability.h"

#include <catch2/catch.hpp>

using namespace whinpost;
using ledger::WorkerReachability;

namespace {

constexpr Nanos kStart = 100 * kSecond;

}  // namespace

TEST_CASE("a word that may be lost calls for a connection until one has come up") {
    WorkerReachability reachability;
    reachability.on_connected(kStart);
    CHECK_FALSE(reachability.needs_connection(kStart, false));
    reachability.on_word_may_be_lost();
    CHECK(reachability.needs_connection(kStart, false));
    reachability.on_connected(kStart + 1);
    CHECK_FALSE(reachability.needs_connection(kStart + kSecond, false));
}

TEST_CASE("a silent connection that something is expected on calls for a new one every 3.5 s") {
    WorkerReachability reachability;
    reachability.on_connected(kStart);
    CHECK_FALSE(reachability.needs_connection(kStart + WorkerReachability::kSilent, true));
    CHECK(reachability.needs_connection(kStart + WorkerReachability::kSilent + 1, true));
    CHECK_FALSE(reachability.needs_connection(kStart + WorkerReachability::kSilent + 1, false));
}

TEST_CASE("a connection is mute where nothing has come since an attempt was written 1 s ago") {
    CHECK(WorkerReachability::is_mute(kStart + kSecond, kStart - 1, kStart));
    CHECK_FALSE(WorkerReachability::is_mute(kStart + kSecond, kStart, kStart));
    CHECK_FALSE(WorkerReachability::is_mute(kStart + kSecond - 1, kStart - 1, kStart));
}
