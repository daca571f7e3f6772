// The project's own nodes, list service and owners, with real placers: plays scripted days and rehearses
// incidents.
#include <google/protobuf/stubs/logging.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "simulation/bundled_scenarios.h"
#include "simulation/rehearsal.h"
#include "simulation/scenario_generator.h"

namespace {

using namespace whinpost;

// The first comment of a scenario says what it is about.
std::string about(const std::string& text) {
    std::string out;
    for (std::size_t at = 0; at < text.size() && text[at] == '#';) {
        const std::size_t end = text.find('\n', at);
        out += (out.empty() ? "" : " ") + text.substr(at + 2, end - at - 2);
        at = end + 1;
    }
    return out;
}

int list() {
    for (const simulation::BundledScenario& s : simulation::scenarios())
        std::cout << s.name << "\n    " << about(s.text) << '\n';
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"whinpost-emulator: stand-ins for nodes, list service and owners, with real placers"};
    app.require_subcommand(1);
    const std::string beside = (std::filesystem::path(argv[0]).parent_path() / "whinpost").string();

    simulation::RehearsalOptions day;
    day.sockets = true;
    day.program = beside;
    CLI::App* play = app.add_subcommand("play", "Play a scripted day on loopback and check the rules");
    play->add_option("day", day.scenario, "The day's script (TOML)")->required();
    play->add_option("--program", day.program, "The placer's program")->capture_default_str();
    play->add_option("--dir", day.out, "Where placers' files and logs go; a new one under /tmp if not given");
    play->add_option("--seed", day.seed, "Another seed than the script's");

    simulation::RehearsalOptions wish;
    wish.program = beside;
    std::string on = "virtual";
    bool listing = false, big = false;
    std::uint64_t drawn = 0;
    CLI::App* rehearse = app.add_subcommand(
        "rehearse", "Rehearse an incident: play a scenario, report, and check what it expects");
    rehearse->add_option("scenario", wish.scenario, "A scenario's name (--list) or file (TOML)");
    rehearse->add_option("--seed", wish.seed, "Another seed than the scenario's");
    rehearse->add_option("--placers", wish.placers, "Another number of placers");
    rehearse->add_option("--nodes", wish.workers, "Another number of nodes");
    rehearse
        ->add_option("--on", on,
                     "virtual: simulated network and time; sockets: loopback, placers as processes")
        ->check(CLI::IsMember({"virtual", "sockets"}))
        ->capture_default_str();
    rehearse->add_option("--out", wish.out,
                         "A directory for report.json, the plots and, on sockets, the logs");
    rehearse->add_option("--explain", wish.explain, "Afterwards, all that was seen of one container or node");
    rehearse
        ->add_option("--planner", wish.planner, "whinpost, or a baseline: random, least_asked, two_choices")
        ->capture_default_str();
    rehearse->add_option("--program", wish.program, "The placer's program, on sockets")
        ->capture_default_str();
    rehearse->add_option("--draw", drawn,
                         "Draw a scenario from ranges with this seed, keep it in a file, play it");
    rehearse->add_flag("--big", big, "Draw one of a deployment's size");
    rehearse->add_flag("--list", listing, "The scenarios that come with the program");
    rehearse->add_flag("--quiet", wish.quiet, "No progress");
    for (CLI::App* c : {play, rehearse})
        c->footer("Exit status: 0 rules kept and all expected met, 1 not, 2 it could not be played.");
    CLI11_PARSE(app, argc, argv);
    google::protobuf::SetLogHandler(nullptr);
    try {
        if (play->parsed()) return simulation::run_rehearsal(day, std::cout, std::cerr);
        if (listing) return list();
        wish.sockets = on == "sockets";
        if (rehearse->count("--draw")) {
            if (!wish.out.empty()) std::filesystem::create_directories(wish.out);
            wish.scenario = (wish.out.empty() ? "" : wish.out + "/") + std::string("drawn-") +
                            std::to_string(drawn) + ".toml";
            std::ofstream(wish.scenario) << simulation::generate_scenario(drawn, big);
            std::cout << "kept as " << wish.scenario << '\n';
        }
        if (wish.scenario.empty()) {
            std::cerr << "rehearse: name a scenario (--list shows those that come with the program), or "
                         "--draw one\n";
            return 2;
        }
        return simulation::run_rehearsal(wish, std::cout, std::cerr);
    } catch (const std::exception& e) {
        std::cerr << "whinpost-emulator: " << e.what() << '\n';
        return 2;
    }
}
