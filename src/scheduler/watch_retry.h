// Backoff between failed watches of the endpoint list.
#pragma once
#include "whinpost/nanos.h"

namespace whinpost::scheduler {

// The delay doubles with each failure, so that an overloaded discovery service is not flooded. It stays well
// within the time after which a client that does not watch is considered informed of a change.
class WatchRetry {
public:
    explicit WatchRetry(Nanos poll_interval) : poll_interval_(poll_interval) {}

    // Returns the time of the next watch. `draw`: a random number from 0 to 999, which spreads the retries.
    Nanos on_failure(Nanos now, unsigned draw);
    void on_success() { backoff_ = retry_at_ = 0; }
    // True once, when the retry is due.
    [[nodiscard]] bool take_due(Nanos now);

private:
    const Nanos poll_interval_;
    Nanos retry_at_ = 0, backoff_ = 0;
};

}  // namespace whinpost::scheduler
