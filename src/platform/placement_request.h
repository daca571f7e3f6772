// What an owner's set-up asks for, read and checked whole. No I/O.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "platform_codec/message.h"
#include "whinpost/scheduler.h"

namespace whinpost::platform {

struct PlacementRequest {
    ResourceRequest resources;
    std::string task_name, service, idempotency_key;
    std::string running_on;  // the host that holds it already; empty: it is to be placed
};

// Empty where all holds, else what is wrong. `largest` is the size of the largest machine: no container can
// ask for more.
std::string_view parse_placement_request(const platform_codec::Message&,
                                         const std::vector<std::string>& group_names,
                                         const std::vector<QueueGroup>& groups, WorkerKind largest,
                                         PlacementRequest& out);

}  // namespace whinpost::platform
