#include "ledger/task_liveness.h"

namespace whinpost::ledger {

std::string_view to_string(TaskLossReason reason) {
    switch (reason) {
        case TaskLossReason::worker_restarted:
            return "worker_restarted";
        case TaskLossReason::worker_refused:
            return "worker_refused";
        case TaskLossReason::worker_left:
            return "worker_left";
        case TaskLossReason::worker_silent:
            return "worker_silent";
        case TaskLossReason::unconfirmed:
            return "unconfirmed";
        case TaskLossReason::interrupted:
            return "interrupted";
        case TaskLossReason::superseded:
            return "superseded";
    }
    return "unknown";
}

void TaskLiveness::on_reported(Nanos now) {
    doubt_ = Doubt::unconfirmed;
    since_ = now;
}

void TaskLiveness::on_worker_message() {
    doubt_ = Doubt::none;
    may_be_replaced_ = false;
}

// The first interruption counts: the task may have ended at that time.
void TaskLiveness::on_interrupted(Nanos now) {
    if (doubt_ != Doubt::none) return;
    doubt_ = Doubt::interrupted;
    since_ = now;
}

void TaskLiveness::on_may_be_replaced(Nanos since) {
    if (doubt_ == Doubt::unconfirmed) return;
    on_interrupted(since);
    may_be_replaced_ = true;
}

void TaskLiveness::on_dial_refused() {
    if (doubt_ == Doubt::interrupted) may_be_replaced_ = true;
}

void TaskLiveness::on_process_confirmed(Nanos since) {
    if (doubt_ == Doubt::interrupted && since_ >= since) on_worker_message();
}

// Guards against ending a task that runs while no message from its worker arrives. If an earlier report of
// the client was confirmed and the worker has sent nothing since the doubt began, the report has the longer
// timeout.
TaskLiveness::Verdict TaskLiveness::check(Nanos now, const Evidence& evidence) {
    const Nanos doubted_for = now - since_;
    const bool is_report_trusted = !evidence.worker_responded && evidence.client_trusted;
    const Nanos confirmation_timeout = is_report_trusted ? kInterruptionTimeout : kConfirmationTimeout;
    if (doubt_ == Doubt::unconfirmed && doubted_for >= confirmation_timeout) return Verdict::unconfirmed;
    if (doubt_ != Doubt::interrupted) return Verdict::keep;
    if (evidence.list_is_current && !may_be_replaced_ && doubted_for >= kListDelay) on_worker_message();
    else if (doubted_for >= kInterruptionTimeout) return Verdict::interrupted;
    return Verdict::keep;
}

}  // namespace whinpost::ledger
