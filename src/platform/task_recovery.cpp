#include "platform/task_recovery.h"

#include <utility>

namespace whinpost::platform {
namespace {

constexpr Nanos kKeptFor = 20 * kSecond;  // a worker that no list names for so long does not exist
// Far more than one worker runs; bounds the memory that a misbehaving client can fill.
constexpr std::size_t kMaxPending = 2000;

}  // namespace

void TaskRecovery::on_report(RunningTaskReport report, ClientConnection& client) {
    if (adopter_.adopt(report, &client)) return;
    pending_.push_back(std::move(report));
    if (pending_.size() > kMaxPending) drop_first();
}

void TaskRecovery::retry_all() {
    for (std::size_t left = pending_.size(); left > 0; --left) {
        RunningTaskReport report = std::move(pending_.front());
        pending_.pop_front();
        if (!adopter_.adopt(report, nullptr)) pending_.push_back(std::move(report));
    }
}

void TaskRecovery::cancel(std::uint64_t id) {
    std::erase_if(pending_, [id](const RunningTaskReport& report) { return report.id == id; });
}

void TaskRecovery::expire(Nanos now) {
    while (!pending_.empty() && now - pending_.front().since > kKeptFor) drop_first();
}

void TaskRecovery::drop_first() {
    const RunningTaskReport report = std::move(pending_.front());
    pending_.pop_front();
    adopter_.on_report_dropped(report);
}

}  // namespace whinpost::platform
