#include "platform/placement_request.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>

namespace whinpost::platform {
namespace {

using platform_codec::Message;
using Kind = PlacementRequestError::Kind;
using Check = std::optional<Kind>;  // empty if the check passes

// Larger values are rejected; clients wait for seconds.
constexpr std::int64_t kMaxTimeLeftMs = 3'600'000;
constexpr double kMaxRuntimeMs = 1e9;
constexpr std::size_t kTaskNameDigits = 16, kIdempotencyKeyDigits = 32;

template <class Number>
bool parse_number(std::string_view text, Number& number) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc{} && end == text.data() + text.size() && !text.empty();
}

bool parse_amount(std::string_view text, double& amount) {
    return parse_number(text, amount) && std::isfinite(amount);
}

bool is_hex(std::string_view text, std::size_t digits) {
    return text.size() == digits && std::all_of(text.begin(), text.end(), [](char digit) {
               return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
           });
}

// Whether the message reports a running task. It then needs no time left and no description, and may omit the
// idempotency key.
bool reports_running_task(const Message& message) {
    return message.requirements && message.requirements->find("at:") != std::string_view::npos;
}

Check parse_queue_group(const Message& message, const PlacementRequestRules& rules,
                        PlacementRequest& request) {
    if (!message.queue_group) return Kind::no_queue_group;
    const auto group = std::find(rules.group_names.begin(), rules.group_names.end(), *message.queue_group);
    if (group == rules.group_names.end()) return Kind::unknown_queue_group;
    request.resources.queue_group = static_cast<int>(group - rules.group_names.begin());
    return std::nullopt;
}

Check parse_time_left(const Message& message, PlacementRequest& request) {
    std::int64_t time_left_ms = 0;
    if (!reports_running_task(message)) {
        const bool parsed = message.time_left_ms && parse_number(*message.time_left_ms, time_left_ms);
        if (!parsed || time_left_ms < 0 || time_left_ms > kMaxTimeLeftMs) return Kind::bad_time_left;
    }
    request.resources.time_left = time_left_ms * kMillisecond;
    return std::nullopt;
}

Check parse_identity(const Message& message, const PlacementRequestRules& rules, PlacementRequest& request) {
    if (!message.task_name || !is_hex(*message.task_name, kTaskNameDigits)) return Kind::bad_task_name;
    request.task_name = *message.task_name;
    const auto group = static_cast<std::size_t>(request.resources.queue_group);
    const bool needs_key = rules.groups[group].effect == Effect::keyed &&
                           (message.idempotency_key || !reports_running_task(message));
    const bool has_key = message.idempotency_key && is_hex(*message.idempotency_key, kIdempotencyKeyDigits);
    if (needs_key && !has_key) return Kind::bad_idempotency_key;
    if (message.idempotency_key) request.idempotency_key = *message.idempotency_key;
    return std::nullopt;
}

struct GivenAmounts {
    bool cores = false, memory = false;
};

// Parses one `name:value` pair; unknown names are ignored.
Check parse_requirement(std::string_view name, std::string_view value, GivenAmounts& given,
                        PlacementRequest& request) {
    if (name == "cores") {
        if (!parse_amount(value, request.resources.cores)) return Kind::bad_cores;
        given.cores = true;
    } else if (name == "memory") {
        if (!parse_amount(value, request.resources.memory)) return Kind::bad_memory;
        given.memory = true;
    } else if (name == "again") request.resources.is_retry = value == "1";
    else if (name == "service") request.service = value;
    else if (name == "at") request.running_on = value;
    else if (name == "hint" || name == "life") {
        double runtime_ms = 0;
        if (!parse_amount(value, runtime_ms) || runtime_ms < 0 || runtime_ms > kMaxRuntimeMs)
            return Kind::bad_runtime;
        request.resources.expected_runtime = static_cast<Nanos>(runtime_ms * 1e6);
    }
    return std::nullopt;
}

Check parse_requirements(std::string_view text, const WorkerKind& largest, PlacementRequest& request) {
    GivenAmounts given;
    while (!text.empty()) {
        const std::size_t end = text.find(';');
        const std::string_view pair = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        const std::size_t colon = pair.find(':');
        if (colon == std::string_view::npos) return Kind::bad_requirements;
        if (const Check error =
                parse_requirement(pair.substr(0, colon), pair.substr(colon + 1), given, request))
            return error;
    }
    const ResourceRequest& resources = request.resources;
    if (!given.cores || !(resources.cores > 0) || resources.cores > largest.cores)
        return Kind::cores_out_of_range;
    if (!given.memory || !(resources.memory > 0) || resources.memory > largest.memory)
        return Kind::memory_out_of_range;
    return std::nullopt;
}

Check parse(const Message& message, const PlacementRequestRules& rules, PlacementRequest& request) {
    // A worker closes its connection on an attempt with id 0, which leaves the outcome of all other attempts
    // in flight on that connection unknown.
    if (message.task == 0) return Kind::no_id;
    if (const Check error = parse_queue_group(message, rules, request)) return error;
    if (const Check error = parse_time_left(message, request)) return error;
    if (const Check error = parse_identity(message, rules, request)) return error;
    const bool described = message.description && !message.description->empty();
    if (!described && !reports_running_task(message)) return Kind::no_description;
    if (!message.requirements) return Kind::no_requirements;
    if (const Check error = parse_requirements(*message.requirements, rules.largest, request)) return error;
    if (request.service.empty()) return Kind::no_service;
    return std::nullopt;
}

}  // namespace

std::string_view to_string(Kind kind) {
    switch (kind) {
        case Kind::no_id:
            return "request id is 0";
        case Kind::no_queue_group:
            return "queue group is missing";
        case Kind::unknown_queue_group:
            return "unknown queue group";
        case Kind::bad_time_left:
            return "time left is missing or invalid";
        case Kind::bad_task_name:
            return "task name is missing or not 16 lowercase hex digits";
        case Kind::bad_idempotency_key:
            return "idempotency key is missing or not 32 lowercase hex digits";
        case Kind::no_description:
            return "description is missing or empty";
        case Kind::no_requirements:
            return "requirements are missing";
        case Kind::bad_requirements:
            return "requirement without a colon";
        case Kind::bad_cores:
            return "cores is not a finite number";
        case Kind::bad_memory:
            return "memory is not a finite number";
        case Kind::bad_runtime:
            return "expected runtime is invalid";
        case Kind::cores_out_of_range:
            return "cores is missing or out of range";
        case Kind::memory_out_of_range:
            return "memory is missing or out of range";
        case Kind::no_service:
            return "service is missing or empty";
    }
    return "";
}

tl::expected<PlacementRequest, PlacementRequestError> parse_placement_request(
    const Message& message, const PlacementRequestRules& rules) {
    PlacementRequest request;
    if (const Check error = parse(message, rules, request))
        return tl::make_unexpected(PlacementRequestError{*error});
    return request;
}

}  // namespace whinpost::platform
