// Parsing and checking of clients' placement requests.
#include "platform/placement_request.h"

#include <catch2/catch.hpp>

#include "platform_codec/message.h"
#include "support/platform_messages.h"

using namespace whinpost;
using platform_codec::Message;
using platform_codec::MessageType;

namespace {

std::string_view error_in(const Message& message) {
    QueueGroup group;
    group.effect = Effect::keyed;
    const auto request = platform::parse_placement_request(message, {{"batch"}, {group}, {16, 32}});
    return request ? std::string_view() : platform::to_string(request.error().kind);
}

}  // namespace

TEST_CASE("an invalid placement request is rejected with the reason") {
    CHECK(error_in(valid_request()).empty());
    const auto broken = [](auto change) {
        Message message = valid_request();
        change(message);
        return !error_in(message).empty();
    };
    CHECK(broken([](Message& message) { message.task = 0; }));
    CHECK(broken([](Message& message) { message.queue_group = "nothing"; }));
    CHECK(broken([](Message& message) { message.queue_group.reset(); }));
    CHECK(broken([](Message& message) { message.task_name = "short"; }));
    CHECK(broken([](Message& message) { message.idempotency_key.reset(); }));
    CHECK(broken([](Message& message) { message.description.reset(); }));
    const std::string_view time_left_ms = GENERATE("", "soon", "-5", "99999999999999999999999", "1.5", "nan");
    CHECK(broken([&](Message& message) { message.time_left_ms = time_left_ms; }));
    const std::string_view requirements =
        GENERATE("", "x", "cores:1;memory:2", "cores:nan;memory:2;service:a", "cores:-1;memory:2;service:a",
                 "cores:1;memory:1e12;service:a", "cores:0;memory:2;service:a", "memory:2;service:a",
                 "home:1;copies:0;top:99", "cores:inf;memory:2;service:a", "cores:17;memory:2;service:a");
    CHECK(broken([&](Message& message) { message.requirements = requirements; }));
}

TEST_CASE("a report of a running task may have an out-of-range time left and no description") {
    Message message = valid_request();
    message.requirements = "cores:1;memory:2;service:00000000b4d65521;at:s-1";
    message.time_left_ms = "4294967";
    message.description.reset();
    CHECK(error_in(message).empty());
}
