#include "server/outcome_text.h"

namespace whinpost::server {

std::string_view to_string(OutcomeReason reason) {
    switch (reason) {
        case OutcomeReason::unspecified:
            break;
        case OutcomeReason::no_cores:
            return "no cores";
        case OutcomeReason::no_memory:
            return "no memory";
        case OutcomeReason::queue_full:
            return "too many offers wait";
        case OutcomeReason::not_available:
            return "not here";
        case OutcomeReason::evicted:
            return "evicted";
        case OutcomeReason::preempted:
            return "pushed out";
        case OutcomeReason::drained:
            return "sent away";
    }
    return "no reason told";
}

std::string_view to_string(AttemptOutcome outcome) {
    switch (outcome) {
        case AttemptOutcome::completed:
            return "served";
        case AttemptOutcome::failed:
            return "error";
        case AttemptOutcome::rejected:
            return "refused";
        case AttemptOutcome::timed_out:
            return "no answer in time";
        case AttemptOutcome::connect_failed:
            return "not connected";
        case AttemptOutcome::reset:
            return "broken off";
        case AttemptOutcome::cancelled:
            return "stopped";
        case AttemptOutcome::not_sent:
            return "never sent";
        case AttemptOutcome::unknown:
            break;
    }
    return "unknown";
}

}  // namespace whinpost::server
