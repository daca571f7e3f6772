#include "server/planner_rounds.h"

#include <algorithm>

namespace whinpost::server {

namespace {
// Rounds are at least this far apart. What arrives in between is decided together: at the pace of a flood the
// cost of a round is shared, at that of a trickle nothing waits longer than this.
constexpr Nanos kRoundPace = 1 * kMillisecond;

// Where a long queue finds no capacity, a round takes long for nothing. The next one then starts only after
// so many times its duration, so that clients and workers have three quarters of the time; within the
// scheduler's own gap between two attempts of one task. A round that starts attempts is not delayed: it would
// only find more to do (measured: the 99th percentile of the time to place at 10,000 tasks a second went from
// 2 to 57 ms). Starting an attempt takes some 10 us: a round that takes ten times that for each is idle.
constexpr Nanos kIdlePaceFactor = 4, kMaxPace = 40 * kMillisecond, kTimePerAttempt = 100 * kMicrosecond;

// Rounds are at most this far apart: a wake-up that the planner asked for behind an earlier one is met by it.
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
