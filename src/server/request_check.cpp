#include "server/request_check.h"

#include <algorithm>
#include <cmath>

#include "proto/client.pb.h"
#include "proto/worker.pb.h"
#include "server/server_context.h"

namespace whinpost::server {

namespace {
// The maximum of cores or memory. A larger amount is an input error; up to this, sums are exact enough.
constexpr double kMaxAmount = 1e9;
constexpr Nanos kMaxTimeLeft = Nanos{24} * 3600 * kSecond;

bool is_valid_name(std::string_view name) { return !name.empty() && name.size() <= kMaxNameLength; }

bool is_valid_amount(double amount) { return std::isfinite(amount) && amount >= 0 && amount <= kMaxAmount; }

void copy_if_finite(bool has_value, double value, double& target, bool& has_target) {
    has_target = has_value && std::isfinite(value);
    if (has_target) target = value;
}
}  // namespace

std::string_view to_string(const RequestError& error) {
    switch (error.kind) {
        case RequestError::Kind::no_id:
            return "offer.id: must not be 0";
        case RequestError::Kind::task_key_length:
            return "offer.container: must have 1 to 256 bytes";
        case RequestError::Kind::service_length:
            return "offer.service: must have 1 to 256 bytes";
        case RequestError::Kind::unknown_queue_group:
            return "offer.group: no such queue group";
        case RequestError::Kind::cores_out_of_range:
            return "offer.cores: must be a number from 0 to 1e9";
        case RequestError::Kind::memory_out_of_range:
            return "offer.memory: must be a number from 0 to 1e9";
        case RequestError::Kind::time_left_out_of_range:
            return "offer.time_left: must be over 0 and at most a day";
        case RequestError::Kind::negative_runtime:
            return "offer.life_left: must not be negative";
    }
    return "unknown";
}

tl::expected<void, RequestError> check_request(const v1::SubmitTask& request,
                                               const std::vector<std::string>& queue_groups) {
    const auto fail = [](RequestError::Kind kind) { return tl::unexpected(RequestError{kind}); };
    if (request.id() == 0) return fail(RequestError::Kind::no_id);
    if (!is_valid_name(request.task())) return fail(RequestError::Kind::task_key_length);
    if (!is_valid_name(request.service())) return fail(RequestError::Kind::service_length);
    if (std::find(queue_groups.begin(), queue_groups.end(), request.queue_group()) == queue_groups.end())
        return fail(RequestError::Kind::unknown_queue_group);
    if (!is_valid_amount(request.cores())) return fail(RequestError::Kind::cores_out_of_range);
    if (!is_valid_amount(request.memory())) return fail(RequestError::Kind::memory_out_of_range);
    if (request.time_left() <= 0 || request.time_left() > kMaxTimeLeft)
        return fail(RequestError::Kind::time_left_out_of_range);
    if (request.expected_runtime() < 0) return fail(RequestError::Kind::negative_runtime);
    return {};
}

ResourceRequest resource_request(const v1::SubmitTask& message,
                                 const std::vector<std::string>& queue_groups) {
    const auto group = std::find(queue_groups.begin(), queue_groups.end(), message.queue_group());
    ResourceRequest request;
    request.cores = message.cores();
    request.memory = message.memory();
    request.queue_group = static_cast<int>(group - queue_groups.begin());
    request.time_left = message.time_left();
    request.expected_runtime = message.expected_runtime();
    request.is_retry = message.is_retry();
    return request;
}

LoadReport load_report(const v1::LoadReport& message) {
    LoadReport report;
    copy_if_finite(message.has_free_cores(), message.free_cores(), report.free_cores, report.has_free_cores);
    copy_if_finite(message.has_free_memory(), message.free_memory(), report.free_memory,
                   report.has_free_memory);
    copy_if_finite(message.has_utilization(), message.utilization(), report.utilization,
                   report.has_utilization);
    copy_if_finite(message.has_queue_length(), message.queue_length(), report.queue_length,
                   report.has_queue_length);
    return report;
}

}  // namespace whinpost::server
