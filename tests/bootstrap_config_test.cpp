// Parsing of the start-up file that the platform gives a placer.
#include "platform/bootstrap_config.h"

#include <catch2/catch.hpp>
#include <string>

using namespace whinpost;

TEST_CASE("parsing flattens the settings to the simulator's keys; errors name the file and the key") {
    const std::string head =
        R"({"listen":"127.0.0.1:1","bus":"127.0.0.1:2","seed":"8c1f","limits":{"sockets":256},)";
    const auto config = platform::BootstrapConfig::parse(
        head + R"("known":{"offset":3,"batch":[{"offset":3}]},"settings":{"classes":[{"name":"x","aim_us":5}],
                  "zones":["a","b"],"limits":{"probes":true,"dial_timeout_us":250000},"me":0}})",
        "f.json");
    CHECK(config.seed() == 0x8c1f);
    CHECK(config.last_sequence() == 3);
    CHECK(config.settings().text("classes.count") == "1");
    CHECK(config.settings().text("classes.0.name") == "x");
    CHECK(config.settings().list("zones").size() == 2);
    CHECK(config.settings().boolean("limits.probes"));
    CHECK(config.settings().duration("limits.dial_timeout_us") == 250 * kMillisecond);
    CHECK_THROWS_WITH(config.settings().text("nothing.here"), "f.json: nothing.here is missing");
    CHECK_THROWS_WITH(platform::BootstrapConfig::parse("{", "f.json"), "f.json: not a JSON object");
    CHECK_THROWS_WITH(platform::BootstrapConfig::parse(R"({"listen":"x:1"})", "f.json"),
                      "f.json: bus is not an address and a port");
    CHECK_THROWS_WITH(platform::BootstrapConfig::parse(head + "\"settings\":4}", "f.json"),
                      "f.json: settings is missing");
}
