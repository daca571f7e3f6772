// One container of an owner, as the front holds it: what its launches need, and where its words go.
#pragma once
#include <cstdint>
#include <string>

#include "ledger/ledger.h"
#include "timer_wheel/timer_wheel.h"
#include "whinpost/scheduler.h"

namespace whinpost::platform {

class ClientConnection;
class PooledWorker;
class WorkerConnection;
class PlatformServer;

struct InFlightTask {
    explicit InFlightTask(PlatformServer& f) : deadline(f, *this), attempt_timeout(f, *this) {}

    struct Deadline final : timer_wheel::Timer {
        Deadline(PlatformServer& f, InFlightTask& t) : front(f), task(t) {}
        void on_deadline(Nanos now) override;
        PlatformServer& front;
        InFlightTask& task;
    };
    struct AttemptTimeout final : timer_wheel::Timer {
        AttemptTimeout(PlatformServer& f, InFlightTask& t) : front(f), task(t) {}
        void on_deadline(Nanos now) override;
        PlatformServer& front;
        InFlightTask& task;
    };

    std::uint64_t id = 0;  // the owner's; passes on unchanged
    ledger::TaskRecord* record = nullptr;
    ClientConnection* client = nullptr;  // its connection, while that is open
    std::string peer;                    // the owner's address, by which another connection of its is known
    std::string queue_group, name, key, description;  // of the set-up; let go once it stands
    PooledWorker* worker = nullptr;                   // where a launch is out, or it stands
    WorkerConnection* connection = nullptr;  // the launch left on this one; null before, and once it stands
    bool running = false;
    bool counted_for_client = false;  // among what stands for its owner's connection
    bool reported_running =
        false;  // of the launch that is out: a note shows that it stands, though no answer has come
    Deadline deadline;
    AttemptTimeout attempt_timeout;
};

}  // namespace whinpost::platform
