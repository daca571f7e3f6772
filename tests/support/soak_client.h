// One client of a soak run: its connections, what it asked for on each, and the tasks that it knows to run.
// It comes back on another connection where one breaks or falls silent, as real clients do.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "support/process_rig.h"

namespace whinpost {

class SoakClient {
public:
    struct Options {
        int host = 1;               // its address, without a proxy
        TcpProxy* proxy = nullptr;  // else all clients share the proxy's
        bool acknowledges = true;   // ends of its tasks
        Nanos deadline = 0;         // of its requests
    };
    struct RunningTask {
        ModelWorker* worker = nullptr;
        Nanos over_at = 0, known_since = 0;
    };
    struct Connection {
        SocketPeer peer;
        TcpProxy::Connection* proxied = nullptr;
        bool is_faulty = false;  // the network does something to it: what was asked on it is excused
        Nanos opened_at = 0;
        std::map<std::uint64_t, Nanos> requests;  // by id: when it was sent
        std::size_t handled = 0;
    };
    using Violate = std::function<void(const std::string&)>;

    SoakClient(ProcessRig& rig, Options options, Violate violate)
        : rig_(rig), options_(options), violate_(std::move(violate)) {}

    // False where nobody took it.
    bool send_request(std::uint64_t id, const std::string& group, int deadline_ms) {
        Connection* connection = usable_connection();
        if (!connection) return false;
        if (!send(*connection, place_task_bytes(id, group, deadline_ms, ""))) return false;
        connection->requests[id] = now();
        return true;
    }
    // The placer's process was killed just now: what was open is excused.
    void serve(bool is_killed) {
        for (const auto& connection : connections_) serve(*connection, is_killed);
        std::erase_if(connections_, [](const auto& connection) { return !connection->peer.is_open(); });
    }
    // What it knows to run is named on a connection of its own.
    void report_running() {
        if (running.empty()) return;
        Connection* connection = open();
        if (!connection) return;
        for (auto& [id, task] : running) {
            const std::string name = task.worker ? task.worker->name : "w0";
            if (!send(*connection, place_task_bytes(id, "free", 4'294'967, ";at:" + name))) return;
            if (task.worker) task.worker->on_handed_over(id);
            task.known_since = now();
        }
    }
    // Closes its end of all connections, as when its process starts again.
    void close_all() {
        for (const auto& connection : connections_) connection->peer.close();
        connections_.clear();
    }
    // A connection without a fault so far, for one; null where there is none.
    Connection* healthy_connection() {
        for (const auto& connection : connections_)
            if (!connection->is_faulty && connection->peer.is_open()) return connection.get();
        return nullptr;
    }
    // It takes the connection for dead and asks on another one from now on. The old one stays open.
    void mark_faulty(Connection& connection) {
        connection.is_faulty = true;
        connection.requests.clear();
    }
    // Closes those that had a fault.
    void close_faulty() {
        for (const auto& connection : connections_)
            if (connection->is_faulty) connection->peer.close();
        std::erase_if(connections_, [](const auto& connection) { return connection->is_faulty; });
    }
    // Since when it has a connection that works; 0: it has none.
    Nanos reachable_since() const {
        Nanos since = 0;
        for (const auto& connection : connections_)
            if (!connection->is_faulty && connection->peer.is_open() &&
                (!since || connection->opened_at < since))
                since = connection->opened_at;
        return since;
    }
    // Opens another connection and says something on it.
    void come_back(std::uint64_t id, int deadline_ms) {
        Connection* connection = open();
        if (connection && send(*connection, place_task_bytes(id, "free", deadline_ms, "")))
            connection->requests[id] = now();
    }
    bool acknowledges() const { return options_.acknowledges; }

    std::map<std::uint64_t, RunningTask> running;
    // A task was said to be over that its worker runs, by the placer and not by the worker.
    std::function<void(std::uint64_t id)> on_ended_while_running = [](std::uint64_t) {};

private:
    static constexpr Nanos kAnswerSlack = 500 * kMillisecond;
    static constexpr Nanos kCrossing = 50 * kMillisecond;

    static Nanos now() { return read_clock(CLOCK_MONOTONIC); }
    static bool send(Connection& connection, const std::string& bytes) {
        try {
            connection.peer.send_bytes(bytes);
            return true;
        } catch (const std::runtime_error&) {
            return false;  // it broke before a byte left
        }
    }
    Connection* open() {
        auto connection = std::make_unique<Connection>();
        connection->peer = options_.proxy ? ProcessRig::try_connect(*options_.proxy, connection->proxied)
                                          : rig_.try_connect(options_.host);
        if (!connection->peer.is_open()) return nullptr;
        connection->opened_at = now();
        connections_.push_back(std::move(connection));
        return connections_.back().get();
    }
    Connection* usable_connection() {
        if (Connection* connection = healthy_connection()) return connection;
        return open();
    }
    void serve(Connection& connection, bool is_killed) {
        connection.peer.read_available();
        while (connection.handled < connection.peer.received.size())
            handle(connection, connection.peer.received[connection.handled++]);
        for (const auto& [id, sent_at] : connection.requests)
            if (now() - sent_at > options_.deadline + kAnswerSlack) {
                violate_("request " + std::to_string(id) + " has no answer");
                connection.requests.erase(id);
                break;
            }
        if (!connection.peer.peer_closed && !connection.peer.was_reset) return;
        for (const auto& [id, sent_at] : connection.requests) {
            const bool excused = is_killed || connection.is_faulty || now() - sent_at <= kCrossing;
            if (!excused) violate_("request " + std::to_string(id) + " lost with its connection");
        }
        connection.requests.clear();
        connection.peer.close();
    }
    void handle(Connection& connection, const ProtocolPeer::ReceivedMessage& message) {
        const std::uint64_t id = message.task;
        if (message.type == MessageType::answer) {
            if (!connection.requests.erase(id)) return;  // it was given up with its connection
            RunningTask& task = running[id];
            task.known_since = now();
            for (const auto& worker : rig_.workers)
                if (worker->name == message.description) task.worker = worker.get();
        } else if (message.type == MessageType::release || message.type == MessageType::migrate) {
            connection.requests.erase(id);
            const auto task = running.find(id);
            if (task == running.end()) return;
            const ModelWorker* worker = task->second.worker;
            // Only a worker says `ok`; a copy that was cancelled elsewhere may run on for a moment.
            const bool ended_by_worker = message.cause == platform_codec::Cause::ok;
            if (worker && worker->running.contains(id) && !ended_by_worker &&
                message.type == MessageType::release)
                on_ended_while_running(id);
            running.erase(task);
            if (!options_.acknowledges || message.type == MessageType::migrate) return;
            Message acknowledgement;
            acknowledgement.type = MessageType::release_ack;
            acknowledgement.task = id;
            std::string bytes;
            platform_codec::encode(bytes, acknowledgement);
            send(connection, bytes);
        }
    }

    ProcessRig& rig_;
    const Options options_;
    const Violate violate_;
    std::vector<std::unique_ptr<Connection>> connections_;
};

}  // namespace whinpost
