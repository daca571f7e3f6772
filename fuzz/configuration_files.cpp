// Fuzzes the parsers of configuration files: arbitrary text as a placer's file, as the input of a migration,
// and as a scenario. Each must give valid values, or errors that name the file, and must not crash.
#include "config/placer_file.h"
#include "emulator/scenario_parser.h"
#include "migrate/migrate.h"

using namespace whinpost;

namespace {
constexpr const char* kOld = R"([placer]
name = "p"
listen = "127.0.0.1:7400"
zone = "a"
zones = ["a"]
[list]
address = "127.0.0.1:7500"
[[machine_kind]]
name = "std"
cores = 16
memory = 32
[[queue_group]]
name = "g"
effect = "idempotent"
start_target_ms = 800
[links]
drain_grace_ms = 900
)";
}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    config::Document document = config::Document::parse(text, "f");
    config::Table root = document.root();
    config::placer_settings(root);
    const auto kinds = config::worker_kinds(root);
    const auto groups = config::queue_groups(root, kinds.size());
    config::worker_acceptance(root);
    config::discovery_service(root);
    config::connection_settings(root);
    const config::ConfigErrors found = document.take_errors();
    for (const config::ConfigError& error : found)
        if (to_string(error).rfind("f:", 0) != 0) __builtin_trap();
    if (found.empty() && (kinds.empty() || groups.empty())) __builtin_trap();
    const auto scenario = emulator::parse_scenario(text, "f");
    if (scenario && (scenario->loads.empty() || scenario->workers == 0)) __builtin_trap();
    // A migration returns either a file or errors, with this text as the new shape and also as the old file.
    for (const auto& result : {migrate::migrate_configuration({"f", kOld}, {"f", text}, "n"),
                               migrate::migrate_configuration({"f", text}, {"f", text}, "n")})
        if (result.errors.empty() == result.text.empty()) __builtin_trap();
    return 0;
}
