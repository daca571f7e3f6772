#include "platform/worker_messages.h"

#include <charconv>
#include <cmath>
#include <utility>

#include "settings/settings.h"

namespace whinpost::platform {

using platform_codec::Cause;
using platform_codec::Message;

namespace {

constexpr std::pair<std::string_view, OutcomeReason> kReasons[] = {
    {"no_cores", OutcomeReason::no_cores},     {"no_memory", OutcomeReason::no_memory},
    {"queue_full", OutcomeReason::queue_full}, {"not_here", OutcomeReason::not_available},
    {"evicted", OutcomeReason::evicted},       {"pushed_out", OutcomeReason::preempted},
    {"sent_away", OutcomeReason::drained}};

}  // namespace

OutcomeReason reason_of(const Message& message) {
    if (message.detail)
        for (const auto& [name, reason] : kReasons)
            if (*message.detail == name) return reason;
    return OutcomeReason::unspecified;
}

LoadReport load_report_of(const Message& message) {
    LoadReport report;
    if (message.load_report && !settings::parse_load_report(*message.load_report, ';', report)) report = {};
    return report;
}

AttemptOutcome outcome_of_attempt(Cause cause) {
    switch (cause) {
        case Cause::full:
            return AttemptOutcome::rejected;
        case Cause::error:
            return AttemptOutcome::failed;
        case Cause::never_sent:
            return AttemptOutcome::not_sent;
        default:  // peers may send any value
            return AttemptOutcome::reset;
    }
}

AttemptOutcome outcome_of_running_task(Cause cause) {
    switch (cause) {
        case Cause::ok:
            return AttemptOutcome::completed;
        case Cause::cancelled:
            return AttemptOutcome::cancelled;
        default:  // peers may send any value
            return AttemptOutcome::reset;
    }
}

bool is_answer_and_end(const Message& message) {
    return message.cause == Cause::ok && message.description && !message.description->empty();
}

std::optional<double> finite_number(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

ReleaseScope scope_of(Cause cause) {
    switch (cause) {
        case Cause::full:
        case Cause::error:
        case Cause::never_sent:
            return ReleaseScope::unanswered_attempt;
        case Cause::ok:
        case Cause::cancelled:
            return ReleaseScope::running_task;
        default:  // peers may send any value
            return ReleaseScope::either;
    }
}

}  // namespace whinpost::platform
