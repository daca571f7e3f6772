// State of a worker as the endpoint list and load reports give it.
#pragma once
#include <string_view>

#include "whinpost/nanos.h"

namespace whinpost {

enum class EndpointPhase { serving, draining, gone };
constexpr std::string_view to_string(EndpointPhase phase) {
    switch (phase) {
        case EndpointPhase::serving:
            return "serving";
        case EndpointPhase::draining:
            return "draining";
        case EndpointPhase::gone:
            return "gone";
    }
    return "";
}

struct WorkerKind {
    double cores = 0, memory = 0;
};

struct EndpointState {
    int zone = 0, cell = 0, kind = 0;  // kind: index into the configured worker kinds
    double free_cores = 0, free_memory = 0;
    EndpointPhase phase = EndpointPhase::serving;
    Nanos started_at = 0;  // 0: long before the warm-up time
};

// A value is valid only if its has_ flag is set.
struct LoadReport {
    double free_cores = 0, free_memory = 0, utilization = 0, queue_length = 0;
    bool has_free_cores = false, has_free_memory = false, has_utilization = false, has_queue_length = false;
};

}  // namespace whinpost
