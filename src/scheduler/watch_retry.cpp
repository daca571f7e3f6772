#include "scheduler/watch_retry.h"

#include <algorithm>

#include "scheduler/numeric.h"

namespace whinpost::scheduler {
namespace {

constexpr Nanos kFirstBackoff = 500 * kMillisecond;  // about the usual timeout of a request

}  // namespace

Nanos WatchRetry::on_failure(Nanos now, unsigned draw) {
    const Nanos longest = std::max(kFirstBackoff, poll_interval_ / 5);
    backoff_ = backoff_ ? std::min(longest, 2 * backoff_) : kFirstBackoff;
    retry_at_ = now + backoff_ / 2 + from_seconds(to_seconds(backoff_) * 0.5 * draw / 1000.0);
    return retry_at_;
}

bool WatchRetry::take_due(Nanos now) {
    if (!retry_at_ || now < retry_at_) return false;
    retry_at_ = 0;
    return true;
}

}  // namespace whinpost::scheduler
