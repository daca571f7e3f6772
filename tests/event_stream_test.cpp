// Parsing of the discovery event stream and of its events.
#include "discovery/event_stream.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace whinpost;

TEST_CASE("events are parsed from byte-sized pieces, and an incomplete event is not delivered") {
    const std::string all = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string body = ": hello\nid: 4\ndata: {\"a\":1}\n\nid: 5\ndata: {\"b\"";
    std::string bytes = all;
    for (const char next : body) bytes += std::string("1\r\n") + next + "\r\n";
    discovery::EventStreamParser parser;
    std::vector<std::string> received;
    for (const char next : bytes)
        REQUIRE(parser.feed(std::string_view(&next, 1),
                            [&](std::string_view data) { received.emplace_back(data); }));
    CHECK(received == std::vector<std::string>{"{\"a\":1}"});
    CHECK(!discovery::EventStreamParser().feed("HTTP/1.1 503 No\r\n\r\n", [](std::string_view) {}));
    CHECK(!discovery::EventStreamParser().feed("\x01\x02 noise", [](std::string_view) {}));
}

TEST_CASE("an endpoint update has values only for the fields in its entry, and invalid entries are counted") {
    const auto event = discovery::parse_watch_event(
        R"({"offset":41,"topology":{"seq":7,"whole":false,"hosts":[{"host":"s-1","health":"leaving"},
           {"host":"s-2","dial":"10.1.0.9:3868","site":"east","class":"std","block":2,"health":"active","born_ms":5,
            "free":[1.5,-2]},{"host":"s-3","site":"nowhere"},{"no":1}]}})",
        {"west", "east"}, {"std"});
    REQUIRE(event);
    CHECK(event->sequence == 41);
    REQUIRE(event->endpoints.size() == 2);
    CHECK(event->invalid_entries == 2);
    CHECK(event->endpoints[0].phase == EndpointPhase::draining);
    CHECK(!event->endpoints[0].free_cores);
    CHECK(event->endpoints[1].zone == 1);
    CHECK(event->endpoints[1].started_at == 5 * kMillisecond);
    CHECK(event->endpoints[1].free_memory == -2);
    CHECK(!discovery::parse_watch_event("{\"offset\":", {}, {}));
}
