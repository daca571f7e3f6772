// The `whinpost` command.
#include <google/protobuf/stubs/logging.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cerrno>
#include <cstring>
#include <exception>
#include <filesystem>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "migrate.h"
#include "platform.h"
#include "run.h"

namespace {

using namespace whinpost;

const std::map<std::string, log::Level> kLogLevels = {{"debug", log::Level::debug},
                                                      {"info", log::Level::info},
                                                      {"warning", log::Level::warning},
                                                      {"error", log::Level::error},
                                                      {"off", log::Level::off}};

struct Options {
    std::string path;
    apps::MigrateOptions migrate;
    std::string log_level = "info";
};

struct Commands {
    CLI::App* run = nullptr;
    CLI::App* check = nullptr;
    CLI::App* rehearse = nullptr;
    CLI::App* migrate = nullptr;
    CLI::App* platform = nullptr;
};

void add_migrate_command(CLI::App& app, Commands& commands, apps::MigrateOptions& options) {
    commands.migrate =
        app.add_subcommand("migrate", "Rewrite a configuration for a deployment of another shape");
    commands.migrate->add_option("old", options.old_path, "The old configuration (TOML)")->required();
    commands.migrate->add_option("--shape", options.shape_path, "The shape of the new deployment (TOML)")
        ->required();
    commands.migrate->add_option("--out", options.new_path, "The file to write; it must not exist yet")
        ->required();
    commands.migrate->add_flag("--dry-run", options.dry_run, "Print the report, but write no file");
    commands.migrate->footer(
        "Exit status: 0 written and all keys carried or replaced, 1 written but some keys left behind, 2 an "
        "error.");
}

void add_platform_command(CLI::App& app, Commands& commands, std::string& log_level) {
    commands.platform = app.add_subcommand(
        "platform",
        "Run one placer with the platform's protocol, configured by GW_NAME, GW_LISTEN and GW_CONFIG");
    commands.platform->add_option("--log", log_level, "Lowest level that is logged")
        ->check(CLI::IsMember({"debug", "info", "warning", "error", "off"}));
    commands.platform->footer(
        "SIGHUP: reads the file again. SIGTERM or SIGINT: sends all outstanding answers, then exits.");
}

Commands add_commands(CLI::App& app, Options& options) {
    Commands commands;
    commands.run = app.add_subcommand("run", "Run one placer: server and planner in this process");
    commands.run->add_option("file", options.path, "The placer's configuration (TOML)")->required();
    commands.run->footer(
        "SIGTERM or SIGINT: accepts no new containers, sends all outstanding answers, then exits. A second "
        "signal: exits at once.");
    commands.check = app.add_subcommand("check", "Check a configuration and print all errors in it");
    commands.check->add_option("file", options.path, "The placer's configuration (TOML)")->required();
    commands.rehearse = app.add_subcommand(
        "rehearse",
        "Rehearse an incident with emulated nodes, list service and owners (see rehearse --help)");
    commands.rehearse->prefix_command();
    commands.rehearse->set_help_flag();
    add_migrate_command(app, commands, options.migrate);
    add_platform_command(app, commands, options.log_level);
    return commands;
}

// Runs the emulator, a separate program in the same directory that is never linked into this one. Returns
// only if the emulator can't be started.
int exec_emulator(const char* own_path, std::vector<std::string> arguments) {
    const std::string program =
        (std::filesystem::path(own_path).parent_path() / "whinpost-emulator").string();
    arguments.insert(arguments.begin(), {program, "rehearse"});
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (std::string& argument : arguments) argv.push_back(argument.data());
    argv.push_back(nullptr);
    execvp(program.c_str(), argv.data());
    std::cerr << program << ": " << std::strerror(errno)
              << " (the emulator must be in the same directory as this program)\n";
    return 2;
}

int run_or_check(const Commands& commands, const std::string& path) {
    // Turns off protobuf's own log: the endpoint that reads a malformed message logs it in the program's
    // format.
    google::protobuf::SetLogHandler(nullptr);
    try {
        return commands.check->parsed() ? apps::check(path) : apps::run(path);
    } catch (const std::exception& error) {
        std::cerr << "whinpost: " << error.what() << '\n';
        return 1;
    }
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"whinpost: places long-running containers on the machines of a cluster"};
    app.require_subcommand(1);
    Options options;
    const Commands commands = add_commands(app, options);
    CLI11_PARSE(app, argc, argv);
    if (commands.platform->parsed()) return apps::platform(kLogLevels.at(options.log_level));
    if (commands.migrate->parsed()) return apps::migrate(options.migrate);
    if (commands.rehearse->parsed()) return exec_emulator(argv[0], commands.rehearse->remaining());
    return run_or_check(commands, options.path);
}
