// Schedules the planner's rounds, and runs deferred calls after them.
#pragma once
#include <functional>
#include <memory>

#include "net/stream.h"
#include "planner/deferred_calls.h"
#include "planner/planner.h"

namespace whinpost::platform {

class RoundHandler {
public:
    virtual ~RoundHandler() = default;
    virtual void on_round_done() = 0;  // called after the deferred calls of the round
};

// Runs the planner's rounds at least one millisecond apart. The planner must not be called during a round, so
// events that its decisions cause are deferred until the round is over.
class PlannerRounds {
public:
    PlannerRounds(net::EventLoop&, RoundHandler&);

    // To be called first; the planner must outlive this object.
    void set_planner(planner::Planner& planner) { planner_ = &planner; }
    planner::Planner& planner() const { return *planner_; }

    void schedule();         // requests a round; calls before it runs share it
    void wake_at(Nanos at);  // requests a round at `at`; replaces the previous call
    bool in_round() const { return in_round_; }
    // Runs `call` once after the current round, or after the next one if none is running. Calls run in the
    // order in which they were deferred.
    void defer(std::function<void()> call) { deferred_calls_.defer(std::move(call)); }

private:
    void run();

    net::EventLoop& loop_;
    RoundHandler& handler_;
    planner::Planner* planner_ = nullptr;
    planner::DeferredCalls deferred_calls_;
    std::unique_ptr<net::Timer> round_timer_, wake_timer_;
    bool scheduled_ = false, in_round_ = false;
    Nanos last_round_ = 0;
};

}  // namespace whinpost::platform
