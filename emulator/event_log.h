// What the emulated workers, clients and discovery service saw on their sockets, in the order of time: all
// that the invariant checker goes by. Nothing in it is what a placer says of itself, but for its name and
// incarnation in a greeting.
#pragma once
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "whinpost/scheduler.h"

namespace whinpost::emulator {

enum class EventKind {
    // at a worker
    attempt_received,
    cancel_received,
    attempt_accepted,  // the worker sent this, as the following two
    attempt_rejected,
    attempt_ended,      // after it was accepted and before it ran, or with an error
    task_started,       // it began to run
    task_stopped,       // it runs no more, for whatever reason
    drain_announced,    // to this placer
    worker_overloaded,  // while it was warming up: it fails for good
    fault_began,  // from here on, what the worker reads and sends may be late or lost, until fault_ended
    fault_ended,
    worker_connection_lost,  // a placer's connection to a worker ended
    // at the discovery service: it sent a placer this state
    listed_serving,
    listed_draining,
    listed_gone,
    // at a client
    submitted,
    handed_over,
    received,
    placed,
    rejected,
    failed,
    ended,
    cancelled,
    client_connection_lost,  // the client's connection to a placer ended
    // by the scenario
    placer_killed,
    placer_stalled,  // until placer_resumed
    placer_resumed,
};
// As people read it in reports.
const char* to_string(EventKind);

// The text of a fault_began where the worker's process is gone, with all that ran there.
inline constexpr const char* kWorkerDead = "dead";
// The text of an attempt_ended where the worker could not start it.
inline constexpr const char* kStartError = "error";

struct RecordedEvent {
    Nanos at = 0;
    EventKind kind{};
    std::string placer;  // with its incarnation where a worker or client knows it: name#incarnation
    std::string worker;
    std::string task;  // its key
    std::string service;
    int group = -1;
    std::uint64_t request = 0, attempt = 0;  // the placer's numbers; 0: none
    Nanos until = 0;                         // submitted: when the client gives up
    std::string text;
};

class EventLog {
public:
    void add(RecordedEvent event) { events_.push_back(std::move(event)); }
    const std::vector<RecordedEvent>& events() const { return events_; }

private:
    std::vector<RecordedEvent> events_;
};

// One line; times are counted from `start`.
std::string to_string(const RecordedEvent&, Nanos start);

}  // namespace whinpost::emulator
