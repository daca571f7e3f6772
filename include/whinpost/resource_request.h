// What a client requests when it submits a task.
#pragma once
#include "whinpost/nanos.h"

namespace whinpost {

struct ResourceRequest {
    double cores = 0, memory = 0;
    int queue_group = 0;         // index into the configured queue groups
    Nanos time_left = 0;         // until the client gives up
    Nanos expected_runtime = 0;  // an estimate; 0: unknown
    bool is_retry = false;
};

}  // namespace whinpost
