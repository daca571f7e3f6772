// The platform's messages, set-ups and files: what is read back, and what is turned away.
#include <catch2/catch.hpp>

#include "discovery/event_stream.h"
#include "platform/bootstrap_config.h"
#include "platform/placement_request.h"
#include "platform_codec/message.h"

using namespace whinpost;
using platform_codec::Message;
using platform_codec::MessageType;

namespace {

Message good() {
    Message m;
    m.type = MessageType::place_task;
    m.task = 0x0123456789abcdef;
    m.queue_group = "batch";
    m.time_left_ms = "1500";
    m.task_name = "7f3a9c21e0b4d655";
    m.requirements = "cores:1;memory:2;service:00000000b4d65521";
    m.idempotency_key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    m.description = std::string_view("\x00 any bytes \xff", 13);
    return m;
}
std::string_view wrong_with(const Message& m) {
    QueueGroup g;
    g.effect = Effect::keyed;
    const auto request = platform::parse_placement_request(m, {{"batch"}, {g}, {16, 32}});
    return request ? std::string_view() : platform::to_string(request.error().kind);
}

enum class DecodeStatus { complete, incomplete, malformed };
DecodeStatus decode(std::string_view bytes) {
    const auto decoded = platform_codec::decode(bytes);
    if (!decoded) return DecodeStatus::malformed;
    return *decoded ? DecodeStatus::complete : DecodeStatus::incomplete;
}

}  // namespace

TEST_CASE("a message comes back as it was written, whatever pieces it comes in") {
    std::string bytes;
    Message m = good();
    m.cause = static_cast<platform_codec::Cause>(200);
    platform_codec::encode(bytes, m);
    platform_codec::encode(bytes, m);
    const std::size_t one = bytes.size() / 2;
    for (std::size_t n = 0; n < one; ++n)
        REQUIRE(decode(std::string_view(bytes).substr(0, n)) == DecodeStatus::incomplete);
    REQUIRE(decode(bytes) == DecodeStatus::complete);
    const platform_codec::DecodedMessage decoded = **platform_codec::decode(bytes);
    const Message& got = decoded.message;
    CHECK(decoded.size == one);
    CHECK(got.task == m.task);
    CHECK(got.type == m.type);
    CHECK(got.queue_group == m.queue_group);
    CHECK(got.description == m.description);
    CHECK(got.cause == m.cause);
    CHECK(!got.load_report);
}

TEST_CASE("what does not add up can't be read") {
    std::string bytes;
    platform_codec::encode(bytes, good());
    const auto read = [](const std::string& b) { return decode(b); };
    std::string b = bytes;
    b[0] = '\x7f';  // too long
    CHECK(read(b) == DecodeStatus::malformed);
    b = bytes;
    b[2] = 99;  // no such type, known before the rest has come
    CHECK(read(b) == DecodeStatus::malformed);
    CHECK(read(b.substr(0, 3)) == DecodeStatus::malformed);
    CHECK(read(std::string("\x00\x02\x01", 3)) == DecodeStatus::malformed);  // shorter than any message
    b = bytes;
    b[12] = '\x7f';  // a parameter that ends after its message
    CHECK(read(b) == DecodeStatus::malformed);
}

TEST_CASE("a set-up is read whole or turned away with what is wrong") {
    CHECK(wrong_with(good()).empty());
    const auto broken = [](auto change) {
        Message m = good();
        change(m);
        return !wrong_with(m).empty();
    };
    CHECK(broken([](Message& m) { m.task = 0; }));
    CHECK(broken([](Message& m) { m.queue_group = "nothing"; }));
    CHECK(broken([](Message& m) { m.queue_group.reset(); }));
    CHECK(broken([](Message& m) { m.task_name = "short"; }));
    CHECK(broken([](Message& m) { m.idempotency_key.reset(); }));
    CHECK(broken([](Message& m) { m.description.reset(); }));
    const std::string_view wait = GENERATE("", "soon", "-5", "99999999999999999999999", "1.5", "nan");
    CHECK(broken([&](Message& m) { m.time_left_ms = wait; }));
    const std::string_view figures =
        GENERATE("", "x", "cores:1;memory:2", "cores:nan;memory:2;service:a", "cores:-1;memory:2;service:a",
                 "cores:1;memory:1e12;service:a", "cores:0;memory:2;service:a", "memory:2;service:a",
                 "home:1;copies:0;top:99", "cores:inf;memory:2;service:a", "cores:17;memory:2;service:a");
    CHECK(broken([&](Message& m) { m.requirements = figures; }));
}

TEST_CASE("what a host holds already comes without a wait that means anything") {
    Message m = good();
    m.requirements = "cores:1;memory:2;service:00000000b4d65521;at:s-1";
    m.time_left_ms = "4294967";
    m.description.reset();
    CHECK(wrong_with(m).empty());
}

TEST_CASE("an event is read from any pieces, and a half one is not") {
    const std::string all = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string body = ": hello\nid: 4\ndata: {\"a\":1}\n\nid: 5\ndata: {\"b\"";
    std::string bytes = all;
    for (const char c : body) bytes += std::string("1\r\n") + c + "\r\n";
    discovery::EventStreamParser r;
    std::vector<std::string> got;
    for (const char c : bytes)
        REQUIRE(r.feed(std::string_view(&c, 1), [&](std::string_view data) { got.emplace_back(data); }));
    CHECK(got == std::vector<std::string>{"{\"a\":1}"});
    CHECK(!discovery::EventStreamParser().feed("HTTP/1.1 503 No\r\n\r\n", [](std::string_view) {}));
    CHECK(!discovery::EventStreamParser().feed("\x01\x02 noise", [](std::string_view) {}));
}

TEST_CASE("entries keep apart what an event says and what it leaves out") {
    const auto e = discovery::parse_watch_event(
        R"({"offset":41,"topology":{"seq":7,"whole":false,"hosts":[{"host":"s-1","health":"leaving"},
           {"host":"s-2","dial":"10.1.0.9:3868","site":"east","class":"std","block":2,"health":"active","born_ms":5,
            "free":[1.5,-2]},{"host":"s-3","site":"nowhere"},{"no":1}]}})",
        {"west", "east"}, {"std"});
    REQUIRE(e);
    CHECK(e->sequence == 41);
    REQUIRE(e->endpoints.size() == 2);
    CHECK(e->invalid_entries == 2);
    CHECK(e->endpoints[0].phase == EndpointPhase::draining);
    CHECK(!e->endpoints[0].free_cores);
    CHECK(e->endpoints[1].zone == 1);
    CHECK(e->endpoints[1].started_at == 5 * kMillisecond);
    CHECK(e->endpoints[1].free_memory == -2);
    CHECK(!discovery::parse_watch_event("{\"offset\":", {}, {}));
}

TEST_CASE("the briefing is flattened to the paths of the simulator's settings; what is wrong is named") {
    const std::string head =
        R"({"listen":"127.0.0.1:1","bus":"127.0.0.1:2","seed":"8c1f","limits":{"sockets":256},)";
    const auto b = platform::BootstrapConfig::parse(
        head + R"("known":{"offset":3,"batch":[{"offset":3}]},"settings":{"classes":[{"name":"x","aim_us":5}],
                  "zones":["a","b"],"limits":{"probes":true,"dial_timeout_us":250000},"me":0}})",
        "f.json");
    CHECK(b.seed() == 0x8c1f);
    CHECK(b.offset() == 3);
    CHECK(b.settings().text("classes.count") == "1");
    CHECK(b.settings().text("classes.0.name") == "x");
    CHECK(b.settings().list("zones").size() == 2);
    CHECK(b.settings().boolean("limits.probes"));
    CHECK(b.settings().duration("limits.dial_timeout_us") == 250 * kMillisecond);
    CHECK_THROWS_WITH(b.settings().text("nothing.here"), "f.json: nothing.here is missing");
    CHECK_THROWS_WITH(platform::BootstrapConfig::parse("{", "f.json"), "f.json: not a JSON object");
    CHECK_THROWS_WITH(platform::BootstrapConfig::parse(R"({"listen":"x:1"})", "f.json"),
                      "f.json: bus is not an address and a port");
    CHECK_THROWS_WITH(platform::BootstrapConfig::parse(head + "\"settings\":4}", "f.json"),
                      "f.json: settings is missing");
}
