// How an attempt to run a task ended, and why.
#pragma once

namespace whinpost {

// Only rejected, connect_failed and not_sent prove that the attempt never ran.
enum class AttemptOutcome {
    completed,
    failed,
    rejected,
    timed_out,
    connect_failed,
    reset,
    cancelled,
    not_sent,
    unknown
};

enum class OutcomeReason {
    unspecified,
    no_cores,
    no_memory,
    queue_full,
    not_available,
    evicted,
    preempted,
    drained
};

}  // namespace whinpost
