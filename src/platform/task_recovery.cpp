#include "platform/task_recovery.h"

#include <algorithm>
#include <utility>

#include "ledger/task_liveness.h"

namespace whinpost::platform {
namespace {

// A worker that is listed later than this cannot confirm the task in time either.
constexpr Nanos kReportTimeout = ledger::TaskLiveness::kConfirmationTimeout;
// Far more tasks than one worker runs; bounds the memory that misbehaving clients can fill.
constexpr std::size_t kMaxPending = 2000;

}  // namespace

void TaskRecovery::on_report(RunningTaskReport report, ClientConnection& client) {
    if (adopter_.adopt(report, &client)) return;
    pending_.push_back({std::move(report), &client});
    if (pending_.size() > kMaxPending) drop_first();
}

void TaskRecovery::retry_all() {
    for (std::size_t left = pending_.size(); left > 0; --left) {
        PendingReport pending = std::move(pending_.front());
        pending_.pop_front();
        if (!adopter_.adopt(pending.report, pending.client)) pending_.push_back(std::move(pending));
    }
}

bool TaskRecovery::is_waiting_on(const ClientConnection& client) const {
    return std::any_of(pending_.begin(), pending_.end(),
                       [&client](const PendingReport& pending) { return pending.client == &client; });
}

void TaskRecovery::on_client_left(const ClientConnection& client) {
    for (PendingReport& pending : pending_)
        if (pending.client == &client) pending.client = nullptr;
}

void TaskRecovery::cancel(std::uint64_t id, const ClientConnection& client) {
    std::erase_if(pending_, [id, &client](const PendingReport& pending) {
        return pending.report.id == id && pending.client == &client;
    });
}

void TaskRecovery::expire(Nanos now) {
    const auto is_due = [now](const PendingReport& pending) {
        return now - pending.report.waiting_since >= kReportTimeout;
    };
    const auto due = std::stable_partition(pending_.begin(), pending_.end(), is_due);
    for (auto count = due - pending_.begin(); count > 0; --count) drop_first();
}

void TaskRecovery::drop_first() {
    const PendingReport pending = std::move(pending_.front());
    pending_.pop_front();
    adopter_.on_report_dropped(pending.report, pending.client);
}

}  // namespace whinpost::platform
