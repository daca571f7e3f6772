#include "scheduler/interference_model.h"

#include <algorithm>
#include <cstddef>
#include <vector>

#include "scheduler/numeric.h"

namespace whinpost::scheduler {
namespace {

// Initial value of a pair: a tenth of the design's value, as tens of services share a worker.
constexpr double kStartingSlowdown = 0.003;
constexpr double kLearningRate = 0.05;       // the design's learning rate
constexpr double kPairWeight = 0.2;          // a pair value mostly reflects its last ten observations
constexpr double kMinOrderSlowdown = 0.01;   // the design's lower bound in placement_order()
constexpr std::size_t kMaxPairs = 512;       // known neighbours per service; bounds the memory
constexpr std::size_t kWarmStartsKept = 15;  // enough for a median that one odd start cannot move
constexpr std::size_t kWarmStartsNeeded = 3;
constexpr double kMinCoresWeight = 0.05;
constexpr double kColdStartWeight = 0.2;

}  // namespace

InterferenceModel::InterferenceModel() : mean_slowdown_(kStartingSlowdown) {}

void InterferenceModel::init(Service& service) const { service.mean_slowdown = kStartingSlowdown; }

double InterferenceModel::predict(const Worker& worker, const Service& service) const {
    double sum = 0;
    for (const ColocatedService& colocated : worker.services) {
        if (!colocated.tasks) continue;
        const auto it = service.neighbours.find(colocated.service->number);
        sum += it == service.neighbours.end() ? kStartingSlowdown : it->second.weight * it->second.slowdown;
    }
    const double cores = worker.kind->cores;
    const double unknown =
        std::max(0.0, cores - worker.endpoint.free_cores - worker.capacity.own_cores) / cores;
    return sum + mean_slowdown_ * unknown;
}

// First scales the slowdown to the share of the load that this scheduler placed. With many schedulers, one
// bad report would otherwise put the only known neighbour above kSlowdownLimit on every worker. One known
// neighbour: the observation updates the value of the pair. Several: the prediction error updates their
// weights. The remaining slowdown is attributed to the worker, see OutlierDetection.
void InterferenceModel::observe(const Task& task, double slowdown) {
    Worker& worker = *task.worker;
    Service& service = *task.service;
    std::vector<PairInterference*> known;
    for (ColocatedService& colocated : worker.services) {
        const int others = colocated.tasks - (colocated.service == &service ? 1 : 0);
        const int number = colocated.service->number;
        if (others <= 0) continue;
        if (service.neighbours.size() >= kMaxPairs && !service.neighbours.contains(number)) continue;
        const auto pair = service.neighbours.try_emplace(number, PairInterference{kStartingSlowdown, 1.0});
        known.push_back(&pair.first->second);
    }
    if (known.empty()) return;
    const double own = std::max(0.0, worker.capacity.own_cores - task.request.cores);
    slowdown *=
        own / std::max({own, worker.kind->cores - worker.endpoint.free_cores - task.request.cores, 1e-9});
    if (known.size() == 1)
        known[0]->slowdown = std::max(0.0, moving_average(known[0]->slowdown, slowdown, kPairWeight));
    const double error = slowdown - predict(worker, service);
    if (known.size() > 1)
        for (PairInterference* pair : known)
            pair->weight = std::max(0.0, pair->weight + kLearningRate * error);
    const double each = slowdown / static_cast<double>(known.size());
    service.mean_slowdown = moving_average(service.mean_slowdown, each, kLearningRate);
    mean_slowdown_ = std::max(0.0, moving_average(mean_slowdown_, each, kLearningRate));
}

void InterferenceModel::observe_start(const Task& task, double latency_s) {
    Service& service = *task.service;
    if (!task.warm_start) {
        service.mean_cold_start_s =
            service.mean_cold_start_s > 0
                ? moving_average(service.mean_cold_start_s, latency_s, kColdStartWeight)
                : latency_s;
        return;
    }
    if (service.warm_starts_s.size() < kWarmStartsKept) service.warm_starts_s.push_back(latency_s);
    else service.warm_starts_s[service.next_warm_start++ % kWarmStartsKept] = latency_s;
    std::vector<double> sorted = service.warm_starts_s;
    std::sort(sorted.begin(), sorted.end());
    service.median_warm_start_s = sorted[sorted.size() / 2];
    if (service.warm_starts_s.size() >= kWarmStartsNeeded)
        observe(task, std::clamp(latency_s / std::max(service.median_warm_start_s, 1e-4) - 1, -0.5, 2.0));
}

void InterferenceModel::observe_cores(Service& service, double cores) const {
    service.core_reports += 1;
    service.mean_cores =
        moving_average(service.mean_cores, cores, std::max(kMinCoresWeight, 1 / service.core_reports));
}

double InterferenceModel::placement_order(const Task& task) const {
    const Service& service = *task.service;
    const double cores = service.core_reports > 0 ? service.mean_cores : task.request.cores;
    return cores / std::max(kMinOrderSlowdown, service.mean_slowdown);
}

}  // namespace whinpost::scheduler
