// The simulator's numbers for outcomes and their reasons.
#pragma once
#include <cstdint>

#include "whinpost/attempt_outcome.h"

namespace whinpost::simulator_adapter {

AttemptOutcome outcome_of(std::int64_t code);        // AttemptOutcome::unknown for any other code
OutcomeReason outcome_reason_of(std::int64_t code);  // OutcomeReason::unspecified likewise

}  // namespace whinpost::simulator_adapter
