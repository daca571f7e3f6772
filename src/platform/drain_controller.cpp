#include "platform/drain_controller.h"

#include <utility>

namespace whinpost::platform {
namespace {

// After SIGTERM, new connections arrive for up to 0.4 s and requests for 0.2 s more. SIGKILL follows 0.7 s
// after the longest deadline.
constexpr Nanos kAcceptPeriod = 680 * kMillisecond;
// Time for clients to close their side once all requests are answered. SIGKILL follows a whole queue timeout
// after the last request that is accepted.
constexpr Nanos kCloseTimeout = 400 * kMillisecond;
// Time for workers to confirm the cancellations, one of which may have been lost and written again. A worker
// that hangs does not confirm any.
constexpr Nanos kConfirmationTimeout = 600 * kMillisecond;

}  // namespace

void DrainController::start(Nanos now, std::function<void()> done) {
    if (phase_ != Phase::serving) return;
    phase_ = Phase::answering;
    reject_from_ = now + kAcceptPeriod;
    done_ = std::move(done);
}

void DrainController::sweep(Nanos now) {
    switch (phase_) {
        case Phase::serving:
        case Phase::finished:
            return;
        case Phase::answering:
            if (now < reject_from_ || target_.has_unanswered_tasks()) return;
            if (waits_for_confirmations(now)) return;
            phase_ = Phase::closing;
            close_deadline_ = now + kCloseTimeout;
            target_.stop_reading_workers();
            return close(now);
        case Phase::closing:
            if (!target_.has_unanswered_tasks()) close(now);
    }
}

bool DrainController::waits_for_confirmations(Nanos now) {
    if (confirmation_deadline_ == 0) confirmation_deadline_ = now + kConfirmationTimeout;
    return now < confirmation_deadline_ && target_.has_unconfirmed_cancellations();
}

void DrainController::close(Nanos now) {
    if (!target_.close_clients(now, close_deadline_)) return;
    phase_ = Phase::finished;
    std::exchange(done_, nullptr)();
}

}  // namespace whinpost::platform
