#include "simulation/baseline_planner.h"

#include <algorithm>

namespace whinpost::simulation {

namespace {
constexpr Nanos kAgain =
    40 * kMillisecond;  // between two attempts to pick a worker; same as the planner's rounds
}

BaselinePlanner::BaselinePlanner(planner::PlannerHandler& b, BaselinePolicy p, std::uint64_t seed,
                                 std::vector<QueueGroup> groups, RetrySettings launches, Nanos cold_for)
    : bindings_(b), policy_(p), chance_(static_cast<std::ranlux24_base::result_type>(seed ^ (seed >> 24))),
      groups_(std::move(groups)), launches_(launches), cold_for_(cold_for) {}

void BaselinePlanner::on_endpoint(Nanos, planner::WorkerNumber n, std::uint64_t, const EndpointState& l) {
    if (nodes_.size() <= n) {
        Known unknown;
        unknown.listed.phase = EndpointPhase::gone;
        nodes_.resize(n + 1, unknown);
    }
    nodes_[n].listed = l;
}

void BaselinePlanner::set_admission_tokens(Nanos, planner::WorkerNumber n, int held) {
    if (n < nodes_.size()) nodes_[n].turns = held;
}

void BaselinePlanner::start(Nanos) { bindings_.watch_endpoints(); }

void BaselinePlanner::submit(Nanos now, planner::TaskNumber n, std::uint64_t, const ResourceRequest& a) {
    waiting_[n] = {a, now + a.time_left, now, 0, false, false};
}

void BaselinePlanner::adopt(Nanos, planner::TaskNumber n, std::uint64_t, const ResourceRequest& a,
                            planner::WorkerNumber on) {
    at_[n] = {on, a};
    nodes_.at(on).own_cores += a.cores;
    nodes_[on].own_memory += a.memory;
}

void BaselinePlanner::on_accepted(Nanos, planner::TaskNumber n, int) { waiting_.erase(n); }
void BaselinePlanner::cancel(Nanos, planner::TaskNumber n) { waiting_.erase(n); }

void BaselinePlanner::leave(planner::TaskNumber n) {
    const auto it = at_.find(n);
    if (it == at_.end()) return;
    nodes_[it->second.first].own_cores -= it->second.second.cores;
    nodes_[it->second.first].own_memory -= it->second.second.memory;
    at_.erase(it);
}

void BaselinePlanner::on_attempt_ended(Nanos now, planner::TaskNumber n, int, AttemptOutcome how,
                                       OutcomeReason, bool closed, const LoadReport&) {
    leave(n);
    const auto it = waiting_.find(n);
    if (it == waiting_.end()) return;
    Waits& w = it->second;
    w.out = false;
    w.may_have_run =
        w.may_have_run || !(how == AttemptOutcome::rejected || how == AttemptOutcome::connect_failed ||
                            how == AttemptOutcome::not_sent);
    w.not_before = now;
    if (closed) waiting_.erase(it);
}

BaselinePlanner::Known* BaselinePlanner::pick(Nanos now, const ResourceRequest& a,
                                              planner::WorkerNumber& chosen) {
    std::vector<planner::WorkerNumber> can;
    const auto cold = [&](const EndpointState& l) {
        return l.started_at > 0 && now - l.started_at < cold_for_;
    };
    const int kind = groups_[static_cast<std::size_t>(a.queue_group)].worker_kind;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const EndpointState& l = nodes_[i].listed;
        if (l.phase == EndpointPhase::serving && (nodes_[i].turns != 0 || !cold(l)) &&
            (kind < 0 || kind == l.kind))
            can.push_back(static_cast<planner::WorkerNumber>(i));
    }
    if (can.empty()) return nullptr;
    const auto free = [this](planner::WorkerNumber n) {
        return nodes_[n].listed.free_cores - nodes_[n].own_cores;
    };
    const auto any = [&] { return can[static_cast<std::size_t>(chance_()) % can.size()]; };
    if (policy_ == BaselinePolicy::random) chosen = any();
    else if (policy_ == BaselinePolicy::two_choices) {
        const planner::WorkerNumber x = any(), y = any();
        chosen = free(y) > free(x) ? y : x;
    } else {
        chosen = *std::max_element(can.begin(), can.end(), [&](auto x, auto y) { return free(x) < free(y); });
    }
    return &nodes_[chosen];
}

void BaselinePlanner::run_round(Nanos now) {
    Nanos next = 0;
    std::vector<planner::TaskNumber> given_up;
    for (auto& [n, w] : waiting_) {
        if (w.out) continue;
        if (now >= w.not_before) {
            const QueueGroup& g = groups_[static_cast<std::size_t>(w.asked.queue_group)];
            const bool again = !w.may_have_run || g.effect == Effect::idempotent;
            if (w.launches >= launches_.max_attempts || !again) {
                given_up.push_back(n);
                continue;
            }
            planner::WorkerNumber to = 0;
            if (Known* k = pick(now, w.asked, to)) {
                ++w.launches;
                w.out = true;
                k->own_cores += w.asked.cores;
                k->own_memory += w.asked.memory;
                at_[n] = {to, w.asked};
                bindings_.place(n, to, w.until - now);
                continue;
            }
            w.not_before = now + kAgain;
        }
        next = next ? std::min(next, w.not_before) : w.not_before;
    }
    for (const auto n : given_up) {
        const Waits& w = waiting_.at(n);
        const QueueGroup& g = groups_[static_cast<std::size_t>(w.asked.queue_group)];
        const bool harmless = !w.may_have_run || g.effect == Effect::idempotent ||
                              (g.effect == Effect::keyed && g.deduplicated_by == FailureDomain::all);
        if (harmless) bindings_.reject(n, 0);
        else bindings_.fail(n);
        waiting_.erase(n);
    }
    if (next) bindings_.wake_at(next);
}

}  // namespace whinpost::simulation
