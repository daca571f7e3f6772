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
    reachability.on_word_may_be_lost();
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
    const Nanos heard = kStart + 10;
    const WorkerReachability::ConnectionState mute{kStart, heard, true, heard + 7, 0};
    const WorkerReachability::ConnectionState newer{heard + 5, heard + 9, false, 0, heard + 8};
    const WorkerReachability::ConnectionState slow{heard + 5, heard + 9, false, 0, heard + 6};
    const WorkerReachability::ConnectionState unheard{heard + 5, heard + 5, false};
    const WorkerReachability::ConnectionState as_old{heard - 5, heard + 6, false};
    const WorkerReachability::ConnectionState mute_later{heard - 5, heard + 3, true, heard + 7, 0};
    using States = std::vector<WorkerReachability::ConnectionState>;
    const auto since = [&mute](const States& states) {
        return WorkerReachability::may_be_replaced_since(mute, states);
    };
    CHECK(since({mute, newer}) == heard);
    CHECK_FALSE(since({mute}));
    CHECK_FALSE(since({mute, unheard}));        // the worker may hang
    CHECK_FALSE(since({mute, slow}));           // it answered an earlier health check; it may be slow
    CHECK_FALSE(since({mute, newer, as_old}));  // the same process sent data on the old connection
    CHECK(since({mute, newer, mute_later}) == heard + 3);
}

TEST_CASE(
    "the process is in question if no old connection has received data for 6 s, even if newer ones have") {
    const Nanos now = kStart + 20 * kSecond;
    const WorkerReachability::ConnectionState silent{kStart, now - WorkerReachability::kHealthCheckAfter,
                                                     false};
    const WorkerReachability::ConnectionState heard{kStart, now - WorkerReachability::kHealthCheckAfter + 1,
                                                    false};
    const WorkerReachability::ConnectionState newer{now - kSecond, now, false};
    CHECK(WorkerReachability::is_process_in_question(now, {silent, newer}));
    CHECK_FALSE(WorkerReachability::is_process_in_question(now, {silent, heard, newer}));
    CHECK_FALSE(WorkerReachability::is_process_in_question(now, {newer}));
}
