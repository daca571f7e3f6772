// Parsing and formatting of socket addresses.
#include "net/socket_address.h"

#include <catch2/catch.hpp>

using whinpost::net::parse_socket_address;

TEST_CASE("an IP address with a port is parsed, and formatted as the same text") {
    for (const char* text : {"127.0.0.1:7400", "10.0.0.1:0", "[::1]:65535"}) {
        const auto address = parse_socket_address(text);
        REQUIRE(address);
        CHECK(to_string(*address) == text);
    }
}

TEST_CASE("any other text than an IP address with a port is rejected") {
    for (const char* text : {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1",
                             "127.0.0.1:000080", "localhost:80", "::1:80", "[]:80", "[127.0.0.1]:80"})
        CHECK_FALSE(parse_socket_address(text));
}
