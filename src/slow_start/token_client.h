// A placer's side of turns: which cold nodes it asks for leave to send an offer, for how many, and when it
// gives back what it does not use. Placers share nothing and know nothing of each other; where a node gives
// turns, what it bears goes to those that have something to place, instead of being dealt out among all that
// there are. Where a node gives none, nothing here acts. It chooses no node for a container. No I/O, no
// clock.
#pragma once
#include <cstdint>
#include <vector>

#include "whinpost/scheduler.h"
#include "whinpost/sliding_counter.h"

namespace whinpost::slow_start {

class TokenClient;

// One node as far as its turns go.
class WarmingWorker {
public:
    explicit WarmingWorker(TokenClient&);
    ~WarmingWorker();
    WarmingWorker(const WarmingWorker&) = delete;
    WarmingWorker& operator=(const WarmingWorker&) = delete;
    void* tag = nullptr;  // the embedder's own
    bool gives() const { return up_ && gives_; }
    // How many offers may be sent to it now while it is cold; -1: as they are dealt out among all placers.
    // Before it has greeted nobody knows whether it gives turns: offers that wait for its connection would
    // come on top of those that it gave.
    int allowed() const { return !up_ ? 0 : gives_ ? held_ : -1; }
    int held() const { return held_; }
    int asked() const { return more_; }

private:
    friend class TokenClient;
    TokenClient& taker_;
    bool up_ = false, gives_ = false, serving_ = false;
    int held_ = 0, more_ = 0;
    std::uint64_t number_ = 0;
    Nanos young_until_ = 0, since_ = 0, not_before_ = 0, pause_ = 0;
};

class TokenClientHandler {
public:
    virtual ~TokenClientHandler() = default;
    // Tell the node: held so many, so many more are wanted.
    virtual void ask(WarmingWorker&, std::uint64_t number, int held, int more) = 0;
    virtual void holds(Nanos now, WarmingWorker&) = 0;  // held() changed: for the planner and the ledger
};

struct TokenClientStatistics {
    std::uint64_t asks = 0, given = 0, spent = 0, back = 0, stray = 0;
};

class TokenClient {
public:
    // `cold_for`: how long after its start a node is treated as cold.
    TokenClient(TokenClientHandler& port, Nanos cold_for);

    void greeted(Nanos now, WarmingWorker&, bool gives);
    void broken(Nanos now, WarmingWorker&);
    // Whether it may be given work at all, and its start (0: long ago).
    void stands(Nanos now, WarmingWorker&, bool serving, Nanos started);
    void given(Nanos now, WarmingWorker&, std::uint64_t number, int turns);
    // An offer is sent to it.
    void spend(Nanos now, WarmingWorker&);
    // One for which a turn was spent has never left: the node is told what is held, and takes that turn back.
    void unsent(WarmingWorker&);
    // A container was taken to be placed.
    void taken(Nanos now) { taken_.add(now, 1); }
    // After the planner's round: containers that wait without a launch out. Asks, and gives back.
    void waiting(Nanos now, std::size_t containers);

    const TokenClientStatistics& counts() const { return counts_; }

private:
    friend class WarmingWorker;
    bool wanted(Nanos now, const WarmingWorker& c) const {
        return c.gives() && c.serving_ && now < c.young_until_;
    }
    void tell(Nanos now, WarmingWorker&, int held, int more);
    void list(Nanos now, WarmingWorker&);

    TokenClientHandler& port_;
    Nanos cold_for_;
    std::vector<WarmingWorker*> cold_;  // those that may be asked: a fleet has few, and each round walks them
    std::size_t from_ = 0;              // where the next asking begins
    SlidingCounter<10> taken_;          // over a second
    TokenClientStatistics counts_;
};

}  // namespace whinpost::slow_start
