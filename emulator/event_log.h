// What the stand-ins saw on their sockets, in the order of time: all that the checker of the rules goes by.
// Nothing in it is what a placer says of itself, but for its name and incarnation in a greeting.
#pragma once
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "whinpost/scheduler.h"

namespace whinpost::emulator {

enum class EventKind {
    // at a node
    launch,    // a launch was read
    stop,      // a stop was read
    accepted,  // the node said so, as the following four
    refused,
    ended,     // after a yes, or with an error
    started,   // the container began to run
    finished,  // it runs no more, for whatever reason
    drain_said,
    fell,          // pushed over while cold
    node_trouble,  // from here on what a node reads, says or is asked may be late or lost; until node_well
    node_well,
    link_lost,  // a placer's connection to a node ended
    // at the list service
    list_serving,  // it told a placer of this stage
    list_draining,
    list_gone,
    // at an owner
    offered,
    handed_over,
    taken,
    placed,
    deferred,
    killed,
    over,
    withdrawn,
    placer_lost,  // the owner's connection to a placer ended
    // by the script
    placer_killed,
    placer_stalled,  // until placer_well
    placer_well,
};
const char* to_string(EventKind);

struct RecordedEvent {
    Nanos at = 0;
    EventKind kind{};
    std::string placer;  // with its incarnation where a node or owner heard it: name#incarnation
    std::string worker;
    std::string task;  // the key
    std::string service;
    int group = -1;
    std::uint64_t request = 0, attempt = 0;  // the placer's numbers
    Nanos until = 0;                         // of an offer
    std::string text;
};

class EventLog {
public:
    void add(RecordedEvent l) { events_.push_back(std::move(l)); }
    const std::vector<RecordedEvent>& events() const { return events_; }

private:
    std::vector<RecordedEvent> events_;
};

std::string to_string(const RecordedEvent&, Nanos start);

}  // namespace whinpost::emulator
