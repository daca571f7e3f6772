// The simulator's numeric codes for outcomes and their reasons.
#pragma once
#include <cstdint>

#include "whinpost/attempt_outcome.h"

namespace whinpost::simulator_adapter {

AttemptOutcome outcome_of(std::int64_t code);        // AttemptOutcome::unknown for any other
OutcomeReason outcome_reason_of(std::int64_t code);  // OutcomeReason::unspecified for any other

}  // namespace whinpost::simulator_adapter
