#include "net/unix_clock.h"

#include <cstdlib>
#include <iterator>
#include <utility>

namespace whinpost::net {
namespace {

// A smaller change of the offset is clock drift, or the time between the two clock reads.
constexpr Nanos kMinStep = 20 * kMillisecond;
constexpr std::size_t kMaxPeriods = 64;

}  // namespace

void UnixClock::update(Nanos steady_now, Nanos offset) {
    if (std::abs(offset - periods_.back().offset) < kMinStep) return;
    periods_.push_back({steady_now, offset});
    if (periods_.size() > kMaxPeriods) periods_.pop_front();
}

Nanos UnixClock::to_steady(Nanos unix_time, Nanos steady_now) const {
    Nanos period_end = steady_now, limit = 0;
    bool found_limit = false;
    for (auto period = periods_.rbegin(); period != periods_.rend(); ++period) {
        const Nanos moment = unix_time - period->offset;
        const bool is_first = std::next(period) == periods_.rend();
        const bool has_begun = moment >= period->began_at || is_first;
        if (has_begun && moment <= period_end) return moment;
        if (has_begun && !std::exchange(found_limit, true)) limit = period_end;
        period_end = period->began_at;
    }
    return limit;
}

}  // namespace whinpost::net
