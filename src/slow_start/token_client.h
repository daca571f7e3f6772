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
    bool issues_tokens() const { return is_connected_ && issues_tokens_; }
    // How many offers may be sent to it now while it is cold; -1: as they are dealt out among all placers.
    // Before it has greeted nobody knows whether it gives turns: offers that wait for its connection would
    // come on top of those that it gave.
    int allowed_attempts() const { return !is_connected_ ? 0 : issues_tokens_ ? held_ : -1; }
    int held() const { return held_; }
    int requested() const { return requested_; }

private:
    friend class TokenClient;
    TokenClient& client_;
    bool is_connected_ = false, issues_tokens_ = false, is_serving_ = false;
    int held_ = 0, requested_ = 0;
    std::uint64_t sequence_ = 0;
    Nanos slow_start_until_ = 0, held_since_ = 0, next_request_at_ = 0, backoff_ = 0;
};

class TokenClientHandler {
public:
    virtual ~TokenClientHandler() = default;
    // Tell the node: held so many, so many more are wanted.
    virtual void send_request(WarmingWorker&, std::uint64_t number, int held, int more) = 0;
    virtual void on_tokens_changed(Nanos now,
                                   WarmingWorker&) = 0;  // held() changed: for the planner and the ledger
};

struct TokenClientStatistics {
    std::uint64_t requests = 0, granted = 0, used = 0, returned = 0, stray_grants = 0;
};

class TokenClient {
public:
    // `cold_for`: how long after its start a node is treated as cold.
    TokenClient(TokenClientHandler& port, Nanos cold_for);

    void on_greeting(Nanos now, WarmingWorker&, bool gives);
    void on_disconnected(Nanos now, WarmingWorker&);
    // Whether it may be given work at all, and its start (0: long ago).
    void on_worker_changed(Nanos now, WarmingWorker&, bool serving, Nanos started);
    void on_granted(Nanos now, WarmingWorker&, std::uint64_t number, int turns);
    // An offer is sent to it.
    void use_token(Nanos now, WarmingWorker&);
    // One for which a turn was spent has never left: the node is told what is held, and takes that turn back.
    void on_attempt_not_sent(WarmingWorker&);
    // A container was taken to be placed.
    void on_task_submitted(Nanos now) { submissions_.add(now, 1); }
    // After the planner's round: containers that wait without a launch out. Asks, and gives back.
    void request_for(Nanos now, std::size_t containers);

    const TokenClientStatistics& statistics() const { return statistics_; }

private:
    friend class WarmingWorker;
    bool may_request(Nanos now, const WarmingWorker& c) const {
        return c.issues_tokens() && c.is_serving_ && now < c.slow_start_until_;
    }
    void update_request(Nanos now, WarmingWorker&, int held, int more);
    void update_candidate(Nanos now, WarmingWorker&);

    TokenClientHandler& handler_;
    Nanos slow_start_time_;
    std::vector<WarmingWorker*>
        candidates_;                  // those that may be asked: a fleet has few, and each round walks them
    std::size_t next_candidate_ = 0;  // where the next asking begins
    SlidingCounter<10> submissions_;  // over a second
    TokenClientStatistics statistics_;
};

}  // namespace whinpost::slow_start
