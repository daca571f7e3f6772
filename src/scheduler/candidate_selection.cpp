#include "scheduler/candidate_selection.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "scheduler/active_set.h"
#include "scheduler/colocation.h"
#include "scheduler/numeric.h"

namespace whinpost::scheduler {
namespace {

// Six in the design; two more, so that enough are left when workers are lost.
constexpr std::size_t kSampleSize = 8;
// Limit on the draws that fill the sample. If it is reached, the fleet is full or nearly so.
constexpr std::uint64_t kMaxDraws = 8 * kSampleSize;
// Probability that the service already runs on the worker that is drawn first, second, and so on.
constexpr double kWarmProbability[kSampleSize] = {0.7, 0.5, 0.3, 0.2, 0.1, 0, 0, 0};
constexpr double kTasksPerWarmWorker = 5;  // typical number of tasks of one service on a worker where it runs
// Used cores are estimated with the mean use of all tasks, which is too low for workers whose tasks use more.
// If workers do not report pressure, the estimate is raised by a quarter before the slowdown limit is
// applied. Not done in SelectionScope::whole_fleet, where the task must be placed if at all possible.
constexpr double kLoadMargin = 1.25;
// Multiple of prices.workers_in_use; a factor of 12 had no further effect. A worker outside the active set
// that gets a task stays in use for the whole life of the task.
constexpr double kActivationPriceFactor = 4;
// Slowdown per share of memory in use above kFullMemory: overfull memory slows tasks by up to 70% within a
// tenth of its size.
constexpr double kMemorySlope = 8;
constexpr double kMinService = 0.05, kMinDegradationRange = 0.01;

double zero_service_utilization(const QueueGroup& group) {
    return group.full_service_utilization + group.degradation_range;
}

// Of the queue groups that may run on a kind of worker, the one whose service falls to zero at the lowest
// utilization. Its curve applies to all tasks there, so that tolerant groups do not crowd it. The first queue
// group if none may run on this kind.
const QueueGroup* most_sensitive_group(const std::vector<QueueGroup>& groups, int kind) {
    const QueueGroup* most_sensitive = nullptr;
    for (const QueueGroup& group : groups) {
        if (group.worker_kind >= 0 && group.worker_kind != kind) continue;
        if (!most_sensitive || zero_service_utilization(group) < zero_service_utilization(*most_sensitive))
            most_sensitive = &group;
    }
    return most_sensitive ? most_sensitive : &groups[0];
}

}  // namespace

CandidateSelection::CandidateSelection(const SchedulerConfig& config, const SelectionModules& modules)
    : config_(config), modules_(modules),
      others_only_probability_(std::pow(1 - 1.0 / config.slow_start.placers, kTasksPerWarmWorker)),
      full_fleet_(config.groups.size()) {
    for (std::size_t kind = 0; kind < config.kinds.size(); ++kind)
        most_sensitive_group_.push_back(most_sensitive_group(config.groups, static_cast<int>(kind)));
}

bool CandidateSelection::fits_nowhere(Nanos now, const Task& task) const {
    const FullFleet& full = full_fleet_[static_cast<std::size_t>(task.request.queue_group)];
    return now < full.until && task.request.cores >= full.cores && task.request.memory >= full.memory;
}

// Only for a task that no condition of its own kept off any worker: no earlier rejection, no attempt that may
// have run, no spread domain. For other tasks the search does not prove that the fleet is full.
void CandidateSelection::remember_full_fleet(const Search& search) {
    const Task& task = search.task;
    if (!modules_.endpoints.is_large() || !task.rejected_by.empty() || task.first_possible_run ||
        task.queue_group->spread_domain != FailureDomain::none)
        return;
    full_fleet_[static_cast<std::size_t>(task.request.queue_group)] = {
        task.request.cores, task.request.memory, search.now + kListInterval};
}

Worker* CandidateSelection::select(Nanos now, const Task& task, SelectionScope scope) {
    if (fits_nowhere(now, task)) return nullptr;
    ++selections_;
    Search search{now, task, scope};
    for (Worker* worker : task.service->workers)
        if (is_warm(now, *worker, task.service)) consider(search, *worker, 1);
    draw_from_ring(search);
    if (!search.best && scope == SelectionScope::whole_fleet) {
        for (Worker* worker : modules_.endpoints.listed_workers()) consider(search, *worker, 1);
        if (!search.best) remember_full_fleet(search);
    }
    return search.best;
}

void CandidateSelection::draw_from_ring(Search& search) {
    const HashRing<Worker>& ring = modules_.endpoints.ring();
    if (ring.empty()) return;
    const std::size_t listed = modules_.endpoints.listed_workers().size();
    std::size_t drawn = 0;
    for (std::uint64_t i = 0; i < kMaxDraws && drawn < kSampleSize && search.considered < listed; ++i) {
        Worker* worker = ring.at(series_hash(search.task.service->name_hash, i));
        if (consider(search, *worker, 1 - kWarmProbability[drawn] * others_only_probability_)) ++drawn;
    }
}

bool CandidateSelection::consider(Search& search, Worker& worker, double cold_probability) {
    if (std::exchange(worker.considered_in, selections_) == selections_) return false;
    ++search.considered;
    const bool within_limit = search.scope == SelectionScope::active_set;
    if (within_limit && !worker.in_active_set) return false;
    if (!modules_.retry.may_place(search.now, search.task, worker)) return false;
    if (modules_.health_checks.is_overdue(search.now, worker)) return false;
    if (!modules_.capacity.has_room(search.now, search.task, worker)) return false;
    double cost = expected_slowdown(search, worker);
    if (within_limit && cost > kSlowdownLimit) return true;
    if (!worker.in_active_set) cost += kActivationPriceFactor * config_.prices.workers_in_use;
    cost += cold_start_cost(search, worker) * cold_probability +
            (worker.endpoint.zone != config_.zone ? config_.prices.cross_zone : 0);
    if (!search.best || cost < search.best_cost) {
        search.best = &worker;
        search.best_cost = cost;
    }
    return true;
}

// Departure from the design (crowding): when running tasks suddenly use more cores, the learned weights adapt
// slowly. So the slowdown by the worker's known utilization is added at once, by the curve of the most
// sensitive queue group.
double CandidateSelection::expected_slowdown(const Search& search, Worker& worker) const {
    double sum = modules_.interference.predict(worker, *search.task.service);
    const WorkerLoad load = modules_.capacity.load(search.now, worker, search.task.request);
    const bool margin = search.scope == SelectionScope::active_set && !config_.acceptance.reports_pressure;
    const QueueGroup& curve = *most_sensitive_group_[static_cast<std::size_t>(worker.endpoint.kind)];
    const double excess =
        (margin ? kLoadMargin : 1) * load.used_cores / worker.kind->cores - curve.full_service_utilization;
    if (excess > 0)
        sum +=
            1 / std::max(kMinService, 1 - excess / std::max(curve.degradation_range, kMinDegradationRange)) -
            1;
    sum += kMemorySlope * std::max(0.0, load.used_memory / worker.kind->memory - kFullMemory);
    // The failure rate counts as the expected failed attempts per start, so that the least bad worker is
    // still used when all are bad.
    const auto group = static_cast<std::size_t>(search.task.request.queue_group);
    sum += modules_.outliers.residual_slowdown(search.now, worker) +
           1 / (1 - modules_.outliers.failure_rate(search.now, worker, group)) - 1;
    return sum;
}

// Departure from the design (cold starts): a start is slow where the program is not loaded, and may then miss
// the start objective. The cost is the value of a start in time as a share of the value of the whole task.
double CandidateSelection::cold_start_cost(const Search& search, Worker& worker) const {
    const Task& task = search.task;
    if (is_warm(search.now, worker, task.service) && !modules_.slow_start.is_warming_up(search.now, worker))
        return 0;
    const double start_value_s = task.queue_group->start_value_s;
    double runtime_s = start_value_s;
    if (task.request.expected_runtime > 0) runtime_s = to_seconds(task.request.expected_runtime);
    else if (task.service->mean_runtime_s > 0) runtime_s = task.service->mean_runtime_s;
    return start_value_s / std::max(0.1, start_value_s + runtime_s);
}

}  // namespace whinpost::scheduler
