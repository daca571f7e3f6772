// Backoff between watches of the endpoint list that fail or break.
#pragma once
#include "whinpost/nanos.h"

namespace whinpost::scheduler {

// The pause doubles with each failure: no storm on a discovery service that is overrun, and well inside the
// time after which a client that does not watch counts as informed.
class WatchRetry {
public:
    explicit WatchRetry(Nanos poll_interval) : poll_interval_(poll_interval) {}

    // Gives back when to watch again. `draw`: a random number from 0 to 999, which spreads the retries.
    Nanos on_failure(Nanos now, unsigned draw);
    void on_success() { backoff_ = retry_at_ = 0; }
    // True once when the retry is due.
    [[nodiscard]] bool take_due(Nanos now);

private:
    const Nanos poll_interval_;
    Nanos retry_at_ = 0, backoff_ = 0;
};

}  // namespace whinpost::scheduler
