// One scheduler among emulated workers and clients in virtual time, as measured by bench/scale.h.
#pragma once
#include <algorithm>
#include <cstdint>
#include <deque>
#include <string_view>
#include <utility>
#include <vector>

#include "ledger/ledger.h"
#include "planner/local_planner.h"
#include "scale_figures.h"

namespace whinpost::bench {

constexpr Nanos kQueueTimeout = 4 * kSecond;

// Processor time of this process in seconds.
double processor_seconds();

// The planner, the scheduler and the ledger are real. The emulated workers accept and run every attempt.
class ScaleWorld final : public planner::PlannerHandler {
public:
    explicit ScaleWorld(const ScaleSizes& sizes);

    // Lists all workers in one watch event and starts the planner. `full`: no worker has room.
    void list_all_workers(bool full);
    // Adopts tasks that run on the first workers, as after a restart of the placer.
    void adopt_tasks(int count);
    // Delivers a watch event with the endpoint() of each of these workers, and runs a round.
    void watch_event(const std::vector<int>& workers);
    void submit_tasks(int count);
    void run_round();
    // Advances the time and completes the tasks whose runtime is over.
    void advance(Nanos duration);

    EndpointState& endpoint(int worker) { return endpoints_[static_cast<std::size_t>(worker)]; }
    int submitted() const { return submitted_; }
    int answered_in_time() const { return answered_in_time_; }
    // Longest processor time of a watch event or round since the last call of reset_longest().
    double longest_seconds() const { return longest_seconds_; }
    void reset_longest() { longest_seconds_ = 0; }
    Nanos now() const { return now_; }

private:
    struct Placement {
        planner::TaskNumber task;
        planner::WorkerNumber worker;
    };
    struct RunningTask {
        Nanos ends_at;
        planner::TaskNumber task;
    };

    void place(planner::TaskNumber task, planner::WorkerNumber worker, Nanos) override {
        placements_.push_back({task, worker});
    }
    void reject(planner::TaskNumber task, Nanos) override { record_answer(task); }
    void fail(planner::TaskNumber task) override { record_answer(task); }
    void migrate(planner::TaskNumber) override {}
    void cancel_attempt(planner::TaskNumber, int) override {}
    void check_health(planner::WorkerNumber) override {}
    void watch_endpoints() override {}
    void fetch_endpoints() override {}
    void wake_at(Nanos) override {}
    void log(std::string_view) override {}

    std::uint64_t service_of(int task) const;
    ResourceRequest request_of(int task) const;
    void deliver_endpoint(int worker);
    template <class Call>
    void timed(Call call) {
        const double before = processor_seconds();
        call();
        longest_seconds_ = std::max(longest_seconds_, processor_seconds() - before);
    }
    void record_answer(planner::TaskNumber);
    void carry_out_placements();
    void start_attempt(const Placement&);
    void complete(planner::TaskNumber);

    const ScaleSizes sizes_;
    const SlowStartSettings slow_start_;
    ledger::Ledger ledger_;
    planner::LocalPlanner planner_;
    Nanos now_ = 1'000'000 * kSecond;
    std::vector<EndpointState> endpoints_;
    std::vector<ledger::WorkerRecord*> workers_;
    std::vector<Placement> placements_;
    std::deque<RunningTask> running_;
    int submitted_ = 0, answered_in_time_ = 0;
    double longest_seconds_ = 0;
};

}  // namespace whinpost::bench
