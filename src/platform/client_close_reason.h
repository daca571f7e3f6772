// Why a client's connection came to its end, for the log and the counters.
#pragma once
#include <string_view>

namespace whinpost::platform {

enum class ClientCloseReason {
    closed_by_client,
    connection_lost,   // reset, or broken in another way
    no_request,        // no request that calls for an answer came in time
    partial_message,   // the rest of a message did not come in time
    malformed,         // bytes that are no message
    protocol_error,    // a message that no client may send
    duplicate_id,      // a second request under the id of one that is open
    reads_too_slowly,  // too many answers wait to be sent
    evicted,           // its descriptor was needed
    server_full,       // accepted only to be rejected
    draining,          // this process ends
};
constexpr std::size_t kClientCloseReasons = static_cast<std::size_t>(ClientCloseReason::draining) + 1;

constexpr std::string_view to_string(ClientCloseReason reason) {
    constexpr std::string_view texts[kClientCloseReasons] = {
        "closed_by_client", "connection_lost", "no_request",   "partial_message",
        "malformed",        "protocol_error",  "duplicate_id", "reads_too_slowly",
        "evicted",          "server_full",     "draining"};
    return texts[static_cast<std::size_t>(reason)];
}

}  // namespace whinpost::platform
