// One placer in virtual time among peers that say just what a test has them say.
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

// One end of a stream, by hand. What came is kept.
template <class In, class Out>
struct Peer : net::StreamHandler {
    std::size_t on_received(std::string_view bytes) override {
        bool too_long = false;
        return net::decode_frames(bytes, 1 << 20, too_long, [this](std::string_view f) {
            In m;
            if (m.ParseFromArray(f.data(), static_cast<int>(f.size()))) got.push_back(m);
            return true;
        });
    }
    void on_closed(net::CloseReason how) override {
        over = true;
        ended = how;
        stream.reset();
    }
    void say(const Out& m) {
        std::string frame;
        net::encode_frame(frame, m);
        if (stream) stream->write(frame);
    }
    // The messages of one kind, in their order.
    template <class Has>
    std::vector<In> all(Has has) const {
        std::vector<In> out;
        for (const In& m : got)
            if ((m.*has)()) out.push_back(m);
        return out;
    }
    template <class Has>
    std::size_t count(Has has) const {
        return all(has).size();
    }
    std::unique_ptr<net::Stream> stream;
    std::vector<In> got;
    bool over = false;
    net::CloseReason ended{};
};

using OwnerPeer = Peer<v1::ToClient, v1::FromClient>;
using NodePeer = Peer<v1::ToWorker, v1::FromWorker>;
using ListPeer = Peer<v1::ToDiscovery, v1::FromDiscovery>;

struct Rig {
    explicit Rig(const std::string& more = "", std::uint64_t seed = 1) : world(seed) {
        list_host = &world.process("list");
        listeners.push_back(list_host
                                ->listen("list:1",
                                         [this](std::unique_ptr<net::Stream> s) {
                                             lists.push_back(std::make_unique<ListPeer>());
                                             net::Stream& stream = *s;
                                             lists.back()->stream = std::move(s);
                                             list_host->attach(stream, *lists.back());
                                             v1::FromDiscovery hello;
                                             greet(*hello.mutable_hello(), "list", 1);
                                             lists.back()->say(hello);
                                         })
                                .value());
        text = R"([placer]
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
)" + more;
        raise();
    }
    static void greet(v1::Hello& h, const std::string& name, std::uint64_t incarnation) {
        h.set_version(1);
        h.set_name(name);
        h.set_incarnation(incarnation);
    }

    void raise() {
        config::Document d = config::Document::parse(text, "stage");
        placer_host = &world.process("10.0.0.1");
        ++incarnation;
        auto made = apps::EmbeddedPlacer::make(*placer_host, d, {7, incarnation, {}});
        if (!made) throw std::runtime_error(to_string(made.error().at(0)));
        placer = std::move(*made);
        placer->discovery_address = "list:1";
        if (const auto listening = placer->start(); !listening)
            throw std::runtime_error(to_string(listening.error()));
    }
    void kill() {
        world.kill(*placer_host);
        placer.reset();
    }
    void run(Nanos by) { world.run_until(world.now() + by); }

    // ---- the list
    v1::Endpoint entry(const std::string& node, int zone = 0, int cell = 0,
                       v1::Endpoint::Phase stage = v1::Endpoint::SERVING, Nanos up_for = 0) const {
        v1::Endpoint e;
        e.set_worker(node);
        e.set_address(node + ":1");
        e.set_zone(static_cast<std::uint32_t>(zone));
        e.set_cell(static_cast<std::uint32_t>(cell));
        e.set_free_cores(16);
        e.set_free_memory(32);
        e.set_phase(stage);
        e.set_uptime(up_for);
        return e;
    }
    void list(const std::vector<v1::Endpoint>& entries, bool whole = true, std::uint64_t number = 0) {
        if (lists.empty()) run(10 * kMillisecond);
        v1::FromDiscovery m;
        m.mutable_update()->set_is_snapshot(whole);
        m.mutable_update()->set_sequence(number ? number : ++list_number);
        for (const v1::Endpoint& e : entries) *m.mutable_update()->add_endpoints() = e;
        lists.back()->say(m);
        run(5 * kMillisecond);
    }

    // ---- nodes: greeted at once, unless `mute`
    struct NodeAt {
        std::string name;
        std::uint64_t incarnation = 1;
        Nanos up_for = 0, clock = 0;
        bool mute = false;
        simulation::SimulatedProcess* host = nullptr;
        std::vector<std::unique_ptr<NodePeer>> conns;  // the last is the present one
        std::vector<std::uint64_t> holds;
        std::unique_ptr<net::Listener> listener;

        NodePeer& now() { return *conns.back(); }
        std::vector<v1::StartAttempt> launches() const {
            std::vector<v1::StartAttempt> out;
            for (const auto& c : conns)
                for (const v1::ToWorker& m : c->got)
                    if (m.has_start_attempt()) out.push_back(m.start_attempt());
            return out;
        }
        void yes(std::uint64_t launch) {
            v1::FromWorker m;
            m.mutable_accepted()->set_attempt(launch);
            now().say(m);
        }
        void end(std::uint64_t launch, v1::AttemptEnded::Outcome how, v1::Reason why = v1::UNSPECIFIED) {
            v1::FromWorker m;
            m.mutable_ended()->set_attempt(launch);
            m.mutable_ended()->set_outcome(how);
            m.mutable_ended()->set_reason(why);
            now().say(m);
        }
    };
    NodeAt& node(const std::string& name, bool mute = false) {
        nodes.push_back(std::make_unique<NodeAt>());
        NodeAt& n = *nodes.back();
        n.name = name;
        n.mute = mute;
        stand(n);
        return n;
    }
    void stand(NodeAt& n) {
        n.host = &world.process(n.name);
        n.listener = n.host
                         ->listen(n.name + ":1",
                                  [&n](std::unique_ptr<net::Stream> s) {
                                      n.conns.push_back(std::make_unique<NodePeer>());
                                      net::Stream& stream = *s;
                                      n.now().stream = std::move(s);
                                      n.host->attach(stream, n.now());
                                      if (n.mute) return stream.set_reading(false);
                                      v1::FromWorker m;
                                      greet(*m.mutable_hello(), n.name, n.incarnation);
                                      n.now().say(m);
                                      m.mutable_state()->set_remembers_for(60 * kSecond);
                                      m.mutable_state()->set_uptime(n.up_for);
                                      m.mutable_state()->set_clock(n.clock);
                                      for (const std::uint64_t l : n.holds) {
                                          v1::HeldAttempt* h = m.mutable_state()->add_attempts();
                                          h->set_attempt(l);
                                          h->set_accepted(true);
                                      }
                                      n.now().say(m);
                                  })
                         .value();
    }
    // As by kill -9: another may stand up under its name.
    void kill(NodeAt& n) {
        for (const auto& c : n.conns) c->stream.reset();
        n.listener.reset();
        world.kill(*n.host);
    }

    // ---- owners
    OwnerPeer& owner(const std::string& name = "o", bool hello = true) {
        owners.push_back(std::make_unique<OwnerPeer>());
        OwnerPeer& o = *owners.back();
        simulation::SimulatedProcess& host = world.process("owner-" + std::to_string(owners.size()));
        o.stream = host.dial("10.0.0.1:7400", o);
        run(5 * kMillisecond);
        if (hello) {
            v1::FromClient m;
            greet(*m.mutable_hello(), name, 1);
            o.say(m);
        }
        return o;
    }
    v1::SubmitTask offer(std::uint64_t id, const std::string& group = "free",
                         Nanos time_left = 2 * kSecond) const {
        v1::SubmitTask o;
        o.set_id(id);
        o.set_task("c" + std::to_string(id));
        o.set_service("s");
        o.set_queue_group(group);
        o.set_cores(0.1);
        o.set_memory(0.1);
        o.set_time_left(time_left);
        return o;
    }
    void ask(OwnerPeer& o, const v1::SubmitTask& offer) {
        v1::FromClient m;
        *m.mutable_submit() = offer;
        o.say(m);
        run(50 * kMillisecond);
    }

    simulation::SimulatedNetwork world;
    std::string text;
    std::uint64_t list_number = 0, incarnation = 0;
    simulation::SimulatedProcess *list_host = nullptr, *placer_host = nullptr;
    std::vector<std::unique_ptr<net::Listener>> listeners;
    std::vector<std::unique_ptr<ListPeer>> lists;
    std::vector<std::unique_ptr<NodeAt>> nodes;
    std::vector<std::unique_ptr<OwnerPeer>> owners;
    std::unique_ptr<apps::EmbeddedPlacer> placer;
};

}  // namespace whinpost
