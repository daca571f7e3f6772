// Carries out what the planner decides on attempts, and tells it and the clients what becomes of them. The
// ledger has the last word: an attempt that it refuses is not sent, and the planner hears that it was not.
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

    // ---- messages of the attempt's worker
    void on_accepted(ledger::Attempt&);
    void on_running(ledger::Attempt&);
    void on_ended(ledger::Attempt&, const v1::AttemptEnded&);
    void on_usage(ledger::Attempt&, const v1::UsageReport&);

    // The attempt has ended, by whatever source. An end that is known already changes nothing.
    void end_attempt(ledger::Attempt&, AttemptOutcome, OutcomeReason, const LoadReport&);
    // The same, later, of the attempt of that number if it still exists: a round may be under way.
    void defer_end(std::uint64_t attempt, AttemptOutcome);
    // The time of the attempt in flight is up, if it was not accepted.
    // The worker speaks of a running task under the number of its latest adoption alone: earlier ones end
    // here.
    void supersede(WorkerPeer&, std::string_view task_key);
    void on_deadline(InFlightTask&);
    // Its client cancels the task: the attempt in flight is withdrawn if it was not sent, else cancelled at
    // its worker.
    void cancel_in_flight(InFlightTask&);
    // After a worker has greeted: cancels anew what its client cancelled while the worker was unreachable,
    // and which would run on there unwanted.
    void resend_cancellations(WorkerPeer&);

    // Attempts in flight that no worker has accepted.
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
