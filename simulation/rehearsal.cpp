#include "simulation/rehearsal.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iterator>
#include <memory>
#include <optional>
#include <ostream>
#include <utility>
#include <vector>

#include "emulator/scenario_parser.h"
#include "simulation/baseline_planner.h"
#include "simulation/report_plots.h"
#include "simulation/report_table.h"
#include "simulation/simulated_environment.h"
#include "simulation/socket_environment.h"

namespace whinpost::simulation {

namespace {

constexpr std::size_t kViolationsShown = 5;
constexpr const char* kOwnPlanner = "whinpost";

enum ExitStatus { kPassed = 0, kNotPassed = 1, kNotRun = 2 };

std::optional<BaselinePolicy> policy_of(const std::string& name) {
    const auto at = std::find(std::begin(kPolicies), std::end(kPolicies), name);
    if (at == std::end(kPolicies)) return std::nullopt;
    return static_cast<BaselinePolicy>(at - std::begin(kPolicies));
}

// Runs one rehearsal and reports on it.
class Rehearsal {
public:
    Rehearsal(const RehearsalOptions& options, emulator::Scenario scenario, std::ostream& out,
              std::ostream& err)
        : options_(options), scenario_(std::move(scenario)), out_(out), err_(err) {}

    int run() {
        if (!options_.out.empty()) std::filesystem::create_directories(options_.out);
        print_heading();
        return options_.sockets ? run_on_sockets() : run_in_virtual_time();
    }

private:
    void print_heading() {
        out_ << scenario_.name << " (seed " << scenario_.seed << "): " << scenario_.placers << " placers, "
             << scenario_.workers << " nodes in " << scenario_.zones.size() << " zones, " << scenario_.clients
             << " owners, " << scenario_.length / kSecond << " s, "
             << (options_.sockets ? "on loopback sockets" : "in virtual time")
             << (options_.planner == kOwnPlanner ? "" : ", placed by " + options_.planner) << std::endl;
    }

    void print_progress(const std::string& line) {
        if (!options_.quiet) out_ << "  " << line << std::endl;
    }

    int run_in_virtual_time() {
        int status = kNotRun;
        const auto began = std::chrono::steady_clock::now();
        run_scenario(
            scenario_, options_.planner, [this](const std::string& line) { print_progress(line); },
            [&](emulator::ScenarioRun& run, const emulator::RunResult& result, std::uint64_t digest) {
                const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
                status = finish(run, result, scenario_.placers, digest);
                out_ << "virtual time: " << scenario_.length / kSecond << " s in " << took.count() << " s\n";
            });
        return status;
    }

    int run_on_sockets() {
        if (access(options_.program.c_str(), X_OK) != 0) {
            err_ << "placer program " << options_.program << ": not executable (see --program)\n";
            return kNotRun;
        }
        const std::optional<std::string> dir = log_directory();
        if (!dir) return kNotRun;
        net::LibeventLoop loop;
        SocketEnvironment environment(loop, options_.program, *dir, scenario_.placers);
        emulator::ScenarioRun run(scenario_, environment,
                                  [this](const std::string& line) { print_progress(line); });
        int status = kNotRun;
        const auto started = run.start([&](const emulator::RunResult& result) {
            status = finish(run, result, environment.end_all(), std::nullopt);
            loop.stop();
        });
        if (!started) {
            err_ << to_string(started.error()) << '\n';
            return kNotRun;
        }
        loop.on_signal(SIGINT, [&loop] { loop.stop(); });
        loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
        loop.run();
        return status;
    }

    // Directory for the placers' logs: that of the options, or else a new temporary one.
    std::optional<std::string> log_directory() {
        if (!options_.out.empty()) return options_.out;
        char path[] = "/tmp/whinpost-rehearsal-XXXXXX";
        if (!mkdtemp(path)) {
            err_ << path << ": can't create a directory for the placers' logs\n";
            return std::nullopt;
        }
        out_ << "  logs are in " << path << std::endl;
        return path;
    }

    // Prints and writes the report and returns the exit status. `clean_exits`: number of placers that exited
    // with status 0.
    int finish(const emulator::ScenarioRun& run, const emulator::RunResult& result, std::size_t clean_exits,
               std::optional<std::uint64_t> digest) {
        const RunReport report(run, result, digest);
        out_ << '\n' << to_table(report);
        if (digest) out_ << "digest " << report.digest() << '\n';
        print_violations(run, result);
        if (result.pending) out_ << "tasks still waiting at the end: " << result.pending << '\n';
        const bool all_clean = clean_exits == scenario_.placers;
        if (!all_clean)
            out_ << "placers that exited cleanly on SIGTERM: " << clean_exits << " of " << scenario_.placers
                 << '\n';
        if (!options_.out.empty()) write_files(report);
        if (!options_.explain.empty()) explain(run);
        const bool passed =
            result.verdict.kept() && report.expectations_met() && all_clean && !result.pending;
        return passed ? kPassed : kNotPassed;
    }

    void print_violations(const emulator::ScenarioRun& run, const emulator::RunResult& result) {
        const std::vector<emulator::Violation>& violations = result.verdict.violations;
        for (std::size_t i = 0; i < violations.size() && i < kViolationsShown; ++i)
            out_ << '\n' << emulator::describe(run.events(), violations[i], run.started_at());
    }

    void write_files(const RunReport& report) {
        write_report(report, options_.out);
        if (!draw_plots(options_.out))
            out_ << "no plot: gnuplot can't be run or failed on report.gp (see gnuplot.log)\n";
        out_ << "report.json, report.png and their data are in " << options_.out << '\n';
    }

    void explain(const emulator::ScenarioRun& run) {
        const std::string& name = options_.explain;
        std::vector<std::string> lines = emulator::history_of(run.events(), name, run.started_at());
        if (lines.empty()) lines = worker_history_of(run.events(), name, run.started_at());
        out_ << "\nwhat was seen of " << name << (lines.empty() ? ": nothing of that name" : "") << '\n';
        for (const std::string& line : lines) out_ << "  " << line << '\n';
    }

    const RehearsalOptions& options_;
    emulator::Scenario scenario_;
    std::ostream& out_;
    std::ostream& err_;
};

// Returns the scenario, or nothing after adding a line to `problems` for each error in it.
std::optional<emulator::Scenario> read_scenario(const RehearsalOptions& options,
                                                std::vector<std::string>& problems) {
    const auto text = load_scenario(options.scenario);
    if (!text) {
        problems.push_back(to_string(text.error()));
        return std::nullopt;
    }
    auto scenario = emulator::parse_scenario(*text, options.scenario, {options.placers, options.workers});
    if (scenario) return std::move(*scenario);
    for (const config::ConfigError& error : scenario.error()) problems.push_back(to_string(error));
    return std::nullopt;
}

}  // namespace

void run_scenario(const emulator::Scenario& scenario, const std::string& planner,
                  const emulator::ScenarioRun::ProgressHandler& progress,
                  const std::function<void(emulator::ScenarioRun&, const emulator::RunResult&,
                                           std::uint64_t digest)>& inspect) {
    SimulatedNetwork network(scenario.seed, network_delays(scenario));
    SimulatedEnvironment environment(network, scenario.placers, scenario.zones);
    std::vector<std::unique_ptr<BaselinePlanner>> baselines(scenario.placers);
    if (const std::optional<BaselinePolicy> policy = policy_of(planner))
        environment.on_placer_made = [&, policy](std::size_t number, apps::EmbeddedPlacer& placer) {
            std::vector<QueueGroup> groups;
            for (const emulator::NamedQueueGroup& group : scenario.groups)
                groups.push_back(group.queue_group);
            baselines[number] = std::make_unique<BaselinePlanner>(
                placer.server, *policy, scenario.seed * 1009 + number, std::move(groups), scenario.retry,
                scenario.worker.warm_up_time + scenario.worker.overload_window);
            placer.server.set_planner(*baselines[number]);
        };
    emulator::ScenarioRun run(scenario, environment, progress);
    const emulator::RunResult result = run_to_end(network, run);
    inspect(run, result, network.digest());
}

int run_rehearsal(const RehearsalOptions& options, std::ostream& out, std::ostream& err) {
    std::vector<std::string> problems;
    std::optional<emulator::Scenario> scenario = read_scenario(options, problems);
    if (options.planner != kOwnPlanner && !policy_of(options.planner))
        problems.push_back("--planner: must be whinpost, random, least_asked or two_choices");
    if (options.sockets && options.planner != kOwnPlanner)
        problems.push_back("--planner: the baselines are available in virtual time only");
    for (const std::string& problem : problems) err << problem << '\n';
    if (!problems.empty()) return kNotRun;
    if (options.seed) scenario->seed = options.seed;
    return Rehearsal(options, std::move(*scenario), out, err).run();
}

}  // namespace whinpost::simulation
