// What the discovery service says of one worker, checked.
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
// The text that the discovery service is sent; it names the field.
std::string_view to_string(const EndpointError&);

// `worker_kinds`: how many are configured.
[[nodiscard]] tl::expected<void, EndpointError> check_endpoint(const v1::Endpoint&, std::size_t worker_kinds);

}  // namespace whinpost::server
