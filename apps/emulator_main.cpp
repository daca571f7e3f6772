// The emulator's command: runs emulated workers, discovery service and clients with real placers, to play
// scripted days and to rehearse incidents.
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

constexpr int kExitNotRun = 2;
constexpr const char* kExitStatus =
    "Exit status: 0 no rule was broken and all expectations were met, 1 otherwise, 2 the scenario could not "
    "be run.";

// The description of a scenario is the comment at the start of its file.
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
    bool list = false, generate = false, large = false;
    std::uint64_t generator_seed = 0;
};

CLI::App* add_play_command(CLI::App& app, simulation::RehearsalOptions& options) {
    CLI::App* play =
        app.add_subcommand("play", "Play a scripted day on the loopback network and check the rules");
    play->add_option("day", options.scenario, "The script of the day (TOML)")->required();
    play->add_option("--program", options.program, "The placer program")->capture_default_str();
    play->add_option("--dir", options.out,
                     "Directory for the placers' files and logs; default: a new one under /tmp");
    play->add_option("--seed", options.seed, "Seed, in place of the one in the script");
    play->footer(kExitStatus);
    return play;
}

CLI::App* add_rehearse_command(CLI::App& app, RehearseCommand& command) {
    simulation::RehearsalOptions& options = command.options;
    CLI::App* rehearse = app.add_subcommand(
        "rehearse",
        "Rehearse an incident: play a scenario, write a report and check the scenario's expectations");
    rehearse->add_option("scenario", options.scenario, "Name (see --list) or file (TOML) of the scenario");
    rehearse->add_option("--seed", options.seed, "Seed, in place of the one in the scenario");
    rehearse->add_option("--placers", options.placers,
                         "Number of placers, in place of the one in the scenario");
    rehearse->add_option("--nodes", options.workers, "Number of nodes, in place of the one in the scenario");
    rehearse
        ->add_option("--on", command.environment,
                     "virtual: simulated network and time; sockets: loopback network, placers as processes")
        ->check(CLI::IsMember({"virtual", "sockets"}))
        ->capture_default_str();
    rehearse->add_option("--out", options.out,
                         "Directory for report.json, the plots and, with --on sockets, the logs");
    rehearse->add_option("--explain", options.explain,
                         "After the run, print all events of this container or node");
    rehearse
        ->add_option("--planner", options.planner,
                     "whinpost, or one of the baselines random, least_asked, two_choices")
        ->capture_default_str();
    rehearse->add_option("--program", options.program, "The placer program, for --on sockets")
        ->capture_default_str();
    rehearse->add_option("--draw", command.generator_seed,
                         "Generate a random scenario with this seed, write it to a file and play it");
    rehearse->add_flag("--big", command.large, "With --draw: a scenario of the size of a deployment");
    rehearse->add_flag("--list", command.list, "List the bundled scenarios");
    rehearse->add_flag("--quiet", options.quiet, "Print no progress");
    rehearse->footer(kExitStatus);
    return rehearse;
}

// Generates a scenario, writes it to a file and returns the path.
std::string write_generated_scenario(const RehearseCommand& command) {
    const std::string& dir = command.options.out;
    if (!dir.empty()) std::filesystem::create_directories(dir);
    std::string path =
        (dir.empty() ? "" : dir + "/") + "drawn-" + std::to_string(command.generator_seed) + ".toml";
    std::ofstream(path) << simulation::generate_scenario(command.generator_seed, command.large);
    std::cout << "scenario written to " << path << '\n';
    return path;
}

int rehearse(RehearseCommand& command) {
    if (command.list) return list_scenarios();
    command.options.sockets = command.environment == "sockets";
    if (command.generate) command.options.scenario = write_generated_scenario(command);
    if (command.options.scenario.empty()) {
        std::cerr << "rehearse: no scenario given; name one (see --list) or generate one with --draw\n";
        return kExitNotRun;
    }
    return simulation::run_rehearsal(command.options, std::cout, std::cerr);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"whinpost-emulator: runs real placers with emulated nodes, list service and owners"};
    app.require_subcommand(1);
    const std::string placer_program = (std::filesystem::path(argv[0]).parent_path() / "whinpost").string();
    simulation::RehearsalOptions day;
    day.sockets = true;
    day.program = placer_program;
    const CLI::App* play_command = add_play_command(app, day);
    RehearseCommand rehearsal;
    rehearsal.options.program = placer_program;
    const CLI::App* rehearse_command = add_rehearse_command(app, rehearsal);
    CLI11_PARSE(app, argc, argv);
    google::protobuf::SetLogHandler(nullptr);
    rehearsal.generate = rehearse_command->count("--draw") > 0;
    try {
        if (play_command->parsed()) return simulation::run_rehearsal(day, std::cout, std::cerr);
        return rehearse(rehearsal);
    } catch (const std::exception& error) {
        std::cerr << "whinpost-emulator: " << error.what() << '\n';
        return kExitNotRun;
    }
}
