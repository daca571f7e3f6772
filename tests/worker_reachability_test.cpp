// Tests of the rules by which a new connection to a worker is opened to recover messages that may be lost.
#include "ledger/worker_reachability.h"

#include <catch2/catch.hpp>

using namespace whinpost;
using ledger::WorkerReachability;

namespace {

constexpr Nanos kStart = 100 * kSecond;

}  // namespace

TEST_CASE("after a message may have been lost a connection is needed until one is up") {
    WorkerReachability reachability;
    reachability.on_connected(kStart);
    CHECK_FALSE(reachability.needs_connection(kStart, false));
    reachability.on_message_may_be_lost();
    CHECK(reachability.needs_connection(kStart, false));
    reachability.on_connected(kStart + 1);
    CHECK_FALSE(reachability.needs_connection(kStart + kSecond, false));
}

TEST_CASE("while a message is expected on a silent connection, a new connection is needed after 3.5 s") {
    WorkerReachability reachability;
    reachability.on_connected(kStart);
    CHECK_FALSE(reachability.needs_connection(kStart + WorkerReachability::kSilentAfter, true));
    CHECK(reachability.needs_connection(kStart + WorkerReachability::kSilentAfter + 1, true));
    CHECK_FALSE(reachability.needs_connection(kStart + WorkerReachability::kSilentAfter + 1, false));
}

TEST_CASE("a connection is mute if no data has arrived since a message was written 1 s ago") {
    CHECK(WorkerReachability::is_mute(kStart + kSecond, kStart - 1, kStart));
    CHECK_FALSE(WorkerReachability::is_mute(kStart + kSecond, kStart, kStart));
    CHECK_FALSE(WorkerReachability::is_mute(kStart + kSecond - 1, kStart - 1, kStart));
}

TEST_CASE("a process may be replaced if the worker answers only on newer connections") {
    const Nanos last_data = kStart + 10;
    const WorkerReachability::ConnectionState mute{kStart, last_data, true, last_data + 7, 0};
    const WorkerReachability::ConnectionState newer{last_data + 5, last_data + 9, false, 0, last_data + 8};
    const WorkerReachability::ConnectionState slow{last_data + 5, last_data + 9, false, 0, last_data + 6};
    const WorkerReachability::ConnectionState without_data{last_data + 5, last_data + 5, false};
    const WorkerReachability::ConnectionState as_old{last_data - 5, last_data + 6, false};
    const WorkerReachability::ConnectionState mute_later{last_data - 5, last_data + 3, true, last_data + 7,
                                                         0};
    using States = std::vector<WorkerReachability::ConnectionState>;
    const auto since = [&mute](const States& states) {
        return WorkerReachability::may_be_replaced_since(mute, states);
    };
    CHECK(since({mute, newer}) == last_data);
    CHECK_FALSE(since({mute}));
    CHECK_FALSE(since({mute, without_data}));   // the worker may hang
    CHECK_FALSE(since({mute, slow}));           // it answered an earlier health check; it may be slow
    CHECK_FALSE(since({mute, newer, as_old}));  // the same process sent data on the old connection
    CHECK(since({mute, newer, mute_later}) == last_data + 3);
}

TEST_CASE(
    "a health check is needed if no old connection has received data for 6 s, even if newer ones have") {
    const Nanos now = kStart + 20 * kSecond;
    const WorkerReachability::ConnectionState silent{kStart, now - WorkerReachability::kHealthCheckAfter,
                                                     false};
    const WorkerReachability::ConnectionState recent{kStart, now - WorkerReachability::kHealthCheckAfter + 1,
                                                     false};
    const WorkerReachability::ConnectionState newer{now - kSecond, now, false};
    CHECK(WorkerReachability::needs_health_check(now, {silent, newer}));
    CHECK_FALSE(WorkerReachability::needs_health_check(now, {silent, recent, newer}));
    CHECK_FALSE(WorkerReachability::needs_health_check(now, {newer}));
}
