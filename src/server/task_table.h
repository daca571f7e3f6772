// The tasks that the server holds and their attempts, indexed by the ledger's numbers.
#pragma once
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "planner/planner.h"
#include "server/in_flight_task.h"

namespace whinpost::server {

class TaskTable {
public:
    InFlightTask& add(std::unique_ptr<InFlightTask>);
    InFlightTask* find(planner::TaskNumber);
    // The tasks of one connected client, in the order in which they were created.
    std::vector<InFlightTask*> tasks_of(const ClientConnection&);
    // Destroys the task and removes its attempts from the table.
    void erase(InFlightTask&);

    void add_attempt(ledger::Attempt&);
    // Null if the number is unknown or the attempt's task was erased.
    ledger::Attempt* find_attempt(std::uint64_t number);

    std::size_t size() const { return tasks_.size(); }

private:
    std::unordered_map<planner::TaskNumber, std::unique_ptr<InFlightTask>> tasks_;
    std::unordered_map<std::uint64_t, ledger::Attempt*> attempts_;
};

}  // namespace whinpost::server
