// The operators' command.
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

void add_migrate(CLI::App& app, Commands& commands, apps::MigrateOptions& options) {
    commands.migrate = app.add_subcommand(
        "migrate", "Write a configuration's counterpart for a deployment of another shape");
    commands.migrate->add_option("old", options.old_path, "The configuration that stands (TOML)")->required();
    commands.migrate->add_option("--shape", options.shape_path, "What describes the new deployment (TOML)")
        ->required();
    commands.migrate->add_option("--out", options.new_path, "The file to write; it must not stand yet")
        ->required();
    commands.migrate->add_flag("--dry-run", options.dry_run, "Say the same, and change nothing");
    commands.migrate->footer("Exit status: 0 all carried, 1 written but something left behind, 2 an error.");
}

void add_platform(CLI::App& app, Commands& commands, std::string& log_level) {
    commands.platform = app.add_subcommand(
        "platform", "Run one placer on the platform's protocol, as GW_NAME, GW_LISTEN and GW_CONFIG say");
    commands.platform->add_option("--log", log_level, "The least that is logged")
        ->check(CLI::IsMember({"debug", "info", "warning", "error", "off"}));
    commands.platform->footer("SIGHUP: reads the file again. SIGTERM: answers all that is owed, then ends.");
}

Commands add_commands(CLI::App& app, Options& options) {
    Commands commands;
    commands.run = app.add_subcommand("run", "Run one placer: edge and planner in this process");
    commands.run->add_option("file", options.path, "The placer's configuration (TOML)")->required();
    commands.run->footer(
        "SIGTERM or SIGINT: takes no new containers, gives every answer that is owed, ends. A second: at "
        "once.");
    commands.check = app.add_subcommand("check", "Check a configuration, and say all that is wrong with it");
    commands.check->add_option("file", options.path, "The placer's configuration (TOML)")->required();
    commands.rehearse =
        app.add_subcommand("rehearse", "Rehearse an incident with stand-ins (rehearse --help says how)");
    commands.rehearse->prefix_command();
    commands.rehearse->set_help_flag();
    add_migrate(app, commands, options.migrate);
    add_platform(app, commands, options.log_level);
    return commands;
}

// The emulator is a program of its own, in the same folder, and never linked into this one. Returns only if
// it can't be started.
int exec_emulator(const char* self, std::vector<std::string> arguments) {
    const std::string program = (std::filesystem::path(self).parent_path() / "whinpost-emulator").string();
    arguments.insert(arguments.begin(), {program, "rehearse"});
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (std::string& argument : arguments) argv.push_back(argument.data());
    argv.push_back(nullptr);
    execvp(program.c_str(), argv.data());
    std::cerr << program << ": " << std::strerror(errno)
              << " (the stand-ins' program stands beside this one)\n";
    return 2;
}

int run_or_check(const Commands& commands, const std::string& path) {
    // A message that can't be parsed is logged by the endpoint that read it, in the log's own form.
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
