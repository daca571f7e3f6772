#include "outcome_codes.h"

namespace whinpost::simulator_adapter {

AttemptOutcome outcome_of(std::int64_t code) {
    switch (code) {
        case 0:
            return AttemptOutcome::completed;
        case 5:
            return AttemptOutcome::failed;
        case 11:
            return AttemptOutcome::rejected;
        case 110:
            return AttemptOutcome::timed_out;
        case 111:
            return AttemptOutcome::connect_failed;
        case 104:
            return AttemptOutcome::reset;
        case 125:
            return AttemptOutcome::cancelled;
        case 114:
            return AttemptOutcome::not_sent;
        default:
            return AttemptOutcome::unknown;
    }
}

OutcomeReason outcome_reason_of(std::int64_t code) {
    switch (code) {
        case 1:
            return OutcomeReason::no_cores;
        case 2:
            return OutcomeReason::no_memory;
        case 3:
            return OutcomeReason::queue_full;
        case 4:
            return OutcomeReason::not_available;
        case 5:
            return OutcomeReason::evicted;
        case 6:
            return OutcomeReason::preempted;
        case 7:
            return OutcomeReason::drained;
        default:
            return OutcomeReason::unspecified;
    }
}

}  // namespace whinpost::simulator_adapter
