#include "simulation/rehearsal.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <set>
#include <stdexcept>

#include "simulation/baseline_planner.h"
#include "simulation/bundled_scenarios.h"
#include "simulation/simulated_environment.h"
#include "simulation/socket_environment.h"

namespace whinpost::simulation {

namespace {

constexpr std::size_t kBreachesShown = 5;

std::optional<BaselinePolicy> policy_of(const std::string& name) {
    const auto at = std::find(std::begin(kPolicies), std::end(kPolicies), name);
    if (at == std::end(kPolicies)) return std::nullopt;
    return static_cast<BaselinePolicy>(at - std::begin(kPolicies));
}

void show_breaches(const emulator::ScenarioRun& day, const emulator::RunResult& out, std::ostream& to) {
    std::size_t shown = 0;
    for (const emulator::Violation& b : out.verdict.violations) {
        if (++shown > kBreachesShown) break;
        to << '\n' << emulator::describe(day.events(), b, day.started_at());
    }
}

void explain(const emulator::ScenarioRun& day, const std::string& what, std::ostream& to) {
    std::vector<std::string> lines = emulator::history_of(day.events(), what, day.started_at());
    if (lines.empty()) lines = worker_history_of(day.events(), what, day.started_at());
    to << "\nwhat was seen of " << what << (lines.empty() ? ": nothing of that name" : "") << '\n';
    for (const std::string& l : lines) to << "  " << l << '\n';
}

void plot(const std::string& dir, std::ostream& to) {
    std::string quoted = "'";
    for (const char c : dir) quoted += c == '\'' ? std::string("'\\''") : std::string(1, c);
    quoted += '\'';
    const int status = std::system(("cd " + quoted + " && gnuplot report.gp 2>gnuplot.log").c_str());
    if (status != 0) to << "no plot: gnuplot has not drawn report.gp (see gnuplot.log)\n";
}

// The end of a rehearsal, on either ground.
int finish(const emulator::ScenarioRun& day, const emulator::RunResult& out, const RehearsalOptions& wish,
           std::size_t clean, std::size_t placers, std::optional<std::uint64_t> digest, std::ostream& to) {
    const RunReport found(day, out, digest);
    to << '\n' << found.table();
    if (digest) to << "digest " << found.digest() << '\n';
    show_breaches(day, out, to);
    if (out.pending) to << "still waiting at the end: " << out.pending << '\n';
    if (clean != placers)
        to << "placers that ended cleanly when asked: " << clean << " of " << placers << '\n';
    if (!wish.out.empty()) {
        found.write(wish.out);
        plot(wish.out, to);
        to << "report.json, report.png and their data are in " << wish.out << '\n';
    }
    if (!wish.explain.empty()) explain(day, wish.explain, to);
    return out.verdict.kept() && found.expectations_met() && clean == placers && !out.pending ? 0 : 1;
}

// The text cut before each line that begins a table; the first part is what stands before any.
std::vector<std::string> tables(const std::string& text) {
    std::vector<std::string> parts(1);
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find('\n', at), text.size() - 1) + 1;
        if (text[at] == '[') parts.emplace_back();
        parts.back() += text.substr(at, end - at);
        at = end;
    }
    return parts;
}

std::string header(const std::string& table) { return table.substr(0, table.find('\n')); }

tl::expected<std::string, ScenarioLoadError> with_base(const std::string& text) {
    const std::vector<std::string> own = tables(text);
    constexpr std::string_view kLike = "like = \"";
    const std::size_t at = own[0].rfind(kLike, 0) == 0 ? 0 : own[0].find("\n" + std::string(kLike)) + 1;
    if (at == 0 && own[0].rfind(kLike, 0) != 0) return text;
    const std::size_t from = at + kLike.size();
    const std::string name = own[0].substr(from, own[0].find('"', from) - from);
    const auto base = std::find_if(base_scenarios().begin(), base_scenarios().end(),
                                   [&](const BundledScenario& s) { return s.name == name; });
    if (base == base_scenarios().end())
        return tl::unexpected(ScenarioLoadError{ScenarioLoadError::Kind::unknown_base, name});
    std::set<std::string> has;
    for (const std::string& t : own) has.insert(header(t));
    std::string whole = text + "\n";
    const std::vector<std::string> theirs = tables(base->text);
    for (std::size_t i = 1; i < theirs.size(); ++i)
        if (!has.contains(header(theirs[i]))) whole += theirs[i];
    return whole;
}

}  // namespace

std::string to_string(const ScenarioLoadError& error) {
    switch (error.kind) {
        case ScenarioLoadError::Kind::unknown_scenario:
            return error.name + ": no scenario of that name, and no file that can be read (see --list)";
        case ScenarioLoadError::Kind::unknown_base:
            return "like: there is no base \"" + error.name + "\"";
    }
    return "";
}

tl::expected<std::string, ScenarioLoadError> load_scenario(const std::string& name) {
    for (const BundledScenario& s : scenarios())
        if (s.name == name) return with_base(s.text);
    std::ifstream in(name, std::ios::binary);
    if (!in) return tl::unexpected(ScenarioLoadError{ScenarioLoadError::Kind::unknown_scenario, name});
    return with_base({std::istreambuf_iterator<char>(in), {}});
}

void run_scenario(const emulator::Scenario& plan, const std::string& planner,
                  const std::function<void(const std::string&)>& progress,
                  const std::function<void(emulator::ScenarioRun&, const emulator::RunResult&,
                                           std::uint64_t digest)>& then) {
    SimulatedNetwork world(plan.seed, network_delays(plan));
    SimulatedEnvironment ground(world, plan.placers, plan.zones);
    std::vector<std::unique_ptr<BaselinePlanner>> baselines(plan.placers);
    if (const std::optional<BaselinePolicy> policy = policy_of(planner))
        ground.made = [&, policy](std::size_t i, apps::EmbeddedPlacer& placer) {
            std::vector<QueueGroup> groups;
            for (const emulator::NamedQueueGroup& g : plan.groups) groups.push_back(g.queue_group);
            baselines[i] = std::make_unique<BaselinePlanner>(
                placer.edge, *policy, plan.seed * 1009 + i, groups, plan.retry,
                plan.worker.warm_after + plan.worker.fall_window);
            placer.edge.set_planner(*baselines[i]);
        };
    emulator::ScenarioRun day(plan, ground, progress);
    const emulator::RunResult out = run_to_end(world, day);
    then(day, out, world.digest());
}

int run_rehearsal(const RehearsalOptions& wish, std::ostream& to, std::ostream& err) {
    std::vector<std::string> problems;
    emulator::Scenario plan;
    if (const auto text = load_scenario(wish.scenario); !text) problems.push_back(to_string(text.error()));
    else if (auto parsed = emulator::parse_scenario(*text, wish.scenario, {wish.placers, wish.workers}))
        plan = std::move(*parsed);
    else
        for (const config::ConfigError& error : parsed.error()) problems.push_back(to_string(error));
    if (wish.planner != "whinpost" && !policy_of(wish.planner))
        problems.push_back("--planner: must be whinpost, random, least_asked or two_choices");
    if (wish.sockets && wish.planner != "whinpost")
        problems.push_back("--planner: baselines play in virtual time only");
    for (const std::string& p : problems) err << p << '\n';
    if (!problems.empty()) return 2;
    if (wish.seed) plan.seed = wish.seed;
    std::string dir = wish.out;
    if (!dir.empty()) std::filesystem::create_directories(dir);
    to << plan.name << " (seed " << plan.seed << "): " << plan.placers << " placers, " << plan.workers
       << " nodes in " << plan.zones.size() << " zones, " << plan.clients << " owners, "
       << plan.length / kSecond << " s, " << (wish.sockets ? "on loopback sockets" : "in virtual time")
       << (wish.planner == "whinpost" ? "" : ", placed by " + wish.planner) << std::endl;
    const auto progress = [&](const std::string& line) {
        if (!wish.quiet) to << "  " << line << std::endl;
    };
    int result = 2;
    if (!wish.sockets) {
        const auto began = std::chrono::steady_clock::now();
        run_scenario(plan, wish.planner, progress,
                     [&](emulator::ScenarioRun& day, const emulator::RunResult& out, std::uint64_t digest) {
                         const double took =
                             std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
                         result = finish(day, out, wish, plan.placers, plan.placers, digest, to);
                         to << "virtual time: " << plan.length / kSecond << " s in " << took << " s\n";
                     });
        return result;
    }
    if (access(wish.program.c_str(), X_OK) != 0) {
        err << wish.program << ": can't be run (the placer's program; see --program)\n";
        return 2;
    }
    if (dir.empty()) {
        char made[] = "/tmp/whinpost-rehearsal-XXXXXX";
        if (!mkdtemp(made)) {
            err << made << ": can't be made\n";
            return 2;
        }
        dir = made;
        to << "  logs are in " << dir << std::endl;
    }
    net::LibeventLoop loop;
    SocketEnvironment ground(loop, wish.program, dir, plan.placers);
    emulator::ScenarioRun day(plan, ground, progress);
    const std::string wrong = day.start([&](const emulator::RunResult& out) {
        result = finish(day, out, wish, ground.end_all(), plan.placers, std::nullopt, to);
        loop.stop();
    });
    if (!wrong.empty()) {
        err << wrong << '\n';
        return 2;
    }
    loop.on_signal(SIGINT, [&loop] { loop.stop(); });
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return result;
}

}  // namespace whinpost::simulation
