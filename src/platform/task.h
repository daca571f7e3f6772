// One container of an owner, as the front holds it: what its launches need, and where its words go.
#pragma once
#include <cstdint>
#include <string>

#include "ledger/ledger.h"
#include "wheel/wheel.h"
#include "whinpost/placer.h"

namespace whinpost::platform {

class Owner;
class Host;
class Connection;
class Front;

struct Task {
    explicit Task(Front& f) : deadline(f, *this), launch_end(f, *this) {}

    struct Deadline final : wheel::Timer {
        Deadline(Front& f, Task& t) : front(f), task(t) {}
        void due(Nanos now) override;
        Front& front;
        Task& task;
    };
    struct LaunchEnd final : wheel::Timer {
        LaunchEnd(Front& f, Task& t) : front(f), task(t) {}
        void due(Nanos now) override;
        Front& front;
        Task& task;
    };

    std::uint64_t id = 0;  // the owner's; passes on unchanged
    ledger::Record* record = nullptr;
    Owner* owner = nullptr;  // its connection, while that is open
    std::string peer;        // the owner's address, by which another connection of its is known
    std::string group, name, key, description;  // of the set-up; let go once it stands
    Host* host = nullptr;                       // where a launch is out, or it stands
    Connection* on = nullptr;  // the launch left on this one; null before, and once it stands
    bool standing = false;
    bool counted = false;  // among what stands for its owner's connection
    bool stood = false;  // of the launch that is out: a note shows that it stands, though no answer has come
    Deadline deadline;
    LaunchEnd launch_end;
};

}  // namespace whinpost::platform
