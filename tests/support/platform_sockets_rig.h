// The platform server on real sockets. The test plays the clients, the workers and discovery. The event loop
// runs only when the test calls it, so all bytes written between two passes have arrived before the second.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "net/libevent_loop.h"
#include "platform/platform_server.h"
#include "support/platform_messages.h"
#include "support/quiet_planner.h"

namespace whinpost {

inline sockaddr_in loopback(int port, std::uint32_t ip = INADDR_LOOPBACK) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(ip);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}
inline void require(bool condition, const char* what) {
    if (!condition)
        throw std::runtime_error(std::string("socket rig: ") + what + ": " + std::strerror(errno));
}

// The test's end of a TCP connection.
class SocketPeer final : public ProtocolPeer {
public:
    SocketPeer() = default;
    explicit SocketPeer(int fd) : fd_(fd) {}
    SocketPeer(SocketPeer&& other) noexcept { *this = std::move(other); }
    SocketPeer& operator=(SocketPeer&& other) noexcept {
        std::swap(fd_, other.fd_);
        std::swap(undecoded_, other.undecoded_);
        std::swap(received_bytes, other.received_bytes);
        std::swap(received, other.received);
        std::swap(peer_closed, other.peer_closed);
        std::swap(was_reset, other.was_reset);
        return *this;
    }
    ~SocketPeer() override { close(); }

    static SocketPeer dial(int port) {
        SocketPeer peer(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const sockaddr_in to = loopback(port);
        require(::connect(peer.fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0, "connect");
        return peer;
    }
    bool is_open() const { return fd_ >= 0; }
    int descriptor() const { return fd_; }
    void send_bytes(std::string_view bytes) override {
        require(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()),
                "send");
    }
    void send_plain(MessageType type, std::uint64_t id,
                    platform_codec::Cause cause = platform_codec::Cause::check_failed) {
        Message message;
        message.type = type;
        message.task = id;
        if (type == MessageType::health_check || type == MessageType::health_check_reply)
            message.cause = cause;
        send(message);
    }
    // Reads and decodes all bytes that have arrived, without blocking.
    void read_available() {
        if (fd_ < 0) return;
        char bytes[4096];
        for (;;) {
            const ssize_t count = ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
            if (count > 0) {
                undecoded_.append(bytes, static_cast<std::size_t>(count));
                received_bytes.append(bytes, static_cast<std::size_t>(count));
                continue;
            }
            peer_closed = peer_closed || count == 0;
            was_reset = was_reset || (count < 0 && errno != EAGAIN);  // EPIPE: a reset after the peer's FIN
            break;
        }
        int error = 0;
        socklen_t length = sizeof error;
        getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &length);  // some resets after a FIN show here only
        was_reset = was_reset || error != 0;
        undecoded_.erase(0, decode_received(undecoded_));
    }
    void close() {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }
    void half_close() { ::shutdown(fd_, SHUT_WR); }
    // Sets the size in bytes of the kernel's send buffer.
    void set_send_buffer(int bytes) { setsockopt(fd_, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes); }
    void reset_connection() {
        const linger abortive_close{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abortive_close, sizeof abortive_close);
        close();
    }

    std::string received_bytes;  // decoded or not
    bool peer_closed = false, was_reset = false;

private:
    int fd_ = -1;
    std::string undecoded_;
};

class ListeningSocket {
public:
    explicit ListeningSocket(int backlog = 64, int port = 0, std::uint32_t ip = INADDR_LOOPBACK)
        : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), ip_(ip) {
        const int enabled = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        sockaddr_in address = loopback(port, ip);
        require(::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0, "bind");
        require(::listen(fd_, backlog) == 0, "listen");
        socklen_t length = sizeof address;
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &length);
        port_ = ntohs(address.sin_port);
        fcntl(fd_, F_SETFL, O_NONBLOCK);
    }
    ~ListeningSocket() { close(); }
    ListeningSocket(const ListeningSocket&) = delete;
    ListeningSocket& operator=(const ListeningSocket&) = delete;
    int port() const { return port_; }
    std::string address() const {
        const in_addr ip{htonl(ip_)};
        char text[INET_ADDRSTRLEN];
        inet_ntop(AF_INET, &ip, text, sizeof text);
        return std::string(text) + ":" + std::to_string(port_);
    }
    // Accepts all pending connections, and reads from every connection.
    void accept_and_read() {
        for (int fd; fd_ >= 0 && (fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
            connections.push_back(std::make_unique<SocketPeer>(fd));
        for (const auto& connection : connections) connection->read_available();
    }
    std::size_t count(MessageType type, std::uint64_t id) const {
        std::size_t count = 0;
        for (const auto& connection : connections) count += connection->count(type, id);
        return count;
    }
    std::size_t received_byte_count() const {
        std::size_t count = 0;
        for (const auto& connection : connections) count += connection->received_bytes.size();
        return count;
    }
    void close() {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }
    std::vector<std::unique_ptr<SocketPeer>> connections;

private:
    int fd_, port_ = 0;
    std::uint32_t ip_;
};

struct SocketRig {
    struct RecordingPlanner : QuietPlanner {
        void cancel(Nanos, planner::TaskNumber) override { ++cancelled; }
        void on_load_report(Nanos, planner::WorkerNumber, const LoadReport&) override { ++load_reports; }
        void on_attempt_ended(Nanos, planner::TaskNumber, int, AttemptOutcome outcome, OutcomeReason, bool,
                              const LoadReport&) override {
            outcomes.push_back(outcome);
        }
        void run_round(Nanos) override {
            if (on_round) on_round();
        }
        int cancelled = 0, load_reports = 0;
        std::vector<AttemptOutcome> outcomes;
        std::function<void()> on_round;
    };

    explicit SocketRig(std::size_t descriptors = 256, Nanos dial_timeout = 10 * kSecond)
        : port(ListeningSocket().port()),
          ledger(groups(), {4, true}, {0.25, 10 * kSecond, 3, 2 * kSecond, 40, 3, 0}),
          server(std::make_unique<platform::PlatformServer>(
              loop, log, ledger,
              platform::PlatformServerOptions{{"free", "marked", "once"},
                                              {{16, 32}},
                                              {"std"},
                                              {"a", "b"},
                                              dial_timeout,
                                              15 * kSecond,
                                              descriptors,
                                              5})) {
        server->set_planner(planner);
        require(server->listen("127.0.0.1:" + std::to_string(port)).has_value(),
                "listen on the server's port");
        server->discovery_watch().follow(discovery.address(), 0);
    }
    static std::vector<QueueGroup> groups() {
        std::vector<QueueGroup> out(3);
        out[1].effect = Effect::keyed;
        out[1].deduplicated_by = FailureDomain::cell;
        out[1].deduplication_window = 5 * kSecond;
        out[2].effect = Effect::side_effecting;
        return out;
    }

    void run_once() { loop.run_once(false); }
    void run_passes(int count) {
        while (count-- > 0) run_once();
    }
    // Runs the loop until `condition` returns true. Fails the test after 20 s, which is less than the time
    // left of a request.
    void run_until(const std::function<bool()>& condition) {
        const Nanos deadline = loop.now() + 20 * kSecond;
        while (!condition()) {
            require(loop.now() < deadline, "the awaited condition did not hold within 20 s");
            run_once();
            usleep(100);
        }
    }
    // Waits without running the loop.
    void block_for(Nanos duration) {
        for (const Nanos to = loop.now() + duration; loop.now() < to;) usleep(1000);
    }
    SocketPeer connect_client() { return SocketPeer::dial(port); }

    static std::string entry(const std::string& name, const std::string& address,
                             const char* state = "active") {
        return endpoint_entry(name, address, state);
    }
    std::string event(const std::vector<std::string>& entries, bool is_snapshot = false) {
        return watch_event(++last_event, entries, is_snapshot);
    }
    static std::string response_head() {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    }
    // Applies the entries as an initial event from the configuration, which needs no connection to discovery.
    void publish_initial(const std::vector<std::string>& entries, bool is_snapshot = false) {
        const std::string published = event(entries, is_snapshot);
        const std::size_t from = published.find("data: ") + 6;
        server->discovery_watch().apply_initial_event(
            std::string_view(published).substr(from, published.size() - from - 2));
    }
    static std::string place_task(std::uint64_t id, const std::string& group = "free",
                                  const std::string& extra_requirements = "", int time_left_ms = 60'000) {
        return place_task_bytes(id, group, time_left_ms, extra_requirements);
    }
    // Sends a request and places its task on worker 0; returns once the worker has received the attempt.
    planner::TaskNumber start_attempt(SocketPeer& client, ListeningSocket& worker, std::uint64_t id,
                                      const std::string& group = "free") {
        const std::size_t before = planner.submitted.size();
        client.send_bytes(place_task(id, group));
        run_until([&] { return planner.submitted.size() == before + 1; });
        server->place(planner.submitted.back(), 0, 10 * kSecond);
        run_until([&] {
            worker.accept_and_read();
            return worker.count(MessageType::place_task, id) == 1;
        });
        return planner.submitted.back();
    }
    void run_task(SocketPeer& client, ListeningSocket& worker, std::uint64_t id) {
        start_attempt(client, worker, id);
        worker.connections.back()->answer(id);
        run_until([&] {
            client.read_available();
            return client.count(MessageType::answer, id) == 1;
        });
    }

    net::LibeventLoop loop;
    log::Logger log;
    ListeningSocket discovery;
    int port;
    ledger::Ledger ledger;
    RecordingPlanner planner;
    std::unique_ptr<platform::PlatformServer> server;
    std::int64_t last_event = 0;
};

}  // namespace whinpost
