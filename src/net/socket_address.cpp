#include "net/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>
#include <cstdio>

namespace whinpost::net {

namespace {

constexpr std::size_t kMaxPortDigits = 5;
constexpr int kMaxPort = 65'535;

std::optional<std::uint16_t> parse_port(const std::string& digits) {
    if (digits.empty() || digits.size() > kMaxPortDigits) return std::nullopt;
    int port = 0;
    for (const char digit : digits) {
        if (digit < '0' || digit > '9') return std::nullopt;
        port = port * 10 + (digit - '0');
    }
    if (port > kMaxPort) return std::nullopt;
    return static_cast<std::uint16_t>(port);
}

}  // namespace

std::optional<SocketAddress> parse_socket_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    const std::optional<std::uint16_t> port = parse_port(text.substr(colon + 1));
    if (!port) return std::nullopt;
    const std::string host = text.substr(0, colon);
    SocketAddress address;
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        auto* in6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
        in6->sin6_family = AF_INET6;
        in6->sin6_port = htons(*port);
        address.length = sizeof *in6;
        if (inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &in6->sin6_addr) != 1)
            return std::nullopt;
        return address;
    }
    auto* in4 = reinterpret_cast<sockaddr_in*>(&address.storage);
    in4->sin_family = AF_INET;
    in4->sin_port = htons(*port);
    address.length = sizeof *in4;
    if (inet_pton(AF_INET, host.c_str(), &in4->sin_addr) != 1) return std::nullopt;
    return address;
}

std::string to_string(const SocketAddress& address) {
    char host[INET6_ADDRSTRLEN] = "?";
    char out[INET6_ADDRSTRLEN + 10];
    if (address.get()->sa_family == AF_INET6) {
        const auto* in6 = reinterpret_cast<const sockaddr_in6*>(address.get());
        inet_ntop(AF_INET6, &in6->sin6_addr, host, sizeof host);
        std::snprintf(out, sizeof out, "[%s]:%d", host, ntohs(in6->sin6_port));
        return out;
    }
    const auto* in4 = reinterpret_cast<const sockaddr_in*>(address.get());
    inet_ntop(AF_INET, &in4->sin_addr, host, sizeof host);
    std::snprintf(out, sizeof out, "%s:%d", host, ntohs(in4->sin_port));
    return out;
}

}  // namespace whinpost::net
