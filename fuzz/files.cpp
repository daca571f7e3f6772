// Any text as a placer's file or a day's script: values in range, or problems that name the file; never a
// crash.
#include "config/placer_file.h"
#include "standin/day.h"

using namespace whinpost;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    config::Document d = config::Document::parse(text, "f");
    config::Table root = d.root();
    config::placer(root);
    const auto kinds = config::machine_kinds(root);
    const auto groups = config::queue_groups(root, kinds.size());
    config::acceptance(root);
    config::list_at(root);
    config::link_terms(root);
    const std::vector<std::string> found = d.problems();
    for (const std::string& p : found)
        if (p.rfind("f:", 0) != 0) __builtin_trap();
    if (found.empty() && (kinds.empty() || groups.empty())) __builtin_trap();
    std::vector<std::string> problems;
    const standin::Plan plan = standin::parse_plan(text, "f", problems);
    if (problems.empty() && (plan.loads.empty() || plan.nodes == 0)) __builtin_trap();
    return 0;
}
