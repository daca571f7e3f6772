// One scheduler of the simulation: maps the names in messages to handles, and writes decisions as lines.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "message_fields.h"
#include "settings/settings.h"
#include "whinpost/scheduler.h"

namespace whinpost::simulator_adapter {

using TransactionId = std::uint64_t;

// An entry of an endpoint list.
struct ListedEndpoint {
    std::string host;
    EndpointState state;
};

// Has no scheduler until it is constructed with settings, see is_initialized().
class SchedulerInstance final : private DecisionHandler {
public:
    explicit SchedulerInstance(int number) : number_(number) {}
    // Throws settings::SettingsError.
    SchedulerInstance(int number, std::uint64_t seed, const settings::Settings&);
    SchedulerInstance(const SchedulerInstance&) = delete;
    SchedulerInstance& operator=(const SchedulerInstance&) = delete;

    int number() const { return number_; }
    bool is_initialized() const { return scheduler_.has_value(); }
    std::size_t queue_groups() const { return queue_groups_; }

    // True at the first call since the last round.
    [[nodiscard]] bool mark_active() { return !std::exchange(is_active_, true); }

    // The functions below require is_initialized(). `fields` is the message being read, which errors name.
    Scheduler& scheduler() { return *scheduler_; }
    void on_endpoints(Nanos now, const std::vector<ListedEndpoint>&, bool complete);
    Worker& worker(MessageFields& fields);  // reads a host, which must have been in an endpoint list
    Service& service(std::string_view name);
    void add_task(const MessageFields&, TransactionId, Task&);
    // Reads a transaction id. Null if its task finished a short while ago, in which case the message is
    // ignored.
    Task* find_task(MessageFields& fields);
    void drop_if_finished(Nanos now, Task&);
    // Runs a scheduling round after the events of a batch. Returns the lines written since the last call.
    std::string run_round(Nanos now);

private:
    void place(Task&, Worker&, Nanos attempt_timeout) override;
    void reject(Task&, Nanos retry_after) override;
    void fail(Task&) override;
    void migrate(Task&) override;
    void cancel_attempt(Task&, int attempt) override;
    void check_health(Worker&) override;
    void watch_endpoints() override { write("FOLLOW 1"); }
    void fetch_endpoints() override { write("SNAPSHOT"); }
    void wake_at(Nanos at) override;
    void log(std::string_view line) override;

    void write(const std::string& line) { (output_ += line) += '\n'; }
    void check_ranges(const EndpointState&) const;
    void forget_finished(Nanos now);

    const int number_;
    std::size_t queue_groups_ = 0, zones_ = 0, kinds_ = 0;
    std::optional<Scheduler> scheduler_;
    bool is_started_ = false;  // the first endpoint list has arrived
    bool is_active_ = false;   // it got messages since the last round
    // Only looked up and never iterated, as their order is unspecified.
    std::unordered_map<std::string, Worker*> workers_;
    std::unordered_map<const Worker*, std::string> hosts_;
    std::unordered_map<std::string, Service*> services_;
    std::unordered_map<TransactionId, Task*> tasks_;
    // Tasks finished recently; messages may still name them.
    std::deque<std::pair<Nanos, TransactionId>> finished_;
    std::set<TransactionId> finished_ids_;
    std::vector<TransactionId> answered_;  // answered in this batch; dropped at its end if finished
    std::string output_;
};

}  // namespace whinpost::simulator_adapter
