// One scheduler of the simulation: names on the wire become its handles, its decisions become lines.
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

// Without a scheduler until its settings came.
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

    // The rest is for initialized instances only; `fields` is the message that is read, for errors.
    Scheduler& scheduler() { return *scheduler_; }
    void on_endpoints(Nanos now, const std::vector<ListedEndpoint>&, bool complete);
    Worker& worker(MessageFields& fields);  // the next value, which must have been in a list
    Service& service(std::string_view name);
    void add_task(const MessageFields&, TransactionId, Task&);
    // The next value. Null: it finished a short while ago; the message is to be ignored.
    Task* find_task(MessageFields& fields);
    void drop_if_finished(Nanos now, Task&);
    // Decides after the events of one batch; gives back its lines since the last call.
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
    bool is_started_ = false;  // its first endpoint list is in
    bool is_active_ = false;   // it had messages since the last round
    // Looked up, never walked.
    std::unordered_map<std::string, Worker*> workers_;
    std::unordered_map<const Worker*, std::string> hosts_;
    std::unordered_map<std::string, Service*> services_;
    std::unordered_map<TransactionId, Task*> tasks_;
    std::deque<std::pair<Nanos, TransactionId>> finished_;  // lately: the wire may still name them
    std::set<TransactionId> finished_ids_;
    std::vector<TransactionId> answered_;  // in this batch; finished ones are dropped when it ends
    std::string output_;
};

}  // namespace whinpost::simulator_adapter
