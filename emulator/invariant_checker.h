// The five rules, checked from what nodes, list service and owners saw on their sockets. It knows nothing of
// the placer's code and reads nothing that a placer says of itself.
//
// Seen from outside, things come later than they were sent: by the network, and by what stalls a node or an
// owner. What can't be told from outside for that reason is not held against the placer: a launch that a node
// reads while the script has laid trouble on it (its kernel may have held it for long) is not timed.
#pragma once
#include <string>
#include <vector>

#include "emulator/emulated_worker.h"
#include "emulator/event_log.h"

namespace whinpost::emulator {

struct WorkerLocation {  // of a node, for scopes
    std::string worker;
    int zone = 0, cell = 0;
};

struct RuleSettings {
    std::vector<NamedQueueGroup> groups;
    std::vector<WorkerLocation> locations;
    Nanos drain_grace = kSecond;
    Nanos slack = 50 * kMillisecond;  // for what a message takes, and a busy machine's scheduling
};

struct Violation {
    enum Rule { lost, twice, drain, pushed_over, spread } rule;
    std::string what;
    RecordedEvent event;  // the one at which it shows
};

struct Verdict {
    std::vector<Violation> violations;
    int count(Violation::Rule) const;
    bool kept() const { return violations.empty(); }
    std::string summary() const;  // "rules kept: lost 0, twice 0, drains 0, pushed over 0, spread 0"
};

// `end`: until when the record goes. What is still waiting then with time left is not judged.
Verdict check_invariants(const EventLog&, const RuleSettings&, Nanos end);

// One breach for people: what broke, where it shows, and the record of its container.
std::string describe(const EventLog&, const Violation&, Nanos start);

// The record of one container, a line each.
std::vector<std::string> history_of(const EventLog&, const std::string& container, Nanos start);

}  // namespace whinpost::emulator
