#include "emulator/emulated_fleet.h"

#include <algorithm>
#include <cmath>

namespace whinpost::emulator {

namespace {

std::string deduplication_key(const QueueGroup& group, const std::string& task, int zone, int cell) {
    switch (group.deduplicated_by) {
        case FailureDomain::zone:
            return "zone" + std::to_string(zone) + "/" + task;
        case FailureDomain::cell:
            return "cell" + std::to_string(cell) + "/" + task;
        case FailureDomain::worker:
            return "/" + task;
        case FailureDomain::none:
        case FailureDomain::all:
            break;
    }
    return "all/" + task;
}

}  // namespace

EmulatedFleet::EmulatedFleet(net::EventLoop& loop, EventLog& events, std::vector<NamedQueueGroup> groups,
                             std::uint64_t seed)
    : loop_(loop), events_(events), groups_(std::move(groups)), use_factors_(groups_.size(), 1.0),
      random_(static_cast<std::ranlux24_base::result_type>(seed)), wheel_(loop.now()),
      timer_(loop.make_timer([this] { run_timers(); })) {}

void EmulatedFleet::schedule(timer_wheel::Timer& timer, Nanos at) {
    wheel_.arm(timer, at);
    if (!timer_at_ || at < timer_at_) timer_->arm(timer_at_ = at);
}

void EmulatedFleet::run_timers() {
    timer_at_ = 0;
    wheel_.run_timers(loop_.now());
    const Nanos next = wheel_.next_deadline();
    if (next && (!timer_at_ || next < timer_at_)) timer_->arm(timer_at_ = std::max(next, loop_.now() + 1));
}

void EmulatedFleet::set_use_factor(int group, double factor) {
    for (std::size_t i = 0; i < use_factors_.size(); ++i)
        if (group < 0 || static_cast<int>(i) == group) use_factors_[i] = factor;
}

double EmulatedFleet::draw_exponential() {
    return -std::log((static_cast<double>(random_() % 1'048'576) + 1) / 1'048'577);
}

bool EmulatedFleet::is_repeat(Nanos now, int group_number, const std::string& task, int zone,
                              int cell) const {
    const QueueGroup& settings = group(group_number);
    if (settings.effect != Effect::keyed) return false;
    const auto it = accepted_keys_.find(deduplication_key(settings, task, zone, cell));
    return it != accepted_keys_.end() && now - it->second < settings.deduplication_window;
}

void EmulatedFleet::mark_accepted(Nanos now, int group_number, const std::string& task, int zone, int cell) {
    const QueueGroup& settings = group(group_number);
    if (settings.effect == Effect::keyed) accepted_keys_[deduplication_key(settings, task, zone, cell)] = now;
}

}  // namespace whinpost::emulator
