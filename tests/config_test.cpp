#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "config/placer_file.h"
#include "emulator/scenario_parser.h"

using namespace whinpost;

namespace {

constexpr const char* kValid = R"([placer]
name = "p"
listen = "127.0.0.1:7400"
zone = "b"
zones = ["a", "b"]

[list]
address = "127.0.0.1:7500"

[[machine_kind]]
name = "std"
cores = 16
memory = 32.5

[[queue_group]]
name = "ingest"
effect = "fingerprinted"
repeats_dropped_by = "cell"
repeat_window_ms = 1500
start_target_ms = 800
)";

config::ConfigErrors errors_of(const std::string& text) {
    config::Document document = config::Document::parse(text, "f.toml");
    return config::check(document);
}

std::string joined(const config::ConfigErrors& errors) {
    std::string all;
    for (const config::ConfigError& error : errors) all += to_string(error) + "\n";
    return all;
}

std::string with_replacement(const std::string& from, const std::string& to) {
    std::string text = kValid;
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

}  // namespace

TEST_CASE("a complete file is read into the settings of each part") {
    CHECK(errors_of(kValid).empty());
    config::Document document = config::Document::parse(kValid, "f.toml");
    const config::PlacerSettings placer = config::placer_settings(document.root());
    CHECK(placer.zone == 1);
    const auto kinds = config::worker_kinds(document.root());
    CHECK(kinds.at(0).memory == 32.5);
    const auto groups = config::queue_groups(document.root(), 1);
    CHECK(groups.at(0).queue_group.effect == Effect::keyed);
    CHECK(groups.at(0).queue_group.deduplicated_by == FailureDomain::cell);
    CHECK(groups.at(0).queue_group.deduplication_window == 1500 * kMillisecond);
}

TEST_CASE("each error names file, line, key and the expected value") {
    struct InvalidInput {
        std::string from, to, message;
    };
    const auto invalid = GENERATE(values<InvalidInput>({
        {"name = \"p\"", "nmae = \"p\"", "f.toml:2: placer.nmae: is not a known key"},
        {"name = \"p\"", "nmae = \"p\"", "f.toml:1: placer.name: is missing"},
        {"cores = 16", "cores = \"16\"",
         "f.toml:12: machine_kind[0].cores: must be a number from 0.01 to 1e+06"},
        {"cores = 16", "cores = -1", "f.toml:12: machine_kind[0].cores: must be a number"},
        {"cores = 16", "cores = nan", "f.toml:12: machine_kind[0].cores: must be a number"},
        {"zone = \"b\"", "zone = \"c\"", "f.toml:4: placer.zone: must be one of placer.zones"},
        {"127.0.0.1:7500", "localhost:7500", "f.toml:8: list.address: must be an IP address and a port"},
        {"127.0.0.1:7500", "127.0.0.1:99999", "f.toml:8: list.address: must be an IP address and a port"},
        {"\"fingerprinted\"", "\"maybe\"", "f.toml:17: queue_group[0].effect: must be one of \"idempotent\""},
        {"\"fingerprinted\"", "\"idempotent\"", "f.toml:17: queue_group[0].effect: has no use for"},
        {"repeats_dropped_by = \"cell\"\n", "", "f.toml:15: queue_group[0].repeats_dropped_by: is missing"},
        {"start_target_ms = 800", "start_target_ms = 800\nspread = \"cell\"",
         "queue_group[0].most: is missing"},
        {"start_target_ms = 800", "start_target_ms = 800\n[intake]\nwaiting = 1.5",
         "intake.waiting: must be a whole"},
        {"start_target_ms = 800", "start_target_ms = 800\n[links]\nfirst_pause_ms = 9000",
         "links.longest_pause_ms: must not be under first_pause_ms"},
        {"[list]", "[list", "f.toml:7: file: "},
        {"[list]", "[\x01\x01list]", "f.toml:0: file: "},  // found by fuzzing
        {"[list]", "[=list]", "f.toml:0: file: is not well-formed TOML"},
        {"[[machine_kind]]", "[machine_kind]", "f.toml:10: machine_kind: must be a list of tables"},
        {"[[machine_kind]]", "[[machine_knid]]", "machine_kind: must name one kind of machine or more"},
    }));
    const std::string all = joined(errors_of(with_replacement(invalid.from, invalid.to)));
    INFO(all);
    CHECK(all.find(invalid.message) != std::string::npos);
}

TEST_CASE("all errors are reported at once, in the order of the file") {
    std::string text = with_replacement("name = \"p\"", "nmae = 1");
    text.replace(text.find("memory = 32.5"), 13, "memory = 0");
    const config::ConfigErrors errors = errors_of(text);
    REQUIRE(errors.size() == 3);
    CHECK(to_string(errors[0]).find(":1: placer.name") != std::string::npos);
    CHECK(to_string(errors[1]).find(":2: placer.nmae") != std::string::npos);
    CHECK(to_string(errors[2]).find(":13: machine_kind[0].memory") != std::string::npos);
}

TEST_CASE("a day's script without zones and with a fault in a zone is rejected with errors for both") {
    // Found by fuzzing: the nodes of the fault's zone were looked up in an empty list of zones.
    const auto scenario = emulator::parse_scenario(
        "[day]\n[fleet]\nnodes = 3\n[[fault]]\nat_s = 0\ndo = \"drain\"\nzone = \"a\"\n", "d.toml");
    REQUIRE_FALSE(scenario);
    const std::string all = joined(scenario.error());
    CHECK(all.find("d.toml:2: fleet.zones: is missing") != std::string::npos);
    CHECK(all.find("d.toml:7: fault[0].zone: must be one of fleet.zones") != std::string::npos);
}

TEST_CASE("a directory instead of a file is reported as an error") {
    config::Document document = config::Document::read(WHINPOST_SOURCE);
    const config::ConfigErrors errors = config::check(document);
    REQUIRE_FALSE(errors.empty());
    CHECK(to_string(errors[0]).find(":0: file: can't be read") != std::string::npos);
}

TEST_CASE("notes_pressure is true by default") {
    config::Document document = config::Document::parse(kValid, "f.toml");
    CHECK(config::worker_acceptance(document.root()).reports_pressure);
    config::Document other =
        config::Document::parse(std::string(kValid) + "[acceptance]\nnotes_pressure = false\n", "f.toml");
    CHECK_FALSE(config::worker_acceptance(other.root()).reports_pressure);
    CHECK(config::check(other).empty());
}
