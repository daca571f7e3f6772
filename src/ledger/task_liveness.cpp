#include "ledger/task_liveness.h"

#include <algorithm>

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
    is_unconfirmed_ = true;
    reported_at_ = now;
}

void TaskLiveness::on_worker_message() {
    is_unconfirmed_ = false;
    end_interruption();
}

void TaskLiveness::end_interruption() {
    is_interrupted_ = false;
    may_be_replaced_ = false;
}

// The first interruption counts: the task may have ended at that time.
void TaskLiveness::on_interrupted(Nanos now) {
    if (is_interrupted_) return;
    is_interrupted_ = true;
    interrupted_at_ = now;
}

void TaskLiveness::on_may_be_replaced(Nanos since) {
    on_interrupted(since);
    may_be_replaced_ = true;
}

void TaskLiveness::on_dial_refused() {
    if (is_interrupted_) may_be_replaced_ = true;
}

void TaskLiveness::on_process_confirmed(Nanos since) {
    if (is_interrupted_ && interrupted_at_ >= since) end_interruption();
}

// Guards against ending a task that runs while no message from its worker arrives. If an earlier report of
// the client was confirmed and the worker has sent nothing since the doubt began, the report has the longer
// timeout.
bool TaskLiveness::is_unconfirmed_too_long(Nanos now, const Evidence& evidence) const {
    if (!is_unconfirmed_) return false;
    if (evidence.client_absent_since != 0 && now - evidence.client_absent_since >= kClientAbsence)
        return true;
    const bool is_report_trusted = !evidence.worker_responded && evidence.client_trusted;
    const Nanos timeout = is_report_trusted ? std::max(evidence.confirmation_timeout, kInterruptionTimeout)
                                            : evidence.confirmation_timeout;
    return now - reported_at_ >= timeout;
}

TaskLiveness::Verdict TaskLiveness::check(Nanos now, const Evidence& evidence) {
    if (is_unconfirmed_too_long(now, evidence)) return Verdict::unconfirmed;
    if (!is_interrupted_) return Verdict::keep;
    const Nanos interrupted_for = now - interrupted_at_;
    if (evidence.list_is_current && !may_be_replaced_ && interrupted_for >= kListDelay) end_interruption();
    else if (interrupted_for >= kInterruptionTimeout)
        return is_unconfirmed_ ? Verdict::unconfirmed : Verdict::interrupted;
    return Verdict::keep;
}

}  // namespace whinpost::ledger
