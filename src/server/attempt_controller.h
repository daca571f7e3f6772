// Starts, cancels and ends attempts as the planner decides, and reports their outcomes to the planner and the
// clients. An attempt that the ledger refuses is not sent; the planner is notified with the outcome not_sent.
#pragma once
#include <cstdint>
#include <string_view>

#include "planner/planner.h"
#include "server/task_answers.h"

namespace whinpost::v1 {
class AttemptEnded;
class UsageReport;
}  // namespace whinpost::v1

namespace whinpost::membership {
class Membership;
}
namespace whinpost::slow_start {
class TokenClient;
}

namespace whinpost::server {

class WorkerEndpoint;
class WorkerPeer;

class AttemptController {
public:
    AttemptController(ServerContext&, TaskTable&, TaskAnswers&, WorkerEndpoint&, membership::Membership&,
                      slow_start::TokenClient&);

    // ---- decisions of the planner
    void place(planner::TaskNumber, planner::WorkerNumber, Nanos time_out);
    void migrate(planner::TaskNumber);
    void cancel_attempt(planner::TaskNumber);

    // ---- messages from the attempt's worker
    void on_accepted(ledger::Attempt&);
    void on_running(ledger::Attempt&);
    void on_ended(ledger::Attempt&, const v1::AttemptEnded&);
    void on_usage(ledger::Attempt&, const v1::UsageReport&);

    // Records the end of an attempt, whether its worker, a deadline or a lost connection reports it. Does
    // nothing if the end is already recorded.
    void end_attempt(ledger::Attempt&, AttemptOutcome, OutcomeReason, const LoadReport&);
    // Calls end_attempt() outside a planner round, if an attempt of that number still exists by then.
    void defer_end(std::uint64_t attempt, AttemptOutcome);
    // Ends the earlier attempts of a task that is adopted again: its worker reports the task only under the
    // attempt number of the latest adoption.
    void end_earlier_attempts(WorkerPeer&, std::string_view task_key);
    // Ends the attempt in flight as timed out, or as not sent, unless it was accepted.
    void on_deadline(InFlightTask&);
    // For a task that its client cancels: withdraws the attempt in flight if it was not sent, else sends
    // CancelAttempt to its worker.
    void cancel_in_flight(InFlightTask&);
    // After a worker's greeting: sends CancelAttempt again for attempts whose client cancelled the task. The
    // earlier one was dropped if the worker was unreachable, and the task would keep running there.
    void resend_cancellations(WorkerPeer&);

    // The number of attempts in flight that no worker has accepted.
    std::int64_t unaccepted() const { return unaccepted_; }

private:
    void refuse_placement(planner::TaskNumber, int attempt_index, std::string_view reason);
    void on_late_accept(InFlightTask&, ledger::Attempt&);
    void release_at_worker(ledger::Attempt&, AttemptOutcome);
    void send_cancellation(const ledger::Attempt&);

    ServerContext& context_;
    TaskTable& tasks_;
    TaskAnswers& answers_;
    WorkerEndpoint& workers_;
    membership::Membership& membership_;
    slow_start::TokenClient& tokens_;
    std::int64_t unaccepted_ = 0;
};

}  // namespace whinpost::server
