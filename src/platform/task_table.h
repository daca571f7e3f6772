// The tasks that the server holds, indexed by planner number, by client id and, while they run, by name.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "planner/planner.h"
#include "platform/in_flight_task.h"

namespace whinpost::platform {

// Owns the tasks. A removed task stays allocated until free_removed(), since remove() is often called from
// one of the task's own timers or from its connection.
class TaskTable {
public:
    TaskTable(AnswerDeadlineHandler& deadline_handler, AttemptTimeoutHandler& timeout_handler)
        : deadline_handler_(deadline_handler), timeout_handler_(timeout_handler) {}

    std::size_t size() const { return by_number_.size(); }
    InFlightTask& create(std::uint64_t id, ledger::TaskRecord&, ClientConnection*,
                         const std::string& client_address);
    // Null if there is none.
    InFlightTask* find(planner::TaskNumber) const;
    InFlightTask* find_by_id(std::uint64_t id) const;
    InFlightTask* find_running(const std::string& name) const;
    void add_running(InFlightTask& task) { running_by_name_[task.name] = &task; }
    // Tasks whose own connection is this one, in the order in which they were created.
    std::vector<InFlightTask*> tasks_of(const ClientConnection&) const;
    // Running tasks of clients at that address, in the order in which they were created.
    std::vector<InFlightTask*> running_tasks_of(const std::string& client_address) const;
    bool all_running() const;

    // False if the task was removed before. Its timers do not fire any more.
    bool remove(InFlightTask&);
    // To be called only when no removed task is in use further up the call stack.
    void free_removed() { removed_.clear(); }

private:
    template <class Predicate>
    std::vector<InFlightTask*> select(Predicate) const;

    AnswerDeadlineHandler& deadline_handler_;
    AttemptTimeoutHandler& timeout_handler_;
    // Hash maps: iterated only where the order does not matter.
    std::unordered_map<planner::TaskNumber, std::unique_ptr<InFlightTask>> by_number_;
    std::unordered_map<std::uint64_t, InFlightTask*> by_id_;
    std::unordered_map<std::string, InFlightTask*> running_by_name_;
    std::vector<std::unique_ptr<InFlightTask>> removed_;
};

}  // namespace whinpost::platform
