// The project's own workers, discovery service and clients, with real placers: plays scripted days and
// rehearses incidents.
#include <google/protobuf/stubs/logging.h>

#include <CLI/CLI.hpp>
#include <cstdint>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

#include "simulation/bundled_scenarios.h"
#include "simulation/rehearsal.h"
#include "simulation/scenario_generator.h"

namespace {

using namespace whinpost;

constexpr int kNotPlayed = 2;
constexpr const char* kExitStatus =
    "Exit status: 0 rules kept and all expected met, 1 not, 2 it could not be played.";

// The first comment of a scenario says what it is about.
std::string description_of(const std::string& text) {
    std::string out;
    for (std::size_t at = 0; at < text.size() && text[at] == '#';) {
        const std::size_t end = text.find('\n', at);
        out += (out.empty() ? "" : " ") + text.substr(at + 2, end - at - 2);
        at = end + 1;
    }
    return out;
}

int list_scenarios() {
    for (const simulation::BundledScenario& scenario : simulation::scenarios())
        std::cout << scenario.name << "\n    " << description_of(scenario.text) << '\n';
    return 0;
}

struct RehearseCommand {
    simulation::RehearsalOptions options;
    std::string environment = "virtual";
    bool list = false, draw = false, big = false;
    std::uint64_t draw_seed = 0;
};

CLI::App* add_play(CLI::App& app, simulation::RehearsalOptions& options) {
    CLI::App* play = app.add_subcommand("play", "Play a scripted day on loopback and check the rules");
    play->add_option("day", options.scenario, "The day's script (TOML)")->required();
    play->add_option("--program", options.program, "The placer's program")->capture_default_str();
    play->add_option("--dir", options.out,
                     "Where placers' files and logs go; a new one under /tmp if not given");
    play->add_option("--seed", options.seed, "Another seed than the script's");
    play->footer(kExitStatus);
    return play;
}

CLI::App* add_rehearse(CLI::App& app, RehearseCommand& command) {
    simulation::RehearsalOptions& options = command.options;
    CLI::App* rehearse = app.add_subcommand(
        "rehearse", "Rehearse an incident: play a scenario, report, and check what it expects");
    rehearse->add_option("scenario", options.scenario, "A scenario's name (--list) or file (TOML)");
    rehearse->add_option("--seed", options.seed, "Another seed than the scenario's");
    rehearse->add_option("--placers", options.placers, "Another number of placers");
    rehearse->add_option("--nodes", options.workers, "Another number of nodes");
    rehearse
        ->add_option("--on", command.environment,
                     "virtual: simulated network and time; sockets: loopback, placers as processes")
        ->check(CLI::IsMember({"virtual", "sockets"}))
        ->capture_default_str();
    rehearse->add_option("--out", options.out,
                         "A directory for report.json, the plots and, on sockets, the logs");
    rehearse->add_option("--explain", options.explain,
                         "Afterwards, all that was seen of one container or node");
    rehearse
        ->add_option("--planner", options.planner,
                     "whinpost, or a baseline: random, least_asked, two_choices")
        ->capture_default_str();
    rehearse->add_option("--program", options.program, "The placer's program, on sockets")
        ->capture_default_str();
    rehearse->add_option("--draw", command.draw_seed,
                         "Draw a scenario from ranges with this seed, keep it in a file, play it");
    rehearse->add_flag("--big", command.big, "Draw one of a deployment's size");
    rehearse->add_flag("--list", command.list, "The scenarios that come with the program");
    rehearse->add_flag("--quiet", options.quiet, "No progress");
    rehearse->footer(kExitStatus);
    return rehearse;
}

// Generates the scenario, and returns the file in which it is kept.
std::string draw_scenario(const RehearseCommand& command) {
    const std::string& dir = command.options.out;
    if (!dir.empty()) std::filesystem::create_directories(dir);
    std::string path =
        (dir.empty() ? "" : dir + "/") + "drawn-" + std::to_string(command.draw_seed) + ".toml";
    std::ofstream(path) << simulation::generate_scenario(command.draw_seed, command.big);
    std::cout << "kept as " << path << '\n';
    return path;
}

int rehearse(RehearseCommand& command) {
    if (command.list) return list_scenarios();
    command.options.sockets = command.environment == "sockets";
    if (command.draw) command.options.scenario = draw_scenario(command);
    if (command.options.scenario.empty()) {
        std::cerr << "rehearse: name a scenario (--list shows those that come with the program), or "
                     "--draw one\n";
        return kNotPlayed;
    }
    return simulation::run_rehearsal(command.options, std::cout, std::cerr);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"whinpost-emulator: stand-ins for nodes, list service and owners, with real placers"};
    app.require_subcommand(1);
    const std::string placer_program = (std::filesystem::path(argv[0]).parent_path() / "whinpost").string();
    simulation::RehearsalOptions day;
    day.sockets = true;
    day.program = placer_program;
    const CLI::App* play_command = add_play(app, day);
    RehearseCommand rehearsal;
    rehearsal.options.program = placer_program;
    const CLI::App* rehearse_command = add_rehearse(app, rehearsal);
    CLI11_PARSE(app, argc, argv);
    google::protobuf::SetLogHandler(nullptr);
    rehearsal.draw = rehearse_command->count("--draw") > 0;
    try {
        if (play_command->parsed()) return simulation::run_rehearsal(day, std::cout, std::cerr);
        return rehearse(rehearsal);
    } catch (const std::exception& error) {
        std::cerr << "whinpost-emulator: " << error.what() << '\n';
        return kNotPlayed;
    }
}
