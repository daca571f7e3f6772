// The placer's side of admission tokens: from which workers in slow start it requests tokens, how many, and
// when it returns unused ones.
//
// Placers exchange no messages. If a worker issues tokens, its capacity goes to the placers that have tasks
// to place, instead of being divided among all placers. For workers that issue none, this module does
// nothing. It chooses no worker for a task. No I/O and no clock.
#pragma once
#include <cstdint>
#include <vector>

#include "whinpost/scheduler.h"
#include "whinpost/sliding_counter.h"

namespace whinpost::slow_start {

class TokenClient;

// The token state of one worker.
class WarmingWorker {
public:
    explicit WarmingWorker(TokenClient&);
    ~WarmingWorker();
    WarmingWorker(const WarmingWorker&) = delete;
    WarmingWorker& operator=(const WarmingWorker&) = delete;
    void* tag = nullptr;  // for use by the caller
    bool issues_tokens() const { return is_connected_ && issues_tokens_; }
    // How many attempts may be sent to the worker now while it is in slow start; -1: it issues no tokens, and
    // its capacity is divided among all placers. 0 before its greeting, since it is not known yet whether it
    // issues tokens: attempts that waited for its connection would exceed the number that it granted tokens
    // for.
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
    // Sends RequestTokens: how many tokens are held and how many more are wanted.
    virtual void send_request(WarmingWorker&, std::uint64_t sequence, int held, int wanted) = 0;
    // held() or allowed_attempts() has changed; the planner and the ledger must be updated.
    virtual void on_tokens_changed(Nanos now, WarmingWorker&) = 0;
};

// Counters for operators and tests.
struct TokenClientStatistics {
    std::uint64_t requests = 0, granted = 0, used = 0, returned = 0, stale_grants = 0;
};

class TokenClient {
public:
    // `slow_start_time`: how long a worker is in slow start after its start.
    TokenClient(TokenClientHandler&, Nanos slow_start_time);

    void on_greeting(Nanos now, WarmingWorker&, bool issues_tokens);
    void on_disconnected(Nanos now, WarmingWorker&);
    // `is_serving`: the worker may get tasks. `started_at`: 0 if long ago.
    void on_worker_changed(Nanos now, WarmingWorker&, bool is_serving, Nanos started_at);
    void on_granted(Nanos now, WarmingWorker&, std::uint64_t sequence, int tokens);
    // Records that an attempt is sent to the worker.
    void use_token(Nanos now, WarmingWorker&);
    // An attempt for which a token was used was not sent. Sends a new request, from whose number of held
    // tokens the worker learns that the token is free again.
    void on_attempt_not_sent(WarmingWorker&);
    void on_task_submitted(Nanos now) { submissions_.add(now, 1); }
    // Must be called after each round of the planner, with the number of tasks that wait without an attempt
    // in flight. Requests tokens for them and returns tokens that are not needed.
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
    // Workers for which may_request() holds. Each round visits all of them; few are in slow start at a time.
    std::vector<WarmingWorker*> candidates_;
    std::size_t next_candidate_ = 0;  // index of the worker that gets the next round's first request
    SlidingCounter<10> submissions_;  // tasks submitted within the last second
    TokenClientStatistics statistics_;
};

}  // namespace whinpost::slow_start
