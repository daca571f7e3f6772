#include "scheduler/slow_start.h"

#include <algorithm>

namespace whinpost::scheduler {
namespace {

constexpr Nanos kTurnGap = 50 * kMillisecond;  // the slack that the time limits of the five rules have
constexpr std::uint64_t kHashRange = 1'000'003;

}  // namespace

// Nothing is dealt out at the start of a turn, for as long as an attempt may be on its way and clocks may
// differ: what leaves at the end of one turn, in the next, and at the start of the third could otherwise
// arrive within one window.
std::int64_t SlowStart::tokens(const SlowStartSettings& settings, std::uint64_t name_hash, Nanos now) {
    if (now % settings.window < std::min(kTurnGap, settings.window / 8)) return 0;
    const std::int64_t schedulers = settings.placers;
    const std::int64_t half = static_cast<std::int64_t>(settings.guaranteed_attempts / 2);
    const std::int64_t turn = now / settings.window + static_cast<std::int64_t>(name_hash % kHashRange);
    const std::int64_t position = (settings.placer_index + turn) % schedulers;
    return (position + 1) * half / schedulers - position * half / schedulers;
}

bool SlowStart::allows(Nanos now, Worker& worker) const {
    WorkerSlowStart& state = worker.slow_start;
    if (state.admission_tokens >= 0) return state.admission_tokens > 0;  // the worker knows best
    // A scheduler that restarted in this turn has forgotten what it sent before, and may have sent its share.
    if (started_at_ && now / settings_.window == started_at_ / settings_.window) return false;
    return state.recent_attempts.sum(now, 1) < static_cast<double>(tokens(settings_, worker.name_hash, now));
}

void SlowStart::on_attempt_sent(Nanos now, Worker& worker) const {
    if (!is_warming_up(now, worker)) return;
    worker.slow_start.recent_attempts.add(now, 1);
    if (worker.slow_start.admission_tokens > 0) --worker.slow_start.admission_tokens;
}

}  // namespace whinpost::scheduler
