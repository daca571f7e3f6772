// A queue of calls that must not run while the planner runs a round.
//
// A planner's decision may have consequences that the planner itself must hear of (an attempt that could not
// be sent, a connection that broke while it was written to). The planner must not be called from within its
// own calls, so a server queues such a call here and runs the queue before and after each round.
#pragma once
#include <deque>
#include <functional>
#include <utility>

namespace whinpost::planner {

class DeferredCalls {
public:
    void defer(std::function<void()> call) { calls_.push_back(std::move(call)); }

    // Runs the calls in the order in which they were deferred, also those that are deferred meanwhile.
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
