// Every waiting client gets its message in time: all combinations of what the client waits for, how the wait
// ends and which fault happens at that moment. In virtual time.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/platform_rig.h"

using namespace whinpost;
using platform_codec::Cause;

namespace {

// A release must arrive within 1 s of the worker's own, or within 8 s if the worker sends none. A client that
// lost its connection reconnects after kReconnectDelay.
constexpr Nanos kReleaseLimit = 8 * kSecond + 200 * kMillisecond;
constexpr Nanos kReconnectDelay = kSecond;
constexpr int kTimeLeftMs = 2000;

enum class TaskState { placed, adopted, unconfirmed };
enum class End { worker_releases, worker_dies, worker_restarts, worker_leaves };
enum class Fault {
    nothing,
    client_resets,
    client_half_closes,
    worker_resets,
    worker_silent,
    discovery_silent,
    discovery_late,
    descriptors_exhausted
};
constexpr const char* kTaskStates[] = {"placed", "adopted", "unconfirmed"};
constexpr const char* kEnds[] = {"worker releases", "worker dies", "worker restarts", "worker leaves"};
constexpr const char* kFaults[] = {"nothing",        "client resets",        "client half-closes",
                                   "worker resets",  "worker silent",        "discovery silent",
                                   "discovery late", "descriptors exhausted"};

class FaultCase {
public:
    FaultCase(TaskState task_state, End end, Fault fault)
        : task_state_(task_state), end_(end), fault_(fault),
          rig_(fault == Fault::descriptors_exhausted ? 34 : 256), client_(&rig_.client) {}

    // Runs the combination. True if the client received the task's end exactly once.
    bool receives_end_once() {
        start_task();
        rig_.run(200 * kMillisecond);
        inject_fault();
        end_task();
        const Nanos limit = rig_.world.now() + kReleaseLimit;
        const Nanos reconnect_at = rig_.world.now() + kReconnectDelay;
        while (rig_.world.now() < limit && client_->count(MessageType::release, 1) == 0) {
            rig_.run(100 * kMillisecond);
            if (is_discovery_alive()) publish_state();
            if (client_->closed && rig_.world.now() >= reconnect_at) reconnect();
        }
        const bool received = client_->count(MessageType::release, 1) == 1;
        rig_.run(2 * kSecond);
        return received && client_->count(MessageType::release, 1) == 1;
    }

private:
    void start_task() {
        if (task_state_ == TaskState::placed) {
            rig_.request_placement(*client_, 1);
            rig_.worker.last_connection().answer(1);
            return;
        }
        rig_.request_placement(*client_, 1, "free", 4294967, ";at:h");
        if (task_state_ == TaskState::adopted) report_use();
    }
    void report_use() { rig_.worker.last_connection().report_use(1); }
    void inject_fault() {
        switch (fault_) {
            case Fault::nothing:
            case Fault::discovery_late:
                return;
            case Fault::client_resets:
                client_->stream->abort();
                client_->stream.reset();
                client_->closed = true;
                return;
            case Fault::client_half_closes:
                client_->stream->shutdown_write();
                return;
            case Fault::worker_resets:
                reset_connections();
                return;
            case Fault::worker_silent:
                for (const auto& connection : rig_.worker.connections)
                    if (connection->stream) connection->stream->set_reading(false);
                return;
            case Fault::discovery_silent:
                rig_.comments = false;
                return;
            case Fault::descriptors_exhausted:
                for (int i = 0; i < 40; ++i) rig_.connect_client(10 + i);
        }
    }
    void reset_connections() {
        for (const auto& connection : rig_.worker.connections)
            if (connection->stream) connection->stream->abort();
        rig_.run(100 * kMillisecond);
    }
    void end_task() {
        ended_at_ = rig_.world.now();
        switch (end_) {
            case End::worker_releases:
                // Workers repeat a release on each connection.
                for (const auto& connection : rig_.worker.connections)
                    if (connection->stream) connection->release(1, Cause::ok);
                return;
            case End::worker_dies:
                rig_.worker.listener.reset();
                return reset_connections();
            case End::worker_restarts:
                started_at_ms_ = rig_.world.now() / kMillisecond;
                return reset_connections();
            case End::worker_leaves:
                if (is_discovery_alive()) rig_.publish({PlatformRig::entry(rig_.worker, "left")});
                has_left_ = true;
                rig_.worker.listener.reset();
                return reset_connections();
        }
    }
    bool is_discovery_alive() const {
        if (fault_ == Fault::discovery_silent) return false;
        return fault_ != Fault::discovery_late || rig_.world.now() - ended_at_ > 4 * kSecond;
    }
    void publish_state() {
        std::string entry = PlatformRig::entry(rig_.worker, has_left_ ? "left" : "active");
        const std::string none = "\"born_ms\":0";
        entry.replace(entry.find(none), none.size(), "\"born_ms\":" + std::to_string(started_at_ms_));
        rig_.publish({entry});
    }
    void reconnect() {
        client_ = &rig_.connect_client(1);
        client_->send_bytes(place_task_bytes(99, "unknown group", 1000, ""));
        rig_.run(20 * kMillisecond);
    }

    const TaskState task_state_;
    const End end_;
    const Fault fault_;
    SingleWorkerRig rig_;
    TestClient* client_;
    Nanos ended_at_ = 0;
    std::int64_t started_at_ms_ = 0;
    bool has_left_ = false;
};

}  // namespace

TEST_CASE("the end of a running task reaches its client once, however it ends and whatever fault occurs") {
    int cases = 0;
    for (int task_state = 0; task_state < 3; ++task_state)
        for (int end = 0; end < 4; ++end)
            for (int fault = 0; fault < 8; ++fault) {
                INFO(kTaskStates[task_state] << ", " << kEnds[end] << ", " << kFaults[fault]);
                FaultCase fault_case(static_cast<TaskState>(task_state), static_cast<End>(end),
                                     static_cast<Fault>(fault));
                CHECK(fault_case.receives_end_once());
                ++cases;
            }
    CHECK(cases == 96);
}

// Half-closed connections of clients are tested on real sockets in platform_sockets_clients_test.cpp; the
// simulated network does not support them.
TEST_CASE("a request gets one answer in time, whatever its worker does and whatever fault occurs") {
    const std::string worker_does = GENERATE("accepts", "rejects", "nothing", "dies", "resets", "leaves");
    const std::string fault = GENERATE("nothing", "discovery silent", "draining", "no worker");
    INFO(worker_does << ", " << fault);
    SingleWorkerRig rig;
    bool drained = false;
    if (fault == "no worker") rig.publish({PlatformRig::entry(rig.worker, "left")});
    rig.request_placement(rig.client, 1, "free", kTimeLeftMs);
    const Nanos limit = rig.world.now() + kTimeLeftMs * kMillisecond + 100 * kMillisecond;
    if (fault == "discovery silent") rig.comments = false;
    if (fault == "draining") rig.server.drain([&drained] { drained = true; });
    if (!rig.worker.connections.empty()) {
        TestClient& connection = rig.worker.last_connection();
        if (worker_does == "accepts") connection.answer(1);
        if (worker_does == "rejects") connection.release(1, Cause::full, "no_cores");
        if (worker_does == "resets" || worker_does == "dies") connection.stream->abort();
        if (worker_does == "dies") rig.worker.listener.reset();
        if (worker_does == "leaves") rig.publish({PlatformRig::entry(rig.worker, "left")});
    }
    while (rig.world.now() < limit) rig.run(50 * kMillisecond);
    CHECK(answer_count(rig.client, 1) == 1);
    rig.run(2 * kSecond);
    CHECK(answer_count(rig.client, 1) == 1);
    if (fault == "draining") CHECK(drained);
}
