// The texts for an attempt's outcome and the worker's reason, for clients and the log.
#pragma once
#include <string_view>

#include "whinpost/scheduler.h"

namespace whinpost::server {

std::string_view to_string(OutcomeReason);
std::string_view to_string(AttemptOutcome);

}  // namespace whinpost::server
