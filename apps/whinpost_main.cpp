// The operators' command.
#include <google/protobuf/stubs/logging.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "embedded_placer.h"
#include "migrate.h"
#include "net/libevent_loop.h"
#include "platform.h"

namespace {

using namespace whinpost;

int check(const std::string& path) {
    config::Document file = config::Document::read(path);
    const std::vector<std::string> problems = config::check(file);
    for (const std::string& p : problems) std::cerr << p << '\n';
    if (problems.empty()) std::cout << path << ": ok\n";
    return problems.empty() ? 0 : 1;
}

int run(const std::string& path) {
    net::LibeventLoop loop;
    config::Document file = config::Document::read(path);
    std::vector<std::string> problems;
    std::random_device chance;
    const auto draw = [&chance] { return (static_cast<std::uint64_t>(chance()) << 32 | chance()) | 1; };
    const auto placer = apps::EmbeddedPlacer::make(loop, file, draw(), draw(), problems);
    for (const std::string& p : problems) std::cerr << p << '\n';
    if (!placer) return 1;
    const std::string wrong = placer->start();
    if (!wrong.empty()) {
        std::cerr << path << ": placer.listen: " << wrong << '\n';
        return 1;
    }
    bool asked = false;
    const auto stop = [&] {
        if (std::exchange(asked, true)) return loop.stop();  // the second one: at once
        placer->edge.drain([&loop] { loop.stop(); });
    };
    loop.on_signal(SIGTERM, stop);
    loop.on_signal(SIGINT, stop);
    loop.run();
    return 0;
}

// The stand-ins are a program of their own, beside this one, and never linked into it.
int rehearse(const char* self, std::vector<std::string> args) {
    const std::string program = (std::filesystem::path(self).parent_path() / "whinpost-emulator").string();
    args.insert(args.begin(), {program, "rehearse"});
    std::vector<char*> words;
    for (std::string& a : args) words.push_back(a.data());
    words.push_back(nullptr);
    execvp(program.c_str(), words.data());
    std::cerr << program << ": " << std::strerror(errno)
              << " (the stand-ins' program stands beside this one)\n";
    return 2;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"whinpost: places long-running containers on the machines of a cluster"};
    app.require_subcommand(1);
    std::string path;
    CLI::App* run_command = app.add_subcommand("run", "Run one placer: edge and planner in this process");
    run_command->add_option("file", path, "The placer's configuration (TOML)")->required();
    run_command->footer(
        "SIGTERM or SIGINT: takes no new containers, gives every answer that is owed, ends. A second: at "
        "once.");
    CLI::App* check_command =
        app.add_subcommand("check", "Check a configuration, and say all that is wrong with it");
    check_command->add_option("file", path, "The placer's configuration (TOML)")->required();
    CLI::App* rehearse_command =
        app.add_subcommand("rehearse", "Rehearse an incident with stand-ins (rehearse --help says how)");
    rehearse_command->prefix_command();
    rehearse_command->set_help_flag();
    CLI::App* migrate_command = app.add_subcommand(
        "migrate", "Write a configuration's counterpart for a deployment of another shape");
    std::string shape, out;
    bool dry_run = false;
    migrate_command->add_option("old", path, "The configuration that stands (TOML)")->required();
    migrate_command->add_option("--shape", shape, "What describes the new deployment (TOML)")->required();
    migrate_command->add_option("--out", out, "The file to write; it must not stand yet")->required();
    migrate_command->add_flag("--dry-run", dry_run, "Say the same, and change nothing");
    migrate_command->footer("Exit status: 0 all carried, 1 written but something left behind, 2 an error.");
    CLI::App* platform_command = app.add_subcommand(
        "platform", "Run one placer on the platform's protocol, as GW_NAME, GW_LISTEN and GW_CONFIG say");
    std::string level = "info";
    platform_command->add_option("--log", level, "The least that is logged")
        ->check(CLI::IsMember({"debug", "info", "warning", "error", "off"}));
    platform_command->footer("SIGHUP: reads the file again. SIGTERM: answers all that is owed, then ends.");
    CLI11_PARSE(app, argc, argv);
    if (platform_command->parsed())
        return apps::platform(level == "debug"     ? log::Level::debug
                              : level == "info"    ? log::Level::info
                              : level == "warning" ? log::Level::warning
                              : level == "error"   ? log::Level::error
                                                   : log::Level::off);
    if (migrate_command->parsed()) return apps::migrate(path, shape, out, dry_run);
    if (rehearse_command->parsed()) return rehearse(argv[0], rehearse_command->remaining());
    // What can't be parsed is told by the door that read it, in the log's own form.
    google::protobuf::SetLogHandler(nullptr);
    try {
        return check_command->parsed() ? check(path) : run(path);
    } catch (const std::exception& e) {
        std::cerr << "whinpost: " << e.what() << '\n';
        return 1;
    }
}
