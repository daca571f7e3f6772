#include "server/planner_rounds.h"

#include <algorithm>

namespace whinpost::server {

namespace {
// The minimum time between rounds. Events that arrive in between are handled in one round, which shares its
// cost under high load; under low load nothing waits longer than this.
constexpr Nanos kRoundPace = 1 * kMillisecond;

// A round over a long queue without capacity takes long and places nothing. The next one then starts only
// after kIdlePaceFactor times its duration, so that three quarters of the time remain for clients and
// workers, but within kMaxPace, which is below the scheduler's gap between two attempts of one task. A round
// counts as idle if it takes over kTimePerAttempt, ten times the usual 10 us, for each attempt started.
// Others are not delayed: delaying them raised the 99th percentile of the time to place at 10,000 tasks a
// second from 2 to 57 ms.
constexpr Nanos kIdlePaceFactor = 4, kMaxPace = 40 * kMillisecond, kTimePerAttempt = 100 * kMicrosecond;

// The maximum time between rounds. Only the planner's earliest wake-up is stored; later ones are covered by
// this.
constexpr Nanos kMaxRoundInterval = 250 * kMillisecond;
}  // namespace

PlannerRounds::PlannerRounds(net::EventLoop& loop, RoundHandler& handler)
    : loop_(loop), handler_(handler), timer_(loop.make_timer([this] { run(); })) {}

void PlannerRounds::schedule_round_at(Nanos at) {
    at = std::max({at, loop_.now(), last_round_at_ + pace_});
    if (next_round_at_ && next_round_at_ <= at) return;
    next_round_at_ = at;
    timer_->arm(at);
}

void PlannerRounds::wake_at(Nanos at) {
    if (!wake_at_ || at < wake_at_) wake_at_ = at;
    schedule_round_at(at);
}

void PlannerRounds::defer(std::function<void()> call) {
    deferred_calls_.defer(std::move(call));
    schedule_round();
}

void PlannerRounds::run() {
    next_round_at_ = 0;
    const Nanos now = loop_.now();
    last_round_at_ = now;
    if (wake_at_ <= now) wake_at_ = 0;
    deferred_calls_.run_all();
    handler_.run_round(now);
    deferred_calls_.run_all();
    handler_.after_round(now);
    const Nanos duration = loop_.now() - now;
    const bool idle = duration > static_cast<Nanos>(attempts_started_) * kTimePerAttempt;
    pace_ = idle ? std::clamp(kIdlePaceFactor * duration, kRoundPace, kMaxPace) : kRoundPace;
    attempts_started_ = 0;
    const Nanos latest = now + kMaxRoundInterval;
    schedule_round_at(wake_at_ ? std::min(wake_at_, latest) : latest);
}

}  // namespace whinpost::server
