// A placer's process on loopback among workers, clients and a discovery service that a test plays, with the
// faults that real ones have. Real time: a test waits for what has to come, up to a limit far over what it
// takes.
#pragma once
#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "support/placer_process.h"
#include "support/platform_sockets_rig.h"
#include "support/tcp_proxy.h"

namespace whinpost {

inline Nanos read_clock(clockid_t clock) {
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<Nanos>(time.tv_sec) * kSecond + time.tv_nsec;
}

// A worker as the platform's are: accepts what it is sent, reports what its tasks use when they start or are
// handed to a placer, and says their ends until a connection is there to say them on.
class ModelWorker {
public:
    // On an address of its own, so that its port stays free while it is down.
    ModelWorker(std::string worker_name, int host)
        : name(std::move(worker_name)),
          ip_(INADDR_LOOPBACK + kWorkerNetwork + static_cast<std::uint32_t>(host)),
          listener_(std::make_unique<ListeningSocket>(kBacklog, 0, ip_)), port_(listener_->port()),
          address_(listener_->address()) {
        listed_address = address_;
    }

    const std::string& address() const { return address_; }
    std::uint32_t ip() const { return ip_; }
    int port() const { return port_; }
    // One task that runs there though the placer under test never sent it.
    void run(std::uint64_t id) { running.insert(id); }
    // A placer was handed the task: its figures are reported on a connection of that placer.
    void on_handed_over(std::uint64_t id) { unreported_.insert(id); }
    void end_task(std::uint64_t id, platform_codec::Cause cause) {
        running.erase(id);
        unsent_ends_[id] = cause;
    }
    // The process dies: its connections are reset, its tasks are cut, and nothing listens.
    void crash() {
        for (const auto& connection : connections_) connection->peer->reset_connection();
        connections_.clear();
        if (listener_) listener_->close();
        listener_.reset();
        running.clear();
        unsent_ends_.clear();
        sent_ends_.clear();
        unreported_.clear();
    }
    // Its machine vanished and is back with a new process: what ran is gone, and the old connections stay
    // open and silent.
    void replace_silently() {
        for (auto& connection : connections_) silent_connections_.push_back(std::move(connection));
        connections_.clear();
        running.clear();
        unsent_ends_.clear();
        sent_ends_.clear();
        unreported_.clear();
        started_at_ms = read_clock(CLOCK_REALTIME) / kMillisecond;
    }
    void start_again() {
        listener_ = std::make_unique<ListeningSocket>(kBacklog, port_, ip_);
        started_at_ms = read_clock(CLOCK_REALTIME) / kMillisecond;
    }
    void reset_connections() {
        for (const auto& connection : connections_) connection->peer->reset_connection();
        connections_.clear();
    }
    // Silent: as if the machine were cut off. Bytes are taken by the kernel and nothing is said.
    bool is_silent = false;
    bool answers_attempts = true;
    bool reports_handed_over = true;
    std::int64_t started_at_ms = 0;
    const std::string name;
    std::string listed_address;  // its own, or that of a proxy before it
    std::set<std::uint64_t> running, cancelled;
    std::size_t attempts = 0;

    bool is_down() const { return !listener_; }
    std::size_t connection_count() const { return connections_.size(); }
    void step() {
        if (!listener_ || is_silent) return;
        listener_->accept_and_read();
        // What was said before may have been read by nobody: it is said again on the next connection.
        const bool is_opened = !listener_->connections.empty();
        for (std::unique_ptr<SocketPeer>& accepted : listener_->connections)
            connections_.push_back(std::make_unique<Connection>(Connection{std::move(accepted), 0}));
        listener_->connections.clear();
        for (const auto& connection : connections_)
            while_it_lasts(*connection->peer, [&] { serve(*connection); });
        std::erase_if(connections_, [](const auto& connection) {
            return connection->peer->peer_closed || connection->peer->was_reset;
        });
        if (connections_.empty()) return;
        SocketPeer& any = *connections_.back()->peer;
        const auto repeated = is_opened ? std::exchange(sent_ends_, {}) : Ends{};
        const auto ends = std::exchange(unsent_ends_, {});
        sent_ends_.insert(ends.begin(), ends.end());
        while_it_lasts(any, [&] {
            if (reports_handed_over)
                for (const std::uint64_t id : std::exchange(unreported_, {}))
                    if (running.contains(id)) any.report_use(id);
        });
        while_it_lasts(any, [&] {
            for (const auto& [id, cause] : repeated) any.release(id, cause);
        });
        for (const auto& [id, cause] : ends) {
            SocketPeer& on = set_up_connection(id, any);
            while_it_lasts(on, [&, task = id, why = cause] { on.release(task, why); });
        }
    }

private:
    struct Connection {
        std::unique_ptr<SocketPeer> peer;
        std::size_t handled = 0;
    };

    // Where that is gone: `other`. What was ended there before is said again on the next one that is opened.
    SocketPeer& set_up_connection(std::uint64_t id, SocketPeer& other) const {
        const auto set_up = set_up_on_.find(id);
        if (set_up == set_up_on_.end()) return other;
        for (const auto& connection : connections_)
            if (connection->peer.get() == set_up->second) return *connection->peer;
        return other;
    }
    // The placer may be killed at any moment.
    static void while_it_lasts(SocketPeer& peer, const std::function<void()>& action) {
        try {
            action();
        } catch (const std::runtime_error&) {
            peer.was_reset = true;
        }
    }
    void serve(Connection& connection) {
        connection.peer->read_available();
        if (connection.peer->peer_closed || connection.peer->was_reset) return;
        while (connection.handled < connection.peer->received.size()) {
            const ProtocolPeer::ReceivedMessage message = connection.peer->received[connection.handled++];
            if (message.type == MessageType::place_task) {
                ++attempts;
                if (!answers_attempts) continue;
                running.insert(message.task);
                set_up_on_[message.task] = connection.peer.get();
                connection.peer->answer(message.task, name);
                connection.peer->report_use(message.task);
            } else if (message.type == MessageType::release) {
                cancelled.insert(message.task);
                // An attempt is given up on its own connection; the same id may have been sent again.
                const bool is_given_up = message.cause == platform_codec::Cause::given_up;
                const auto set_up = set_up_on_.find(message.task);
                const bool is_other = set_up != set_up_on_.end() && set_up->second != connection.peer.get();
                if (is_given_up && is_other) continue;
                if (running.erase(message.task))
                    connection.peer->release(message.task, platform_codec::Cause::cancelled);
            } else if (message.type == MessageType::health_check) {
                Message reply;
                reply.type = MessageType::health_check_reply;
                reply.task = message.task;
                reply.cause = platform_codec::Cause::check_passed;
                reply.load_report = "x0:8;x1:16";
                connection.peer->send(reply);
            }
        }
    }

    static constexpr int kBacklog = 64;
    static constexpr std::uint32_t kWorkerNetwork = 0x100;  // 127.0.1.x
    const std::uint32_t ip_;
    std::unique_ptr<ListeningSocket> listener_;
    int port_;
    std::string address_;
    std::vector<std::unique_ptr<Connection>> connections_, silent_connections_;
    std::set<std::uint64_t> unreported_;
    std::map<std::uint64_t, const SocketPeer*> set_up_on_;
    using Ends = std::map<std::uint64_t, platform_codec::Cause>;
    Ends unsent_ends_, sent_ends_;
};

// The endpoint list, told to whoever watches.
class ModelDiscovery {
public:
    std::string address() const { return listener_.address(); }
    bool is_silent = false;  // watches stay open and hear nothing
    // All events so far, as a configuration holds them.
    std::string events_as_json() const {
        std::string list;
        for (const std::string& event : events_) {
            const std::size_t from = event.find("data: ") + 6;
            list += (list.empty() ? "" : ",") + event.substr(from, event.size() - from - 2);
        }
        return "[" + list + "]";
    }
    std::int64_t last_sequence() const { return static_cast<std::int64_t>(events_.size()); }
    std::size_t watch_count() const { return listener_.connections.size(); }
    void publish(const std::string& entry) {
        events_.push_back(
            watch_event(static_cast<std::int64_t>(events_.size()) + 1, {entry}, events_.empty()));
    }
    void step() {
        if (is_silent) return;
        listener_.accept_and_read();
        sent_.resize(listener_.connections.size());
        for (std::size_t i = 0; i < sent_.size(); ++i) {
            SocketPeer& watch = *listener_.connections[i];
            if (watch.received_bytes.find("\r\n\r\n") == std::string::npos) continue;
            if (watch.peer_closed || watch.was_reset || !watch.is_open()) {
                watch.close();
                continue;
            }
            if (sent_[i].next == 0) greet(watch, sent_[i]);
            for (; sent_[i].next <= events_.size(); ++sent_[i].next)
                try_send(watch, events_[sent_[i].next - 1]);
            if (const Nanos now = read_clock(CLOCK_MONOTONIC); now >= sent_[i].comment_at) {
                try_send(watch, ": here\n\n");
                sent_[i].comment_at = now + kSecond;
            }
        }
    }

private:
    struct Watch {
        std::size_t next = 0;
        Nanos comment_at = 0;
    };
    static void try_send(SocketPeer& watch, const std::string& bytes) {
        try {
            watch.send_bytes(bytes);
        } catch (const std::runtime_error&) {
            watch.close();
        }
    }
    static void greet(SocketPeer& watch, Watch& state) {
        const std::string name = "Last-Event-ID: ";
        const std::size_t at = watch.received_bytes.find(name);
        state.next =
            at == std::string::npos ? 1 : std::stoul(watch.received_bytes.substr(at + name.size())) + 1;
        try_send(watch, SocketRig::response_head());
    }
    ListeningSocket listener_;
    std::vector<std::string> events_;
    std::vector<Watch> sent_;
};

class ProcessRig {
public:
    explicit ProcessRig(PlacerProcessOptions options = {}) {
        ListeningSocket free_port(1, 0, kPlacerIp);
        port_ = free_port.port();
        options.listen = free_port.address();
        free_port.close();
        options.discovery = discovery.address();
        placer = std::make_unique<PlacerProcess>(std::move(options));
    }
    // Listed from now on.
    ModelWorker& add_worker(const std::string& name, bool listed = true) {
        workers.push_back(std::make_unique<ModelWorker>(name, static_cast<int>(workers.size())));
        if (listed) publish(*workers.back());
        return *workers.back();
    }
    void publish(const ModelWorker& worker, const char* state = "active") {
        discovery.publish(R"({"host":")" + worker.name + R"(","dial":")" + worker.listed_address +
                          R"(","site":"a","class":"std","block":1,"health":")" + state +
                          R"(","share":1,"born_ms":)" + std::to_string(worker.started_at_ms) +
                          R"(,"free":[16,32]})");
    }
    // Until the front's first health check has passed.
    void wait_until_ready() {
        run_until("the placer is healthy", [this] {
            SocketPeer front = try_connect();
            if (!front.is_open()) return false;
            try {
                front.send_plain(MessageType::health_check, 1);
            } catch (const std::runtime_error&) {
                return false;  // it was reset at once
            }
            const Nanos give_up = read_clock(CLOCK_MONOTONIC) + kSecond;
            while (front.received.empty() && read_clock(CLOCK_MONOTONIC) < give_up) {
                step();
                front.read_available();
            }
            return !front.received.empty() && front.received[0].cause == platform_codec::Cause::check_passed;
        });
    }
    // Clients are told apart by their address, the last part of which is `host`.
    SocketPeer connect_client(int host = 1) {
        SocketPeer client = try_connect(host);
        require(client.is_open(), "the placer accepts a client");
        return client;
    }
    // Not open where nobody listens.
    SocketPeer try_connect(int host = 1) {
        SocketPeer peer(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const sockaddr_in from = loopback(0, INADDR_LOOPBACK - 1 + static_cast<std::uint32_t>(host));
        require(::bind(peer.descriptor(), reinterpret_cast<const sockaddr*>(&from), sizeof from) == 0,
                "bind");
        const sockaddr_in to = loopback(port_, kPlacerIp);
        if (::connect(peer.descriptor(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) return {};
        return peer;
    }
    // A client says that a worker runs its task; the worker hears of it as the platform's do.
    void report_running(SocketPeer& client, ModelWorker& worker, std::uint64_t id,
                        int time_left_ms = 4'294'967) {
        client.send_bytes(place_task_bytes(id, "free", time_left_ms, ";at:" + worker.name));
        worker.on_handed_over(id);
    }
    // The client's task, placed by the placer itself.
    void place(SocketPeer& client, std::uint64_t id) {
        client.send_bytes(place_task_bytes(id, "free", 5000, ""));
        run_until("a task is placed", [&] {
            client.read_available();
            return client.count(MessageType::answer, id) == 1;
        });
    }
    // Between clients and the placer: all that pass it come from one address, that of clients with host 1.
    TcpProxy& add_client_proxy() {
        proxies.push_back(std::make_unique<TcpProxy>(kProxyIp, kPlacerIp, port_));
        return *proxies.back();
    }
    // Between the placer and that worker, which is listed at the proxy's address from now on.
    TcpProxy& add_worker_proxy(ModelWorker& worker) {
        proxies.push_back(std::make_unique<TcpProxy>(kProxyIp, worker.ip(), worker.port()));
        worker.listed_address = proxies.back()->address();
        publish(worker);
        return *proxies.back();
    }
    // Through the proxy.
    SocketPeer connect_client(TcpProxy& proxy) {
        TcpProxy::Connection* connection = nullptr;
        SocketPeer peer = try_connect(proxy, connection);
        require(peer.is_open(), "the placer accepts a client behind the proxy");
        return peer;
    }
    // Not open where nobody listens behind the proxy.
    static SocketPeer try_connect(TcpProxy& proxy, TcpProxy::Connection*& connection) {
        SocketPeer peer(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const sockaddr_in to = loopback(proxy.port(), kProxyIp);
        require(::connect(peer.descriptor(), reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0,
                "connect to the proxy");
        connection = proxy.accept_last();
        if (!connection) return {};
        return peer;
    }
    void step() {
        discovery.step();
        for (const auto& worker : workers) worker->step();
        for (const auto& proxy : proxies) proxy->step();
        usleep(500);
    }
    void run_for(Nanos by) {
        for (const Nanos until = read_clock(CLOCK_MONOTONIC) + by; read_clock(CLOCK_MONOTONIC) < until;)
            step();
    }
    void run_until(const std::string& what, const std::function<bool()>& holds, Nanos limit = 20 * kSecond) {
        const Nanos give_up = read_clock(CLOCK_MONOTONIC) + limit;
        while (!holds()) {
            if (read_clock(CLOCK_MONOTONIC) > give_up)
                throw std::runtime_error("did not come: " + what + "\n" + placer->log());
            step();
        }
    }
    // How long it took; the limit where it did not come.
    Nanos time_until(const std::function<bool()>& holds, Nanos limit) {
        const Nanos began = read_clock(CLOCK_MONOTONIC);
        while (!holds() && read_clock(CLOCK_MONOTONIC) - began < limit) step();
        return std::min(limit, read_clock(CLOCK_MONOTONIC) - began);
    }

    ModelDiscovery discovery;
    std::vector<std::unique_ptr<ModelWorker>> workers;
    std::vector<std::unique_ptr<TcpProxy>> proxies;
    std::unique_ptr<PlacerProcess> placer;

private:
    static constexpr std::uint32_t kPlacerIp = INADDR_LOOPBACK + 0x200;  // 127.0.2.1
    static constexpr std::uint32_t kProxyIp = INADDR_LOOPBACK + 0x300;   // 127.0.3.1
    int port_ = 0;
};

}  // namespace whinpost
