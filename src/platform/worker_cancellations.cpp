#include "platform/worker_cancellations.h"

#include <algorithm>

#include "platform/pooled_worker.h"
#include "platform/worker_messages.h"

namespace whinpost::platform {

using ledger::SettledCancellation;
using platform_codec::Cause;

void WorkerCancellations::cancel(ledger::CancelledTask task) {
    if (worker_.is_gone()) return;
    const std::uint64_t id = task.id;
    if (const auto dropped = owed_.add(worker_.loop_.now(), std::move(task))) log_dropped({*dropped});
    if (worker_.reading_stopped_) return write_to_all(id);
    write_to_another(id);
    if (!worker_.usable_connection()) worker_.dial();
}

bool WorkerCancellations::carries(const WorkerConnection& connection, std::uint64_t id) const {
    return owed_.is_written_to(id, connection.number());
}

void WorkerCancellations::write_to(WorkerConnection& connection, std::uint64_t id) {
    if (worker_.has_attempt_in_flight(id)) return;
    owed_.on_written(id, connection.number(), worker_.loop_.now());
    worker_.log_(log::Level::debug, "cancellation_written",
                 {{"worker", worker_.name_}, {"id", id}, {"connection", connection.number()}});
    connection.write_cancellation(id);
}

void WorkerCancellations::write_to_another(std::uint64_t id) {
    WorkerConnection* connection = worker_.usable_connection(
        [this, id](const WorkerConnection& candidate) { return !carries(candidate, id); });
    if (connection && connection->is_up()) write_to(*connection, id);
}

void WorkerCancellations::write_to_all(std::uint64_t id) {
    for (const auto& connection : worker_.connections_)
        if (connection->is_up() && !carries(*connection, id)) write_to(*connection, id);
}

void WorkerCancellations::write_all_to_all() {
    for (const std::uint64_t id : owed_.all()) write_to_all(id);
}

void WorkerCancellations::probe_carriers(std::uint64_t id) {
    if (!worker_.health_checks_) return;
    for (const auto& connection : worker_.connections_)
        if (carries(*connection, id)) connection->probe();
}

void WorkerCancellations::before_attempt(WorkerConnection& connection, std::uint64_t id) {
    if (owed_.is_unwritten(id)) write_to(connection, id);
}

// ---------------------------------------------------------------- events

void WorkerCancellations::on_connected(WorkerConnection& connection) {
    for (const std::uint64_t id : owed_.unwritten()) write_to(connection, id);
    for (const std::uint64_t id : owed_.overdue(worker_.loop_.now())) write_to(connection, id);
}

// An attempt whose outcome is unknown may run on the worker by now, and no message about it would reach this
// placer: a duplicate that takes up the worker's capacity for nothing.
void WorkerCancellations::on_connection_lost(const WorkerConnection& lost, bool was_up) {
    owed_.on_connection_lost(lost.number());
    if (worker_.is_gone()) return;
    if (was_up)
        for (const std::uint64_t id : lost.attempts_to_cancel())
            if (const auto dropped = owed_.add(worker_.loop_.now(), {id, {}, true})) log_dropped({*dropped});
    for (const std::uint64_t id : owed_.unwritten()) write_to_another(id);
}

void WorkerCancellations::on_released(std::uint64_t id, Cause cause) {
    const auto settled = owed_.on_released(id, static_cast<ledger::ReleaseCause>(cause), worker_.loop_.now());
    if (settled) log_settled(*settled);
}

void WorkerCancellations::on_given_up(std::uint64_t id) { owed_.on_given_up(id, worker_.loop_.now()); }

bool WorkerCancellations::concerns_cancelled_copy(std::uint64_t id, Cause cause) const {
    switch (scope_of(cause)) {
        case ReleaseScope::unanswered_attempt:
            return false;
        case ReleaseScope::running_task:
            return owed_.was_cancelled(id);
        case ReleaseScope::either:
            return owed_.expects_release(id, static_cast<ledger::ReleaseCause>(cause));
    }
    return false;
}

// The worker sends the end of a running task on the connection of its attempt while that one is open. If it
// is not, a repeat cannot be told from the end of the later copy, except by the cause `cancelled`: nobody but
// this placer cancels a task that it runs, and this placer does not wait for the end of what it has
// cancelled.
bool WorkerCancellations::is_repeat(std::uint64_t id, Cause cause,
                                    const WorkerConnection& received_on) const {
    if (received_on.has_accepted(id)) return false;
    if (cause == Cause::cancelled) return owed_.expects_release(id);
    const bool is_own_open = std::any_of(
        worker_.connections_.begin(), worker_.connections_.end(),
        [id](const auto& connection) { return connection->is_up() && connection->has_accepted(id); });
    return is_own_open && owed_.expects_repeat(id, static_cast<ledger::ReleaseCause>(cause));
}

void WorkerCancellations::on_accepted(std::uint64_t id) {
    if (const auto settled = owed_.on_accepted(id, worker_.loop_.now())) log_settled(*settled);
}

void WorkerCancellations::on_probe_answered(const WorkerConnection& connection, Nanos sent_at) {
    for (const SettledCancellation& settled :
         owed_.on_read(connection.number(), sent_at, worker_.loop_.now()))
        log_settled(settled);
}

void WorkerCancellations::on_worker_restarted(Nanos at) {
    log_dropped(owed_.drop_before(at, worker_.loop_.now()));
}

void WorkerCancellations::on_worker_lost() { log_dropped(owed_.drop_all(worker_.loop_.now())); }

bool WorkerCancellations::sweep(Nanos now, Nanos lost_after) {
    owed_.forget_expired(now, [this](std::uint64_t id) {
        return worker_.find_running(id) || worker_.has_attempt_in_flight(id);
    });
    if (owed_.empty()) return false;
    log_dropped(owed_.expire(now, worker_.last_received_, lost_after));
    for (const std::uint64_t id : owed_.unwritten()) write_to_another(id);
    for (const std::uint64_t id : owed_.overdue(now)) {
        probe_carriers(id);
        write_to_all(id);
    }
    const int timeouts_until_dial = worker_.health_checks_ ? 2 : 1;  // the probe is answered sooner
    return !owed_.overdue(now, timeouts_until_dial).empty();
}

// ---------------------------------------------------------------- log

void WorkerCancellations::log_settled(const SettledCancellation& settled) const {
    const bool is_usual = settled.rounds <= 1;
    worker_.log_(is_usual ? log::Level::debug : log::Level::info, "cancellation_settled",
                 {{"worker", worker_.name_},
                  {"id", settled.id},
                  {"outcome", ledger::to_string(settled.outcome)},
                  {"rounds", settled.rounds},
                  {"owed_ms", settled.owed_for / kMillisecond}});
}

void WorkerCancellations::log_dropped(const std::vector<SettledCancellation>& dropped) const {
    for (const SettledCancellation& settled : dropped)
        worker_.log_(log::Level::info, "cancellation_dropped",
                     {{"worker", worker_.name_},
                      {"id", settled.id},
                      {"outcome", ledger::to_string(settled.outcome)},
                      {"rounds", settled.rounds},
                      {"owed_ms", settled.owed_for / kMillisecond}});
}

}  // namespace whinpost::platform
