// Validates what clients and workers send and converts it to the scheduler's types.
#pragma once
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "whinpost/scheduler.h"

namespace whinpost::v1 {
class SubmitTask;
class LoadReport;
}  // namespace whinpost::v1

namespace whinpost::server {

struct RequestError {
    enum class Kind {
        no_id,
        task_key_length,
        service_length,
        unknown_queue_group,
        cores_out_of_range,
        memory_out_of_range,
        time_left_out_of_range,
        negative_runtime,
    };
    Kind kind;
};
// The text of the Error for the client; it names the field.
std::string_view to_string(const RequestError&);

// Checks each field; the error is the first one found. `queue_groups`: the names of the configured groups.
[[nodiscard]] tl::expected<void, RequestError> check_request(const v1::SubmitTask&,
                                                             const std::vector<std::string>& queue_groups);

// Converts a request for the scheduler and the ledger. The message must have passed check_request().
ResourceRequest resource_request(const v1::SubmitTask&, const std::vector<std::string>& queue_groups);

// Converts a load report. A number that is not finite counts as absent.
LoadReport load_report(const v1::LoadReport&);

}  // namespace whinpost::server
