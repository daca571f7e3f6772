// A queue of calls that must not run while the planner runs a round.
//
// Carrying out a planner's decision can cause an event that must be reported to the planner, such as an
// attempt that could not be sent or a connection that broke during a write. The planner must not be called
// from within its own calls, so a server queues such a call here and runs the queue between the rounds.
#pragma once
#include <deque>
#include <functional>
#include <utility>

namespace whinpost::planner {

class DeferredCalls {
public:
    void defer(std::function<void()> call) { calls_.push_back(std::move(call)); }

    // Runs all queued calls in the order in which they were deferred, including those deferred meanwhile.
    void run_all() {
        while (!calls_.empty()) {
            const std::function<void()> call = std::move(calls_.front());
            calls_.pop_front();
            call();
        }
    }

    bool empty() const { return calls_.empty(); }

private:
    std::deque<std::function<void()>> calls_;
};

}  // namespace whinpost::planner
