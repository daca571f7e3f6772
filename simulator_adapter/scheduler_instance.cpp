#include "scheduler_instance.h"

#include <algorithm>

#include "whinpost/stable_hash.h"

namespace whinpost::simulator_adapter {
namespace {

constexpr Nanos kFinishedRetention = 30 * kSecond;

}  // namespace

SchedulerInstance::SchedulerInstance(int number, std::uint64_t seed, const settings::Settings& settings)
    : number_(number) {
    // Read one by one, so that the error names the first invalid setting in this order.
    auto groups = settings::queue_groups(settings);
    auto kinds = settings::worker_kinds(settings);
    const WorkerAcceptance acceptance = settings::worker_acceptance(settings);
    const SlowStartSettings slow_start = settings::slow_start_settings(settings);
    const DiscoverySettings discovery = settings::discovery_settings(settings);
    const RetrySettings retry = settings::retry_settings(settings);
    const Prices prices = settings::prices(settings);
    const int zone = settings::zone(settings);
    queue_groups_ = groups.size();
    kinds_ = kinds.size();
    zones_ = settings.list("zones").size();
    DecisionHandler& decisions = *this;
    scheduler_.emplace(decisions, seed, zone, std::move(groups), std::move(kinds), acceptance, slow_start,
                       discovery, retry, prices);
}

void SchedulerInstance::check_ranges(const EndpointState& state) const {
    if (state.kind < 0 || static_cast<std::size_t>(state.kind) >= kinds_)
        throw MalformedMessage("M", "shape", "is out of range");
    if (state.zone < 0 || static_cast<std::size_t>(state.zone) >= zones_)
        throw MalformedMessage("M", "campus", "is out of range");
}

void SchedulerInstance::on_endpoints(Nanos now, const std::vector<ListedEndpoint>& endpoints, bool complete) {
    for (const ListedEndpoint& endpoint : endpoints) {
        check_ranges(endpoint.state);
        Worker*& worker = workers_[endpoint.host];
        if (!worker) {
            worker = &scheduler_->add_worker(stable_hash(endpoint.host));
            hosts_[worker] = endpoint.host;
        }
        scheduler_->update_endpoint(now, *worker, endpoint.state);
    }
    scheduler_->on_watch_event_done(now, complete);
    if (!std::exchange(is_started_, true)) scheduler_->start(now);
}

Worker& SchedulerInstance::worker(MessageFields& fields) {
    const auto it = workers_.find(std::string(fields.required("host")));
    if (it == workers_.end()) fields.fail("host", "was in no list of this placer");
    return *it->second;
}

Service& SchedulerInstance::service(std::string_view name) {
    Service*& service = services_[std::string(name)];
    if (!service) service = &scheduler_->add_service(stable_hash(name));
    return *service;
}

void SchedulerInstance::add_task(const MessageFields& fields, TransactionId id, Task& task) {
    if (!tasks_.emplace(id, &task).second) fields.fail("txn", "was given before");
}

Task* SchedulerInstance::find_task(MessageFields& fields) {
    const auto id = static_cast<TransactionId>(fields.integer("txn"));
    const auto it = tasks_.find(id);
    if (it != tasks_.end()) return it->second;
    if (!finished_ids_.contains(id)) fields.fail("txn", "was never given to this placer");
    return nullptr;
}

void SchedulerInstance::drop_if_finished(Nanos now, Task& task) {
    if (!task.finished()) return;
    const TransactionId id = task.tag;
    scheduler_->remove(task);
    tasks_.erase(id);
    finished_.emplace_back(now, id);
    finished_ids_.insert(id);
}

void SchedulerInstance::forget_finished(Nanos now) {
    while (!finished_.empty() && now - finished_.front().first > kFinishedRetention) {
        finished_ids_.erase(finished_.front().second);
        finished_.pop_front();
    }
}

std::string SchedulerInstance::run_round(Nanos now) {
    is_active_ = false;
    scheduler_->run_round(now);
    for (const TransactionId id : std::exchange(answered_, {}))
        if (const auto it = tasks_.find(id); it != tasks_.end()) drop_if_finished(now, *it->second);
    forget_finished(now);
    return std::exchange(output_, {});
}

void SchedulerInstance::place(Task& task, Worker& worker, Nanos attempt_timeout) {
    write("BIND " + std::to_string(task.tag) + " " + hosts_.at(&worker) + " " +
          std::to_string(std::max<Nanos>(1, attempt_timeout / kMicrosecond)));
}

void SchedulerInstance::reject(Task& task, Nanos retry_after) {
    write("OVERLOAD_REPLY " + std::to_string(task.tag) + " " + std::to_string(retry_after / kMicrosecond));
    answered_.push_back(task.tag);
}

void SchedulerInstance::fail(Task& task) {
    write("FAIL " + std::to_string(task.tag));
    answered_.push_back(task.tag);
}

void SchedulerInstance::migrate(Task& task) { write("RELOCATE " + std::to_string(task.tag)); }

void SchedulerInstance::cancel_attempt(Task& task, int attempt) {
    write("CANCEL " + std::to_string(task.tag) + " " + std::to_string(attempt));
}

void SchedulerInstance::check_health(Worker& worker) { write("HEALTH_CHECK " + hosts_.at(&worker)); }

// Rounded up, because a wake-up before `at` would find nothing due.
void SchedulerInstance::wake_at(Nanos at) {
    write("WAKE_AT " + std::to_string((at + kMicrosecond - 1) / kMicrosecond) + " 1");
}

void SchedulerInstance::log(std::string_view line) { write("TRACE " + std::string(line)); }

}  // namespace whinpost::simulator_adapter
