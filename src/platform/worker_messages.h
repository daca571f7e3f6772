// What the fields of a worker's messages mean for attempts and running tasks. No state.
#pragma once
#include <optional>
#include <string_view>

#include "platform_codec/message.h"
#include "whinpost/scheduler.h"

namespace whinpost::platform {

OutcomeReason reason_of(const platform_codec::Message&);
// A report that cannot be parsed counts as empty.
LoadReport load_report_of(const platform_codec::Message&);
// Nullopt if the text is not a finite number.
std::optional<double> finite_number(std::string_view text);

// The outcome of an attempt without an answer that ended with a release of this cause.
AttemptOutcome outcome_of_attempt(platform_codec::Cause);
AttemptOutcome outcome_of_running_task(platform_codec::Cause);
// A release with cause `ok` and a description is the answer and the end in one: the task has run and ended.
bool is_answer_and_end(const platform_codec::Message&);

// What a release can concern if an attempt with its id is in flight, by its cause and the protocol.
enum class ReleaseScope {
    unanswered_attempt,
    running_task,  // which the worker has answered, so not the attempt in flight
    either
};
ReleaseScope scope_of(platform_codec::Cause);

}  // namespace whinpost::platform
