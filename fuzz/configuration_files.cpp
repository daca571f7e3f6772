// Any text as a placer's file, as a shape to move one to, or a day's script: values in range, or problems
// that name the file; never a crash.
#include "config/placer_file.h"
#include "emulator/scenario_run.h"
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
    config::Document d = config::Document::parse(text, "f");
    config::Table root = d.root();
    config::placer_settings(root);
    const auto kinds = config::worker_kinds(root);
    const auto groups = config::queue_groups(root, kinds.size());
    config::worker_acceptance(root);
    config::discovery_service(root);
    config::connection_settings(root);
    const std::vector<std::string> found = d.problems();
    for (const std::string& p : found)
        if (p.rfind("f:", 0) != 0) __builtin_trap();
    if (found.empty() && (kinds.empty() || groups.empty())) __builtin_trap();
    std::vector<std::string> problems;
    const emulator::Scenario plan = emulator::parse_scenario(text, "f", problems);
    if (problems.empty() && (plan.loads.empty() || plan.workers == 0)) __builtin_trap();
    // What stands as an old file or as a shape gives a file that passes, or problems.
    for (const auto& c : {migrate::migrate_configuration({"f", kOld}, {"f", text}, "n"),
                          migrate::migrate_configuration({"f", text}, {"f", text}, "n")})
        if (c.problems.empty() == c.text.empty()) __builtin_trap();
    return 0;
}
