// How an attempt's outcome and the worker's reason for it are told to clients.
#pragma once
#include <string_view>

#include "whinpost/scheduler.h"

namespace whinpost::server {

std::string_view to_string(OutcomeReason);
std::string_view to_string(AttemptOutcome);

}  // namespace whinpost::server
