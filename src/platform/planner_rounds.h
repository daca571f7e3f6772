// When the planner runs, and what has to wait until it has run.
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
    virtual void on_round_done() = 0;  // after the deferred calls
};

// Runs the planner's rounds, a millisecond apart at least. The planner may not be told anything while it is
// in a round; what its decisions bring about is deferred until the round is over.
class PlannerRounds {
public:
    PlannerRounds(net::EventLoop&, RoundHandler&);

    // To be called before anything else; the planner must outlive the server.
    void set_planner(planner::Planner& planner) { planner_ = &planner; }
    planner::Planner& planner() const { return *planner_; }

    void schedule();         // a round soon; calls before it are one round
    void wake_at(Nanos at);  // another one at that time; replaces the last call
    bool in_round() const { return in_round_; }
    // Called once, in order, after the round that is running, or after the next one.
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
