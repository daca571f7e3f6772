// When the planner's rounds run: paced so that what arrives in between is decided together, and so that a
// planner that finds no capacity leaves most of the time to clients and workers.
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
    // After the calls that the round deferred.
    virtual void after_round(Nanos now) = 0;
};

class PlannerRounds {
public:
    PlannerRounds(net::EventLoop&, RoundHandler&);

    // Runs a round as soon as the pace allows.
    void schedule_round() { schedule_round_at(loop_.now()); }
    // The planner asks for a round at that time, or earlier.
    void wake_at(Nanos at);
    // Runs the call before the next round, or after the one that is under way: never within the planner.
    void defer(std::function<void()> call);
    // An attempt was started in this round, which is what a round may take its time for.
    void on_attempt_started() { ++attempts_started_; }

private:
    void schedule_round_at(Nanos at);
    void run();

    net::EventLoop& loop_;
    RoundHandler& handler_;
    std::unique_ptr<net::Timer> timer_;
    planner::DeferredCalls deferred_calls_;
    Nanos next_round_at_ = 0;  // 0: none is scheduled
    Nanos wake_at_ = 0;        // 0: the planner asks for none
    Nanos last_round_at_ = 0;
    Nanos pace_ = 0;                      // from one round to the next, at least
    std::uint64_t attempts_started_ = 0;  // in this round
};

}  // namespace whinpost::server
