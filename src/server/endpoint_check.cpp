#include "server/endpoint_check.h"

#include <cmath>
#include <cstdint>

#include "proto/discovery.pb.h"
#include "server/server_context.h"

namespace whinpost::server {

namespace {
constexpr std::uint32_t kMaxLocation = 1 << 20;  // the largest zone or cell; a larger one is an input error
}

std::string_view to_string(const EndpointError& error) {
    switch (error.kind) {
        case EndpointError::Kind::worker_name_length:
            return "entry.node: must have 1 to 256 bytes";
        case EndpointError::Kind::no_address:
            return "entry.address: is missing";
        case EndpointError::Kind::location_out_of_range:
            return "entry.zone, entry.cell: out of range";
        case EndpointError::Kind::free_amount_not_finite:
            return "entry.free_cores, entry.free_memory: must be numbers";
        case EndpointError::Kind::negative_uptime:
            return "entry.up_for: must not be negative";
        case EndpointError::Kind::unknown_kind:
            return "entry.kind: is out of range";
    }
    return "unknown";
}

tl::expected<void, EndpointError> check_endpoint(const v1::Endpoint& endpoint, std::size_t worker_kinds) {
    const auto fail = [](EndpointError::Kind kind) { return tl::unexpected(EndpointError{kind}); };
    if (endpoint.worker().empty() || endpoint.worker().size() > kMaxNameLength)
        return fail(EndpointError::Kind::worker_name_length);
    if (endpoint.phase() != v1::Endpoint::GONE && endpoint.address().empty())
        return fail(EndpointError::Kind::no_address);
    if (endpoint.zone() > kMaxLocation || endpoint.cell() > kMaxLocation)
        return fail(EndpointError::Kind::location_out_of_range);
    if (!std::isfinite(endpoint.free_cores()) || !std::isfinite(endpoint.free_memory()))
        return fail(EndpointError::Kind::free_amount_not_finite);
    if (endpoint.uptime() < 0) return fail(EndpointError::Kind::negative_uptime);
    if (endpoint.kind() >= worker_kinds) return fail(EndpointError::Kind::unknown_kind);
    return {};
}

}  // namespace whinpost::server
