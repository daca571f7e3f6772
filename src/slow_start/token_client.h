// A placer's side of admission tokens: of which workers in slow start it requests tokens, how many, and when
// it returns those that it does not use.
//
// Placers exchange no messages and know nothing of each other. Where a worker issues tokens, its capacity
// goes to those placers that have something to place, instead of being divided among all that exist. Where it
// issues none, nothing here acts. This package chooses no worker for a task. No I/O and no clock.
#pragma once
#include <cstdint>
#include <vector>

#include "whinpost/scheduler.h"
#include "whinpost/sliding_counter.h"

namespace whinpost::slow_start {

class TokenClient;

// One worker as far as its tokens go.
class WarmingWorker {
public:
    explicit WarmingWorker(TokenClient&);
    ~WarmingWorker();
    WarmingWorker(const WarmingWorker&) = delete;
    WarmingWorker& operator=(const WarmingWorker&) = delete;
    void* tag = nullptr;  // the caller's own
    bool issues_tokens() const { return is_connected_ && issues_tokens_; }
    // How many attempts may be sent to it now while it is in slow start; -1: as its capacity is divided among
    // all placers. 0 before it has greeted, since it is not known yet whether it issues tokens: attempts that
    // waited for its connection would come on top of those that it granted tokens for.
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
    // Tells the worker how many tokens are held and how many more are wanted.
    virtual void send_request(WarmingWorker&, std::uint64_t sequence, int held, int wanted) = 0;
    // held() has changed: for the planner and the ledger.
    virtual void on_tokens_changed(Nanos now, WarmingWorker&) = 0;
};

// Counters for operators and tests.
struct TokenClientStatistics {
    std::uint64_t requests = 0, granted = 0, used = 0, returned = 0, stray_grants = 0;
};

class TokenClient {
public:
    // `slow_start_time`: how long after its start a worker is treated as warming up.
    TokenClient(TokenClientHandler&, Nanos slow_start_time);

    void on_greeting(Nanos now, WarmingWorker&, bool issues_tokens);
    void on_disconnected(Nanos now, WarmingWorker&);
    // Whether it may be given tasks at all, and its start (0: long ago).
    void on_worker_changed(Nanos now, WarmingWorker&, bool is_serving, Nanos started_at);
    void on_granted(Nanos now, WarmingWorker&, std::uint64_t sequence, int tokens);
    // An attempt is sent to it.
    void use_token(Nanos now, WarmingWorker&);
    // An attempt for which a token was used has never left: the worker is told what is held, and takes that
    // token back.
    void on_attempt_not_sent(WarmingWorker&);
    void on_task_submitted(Nanos now) { submissions_.add(now, 1); }
    // After each round of the planner, with the tasks that wait without an attempt in flight: requests tokens
    // for them, and returns tokens that are not needed.
    void request_for(Nanos now, std::size_t waiting_tasks);

    const TokenClientStatistics& statistics() const { return statistics_; }

private:
    friend class WarmingWorker;
    bool may_request(Nanos now, const WarmingWorker& worker) const {
        return worker.issues_tokens() && worker.is_serving_ && now < worker.slow_start_until_;
    }
    void update_request(Nanos now, WarmingWorker&, int held, int wanted);
    void return_unneeded(Nanos now, WarmingWorker&, std::size_t needed);
    void request_more(Nanos now, std::size_t needed);
    void update_candidate(Nanos now, WarmingWorker&);

    TokenClientHandler& handler_;
    Nanos slow_start_time_;
    // Workers of which tokens may be requested. Few are in slow start at one time, and each round walks them.
    std::vector<WarmingWorker*> candidates_;
    std::size_t next_candidate_ = 0;  // where the next request begins
    SlidingCounter<10> submissions_;  // within a second
    TokenClientStatistics statistics_;
};

}  // namespace whinpost::slow_start
