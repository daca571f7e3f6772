// How the platform's server divides its file descriptors among connections to workers.
#include "platform/connection_allocator.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "simulation/simulated_network.h"
#include "support/quiet_platform_handlers.h"

using namespace whinpost;

namespace {

constexpr std::size_t kDescriptors = 64;  // 40 of them for connections
constexpr std::size_t kWorkers = 50;

// Workers that accept every connection, and a server without clients.
struct AllocatorFixture : QuietWorkerHandler, QuietClientHandler {
    struct Sink : net::StreamHandler {
        std::size_t on_received(std::string_view in) override { return in.size(); }
        void on_closed(net::CloseReason) override {}
        std::unique_ptr<net::Stream> stream;
    };
    bool make_room_for_client() override { return allocator.make_room_for_client(); }

    AllocatorFixture() {
        for (std::size_t i = 0; i < kWorkers; ++i) {
            const std::string ip = "10.0.1." + std::to_string(i + 1);
            simulation::SimulatedProcess& host = world.add_process(ip);
            auto listener = host.listen(ip + ":1", [this, &host](std::unique_ptr<net::Stream> stream) {
                sinks.push_back(std::make_unique<Sink>());
                sinks.back()->stream = std::move(stream);
                host.attach(*sinks.back()->stream, *sinks.back());
            });
            listeners.push_back(std::move(*listener));
            pool.add("w" + std::to_string(i)).update_endpoint(ip + ":1", EndpointPhase::serving);
        }
    }

    simulation::SimulatedNetwork world{1};
    simulation::SimulatedProcess& process = world.add_process("10.0.0.1");
    std::vector<std::unique_ptr<Sink>> sinks;
    std::vector<std::unique_ptr<net::Listener>> listeners;
    log::Logger log;
    platform::ClientServer clients{process, log, *this};
    platform::WorkerPool pool{process, log, *this, allocator, {kSecond, 60 * kSecond, 10, 5}};
    platform::ConnectionAllocator allocator{process, platform::ConnectionBudget(kDescriptors), clients, pool};
};

}  // namespace

TEST_CASE(
    "at the limit of the budget, a worker gets the descriptor of the connection that is idle for the "
    "longest") {
    AllocatorFixture fixture;
    for (planner::WorkerNumber number = 0; number < 40; ++number) {
        CHECK(fixture.pool.at(number).connect());
        fixture.world.run_until(fixture.world.now() + 10 * kMillisecond);
    }
    CHECK(fixture.allocator.connections() == 40);
    fixture.world.run_until(fixture.world.now() + kSecond);
    CHECK(fixture.pool.at(40).connect());
    CHECK(fixture.allocator.connections() == 40);
    CHECK_FALSE(fixture.pool.at(0).has_connection());
    CHECK(fixture.pool.at(1).has_connection());
}

TEST_CASE("workers that find no descriptor wait in a queue and are served by the sweep") {
    AllocatorFixture fixture;
    for (planner::WorkerNumber number = 0; number < 40; ++number) CHECK(fixture.pool.at(number).connect());
    CHECK_FALSE(fixture.pool.at(40).connect());  // all are dialing: none can be closed
    CHECK_FALSE(fixture.pool.at(41).connect());
    fixture.world.run_until(fixture.world.now() + 2 * kSecond);
    fixture.allocator.serve_queue(fixture.world.now());
    CHECK(fixture.pool.at(40).has_connection());
    CHECK(fixture.pool.at(41).has_connection());
    CHECK(fixture.allocator.connections() == 40);
}

TEST_CASE("an idle connection to a worker is closed to make room for a client") {
    AllocatorFixture fixture;
    for (planner::WorkerNumber number = 0; number < 40; ++number) CHECK(fixture.pool.at(number).connect());
    CHECK_FALSE(fixture.allocator.make_room_for_client());
    fixture.world.run_until(fixture.world.now() + kSecond);
    CHECK(fixture.allocator.make_room_for_client());
    CHECK(fixture.allocator.connections() == 39);
}
