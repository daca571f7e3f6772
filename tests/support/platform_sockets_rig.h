// The platform's front on real sockets, among owners, hosts and a bus that a test plays by hand. The loop
// turns only where the test says so: what is written between two turns has come, all of it, before the next.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
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

inline sockaddr_in loopback(int port) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    return a;
}
inline void must(bool well, const char* what) {
    if (!well) throw std::runtime_error(std::string("the rig: ") + what);
}

// One end of a connection.
class Plug final : public Speaker {
public:
    Plug() = default;
    explicit Plug(int fd) : fd_(fd) {}
    Plug(Plug&& o) noexcept { *this = std::move(o); }
    Plug& operator=(Plug&& o) noexcept {
        std::swap(fd_, o.fd_);
        std::swap(in_, o.in_);
        std::swap(text, o.text);
        std::swap(got, o.got);
        std::swap(ended, o.ended);
        std::swap(reset, o.reset);
        return *this;
    }
    ~Plug() override { close(); }

    static Plug dial(int port) {
        Plug p(::socket(AF_INET, SOCK_STREAM, 0));
        const sockaddr_in to = loopback(port);
        must(::connect(p.fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0, "connect");
        return p;
    }
    bool open() const { return fd_ >= 0; }
    void raw(std::string_view bytes) override {
        must(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()),
             "send");
    }
    void plain(MessageType type, std::uint64_t id, std::uint8_t cause = 0) {
        Message m;
        m.type = type;
        m.task = id;
        if (type == MessageType::test || type == MessageType::tested) m.cause = cause;
        say(m);
    }
    // Reads all that is there.
    void take() {
        if (fd_ < 0) return;
        char bytes[4096];
        for (;;) {
            const ssize_t n = ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
            if (n > 0) {
                in_.append(bytes, static_cast<std::size_t>(n));
                text.append(bytes, static_cast<std::size_t>(n));
                continue;
            }
            ended = ended || n == 0;
            reset = reset || (n < 0 && errno != EAGAIN);  // after an end it shows as a broken pipe
            break;
        }
        int error = 0;
        socklen_t length = sizeof error;
        getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &length);  // a reset after the end shows here only
        reset = reset || error != 0;
        in_.erase(0, hear(in_));
    }
    void close() {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }
    void half_close() { ::shutdown(fd_, SHUT_WR); }
    // Room for so many bytes that nobody reads yet.
    void room(int bytes) { setsockopt(fd_, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes); }
    void break_off() {
        const linger at_once{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close();
    }

    std::string text;  // all that came
    bool ended = false, reset = false;

private:
    int fd_ = -1;
    std::string in_;
};

class Ear {
public:
    explicit Ear(int backlog = 64, int port = 0) : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
        const int on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in a = loopback(port);
        must(::bind(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0, "bind");
        must(::listen(fd_, backlog) == 0, "listen");
        socklen_t length = sizeof a;
        getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &length);
        port_ = ntohs(a.sin_port);
        fcntl(fd_, F_SETFL, O_NONBLOCK);
    }
    ~Ear() { close(); }
    Ear(const Ear&) = delete;
    Ear& operator=(const Ear&) = delete;
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    // All that have come are accepted and read.
    void take() {
        for (int fd; fd_ >= 0 && (fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK)) >= 0;)
            lines.push_back(std::make_unique<Plug>(fd));
        for (const auto& l : lines) l->take();
    }
    std::size_t count(MessageType t, std::uint64_t id) const {
        std::size_t n = 0;
        for (const auto& l : lines) n += l->count(t, id);
        return n;
    }
    std::size_t bytes() const {
        std::size_t n = 0;
        for (const auto& l : lines) n += l->text.size();
        return n;
    }
    void close() {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }
    std::vector<std::unique_ptr<Plug>> lines;

private:
    int fd_, port_ = 0;
};

struct SocketRig {
    struct Planner : QuietPlanner {
        void cancel(Nanos, planner::TaskNumber) override { ++gone; }
        void on_load_report(Nanos, planner::WorkerNumber, const LoadReport&) override { ++reports; }
        void on_attempt_ended(Nanos, planner::TaskNumber, int, AttemptOutcome how, OutcomeReason, bool,
                              const LoadReport&) override {
            endings.push_back(how);
        }
        void run_round(Nanos) override {
            if (in_round) in_round();
        }
        int gone = 0, reports = 0;
        std::vector<AttemptOutcome> endings;
        std::function<void()> in_round;
    };

    explicit SocketRig(std::size_t descriptors = 256, Nanos dial_timeout = 10 * kSecond)
        : port(Ear().port()), ledger(groups(), {4, true}, {0.25, 10 * kSecond, 3, 2 * kSecond, 40, 3, 0}),
          front(std::make_unique<platform::PlatformServer>(
              loop, log, ledger, std::vector<std::string>{"free", "marked", "once"},
              std::vector<WorkerKind>{{16, 32}}, std::vector<std::string>{"std"},
              std::vector<std::string>{"a", "b"}, dial_timeout, 15 * kSecond, descriptors, 5)) {
        front->plan_with(planner);
        must(front->listen("127.0.0.1:" + std::to_string(port)).empty(), "the front listens");
        front->bus().follow(bus.address(), 0);
    }
    static std::vector<QueueGroup> groups() {
        std::vector<QueueGroup> out(3);
        out[1].effect = Effect::keyed;
        out[1].deduplicated_by = FailureDomain::cell;
        out[1].deduplication_window = 5 * kSecond;
        out[2].effect = Effect::side_effecting;
        return out;
    }

    void turn() { loop.run_once(false); }
    void turns(int n) {
        while (n-- > 0) turn();
    }
    // Turns until it holds; a failure of the test where it does not for very long, though less than any
    // set-up waits.
    void until(const std::function<bool()>& holds) {
        const Nanos give_up = loop.now() + 20 * kSecond;
        while (!holds()) {
            must(loop.now() < give_up, "what was waited for does not come");
            turn();
            usleep(100);
        }
    }
    // Time passes, and the loop stands still.
    void stand_still(Nanos by) {
        for (const Nanos to = loop.now() + by; loop.now() < to;) usleep(1000);
    }
    Plug owner() { return Plug::dial(port); }

    static std::string entry(const std::string& name, const std::string& address,
                             const char* state = "active") {
        return host_entry(name, address, state);
    }
    std::string event(const std::vector<std::string>& entries, bool whole = false) {
        return list_event(++events, entries, whole);
    }
    static std::string head() { return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"; }
    // Told by the events of the start, which need no connection.
    void known(const std::vector<std::string>& entries, bool whole = false) {
        const std::string e = event(entries, whole);
        const std::size_t from = e.find("data: ") + 6;
        front->bus().known(std::string_view(e).substr(from, e.size() - from - 2));
    }
    static std::string set_up(std::uint64_t id, const std::string& group = "free",
                              const std::string& more = "", int wait_ms = 60'000) {
        return set_up_bytes(id, group, wait_ms, more);
    }
    // A container of `o` that is launched on host 0, the set-up come whole to it.
    planner::TaskNumber launched(Plug& o, Ear& host, std::uint64_t id, const std::string& group = "free") {
        const std::size_t before = planner.taken.size();
        o.raw(set_up(id, group));
        until([&] { return planner.taken.size() == before + 1; });
        front->place(planner.taken.back(), 0, 10 * kSecond);
        until([&] {
            host.take();
            return host.count(MessageType::set_up, id) == 1;
        });
        return planner.taken.back();
    }
    void standing(Plug& o, Ear& host, std::uint64_t id) {
        launched(o, host, id);
        host.lines.back()->answer(id);
        until([&] {
            o.take();
            return o.count(MessageType::answer, id) == 1;
        });
    }

    net::LibeventLoop loop;
    log::Logger log;
    Ear bus;
    int port;
    ledger::Ledger ledger;
    Planner planner;
    std::unique_ptr<platform::PlatformServer> front;
    std::int64_t events = 0;
};

}  // namespace whinpost
