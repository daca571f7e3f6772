// A placer's process whose system calls fail and whose wall clock is stepped.
#include <catch2/catch.hpp>
#include <cerrno>

#include "support/fault_shim.h"
#include "support/process_rig.h"

using namespace whinpost;
using platform_codec::Cause;

namespace {

constexpr Nanos kMessageLimit = kSecond;

struct ShimmedRig {
    FaultShim shim;
    ProcessRig rig{options(shim)};

    static PlacerProcessOptions options(const FaultShim& shim) {
        PlacerProcessOptions options;
        options.environment = {shim.environment_entry(), std::string("LD_PRELOAD=") + WHINPOST_FAULT_SHIM,
                               "ASAN_OPTIONS=verify_asan_link_order=0"};
        return options;
    }
};

bool is_released(SocketPeer& client, std::uint64_t id) {
    client.read_available();
    return client.count(MessageType::release, id) > 0;
}

}  // namespace

TEST_CASE("a step of the wall clock releases no running task and hides no worker restart", "[clock]") {
    ShimmedRig shimmed;
    ProcessRig& rig = shimmed.rig;
    FakeWorker& worker = rig.add_worker("w1");
    FakeWorker& steady = rig.add_worker("w2");
    rig.wait_until_ready();
    SocketPeer client = rig.connect_client();
    worker.add_running_task(1);
    steady.add_running_task(2);
    rig.report_running(client, worker, 1);
    rig.report_running(client, steady, 2);
    rig.run_for(200 * kMillisecond);
    const Nanos step = GENERATE(-3600 * kSecond, -5 * kSecond, 5 * kSecond, 3600 * kSecond);
    shimmed.shim.step_wall_clock(step);
    rig.run_for(200 * kMillisecond);
    // The worker reads the same stepped clock.
    worker.crash();
    worker.start_again();
    worker.started_at_ms += step / kMillisecond;
    rig.publish(worker);
    CHECK(rig.time_until([&] { return is_released(client, 1); }, kMessageLimit) < kMessageLimit);
    // A task that is placed after the step started after its worker, so it is kept.
    SocketPeer other = rig.connect_client();
    rig.place(other, 3);
    rig.publish(worker);
    rig.publish(steady);
    rig.run_for(500 * kMillisecond);
    CHECK_FALSE(is_released(other, 3));
    CHECK_FALSE(is_released(client, 2));
}

TEST_CASE("accepting continues after each transient error, also during shutdown", "[accept]") {
    const int error =
        GENERATE(ECONNABORTED, EINTR, EPROTO, ENETDOWN, EHOSTUNREACH, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPERM);
    const bool ending = GENERATE(false, true);
    CAPTURE(error, ending);
    ShimmedRig shimmed;
    ProcessRig& rig = shimmed.rig;
    rig.wait_until_ready();
    shimmed.shim.fail(ShimmedCall::accept4, error, 3);
    std::vector<SocketPeer> clients;
    if (ending) {
        // Connections made while the process is stopped are in the listen backlog when it continues.
        rig.placer->kill(SIGTERM);
        rig.run_for(300 * kMillisecond);
        rig.placer->kill(SIGSTOP);
    }
    for (std::uint64_t id = 1; id <= 5; ++id) {
        clients.push_back(rig.connect_client());
        clients.back().send_bytes(place_task_bytes(id, "free", 400, ""));
    }
    if (ending) {
        rig.run_for(kSecond);
        rig.placer->kill(SIGCONT);
    }
    const auto all_answered = [&] {
        bool all = true;
        for (std::size_t i = 0; i < clients.size(); ++i) all = is_released(clients[i], i + 1) && all;
        return all;
    };
    CHECK(rig.time_until(all_answered, 3 * kSecond) < 3 * kSecond);
    for (const SocketPeer& client : clients) CHECK_FALSE(client.was_reset);
}

TEST_CASE("a connect that fails with a local or network error releases no running task", "[dial]") {
    struct Fault {
        ShimmedCall call;
        int error;
    };
    const Fault fault = GENERATE(
        Fault{ShimmedCall::socket, ENOBUFS}, Fault{ShimmedCall::socket, ENFILE},
        Fault{ShimmedCall::connect, EADDRNOTAVAIL}, Fault{ShimmedCall::connect, ENETUNREACH},
        Fault{ShimmedCall::connect, EAGAIN}, Fault{ShimmedCall::connect_result, ETIMEDOUT},
        Fault{ShimmedCall::connect_result, EHOSTUNREACH}, Fault{ShimmedCall::connect_result, ENETUNREACH});
    CAPTURE(static_cast<int>(fault.call), fault.error);
    ShimmedRig shimmed;
    ProcessRig& rig = shimmed.rig;
    FakeWorker& worker = rig.add_worker("w1");
    rig.wait_until_ready();
    SocketPeer client = rig.connect_client();
    rig.place(client, 1);
    shimmed.shim.fail(fault.call, fault.error, 6);
    worker.reset_connections();
    rig.time_until([&] { return shimmed.shim.hits(fault.call) >= 6; }, 6 * kSecond);
    shimmed.shim.fail(fault.call, 0, 0);
    CHECK(shimmed.shim.hits(fault.call) >= 3);
    CHECK(rig.time_until([&] { return worker.connection_count() > 0; }, 3 * kSecond) < 3 * kSecond);
    CHECK_FALSE(is_released(client, 1));
    worker.end_task(1, Cause::ok);
    CHECK(rig.time_until([&] { return is_released(client, 1); }, kMessageLimit) < kMessageLimit);
}

TEST_CASE("a task is placed and kept despite interrupted waits and short reads and writes", "[short]") {
    ShimmedRig shimmed;
    ProcessRig& rig = shimmed.rig;
    rig.add_worker("w1");
    rig.wait_until_ready();
    struct Fault {
        ShimmedCall call;
        int error;
    };
    for (const Fault fault :
         {Fault{ShimmedCall::epoll_wait, EINTR}, Fault{ShimmedCall::readv, 0},
          Fault{ShimmedCall::readv, EINTR}, Fault{ShimmedCall::readv, EAGAIN}, Fault{ShimmedCall::writev, 0},
          Fault{ShimmedCall::writev, EINTR}, Fault{ShimmedCall::send, 0}, Fault{ShimmedCall::send, EINTR},
          Fault{ShimmedCall::send, ENOBUFS}}) {
        CAPTURE(static_cast<int>(fault.call), fault.error);
        static std::uint64_t id = 10;
        SocketPeer client = rig.connect_client();
        shimmed.shim.fail(fault.call, fault.error, 30);
        rig.place(client, ++id);
        shimmed.shim.fail(fault.call, 0, 0);
        CHECK_FALSE(is_released(client, id));
    }
}

TEST_CASE("a placer starts although socket() fails with ENOBUFS at first", "[short]") {
    ShimmedRig shimmed;
    ProcessRig& rig = shimmed.rig;
    rig.wait_until_ready();
    rig.placer->kill(SIGKILL);
    rig.run_until("the placer has exited", [&] { return rig.placer->has_ended(); });
    shimmed.shim.fail(ShimmedCall::socket, ENOBUFS, 3);
    rig.placer->restart();
    rig.wait_until_ready();
    CHECK(shimmed.shim.hits(ShimmedCall::socket) == 3);
}
