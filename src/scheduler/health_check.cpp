#include "scheduler/health_check.h"

namespace whinpost::scheduler {
namespace {

// A newer report makes a check unnecessary; use changes within seconds.
constexpr Nanos kMaxReportAge = 1000 * kMillisecond;
constexpr Nanos kAnswerTimeout = 100 * kMillisecond;  // a worker answers a few attempts in that time
constexpr Nanos kOverdueSkipTime = 2 * kSecond;
constexpr double kMaxPrice = 0.02;     // as a share of a task's value: a check saves a few hundredths of it
constexpr std::size_t kMaxChecks = 3;  // per task

}  // namespace

HealthChecks::HealthChecks(const WorkerAcceptance& acceptance, const Prices& prices)
    : enabled_(acceptance.health_checks && !(prices.health_checks > kMaxPrice)) {}

bool HealthChecks::is_overdue(Nanos now, const Worker& worker) const {
    const WorkerHealth& health = worker.health;
    return health.check_sent_at > health.last_report_at && now - health.check_sent_at >= kAnswerTimeout &&
           now - health.check_sent_at < kOverdueSkipTime;
}

bool HealthChecks::check_first(Nanos now, Task& task, Worker& worker, DecisionHandler& handler) const {
    if (!enabled_) return false;
    if (now - worker.health.last_report_at < kMaxReportAge || task.health_checks >= kMaxChecks) return false;
    if (now - worker.health.check_sent_at >= kAnswerTimeout) {
        worker.health.check_sent_at = now;
        handler.check_health(worker);
    }
    ++task.health_checks;
    task.not_before = now + kAnswerTimeout;
    return true;
}

}  // namespace whinpost::scheduler
