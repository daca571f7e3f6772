// TCP proxy between a test's peers and a placer's process. Breaks single connections in the ways networks do:
// it stalls a direction, delays bytes, or closes one half.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "support/platform_sockets_rig.h"

namespace whinpost {

class TcpProxy {
public:
    // One direction of one connection.
    class Direction {
    public:
        // Forwards nothing until resume(); bytes from the sender are read and kept.
        void stall() { stalled_ = true; }
        void resume() { stalled_ = false; }
        bool is_stalled() const { return stalled_; }

    private:
        friend class TcpProxy;
        bool stalled_ = false, half_closed_ = false, sender_closed_ = false;
        std::string buffered_;
    };
    struct Connection {
        int accepted = -1, dialed = -1;
        Direction to_server, to_client;
    };

    // `listen_ip` and `server_ip` in host byte order.
    TcpProxy(std::uint32_t listen_ip, std::uint32_t server_ip, int server_port)
        : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)), listen_ip_(listen_ip),
          server_ip_(server_ip), server_port_(server_port) {
        sockaddr_in address = loopback(0, listen_ip);
        require(::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0, "proxy bind");
        require(::listen(listener_, 64) == 0, "proxy listen");
        socklen_t length = sizeof address;
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
        port_ = ntohs(address.sin_port);
    }
    ~TcpProxy() {
        for (const auto& connection : connections) close_both(*connection);
        ::close(listener_);
    }
    TcpProxy(const TcpProxy&) = delete;
    TcpProxy& operator=(const TcpProxy&) = delete;

    int port() const { return port_; }
    std::string address() const {
        const in_addr ip{htonl(listen_ip_)};
        char text[INET_ADDRSTRLEN];
        inet_ntop(AF_INET, &ip, text, sizeof text);
        return std::string(text) + ":" + std::to_string(port_);
    }
    // Resets both sides of one connection.
    void reset(Connection& connection) {
        const linger abortive_close{1, 0};
        for (const int descriptor : {connection.accepted, connection.dialed})
            if (descriptor >= 0)
                setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abortive_close, sizeof abortive_close);
        close_both(connection);
    }
    // The server sees the client's side closed; the client's own connection does not change.
    void half_close_to_server(Connection& connection) {
        connection.to_server.half_closed_ = true;
        if (connection.dialed >= 0) ::shutdown(connection.dialed, SHUT_WR);
    }
    // Accepts all pending connections. Returns the newest, or null if none could be connected to the server.
    Connection* accept_last() {
        const std::size_t before = connections.size();
        accept_new();
        return connections.size() > before ? connections.back().get() : nullptr;
    }
    void step() {
        accept_new();
        for (const auto& connection : connections) {
            forward(connection->accepted, connection->dialed, connection->to_server);
            forward(connection->dialed, connection->accepted, connection->to_client);
            const bool both_closed =
                connection->to_server.sender_closed_ && connection->to_client.sender_closed_;
            if (both_closed && connection->to_server.buffered_.empty() &&
                connection->to_client.buffered_.empty())
                close_both(*connection);
        }
    }

    std::vector<std::unique_ptr<Connection>> connections;  // in the order in which they were opened

private:
    void accept_new() {
        for (int fd; (fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;) {
            auto connection = std::make_unique<Connection>();
            connection->accepted = fd;
            connection->dialed = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in to = loopback(server_port_, server_ip_);
            if (::connect(connection->dialed, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
                reset(*connection);
                continue;
            }
            fcntl(connection->dialed, F_SETFL, O_NONBLOCK);
            connections.push_back(std::move(connection));
        }
    }
    static void close_both(Connection& connection) {
        for (int* descriptor : {&connection.accepted, &connection.dialed})
            if (*descriptor >= 0) ::close(std::exchange(*descriptor, -1));
    }
    void forward(int from, int to, Direction& direction) {
        if (from < 0 || to < 0) return;
        char bytes[16384];
        while (!direction.sender_closed_) {
            const ssize_t count = ::recv(from, bytes, sizeof bytes, MSG_DONTWAIT);
            if (count > 0) direction.buffered_.append(bytes, static_cast<std::size_t>(count));
            else if (count == 0) direction.sender_closed_ = true;
            else if (errno != EAGAIN) return reset_pair(from, to);
            else break;
        }
        if (direction.stalled_ || direction.half_closed_) return;
        while (!direction.buffered_.empty()) {
            const ssize_t sent =
                ::send(to, direction.buffered_.data(), direction.buffered_.size(), MSG_NOSIGNAL);
            if (sent < 0 && errno == EAGAIN) return;
            if (sent < 0) return reset_pair(from, to);
            direction.buffered_.erase(0, static_cast<std::size_t>(sent));
        }
        if (direction.sender_closed_) ::shutdown(to, SHUT_WR);
    }
    void reset_pair(int from, int to) {
        for (const auto& connection : connections)
            if (connection->accepted == from || connection->accepted == to) return reset(*connection);
    }

    int listener_, port_ = 0;
    const std::uint32_t listen_ip_, server_ip_;
    const int server_port_;
};

}  // namespace whinpost
