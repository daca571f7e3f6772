#include "server/task_table.h"

#include <algorithm>

namespace whinpost::server {

InFlightTask& TaskTable::add(std::unique_ptr<InFlightTask> task) {
    std::unique_ptr<InFlightTask>& entry = tasks_[task->record->number];
    entry = std::move(task);
    return *entry;
}

InFlightTask* TaskTable::find(planner::TaskNumber number) {
    const auto it = tasks_.find(number);
    return it == tasks_.end() ? nullptr : it->second.get();
}

std::vector<InFlightTask*> TaskTable::tasks_of(const ClientConnection& client) {
    std::vector<InFlightTask*> tasks;
    for (const auto& [number, task] : tasks_)
        if (task->client == &client) tasks.push_back(task.get());
    // The callers' order of answers must not depend on the hash order.
    std::sort(tasks.begin(), tasks.end(), [](const InFlightTask* first, const InFlightTask* second) {
        return first->record->number < second->record->number;
    });
    return tasks;
}

void TaskTable::erase(InFlightTask& task) {
    for (const ledger::Attempt& attempt : task.record->attempts) attempts_.erase(attempt.number);
    tasks_.erase(task.record->number);
}

void TaskTable::add_attempt(ledger::Attempt& attempt) { attempts_[attempt.number] = &attempt; }

ledger::Attempt* TaskTable::find_attempt(std::uint64_t number) {
    const auto it = attempts_.find(number);
    return it == attempts_.end() ? nullptr : it->second;
}

}  // namespace whinpost::server
