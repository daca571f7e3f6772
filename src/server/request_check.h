// What clients and workers send, checked and converted to the plain types of the scheduler.
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
// The text that the client is sent; it names the field.
std::string_view to_string(const RequestError&);

// Checks each field. `queue_groups`: the names of the configured groups.
[[nodiscard]] tl::expected<void, RequestError> check_request(const v1::SubmitTask&,
                                                             const std::vector<std::string>& queue_groups);

// The request as the scheduler and the ledger take it. Only for a message that was checked.
ResourceRequest resource_request(const v1::SubmitTask&, const std::vector<std::string>& queue_groups);

// A number that is not finite counts as absent.
LoadReport load_report(const v1::LoadReport&);

}  // namespace whinpost::server
