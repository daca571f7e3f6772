// The endpoint list: which workers are listed, and which are on the ring.
#include <catch2/catch.hpp>
#include <vector>

#include "scheduler/endpoint_list.h"
#include "support/scheduler_rig.h"

using namespace whinpost;

TEST_CASE(
    "a worker is listed from its first watch event until it is gone, and on the ring while it is serving") {
    const std::vector<WorkerKind> kinds{{16, 32}};
    scheduler::EndpointList endpoints(kinds);
    Worker& first = endpoints.add_worker(1, kSecond, 1);
    Worker& second = endpoints.add_worker(2, kSecond, 1);
    CHECK(endpoints.listed_workers().empty());
    const auto update = [&](Worker& worker, EndpointPhase phase) {
        return endpoints.update(worker, {0, 0, 0, 16, 32, phase, 0});
    };
    CHECK_FALSE(update(first, EndpointPhase::serving));
    CHECK_FALSE(update(second, EndpointPhase::serving));
    CHECK(endpoints.ring().empty());  // the event has not ended
    endpoints.finish_watch_event(false);
    CHECK(endpoints.listed_workers() == std::vector<Worker*>{&first, &second});
    CHECK(endpoints.ring().members() == 2);
    CHECK_FALSE(update(first, EndpointPhase::draining));
    endpoints.finish_watch_event(false);
    CHECK(endpoints.listed_workers().size() == 2);
    CHECK(endpoints.ring().members() == 1);
    CHECK_FALSE(update(first, EndpointPhase::serving));
    endpoints.finish_watch_event(true);  // a complete list that does not name the second
    CHECK(second.endpoint.phase == EndpointPhase::gone);
    CHECK(endpoints.listed_workers() == std::vector<Worker*>{&first});
    CHECK(endpoints.ring().members() == 1);
}

TEST_CASE("an update with a later start time tells that a listed worker has restarted") {
    const std::vector<WorkerKind> kinds{{16, 32}};
    scheduler::EndpointList endpoints(kinds);
    Worker& worker = endpoints.add_worker(1, kSecond, 1);
    CHECK_FALSE(endpoints.update(worker, {0, 0, 0, 16, 32, EndpointPhase::serving, 5 * kSecond}));
    CHECK_FALSE(endpoints.update(worker, {0, 0, 0, 8, 32, EndpointPhase::serving, 5 * kSecond}));
    CHECK(endpoints.update(worker, {0, 0, 0, 16, 32, EndpointPhase::serving, 6 * kSecond}));
    CHECK(worker.kind == &kinds[0]);
    CHECK_FALSE(endpoints.is_large());
}
