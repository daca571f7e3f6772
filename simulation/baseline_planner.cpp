#include "simulation/baseline_planner.h"

#include <algorithm>

namespace whinpost::simulation {

namespace {
// Time between two attempts to pick a worker. The planner's rounds use the same.
constexpr Nanos kRetryInterval = 40 * kMillisecond;
}  // namespace

BaselinePlanner::BaselinePlanner(planner::PlannerHandler& handler, BaselinePolicy policy, std::uint64_t seed,
                                 std::vector<QueueGroup> groups, RetrySettings retry,
                                 Nanos slow_start_duration)
    : handler_(handler), policy_(policy),
      random_(static_cast<std::ranlux24_base::result_type>(seed ^ (seed >> 24))), groups_(std::move(groups)),
      retry_(retry), slow_start_duration_(slow_start_duration) {}

void BaselinePlanner::on_endpoint(Nanos, planner::WorkerNumber number, std::uint64_t,
                                  const EndpointState& endpoint) {
    if (workers_.size() <= number) {
        WorkerState unknown;
        unknown.endpoint.phase = EndpointPhase::gone;
        workers_.resize(number + 1, unknown);
    }
    workers_[number].endpoint = endpoint;
}

void BaselinePlanner::set_admission_tokens(Nanos, planner::WorkerNumber number, int held) {
    if (number < workers_.size()) workers_[number].admission_tokens = held;
}

void BaselinePlanner::start(Nanos) { handler_.watch_endpoints(); }

void BaselinePlanner::submit(Nanos now, planner::TaskNumber number, std::uint64_t,
                             const ResourceRequest& request) {
    pending_[number] = {request, now + request.time_left, now, 0, false, false};
}

void BaselinePlanner::adopt(Nanos, planner::TaskNumber number, std::uint64_t, const ResourceRequest& request,
                            planner::WorkerNumber worker) {
    placements_[number] = {worker, request};
    workers_.at(worker).own_cores += request.cores;
    workers_[worker].own_memory += request.memory;
}

void BaselinePlanner::on_accepted(Nanos, planner::TaskNumber number, int) { pending_.erase(number); }
void BaselinePlanner::cancel(Nanos, planner::TaskNumber number) { pending_.erase(number); }

void BaselinePlanner::release_resources(planner::TaskNumber number) {
    const auto it = placements_.find(number);
    if (it == placements_.end()) return;
    workers_[it->second.first].own_cores -= it->second.second.cores;
    workers_[it->second.first].own_memory -= it->second.second.memory;
    placements_.erase(it);
}

void BaselinePlanner::on_attempt_ended(Nanos now, planner::TaskNumber number, int, AttemptOutcome outcome,
                                       OutcomeReason, bool closed, const LoadReport&) {
    release_resources(number);
    const auto it = pending_.find(number);
    if (it == pending_.end()) return;
    PendingTask& task = it->second;
    task.in_flight = false;
    task.may_have_run = task.may_have_run ||
                        !(outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::connect_failed ||
                          outcome == AttemptOutcome::not_sent);
    task.not_before = now;
    if (closed) pending_.erase(it);
}

BaselinePlanner::WorkerState* BaselinePlanner::pick_worker(Nanos now, const ResourceRequest& request,
                                                           planner::WorkerNumber& chosen) {
    std::vector<planner::WorkerNumber> candidates;
    const auto in_slow_start = [&](const EndpointState& endpoint) {
        return endpoint.started_at > 0 && now - endpoint.started_at < slow_start_duration_;
    };
    const int kind = groups_[static_cast<std::size_t>(request.queue_group)].worker_kind;
    for (std::size_t i = 0; i < workers_.size(); ++i) {
        const EndpointState& endpoint = workers_[i].endpoint;
        if (endpoint.phase == EndpointPhase::serving &&
            (workers_[i].admission_tokens != 0 || !in_slow_start(endpoint)) &&
            (kind < 0 || kind == endpoint.kind))
            candidates.push_back(static_cast<planner::WorkerNumber>(i));
    }
    if (candidates.empty()) return nullptr;
    const auto free_cores = [this](planner::WorkerNumber number) {
        return workers_[number].endpoint.free_cores - workers_[number].own_cores;
    };
    const auto any_candidate = [&] {
        return candidates[static_cast<std::size_t>(random_()) % candidates.size()];
    };
    if (policy_ == BaselinePolicy::random) chosen = any_candidate();
    else if (policy_ == BaselinePolicy::two_choices) {
        const planner::WorkerNumber x = any_candidate(), y = any_candidate();
        chosen = free_cores(y) > free_cores(x) ? y : x;
    } else {
        chosen = *std::max_element(candidates.begin(), candidates.end(),
                                   [&](auto x, auto y) { return free_cores(x) < free_cores(y); });
    }
    return &workers_[chosen];
}

void BaselinePlanner::run_round(Nanos now) {
    Nanos next = 0;
    std::vector<planner::TaskNumber> given_up;
    for (auto& [number, task] : pending_) {
        if (task.in_flight) continue;
        if (now >= task.not_before) {
            const QueueGroup& group = groups_[static_cast<std::size_t>(task.request.queue_group)];
            const bool may_retry = !task.may_have_run || group.effect == Effect::idempotent;
            if (task.attempts >= retry_.max_attempts || !may_retry) {
                given_up.push_back(number);
                continue;
            }
            planner::WorkerNumber chosen = 0;
            if (WorkerState* worker = pick_worker(now, task.request, chosen)) {
                ++task.attempts;
                task.in_flight = true;
                worker->own_cores += task.request.cores;
                worker->own_memory += task.request.memory;
                placements_[number] = {chosen, task.request};
                handler_.place(number, chosen, task.deadline - now);
                continue;
            }
            task.not_before = now + kRetryInterval;
        }
        next = next ? std::min(next, task.not_before) : task.not_before;
    }
    for (const auto number : given_up) {
        const PendingTask& task = pending_.at(number);
        const QueueGroup& group = groups_[static_cast<std::size_t>(task.request.queue_group)];
        const bool safe_to_reject =
            !task.may_have_run || group.effect == Effect::idempotent ||
            (group.effect == Effect::keyed && group.deduplicated_by == FailureDomain::all);
        if (safe_to_reject) handler_.reject(number, 0);
        else handler_.fail(number);
        pending_.erase(number);
    }
    if (next) handler_.wake_at(next);
}

}  // namespace whinpost::simulation
