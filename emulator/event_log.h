// The messages and connection events that the emulated workers, clients and discovery service observed, in
// time order. It is the invariant checker's only input and contains nothing that a placer reports about
// itself, except the name and incarnation in its Hello.
#pragma once
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "whinpost/scheduler.h"

namespace whinpost::emulator {

enum class EventKind {
    // observed at a worker
    attempt_received,
    cancel_received,
    attempt_accepted,  // this and the next two: answers that the worker sent
    attempt_rejected,
    attempt_ended,      // accepted but ended before it ran, or failed to start
    task_started,       // the task began to run
    task_stopped,       // the task stopped running, for any reason
    drain_announced,    // the worker told this placer that it is draining
    worker_overloaded,  // by attempts during its warm-up; it never recovers
    fault_began,        // until fault_ended, messages to and from the worker may be late or lost
    fault_ended,
    worker_connection_lost,  // a placer's connection to a worker ended
    // observed at the discovery service: the phase of an endpoint that it sent to a placer
    listed_serving,
    listed_draining,
    listed_gone,
    // observed at a client
    submitted,
    handed_over,
    received,
    placed,
    rejected,
    failed,
    ended,
    cancelled,
    client_connection_lost,  // the client's connection to a placer ended
    // caused by the scenario
    placer_killed,
    placer_stalled,  // until placer_resumed
    placer_resumed,
};
// The name used in reports.
const char* to_string(EventKind);

// Text of a fault_began event if the worker was killed, with all tasks that ran on it.
inline constexpr const char* kWorkerDead = "dead";
// Text of an attempt_ended event if the worker failed to start the task.
inline constexpr const char* kStartError = "error";

struct RecordedEvent {
    Nanos at = 0;
    EventKind kind{};
    std::string placer;  // name#incarnation; the name only in events of the scenario
    std::string worker;
    std::string task;  // idempotency key
    std::string service;
    int group = -1;
    std::uint64_t request = 0, attempt = 0;  // numbers of the request and the attempt; 0: none
    Nanos deadline = 0;                      // of submitted: the client's deadline
    std::string text;
};

class EventLog {
public:
    void add(RecordedEvent event) { events_.push_back(std::move(event)); }
    const std::vector<RecordedEvent>& events() const { return events_; }

private:
    std::vector<RecordedEvent> events_;
};

// Formats an event as one line, with its time relative to `start`.
std::string to_string(const RecordedEvent&, Nanos start);

}  // namespace whinpost::emulator
