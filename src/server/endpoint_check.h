// Validates one worker's entry in an endpoint update of the discovery service.
#pragma once
#include <cstddef>
#include <string_view>
#include <tl/expected.hpp>

namespace whinpost::v1 {
class Endpoint;
}

namespace whinpost::server {

struct EndpointError {
    enum class Kind {
        worker_name_length,
        no_address,
        location_out_of_range,
        free_amount_not_finite,
        negative_uptime,
        unknown_kind,
    };
    Kind kind;
};
// The text of the Error for the discovery service; it names the field.
std::string_view to_string(const EndpointError&);

// `worker_kinds`: the number of configured worker kinds.
[[nodiscard]] tl::expected<void, EndpointError> check_endpoint(const v1::Endpoint&, std::size_t worker_kinds);

}  // namespace whinpost::server
