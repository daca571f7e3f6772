#include "server/drain_controller.h"

#include <utility>

#include "server/client_endpoint.h"

namespace whinpost::server {

namespace {
using log::Level;
// How often the streams are checked for unsent bytes; they do not notify when they are written out.
constexpr Nanos kPollInterval = 5 * kMillisecond;
// How long the shutdown waits for unsent bytes once every task is answered. Without this limit, a client that
// reads nothing, or whose connection died without a reset, would block the shutdown forever.
constexpr Nanos kFlushTimeout = 2 * kSecond;
}  // namespace

void DrainController::start(ClientEndpoint* clients, std::function<void()> done) {
    clients_ = clients;
    done_ = std::move(done);
    state_ = State::draining;
    context_.admission.start_drain();
    flush_deadline_ = context_.now() + kFlushTimeout;
    if (clients_) clients_->stop_listening();
    context_.log(Level::info, "drain_started", {{"waiting", context_.admission.waiting()}});
    poll_timer_ = context_.loop.make_timer([this] { check(); });
    check();
}

void DrainController::check() {
    switch (state_) {
        case State::serving:
        case State::drained:
            return;
        case State::draining:
            break;
    }
    const Nanos now = context_.now();
    if (context_.admission.waiting() != 0) flush_deadline_ = now + kFlushTimeout;
    const bool is_flushed = !clients_ || clients_->is_flushed();
    if (context_.admission.waiting() != 0 || (!is_flushed && now < flush_deadline_)) {
        poll_timer_->arm(now + kPollInterval);
        return;
    }
    if (!is_flushed) context_.log(Level::warning, "drain_flush_timeout", {});
    state_ = State::drained;
    const ledger::LedgerStatistics& statistics = context_.ledger.statistics();
    context_.log(Level::info, "drain_finished",
                 {{"submitted", statistics.submitted}, {"placed", statistics.accepted}});
    std::exchange(done_, nullptr)();
}

}  // namespace whinpost::server
