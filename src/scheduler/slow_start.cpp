#include "scheduler/slow_start.h"

#include <algorithm>

namespace whinpost::scheduler {
namespace {

// As long as the tolerance that the placement rules have in their time limits.
constexpr Nanos kTurnGap = 50 * kMillisecond;
constexpr std::uint64_t kHashRange = 1'000'003;

}  // namespace

// Nothing is distributed at the start of a turn, for the time that attempts may travel and clocks may differ.
// Otherwise attempts sent at the end of one turn, during the next and at the start of the third could arrive
// within one window.
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
    // The worker's own grant takes precedence.
    if (state.admission_tokens >= 0) return state.admission_tokens > 0;
    // A scheduler that restarted in this turn does not know what it sent before, which may be its whole
    // share.
    if (started_at_ && now / settings_.window == started_at_ / settings_.window) return false;
    return state.recent_attempts.sum(now, 1) < static_cast<double>(tokens(settings_, worker.name_hash, now));
}

void SlowStart::on_attempt_sent(Nanos now, Worker& worker) const {
    if (!is_warming_up(now, worker)) return;
    worker.slow_start.recent_attempts.add(now, 1);
    if (worker.slow_start.admission_tokens > 0) --worker.slow_start.admission_tokens;
}

}  // namespace whinpost::scheduler
