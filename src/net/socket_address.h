// IP socket addresses as text: "192.0.2.1:80" or "[2001:db8::1]:80".
#pragma once
#include <sys/socket.h>

#include <optional>
#include <string>

namespace whinpost::net {

struct SocketAddress {
    sockaddr_storage storage{};
    socklen_t length = 0;

    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

// Parses an IP address and port; host names are rejected. Port 0 is accepted, unlike in libevent's parser.
[[nodiscard]] std::optional<SocketAddress> parse_socket_address(const std::string& text);

// The address must be of family AF_INET or AF_INET6.
std::string to_string(const SocketAddress&);

}  // namespace whinpost::net
