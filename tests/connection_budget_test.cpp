// The budget of file descriptors, and the queue of workers that wait for one.
#include "platform/connection_budget.h"

#include <catch2/catch.hpp>

#include "platform/descriptor_queue.h"

using namespace whinpost::platform;

TEST_CASE(
    "a quarter is reserved for workers and five twelfths for clients; either side may use what is free") {
    const ConnectionBudget budget(24 + 120);
    CHECK(budget.reserved_for_workers() == 30);
    CHECK(budget.worker_fits(119, 29));  // within the workers' quarter, whatever clients hold
    CHECK_FALSE(budget.worker_fits(90, 30));
    CHECK(budget.worker_fits(0, 119));
    CHECK_FALSE(budget.worker_fits(0, 120));
    CHECK(budget.client_fits(89, 0));
    CHECK_FALSE(budget.client_fits(90, 0));  // the workers' quarter is reserved
    CHECK_FALSE(budget.client_fits(10, 110));
    CHECK(budget.client_may_displace_worker(49));
    CHECK_FALSE(budget.client_may_displace_worker(50));
}

TEST_CASE("workers are served in the order in which they joined; joining again keeps their place") {
    DescriptorQueue queue;
    CHECK_FALSE(queue.others_first(1));
    queue.join(1);
    queue.join(2);
    queue.join(1);
    CHECK(queue.size() == 2);
    CHECK(queue.front() == 1);
    CHECK(queue.others_first(2));
    CHECK_FALSE(queue.others_first(1));
    queue.pop();
    CHECK(queue.front() == 2);
}
