// Checks the five rules from what workers, clients and the discovery service saw on their sockets. It knows
// nothing of the placer's code and reads nothing that a placer says of itself.
//
// Seen from outside, things come later than they were sent: by the network, and by what stalls a worker or a
// client. What can't be told from outside for that reason is not held against the placer: an attempt that a
// worker reads while the scenario has injected a fault into it (its kernel may have held it for long) is not
// timed.
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
    Nanos slack = 50 * kMillisecond;  // for what a message takes, and a busy machine's scheduling
};

// The five rules: no task is lost, none runs twice where that does harm, none is sent to a worker that the
// placer knows to drain, no worker is overloaded while it warms up, and services stay spread.
enum class Rule { lost, twice, drain, overload, spread };

struct Violation {
    Rule rule;
    std::string what;
    RecordedEvent event;  // the one at which it shows
};

struct Verdict {
    std::vector<Violation> violations;
    int count(Rule) const;
    bool kept() const { return violations.empty(); }
    std::string summary() const;  // "rules kept: lost 0, twice 0, drains 0, pushed over 0, spread 0"
};

// `end`: of the record. What still waits then with time left is not held against anybody.
[[nodiscard]] Verdict check_invariants(const EventLog&, const RuleSettings&, Nanos end);

// One violation for people: what broke, where it shows, and the record of its task.
std::string describe(const EventLog&, const Violation&, Nanos start);

// The record of one task, a line each.
std::vector<std::string> history_of(const EventLog&, const std::string& task, Nanos start);

}  // namespace whinpost::emulator
