// The platform's front in virtual time, among owners, hosts and a bus that say just what a test has them say.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "planner/local_planner.h"
#include "platform/platform_server.h"
#include "simulation/simulated_network.h"
#include "support/platform_messages.h"

namespace whinpost {

// One end of a connection, by hand.
struct Line : net::StreamHandler, Speaker {
    std::size_t on_received(std::string_view in) override { return hear(in); }
    void on_closed(net::CloseReason) override {
        over = true;
        stream.reset();
    }
    void raw(std::string_view bytes) override {
        if (stream) stream->write(bytes);
    }
    std::unique_ptr<net::Stream> stream;
    bool over = false;
};

struct PlatformRig {
    struct HostAt {
        std::string name, address;
        simulation::SimulatedProcess* process;
        std::unique_ptr<net::Listener> listener;
        std::vector<std::unique_ptr<Line>> conns;
        // Every set-up that came, on any connection.
        std::vector<Line::Got> launches() const {
            std::vector<Line::Got> out;
            for (const auto& c : conns)
                for (const auto& g : c->all(MessageType::set_up)) out.push_back(g);
            return out;
        }
        std::size_t count(MessageType t, std::uint64_t id) const {
            std::size_t n = 0;
            for (const auto& c : conns) n += c->count(t, id);
            return n;
        }
        Line& last() { return *conns.back(); }
    };
    struct BusLine : net::StreamHandler {
        std::size_t on_received(std::string_view in) override {
            asked += in;
            return in.size();
        }
        void on_closed(net::CloseReason) override { stream.reset(); }
        std::unique_ptr<net::Stream> stream;
        std::string asked;
    };

    explicit PlatformRig(std::size_t descriptors = 256)
        : placer(world.process("10.0.0.1")), bus_process(world.process("10.0.9.1")),
          ledger(groups(), {4, true}, cold()),
          front(placer, log, ledger, {"free", "marked", "once"}, kinds(), {"std"}, {"a", "b"},
                250 * kMillisecond, 15 * kSecond, descriptors, 5),
          planner(front, 5, 0, groups(), kinds(), WorkerAcceptance{2.5, 1.5, true, false, true, false, true},
                  cold(), {}, {4, true}, {}) {
        front.plan_with(planner);
        open_bus("10.0.9.1:1");
        must(front.listen("10.0.0.1:3868").empty());
    }
    static void must(bool well) {
        if (!well) throw std::runtime_error("the rig does not stand");
    }
    static std::vector<QueueGroup> groups() {
        std::vector<QueueGroup> out(3);
        for (QueueGroup& g : out) {
            g.start_objective = 800 * kMillisecond;
            g.start_value_s = 10;
            g.full_service_utilization = 0.8;
            g.degradation_range = 0.25;
        }
        out[1].effect = Effect::keyed;
        out[1].deduplicated_by = FailureDomain::cell;
        out[1].deduplication_window = 5 * kSecond;
        out[2].effect = Effect::side_effecting;
        return out;
    }
    static std::vector<WorkerKind> kinds() { return {{16, 32}}; }
    static SlowStartSettings cold() { return {0.25, 10 * kSecond, 3, 2 * kSecond, 40, 3, 0}; }

    void open_bus(const std::string& address) {
        std::string error;
        bus_listeners.push_back(bus_process.listen(
            address,
            [this](std::unique_ptr<net::Stream> s) {
                buses.push_back(std::make_unique<BusLine>());
                net::Stream& stream = *s;
                buses.back()->stream = std::move(s);
                bus_process.attach(stream, *buses.back());
                tell_raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
            },
            error));
        must(bus_listeners.back() != nullptr);
    }
    void start(const std::string& address = "10.0.9.1:1") {
        front.bus().follow(address, 0);
        run(50 * kMillisecond);
    }
    void tell_raw(std::string_view bytes) {
        if (!buses.empty() && buses.back()->stream) buses.back()->stream->write(bytes);
    }
    static std::string entry(const HostAt& h, const char* state = "active") {
        return host_entry(h.name, h.address, state);
    }
    std::string event(const std::vector<std::string>& entries, bool whole = false) {
        return list_event(++events, entries, whole);
    }
    void tell(const std::vector<std::string>& entries, bool whole = false) {
        tell_raw(event(entries, whole));
        run(20 * kMillisecond);
    }
    // The bus stays alive: a comment comes every second.
    void run(Nanos by) {
        for (const Nanos until = world.now() + by; world.now() < until;) {
            const Nanos step = std::min(until, next_comment);
            world.run_until(step);
            if (world.now() >= next_comment) {
                if (comments) tell_raw(": here\n");
                next_comment = world.now() + kSecond;
            }
        }
    }
    HostAt& host(const std::string& name) {
        HostAt& h = hosts[name];
        h.name = name;
        const std::string at = "10.0.1." + std::to_string(hosts.size());
        h.address = at + ":3868";
        h.process = &world.process(at);
        listen(h);
        return h;
    }
    void listen(HostAt& h) {
        std::string error;
        h.listener = h.process->listen(
            h.address,
            [this, &h](std::unique_ptr<net::Stream> s) {
                h.conns.push_back(std::make_unique<Line>());
                net::Stream& stream = *s;
                h.conns.back()->stream = std::move(s);
                h.process->attach(stream, *h.conns.back());
            },
            error);
        must(h.listener != nullptr);
    }
    Line& owner(int number = 1) {
        simulation::SimulatedProcess*& p = owner_processes[number];
        if (!p) p = &world.process("10.0.2." + std::to_string(number));
        owners.push_back(std::make_unique<Line>());
        Line& l = *owners.back();
        l.stream = p->dial("10.0.0.1:3868", l);
        run(5 * kMillisecond);
        return l;
    }
    // A set-up as a good owner sends it.
    void ask(Line& o, std::uint64_t id, const std::string& group = "free", int wait_ms = 5000,
             const std::string& more = "") {
        o.raw(set_up_bytes(id, group, wait_ms, more));
        run(60 * kMillisecond);
    }

    simulation::SimulatedNetwork world{1};
    simulation::SimulatedProcess& placer;
    simulation::SimulatedProcess& bus_process;
    log::Logger log;
    ledger::Ledger ledger;
    platform::PlatformServer front;
    planner::LocalPlanner planner;
    std::vector<std::unique_ptr<net::Listener>> bus_listeners;
    std::vector<std::unique_ptr<BusLine>> buses;
    std::map<std::string, HostAt> hosts;
    std::map<int, simulation::SimulatedProcess*> owner_processes;
    std::vector<std::unique_ptr<Line>> owners;
    std::int64_t events = 0;
    Nanos next_comment = world.now() + kSecond;
    bool comments = true;
};

}  // namespace whinpost
