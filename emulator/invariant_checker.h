// Checks the five rules against the event log. It depends neither on the placer's code nor on anything that a
// placer reports about itself.
//
// Events are observed later than the placer caused them: the network delays messages, and workers and clients
// may be stalled. Where the order or the time cannot be known for that reason, the placer is not blamed. In
// particular, no timing rule applies to an attempt that arrives at a worker during a fault: its kernel may
// have buffered it.
#pragma once
#include <string>
#include <vector>

#include "emulator/emulated_fleet.h"
#include "emulator/event_log.h"

namespace whinpost::emulator {

struct WorkerLocation {
    std::string worker;
    int zone = 0, cell = 0;
};

struct RuleSettings {
    std::vector<NamedQueueGroup> groups;
    std::vector<WorkerLocation> locations;
    Nanos drain_grace = kSecond;
    Nanos slack = 50 * kMillisecond;  // allowance for message delays and for scheduling on a busy machine
};

// lost: each request gets exactly one final answer, in time. twice: no task runs twice where that would do
// harm. drain: no attempt is sent to a worker that the placer knows to be draining. overload: no worker is
// overloaded during its warm-up. spread: no failure domain gets more tasks of a service than the queue group
// allows.
enum class Rule { lost, twice, drain, overload, spread };

struct Violation {
    Rule rule;
    std::string what;
    RecordedEvent event;  // the event at which it was detected
};

struct Verdict {
    std::vector<Violation> violations;
    int count(Rule) const;
    bool kept() const { return violations.empty(); }
    std::string summary() const;  // "rules kept: lost 0, twice 0, drains 0, overloaded 0, spread 0"
};

// `end`: time at which the log ends. A request whose deadline is later needs no answer.
[[nodiscard]] Verdict check_invariants(const EventLog&, const RuleSettings&, Nanos end);

// A readable report of one violation: the broken rule, the event, and the history of the task.
std::string describe(const EventLog&, const Violation&, Nanos start);

// All events of one task, formatted one per line.
std::vector<std::string> history_of(const EventLog&, const std::string& task, Nanos start);

}  // namespace whinpost::emulator
