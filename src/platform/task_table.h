// The tasks that the server holds, by planner number, by client id and, while they run, by name.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "planner/planner.h"
#include "platform/in_flight_task.h"

namespace whinpost::platform {

// Owns the tasks. A removed task stays in memory until free_removed(), since what removes it is often called
// from one of the task's own timers or from its connection.
class TaskTable {
public:
    TaskTable(AnswerDeadlineHandler& deadline_handler, AttemptTimeoutHandler& timeout_handler)
        : deadline_handler_(deadline_handler), timeout_handler_(timeout_handler) {}

    std::size_t size() const { return by_number_.size(); }
    InFlightTask& create(std::uint64_t id, ledger::TaskRecord&, ClientConnection*,
                         const std::string& client_address);
    // Null where there is none.
    InFlightTask* find(planner::TaskNumber) const;
    InFlightTask* find_by_id(std::uint64_t id) const;
    InFlightTask* find_running(const std::string& name) const;
    void add_running(InFlightTask& task) { running_by_name_[task.name] = &task; }
    // In the order in which they were created.
    std::vector<InFlightTask*> tasks_of(const ClientConnection&) const;
    // Those that run for clients at that address, in the order in which they were created.
    std::vector<InFlightTask*> running_tasks_of(const std::string& client_address) const;
    bool all_running() const;

    // False where it was removed before. Its timers never fire again.
    bool remove(InFlightTask&);
    // To be called when no removed task can still be in use further up the stack.
    void free_removed() { removed_.clear(); }

private:
    template <class Predicate>
    std::vector<InFlightTask*> select(Predicate) const;

    AnswerDeadlineHandler& deadline_handler_;
    AttemptTimeoutHandler& timeout_handler_;
    // Hash maps: looked up only, or walked where the order decides nothing.
    std::unordered_map<planner::TaskNumber, std::unique_ptr<InFlightTask>> by_number_;
    std::unordered_map<std::uint64_t, InFlightTask*> by_id_;
    std::unordered_map<std::string, InFlightTask*> running_by_name_;
    std::vector<std::unique_ptr<InFlightTask>> removed_;
};

}  // namespace whinpost::platform
