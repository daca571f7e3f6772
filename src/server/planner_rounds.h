// Schedules the planner's rounds. They are paced so that events that arrive close together are handled in one
// round, and so that rounds that find no capacity leave most of the time to the clients' and workers'
// messages.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "net/stream.h"
#include "planner/deferred_calls.h"

namespace whinpost::server {

class RoundHandler {
public:
    virtual ~RoundHandler() = default;
    virtual void run_round(Nanos now) = 0;
    // Called after the calls that the round deferred have run.
    virtual void after_round(Nanos now) = 0;
};

class PlannerRounds {
public:
    PlannerRounds(net::EventLoop&, RoundHandler&);

    // Schedules a round as soon as the pace allows.
    void schedule_round() { schedule_round_at(loop_.now()); }
    // The planner requests a round at `at`; an earlier request keeps its time.
    void wake_at(Nanos at);
    // Runs the call before the next round, or right after the current one, so never during a planner call.
    void defer(std::function<void()> call);
    // Counts an attempt that was started in this round; a round that starts attempts does not delay the next.
    void on_attempt_started() { ++attempts_started_; }

private:
    void schedule_round_at(Nanos at);
    void run();

    net::EventLoop& loop_;
    RoundHandler& handler_;
    std::unique_ptr<net::Timer> timer_;
    planner::DeferredCalls deferred_calls_;
    Nanos next_round_at_ = 0;  // 0: none is scheduled
    Nanos wake_at_ = 0;        // 0: the planner has requested none
    Nanos last_round_at_ = 0;
    Nanos pace_ = 0;                      // the minimum time between the starts of two rounds
    std::uint64_t attempts_started_ = 0;  // in this round
};

}  // namespace whinpost::server
