// One placer in virtual time with clients, workers and a discovery service that are controlled by the test.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "embedded_placer.h"
#include "proto/client.pb.h"
#include "proto/discovery.pb.h"
#include "proto/worker.pb.h"
#include "simulation/simulated_network.h"

namespace whinpost {

// One end of a stream, controlled by the test. It stores the messages that it receives.
template <class In, class Out>
struct TestPeer : net::StreamHandler {
    std::size_t on_received(std::string_view bytes) override {
        bool too_long = false;
        return net::decode_frames(bytes, 1 << 20, too_long, [this](std::string_view frame) {
            In message;
            if (message.ParseFromArray(frame.data(), static_cast<int>(frame.size())))
                received.push_back(message);
            return true;
        });
    }
    void on_closed(net::CloseReason reason) override {
        is_closed = true;
        close_reason = reason;
        stream.reset();
    }
    void send(const Out& message) {
        std::string frame;
        net::encode_frame(frame, message);
        if (stream) stream->write(frame);
    }
    // The received messages for which `has` is true, in order.
    template <class Has>
    std::vector<In> messages(Has has) const {
        std::vector<In> out;
        for (const In& message : received)
            if ((message.*has)()) out.push_back(message);
        return out;
    }
    template <class Has>
    std::size_t count(Has has) const {
        return messages(has).size();
    }
    std::unique_ptr<net::Stream> stream;
    std::vector<In> received;
    bool is_closed = false;
    net::CloseReason close_reason{};
};

using TestClient = TestPeer<v1::ToClient, v1::FromClient>;
using WorkerStream = TestPeer<v1::ToWorker, v1::FromWorker>;
using FakeDiscovery = TestPeer<v1::ToDiscovery, v1::FromDiscovery>;

inline void fill_hello(v1::Hello& hello, const std::string& name, std::uint64_t incarnation) {
    hello.set_version(1);
    hello.set_name(name);
    hello.set_incarnation(incarnation);
}

// One worker with all its connections and incarnations.
struct FakeWorker {
    std::string name;
    std::uint64_t incarnation = 1;
    Nanos uptime = 0, clock = 0;
    bool is_silent = false;
    simulation::SimulatedProcess* process = nullptr;
    std::vector<std::unique_ptr<WorkerStream>> connections;  // the last is the current one
    std::vector<std::uint64_t> held_attempts;
    std::unique_ptr<net::Listener> listener;

    WorkerStream& connection() { return *connections.back(); }
    std::vector<v1::StartAttempt> attempts() const {
        std::vector<v1::StartAttempt> out;
        for (const auto& connection : connections)
            for (const v1::ToWorker& message : connection->received)
                if (message.has_start_attempt()) out.push_back(message.start_attempt());
        return out;
    }
    // Sends the worker's greeting: Hello, and WorkerState with the attempts that it holds.
    void greet() {
        v1::FromWorker message;
        fill_hello(*message.mutable_hello(), name, incarnation);
        connection().send(message);
        message.mutable_state()->set_remembers_for(60 * kSecond);
        message.mutable_state()->set_uptime(uptime);
        message.mutable_state()->set_clock(clock);
        for (const std::uint64_t attempt : held_attempts) {
            v1::HeldAttempt* held = message.mutable_state()->add_attempts();
            held->set_attempt(attempt);
            held->set_accepted(true);
        }
        connection().send(message);
    }
    void accept(std::uint64_t attempt) {
        v1::FromWorker message;
        message.mutable_accepted()->set_attempt(attempt);
        connection().send(message);
    }
    void end_attempt(std::uint64_t attempt, v1::AttemptEnded::Outcome outcome,
                     v1::Reason reason = v1::UNSPECIFIED) {
        v1::FromWorker message;
        message.mutable_ended()->set_attempt(attempt);
        message.mutable_ended()->set_outcome(outcome);
        message.mutable_ended()->set_reason(reason);
        connection().send(message);
    }
};

// One placer as it is embedded in the program, with its peers, in one simulated network.
struct ServerRig {
    explicit ServerRig(const std::string& more_config = "", std::uint64_t seed = 1) : network(seed) {
        discovery_process = &network.add_process("list");
        const auto on_connection = [this](std::unique_ptr<net::Stream> accepted) {
            discovery_streams.push_back(std::make_unique<FakeDiscovery>());
            net::Stream& stream = *accepted;
            discovery_streams.back()->stream = std::move(accepted);
            discovery_process->attach(stream, *discovery_streams.back());
            v1::FromDiscovery hello;
            fill_hello(*hello.mutable_hello(), "list", 1);
            discovery_streams.back()->send(hello);
        };
        listeners.push_back(discovery_process->listen("list:1", on_connection).value());
        config = R"([placer]
name = "p"
listen = "10.0.0.1:7400"
zone = "a"
zones = ["a", "b"]
[list]
address = "10.0.0.9:1"
[log]
level = "off"
[[machine_kind]]
name = "std"
cores = 16
memory = 32
[[queue_group]]
name = "free"
effect = "idempotent"
start_target_ms = 800
[[queue_group]]
name = "marked"
effect = "fingerprinted"
repeats_dropped_by = "cell"
repeat_window_ms = 3000
start_target_ms = 800
[[queue_group]]
name = "once"
effect = "side-effecting"
start_target_ms = 800
[acceptance]
can_probe = false
)" + more_config;
        start_placer();
    }
    void start_placer() {
        config::Document document = config::Document::parse(config, "stage");
        placer_process = &network.add_process("10.0.0.1");
        ++incarnation;
        auto made = apps::EmbeddedPlacer::make(*placer_process, document, {7, incarnation, {}});
        if (!made) throw std::runtime_error(to_string(made.error().at(0)));
        placer = std::move(*made);
        placer->discovery_address = "list:1";
        if (const auto listening = placer->start(); !listening)
            throw std::runtime_error(to_string(listening.error()));
    }
    void kill_placer() {
        network.kill(*placer_process);
        placer.reset();
    }
    void run(Nanos duration) { network.run_until(network.now() + duration); }

    // ---- the discovery service
    v1::Endpoint endpoint(const std::string& worker_name, int zone = 0, int cell = 0,
                          v1::Endpoint::Phase phase = v1::Endpoint::SERVING, Nanos uptime = 0) const {
        v1::Endpoint endpoint;
        endpoint.set_worker(worker_name);
        endpoint.set_address(worker_name + ":1");
        endpoint.set_zone(static_cast<std::uint32_t>(zone));
        endpoint.set_cell(static_cast<std::uint32_t>(cell));
        endpoint.set_free_cores(16);
        endpoint.set_free_memory(32);
        endpoint.set_phase(phase);
        endpoint.set_uptime(uptime);
        return endpoint;
    }
    void publish(const std::vector<v1::Endpoint>& endpoints, bool is_snapshot = true,
                 std::uint64_t explicit_sequence = 0) {
        if (discovery_streams.empty()) run(10 * kMillisecond);
        v1::FromDiscovery message;
        message.mutable_update()->set_is_snapshot(is_snapshot);
        message.mutable_update()->set_sequence(explicit_sequence ? explicit_sequence : ++sequence);
        for (const v1::Endpoint& endpoint : endpoints) *message.mutable_update()->add_endpoints() = endpoint;
        discovery_streams.back()->send(message);
        run(5 * kMillisecond);
    }

    // ---- workers: they greet when dialled, unless `is_silent`; then they never read or write
    FakeWorker& add_worker(const std::string& name, bool is_silent = false) {
        workers.push_back(std::make_unique<FakeWorker>());
        FakeWorker& worker = *workers.back();
        worker.name = name;
        worker.is_silent = is_silent;
        start_worker(worker);
        return worker;
    }
    void start_worker(FakeWorker& worker) {
        worker.process = &network.add_process(worker.name);
        const auto on_connection = [&worker](std::unique_ptr<net::Stream> accepted) {
            worker.connections.push_back(std::make_unique<WorkerStream>());
            net::Stream& stream = *accepted;
            worker.connection().stream = std::move(accepted);
            worker.process->attach(stream, worker.connection());
            if (worker.is_silent) stream.set_reading(false);
            else worker.greet();
        };
        worker.listener = worker.process->listen(worker.name + ":1", on_connection).value();
    }
    // Ends the worker's process without any message, as kill -9 does. start_worker() can restart it.
    void kill_worker(FakeWorker& worker) {
        for (const auto& connection : worker.connections) connection->stream.reset();
        worker.listener.reset();
        network.kill(*worker.process);
    }

    // ---- clients
    TestClient& connect_client(const std::string& name = "o", bool hello = true) {
        clients.push_back(std::make_unique<TestClient>());
        TestClient& client = *clients.back();
        simulation::SimulatedProcess& process =
            network.add_process("owner-" + std::to_string(clients.size()));
        client.stream = process.dial("10.0.0.1:7400", client);
        run(5 * kMillisecond);
        if (hello) {
            v1::FromClient message;
            fill_hello(*message.mutable_hello(), name, 1);
            client.send(message);
        }
        return client;
    }
    v1::SubmitTask request(std::uint64_t id, const std::string& group = "free",
                           Nanos time_left = 2 * kSecond) const {
        v1::SubmitTask message;
        message.set_id(id);
        message.set_task("c" + std::to_string(id));
        message.set_service("s");
        message.set_queue_group(group);
        message.set_cores(0.1);
        message.set_memory(0.1);
        message.set_time_left(time_left);
        return message;
    }
    void submit(TestClient& client, const v1::SubmitTask& request) {
        v1::FromClient message;
        *message.mutable_submit() = request;
        client.send(message);
        run(50 * kMillisecond);
    }

    simulation::SimulatedNetwork network;
    std::string config;
    std::uint64_t sequence = 0, incarnation = 0;
    simulation::SimulatedProcess *discovery_process = nullptr, *placer_process = nullptr;
    std::vector<std::unique_ptr<net::Listener>> listeners;
    std::vector<std::unique_ptr<FakeDiscovery>> discovery_streams;
    std::vector<std::unique_ptr<FakeWorker>> workers;
    std::vector<std::unique_ptr<TestClient>> clients;
    std::unique_ptr<apps::EmbeddedPlacer> placer;
};

// The number of final answers that a client has received.
inline std::size_t final_answers(const TestClient& client) {
    return client.count(&v1::ToClient::has_placed) + client.count(&v1::ToClient::has_rejected) +
           client.count(&v1::ToClient::has_failed);
}

}  // namespace whinpost
