// What a placer that has just started is still told about by owners: containers that run already, on nodes
// that it does not know yet. Its list may be late, old, or not to be had at all; the containers run all the
// same, and to call one lost that runs would make its owner start it a second time. So each is kept until its
// node is named, or until a list that is younger than the word of its owner leaves the node out. No I/O, no
// clock: times are nanoseconds on the caller's clock.
#pragma once
#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <string_view>

#include "whinpost/scheduler.h"

namespace whinpost::recovery {

// One container that was handed over. The owner of the handle is the embedder; drop() ends it.
struct PendingRecovery {
    std::string node;
    Nanos since = 0;
    void* tag = nullptr;  // the embedder's own
};

class RecoveryHandler {
public:
    virtual ~RecoveryHandler() = default;
    virtual void found(Nanos now, PendingRecovery&) = 0;  // its node is known; the handle has ended
    virtual void lost(Nanos now, PendingRecovery&) = 0;   // its node is not there; the handle has ended
    virtual void list_again(Nanos now) = 0;               // ask for the whole list
    virtual void wake_at(Nanos at) = 0;                   // call turn() then
};

struct RecoveryStatistics {
    std::uint64_t waited = 0, found = 0, lost = 0, asked = 0;
};

class RecoveryQueue {
public:
    explicit RecoveryQueue(RecoveryHandler& port) : port_(port) {}
    RecoveryQueue(const RecoveryQueue&) = delete;
    RecoveryQueue& operator=(const RecoveryQueue&) = delete;

    // A container on a node that no list has named. Valid until found(), lost() or drop().
    PendingRecovery& wait(Nanos now, std::string_view node, void* tag);
    void drop(PendingRecovery&);

    void named(Nanos now, std::string_view node);  // a list names it, and not as gone
    // All entries of a message were told by named(). `as_of`: the time of which it speaks.
    void listed(Nanos now, Nanos as_of, bool whole);
    void turn(Nanos now);

    std::size_t waiting() const { return all_.size(); }
    const RecoveryStatistics& counts() const { return counts_; }

private:
    using Where = std::multimap<std::string, std::list<PendingRecovery>::iterator, std::less<>>;
    void ask(Nanos now);
    void end(Where::iterator, Nanos now, bool found);

    RecoveryHandler& port_;
    std::list<PendingRecovery> all_;  // by age
    Where by_node_;
    bool list_ = false;  // any came
    Nanos ask_at_ = 0, pause_ = 0;
    RecoveryStatistics counts_;
};

}  // namespace whinpost::recovery
