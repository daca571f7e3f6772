// Validation of clients' requests, endpoint updates and load reports.
#include "server/request_check.h"

#include <catch2/catch.hpp>
#include <functional>
#include <limits>

#include "proto/client.pb.h"
#include "proto/discovery.pb.h"
#include "proto/worker.pb.h"
#include "server/endpoint_check.h"

using namespace whinpost;
using server::EndpointError;
using server::RequestError;

namespace {
const std::vector<std::string> kGroups = {"batch", "web"};
constexpr double kInfinity = std::numeric_limits<double>::infinity();

v1::SubmitTask valid_request() {
    v1::SubmitTask request;
    request.set_id(1);
    request.set_task("task");
    request.set_service("service");
    request.set_queue_group("web");
    request.set_time_left(kSecond);
    return request;
}

v1::Endpoint valid_endpoint() {
    v1::Endpoint endpoint;
    endpoint.set_worker("worker");
    endpoint.set_address("10.0.0.1:1");
    return endpoint;
}
}  // namespace

TEST_CASE("a request with a field out of range is rejected with an error that names the field") {
    struct Row {
        std::function<void(v1::SubmitTask&)> change;
        RequestError::Kind kind;
        std::string field;
    };
    const Row rows[] = {
        {[](auto& request) { request.set_id(0); }, RequestError::Kind::no_id, "offer.id"},
        {[](auto& request) { request.set_task(std::string(257, 'x')); }, RequestError::Kind::task_key_length,
         "offer.container"},
        {[](auto& request) { request.clear_service(); }, RequestError::Kind::service_length, "offer.service"},
        {[](auto& request) { request.set_queue_group("none"); }, RequestError::Kind::unknown_queue_group,
         "offer.group"},
        {[](auto& request) { request.set_cores(kInfinity); }, RequestError::Kind::cores_out_of_range,
         "offer.cores"},
        {[](auto& request) { request.set_memory(-1); }, RequestError::Kind::memory_out_of_range,
         "offer.memory"},
        {[](auto& request) { request.set_time_left(0); }, RequestError::Kind::time_left_out_of_range,
         "offer.time_left"},
        {[](auto& request) { request.set_expected_runtime(-1); }, RequestError::Kind::negative_runtime,
         "offer.life_left"},
    };
    REQUIRE(server::check_request(valid_request(), kGroups));
    for (const Row& row : rows) {
        v1::SubmitTask request = valid_request();
        row.change(request);
        const auto checked = server::check_request(request, kGroups);
        REQUIRE_FALSE(checked);
        CHECK(checked.error().kind == row.kind);
        CHECK(to_string(checked.error()).substr(0, row.field.size()) == row.field);
    }
}

TEST_CASE("resource_request keeps the amounts and converts the queue group's name to its index") {
    v1::SubmitTask message = valid_request();
    message.set_cores(2);
    message.set_memory(3);
    message.set_is_retry(true);
    const ResourceRequest request = server::resource_request(message, kGroups);
    CHECK(request.queue_group == 1);
    CHECK(request.cores == 2);
    CHECK(request.memory == 3);
    CHECK(request.time_left == kSecond);
    CHECK(request.is_retry);
}

TEST_CASE("a number in a load report that is not finite counts as absent") {
    v1::LoadReport message;
    message.set_free_cores(kInfinity);
    message.set_free_memory(4);
    const LoadReport report = server::load_report(message);
    CHECK_FALSE(report.has_free_cores);
    CHECK(report.has_free_memory);
    CHECK(report.free_memory == 4);
    CHECK_FALSE(report.has_utilization);
}

TEST_CASE(
    "an endpoint with a field out of range is rejected with that error; one that is gone needs no address") {
    struct Row {
        std::function<void(v1::Endpoint&)> change;
        EndpointError::Kind kind;
    };
    const Row rows[] = {
        {[](auto& endpoint) { endpoint.clear_worker(); }, EndpointError::Kind::worker_name_length},
        {[](auto& endpoint) { endpoint.clear_address(); }, EndpointError::Kind::no_address},
        {[](auto& endpoint) { endpoint.set_cell((1 << 20) + 1); },
         EndpointError::Kind::location_out_of_range},
        {[](auto& endpoint) { endpoint.set_free_cores(kInfinity); },
         EndpointError::Kind::free_amount_not_finite},
        {[](auto& endpoint) { endpoint.set_uptime(-1); }, EndpointError::Kind::negative_uptime},
        {[](auto& endpoint) { endpoint.set_kind(2); }, EndpointError::Kind::unknown_kind},
    };
    REQUIRE(server::check_endpoint(valid_endpoint(), 2));
    for (const Row& row : rows) {
        v1::Endpoint endpoint = valid_endpoint();
        row.change(endpoint);
        const auto checked = server::check_endpoint(endpoint, 2);
        REQUIRE_FALSE(checked);
        CHECK(checked.error().kind == row.kind);
    }
    v1::Endpoint gone = valid_endpoint();
    gone.clear_address();
    gone.set_phase(v1::Endpoint::GONE);
    CHECK(server::check_endpoint(gone, 2));
}
