// Parses and checks a client's placement request. No I/O.
#pragma once
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "platform_codec/message.h"
#include "whinpost/scheduler.h"

namespace whinpost::platform {

struct PlacementRequest {
    ResourceRequest resources;
    std::string task_name, service, idempotency_key;
    std::string running_on;  // the worker that already runs the task; empty: to be placed
};

struct PlacementRequestError {
    enum class Kind {
        no_id,
        no_queue_group,
        unknown_queue_group,
        bad_time_left,
        bad_task_name,
        bad_idempotency_key,
        no_description,
        no_requirements,
        bad_requirements,
        bad_cores,
        bad_memory,
        bad_runtime,
        cores_out_of_range,
        memory_out_of_range,
        no_service,
    };
    Kind kind;
};
std::string_view to_string(PlacementRequestError::Kind);

// The queue groups and limits that requests are checked against.
struct PlacementRequestRules {
    std::vector<std::string> group_names;  // indexed like `groups`
    std::vector<QueueGroup> groups;
    WorkerKind largest;  // the most cores and memory of any worker kind: upper limits for a task
};

[[nodiscard]] tl::expected<PlacementRequest, PlacementRequestError> parse_placement_request(
    const platform_codec::Message&, const PlacementRequestRules&);

}  // namespace whinpost::platform
