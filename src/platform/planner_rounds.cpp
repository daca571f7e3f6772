#include "platform/planner_rounds.h"

#include <algorithm>
#include <utility>

namespace whinpost::platform {
namespace {

constexpr Nanos kRoundInterval = kMillisecond;

}  // namespace

PlannerRounds::PlannerRounds(net::EventLoop& loop, RoundHandler& handler)
    : loop_(loop), handler_(handler), round_timer_(loop.make_timer([this] { run(); })),
      wake_timer_(loop.make_timer([this] { run(); })) {}

void PlannerRounds::schedule() {
    if (std::exchange(scheduled_, true)) return;
    round_timer_->arm(std::max(loop_.now(), last_round_ + kRoundInterval));
}

void PlannerRounds::wake_at(Nanos at) { wake_timer_->arm(at); }

void PlannerRounds::run() {
    scheduled_ = false;
    last_round_ = loop_.now();
    in_round_ = true;
    planner_->run_round(last_round_);
    in_round_ = false;
    deferred_calls_.run_all();
    handler_.on_round_done();
}

}  // namespace whinpost::platform
