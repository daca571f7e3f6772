// Why a client's connection was closed; used in the log and in the counters.
#pragma once
#include <string_view>

namespace whinpost::platform {

enum class ClientCloseReason {
    closed_by_client,
    connection_lost,   // reset, or another connection error
    no_request,        // no message that needs an answer arrived in time
    partial_message,   // the rest of a message did not arrive in time
    malformed,         // the received bytes are not a valid message
    protocol_error,    // a message type that clients may not send
    duplicate_id,      // a second request with the id of an open one
    reads_too_slowly,  // too much unsent data
    evicted,           // its descriptor was needed for a new connection
    server_full,       // accepted only to reject its requests
    draining,          // this placer is shutting down
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
