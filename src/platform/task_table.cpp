#include "platform/task_table.h"

#include <algorithm>
#include <utility>

namespace whinpost::platform {

InFlightTask& TaskTable::create(std::uint64_t id, ledger::TaskRecord& record, ClientConnection* client,
                                const std::string& client_address) {
    auto owned = std::make_unique<InFlightTask>(deadline_handler_, timeout_handler_);
    InFlightTask& task = *owned;
    task.id = id;
    task.record = &record;
    task.client = client;
    task.client_address = client_address;
    by_number_[record.number] = std::move(owned);
    by_id_[id] = &task;
    return task;
}

InFlightTask* TaskTable::find(planner::TaskNumber number) const {
    const auto it = by_number_.find(number);
    return it == by_number_.end() ? nullptr : it->second.get();
}

InFlightTask* TaskTable::find_by_id(std::uint64_t id) const {
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : it->second;
}

InFlightTask* TaskTable::find_running(const std::string& name) const {
    const auto it = running_by_name_.find(name);
    return it == running_by_name_.end() ? nullptr : it->second;
}

template <class Predicate>
std::vector<InFlightTask*> TaskTable::select(Predicate is_wanted) const {
    std::vector<InFlightTask*> tasks;
    for (const auto& [id, task] : by_id_)
        if (is_wanted(*task)) tasks.push_back(task);
    std::sort(tasks.begin(), tasks.end(), [](const InFlightTask* left, const InFlightTask* right) {
        return left->record->number < right->record->number;
    });
    return tasks;
}

std::vector<InFlightTask*> TaskTable::tasks_of(const ClientConnection& client) const {
    return select([&client](const InFlightTask& task) { return task.client == &client; });
}

std::vector<InFlightTask*> TaskTable::running_tasks_of(const std::string& client_address) const {
    return select([&client_address](const InFlightTask& task) {
        return task.running && task.client_address == client_address;
    });
}

bool TaskTable::all_running() const {
    return std::all_of(by_id_.begin(), by_id_.end(), [](const auto& entry) { return entry.second->running; });
}

bool TaskTable::remove(InFlightTask& task) {
    task.answer_deadline.disarm();
    task.attempt_timeout.disarm();
    const auto it = by_number_.find(task.record->number);
    if (it == by_number_.end()) return false;
    const auto named = running_by_name_.find(task.name);
    if (named != running_by_name_.end() && named->second == &task) running_by_name_.erase(named);
    by_id_.erase(task.id);
    removed_.push_back(std::move(it->second));
    by_number_.erase(it);
    return true;
}

}  // namespace whinpost::platform
