// The endpoint list of the platform's server, as watch events change it.
#include "platform/endpoint_list.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "simulation/simulated_network.h"
#include "support/quiet_planner.h"
#include "support/quiet_platform_handlers.h"

using namespace whinpost;
using discovery::EndpointUpdate;

namespace {

struct EndpointFixture : QuietWorkerHandler, platform::ConnectionReserver, QuietPlanner {
    using QuietPlanner::on_load_report;
    using QuietWorkerHandler::on_load_report;
    void on_load_report(Nanos, planner::WorkerNumber, const LoadReport&) override {}
    bool reserve_connection(platform::PooledWorker&) override { return false; }
    void on_connection_ended() override {}
    void on_endpoint(Nanos, planner::WorkerNumber worker, std::uint64_t,
                     const EndpointState& state) override {
        reported.emplace_back(worker, state);
    }

    static EndpointUpdate update(const std::string& worker, EndpointPhase phase, const std::string& address) {
        EndpointUpdate made;
        made.worker = worker;
        made.phase = phase;
        if (!address.empty()) made.address = address;
        return made;
    }
    void apply(std::vector<EndpointUpdate> updates, bool snapshot = false) {
        discovery::WatchEvent event;
        event.has_endpoints = true;
        event.is_snapshot = snapshot;
        event.endpoints = std::move(updates);
        list.apply(world.now(), event, *this);
    }

    simulation::SimulatedNetwork world{1};
    simulation::SimulatedProcess& process = world.add_process("10.0.0.1");
    log::Logger log;
    ledger::Ledger ledger{{}, {4, true}, {0.25, 10 * kSecond, 3, 2 * kSecond, 40, 3, 0}};
    std::vector<std::pair<planner::WorkerNumber, EndpointState>> reported;
    platform::WorkerPool pool{process, log, *this, *this, {kSecond, 15 * kSecond, 12, 5}};
    platform::EndpointList list{process, pool, ledger};
};

}  // namespace

TEST_CASE("a worker is added once its address is known, unless it has left by then") {
    EndpointFixture fixture;
    fixture.apply({EndpointFixture::update("w1", EndpointPhase::serving, "")});
    CHECK(fixture.pool.size() == 0);
    CHECK(fixture.list.find("w1") == nullptr);
    fixture.apply({EndpointFixture::update("w2", EndpointPhase::gone, "10.0.1.2:1")});
    CHECK(fixture.pool.size() == 0);
    fixture.apply({EndpointFixture::update("w1", EndpointPhase::serving, "10.0.1.1:1")});
    REQUIRE(fixture.list.find("w1"));
    CHECK(fixture.list.find("w1")->worker->number() == 0);
    CHECK(fixture.list.find("w1")->record == fixture.ledger.find_worker("w1"));
    CHECK(fixture.reported.size() == 1);
}

TEST_CASE("fields that are absent from an update keep their value") {
    EndpointFixture fixture;
    EndpointUpdate first = EndpointFixture::update("w1", EndpointPhase::serving, "10.0.1.1:1");
    first.cell = 4;
    first.free_cores = 2.5;
    fixture.apply({first});
    fixture.apply({EndpointFixture::update("w1", EndpointPhase::draining, "")});
    REQUIRE(fixture.reported.size() == 2);
    CHECK(fixture.reported[1].second.cell == 4);
    CHECK(fixture.reported[1].second.free_cores == 2.5);
    CHECK(fixture.reported[1].second.phase == EndpointPhase::draining);
    CHECK(fixture.list.find("w1")->address == "10.0.1.1:1");
}

TEST_CASE("a snapshot removes the workers that it does not name; they keep their number") {
    EndpointFixture fixture;
    fixture.apply({EndpointFixture::update("w1", EndpointPhase::serving, "10.0.1.1:1"),
                   EndpointFixture::update("w2", EndpointPhase::serving, "10.0.1.2:1")});
    fixture.apply({EndpointFixture::update("w2", EndpointPhase::serving, "10.0.1.2:1")}, true);
    REQUIRE(fixture.list.find("w1"));
    CHECK_FALSE(fixture.list.find("w1")->is_listed());
    CHECK(fixture.list.find("w1")->worker->is_gone());
    CHECK_FALSE(fixture.ledger.find_worker("w1")->is_listed);
    CHECK(fixture.list.find("w2")->is_listed());
    fixture.apply({EndpointFixture::update("w1", EndpointPhase::serving, "")});
    CHECK(fixture.list.find("w1")->is_listed());
    CHECK(fixture.list.find("w1")->worker->number() == 0);
    CHECK(fixture.pool.size() == 2);
}
