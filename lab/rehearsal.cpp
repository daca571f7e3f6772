#include "lab/rehearsal.h"

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

#include "lab/baseline.h"
#include "lab/scenarios.h"
#include "lab/sim_ground.h"
#include "lab/sockets_ground.h"

namespace whinpost::lab {

namespace {

constexpr std::size_t kBreachesShown = 5;

std::optional<Policy> policy_of(const std::string& name) {
    const auto at = std::find(std::begin(kPolicies), std::end(kPolicies), name);
    if (at == std::end(kPolicies)) return std::nullopt;
    return static_cast<Policy>(at - std::begin(kPolicies));
}

void show_breaches(const standin::Play& day, const standin::Outcome& out, std::ostream& to) {
    std::size_t shown = 0;
    for (const standin::Breach& b : out.verdict.breaches) {
        if (++shown > kBreachesShown) break;
        to << '\n' << standin::told(day.seen(), b, day.began());
    }
}

void explain(const standin::Play& day, const std::string& what, std::ostream& to) {
    std::vector<std::string> lines = standin::story(day.seen(), what, day.began());
    if (lines.empty()) lines = node_story(day.seen(), what, day.began());
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
int finish(const standin::Play& day, const standin::Outcome& out, const Wish& wish, std::size_t clean,
           std::size_t placers, std::optional<std::uint64_t> digest, std::ostream& to) {
    const Findings found(day, out, digest);
    to << '\n' << found.table();
    if (digest) to << "digest " << found.digest() << '\n';
    show_breaches(day, out, to);
    if (out.still_waiting) to << "still waiting at the end: " << out.still_waiting << '\n';
    if (clean != placers)
        to << "placers that ended cleanly when asked: " << clean << " of " << placers << '\n';
    if (!wish.out.empty()) {
        found.write(wish.out);
        plot(wish.out, to);
        to << "report.json, report.png and their data are in " << wish.out << '\n';
    }
    if (!wish.explain.empty()) explain(day, wish.explain, to);
    return out.verdict.kept() && found.met() && clean == placers && !out.still_waiting ? 0 : 1;
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

std::string with_base(const std::string& text, std::string& problem) {
    const std::vector<std::string> own = tables(text);
    constexpr std::string_view kLike = "like = \"";
    const std::size_t at = own[0].rfind(kLike, 0) == 0 ? 0 : own[0].find("\n" + std::string(kLike)) + 1;
    if (at == 0 && own[0].rfind(kLike, 0) != 0) return text;
    const std::size_t from = at + kLike.size();
    const std::string name = own[0].substr(from, own[0].find('"', from) - from);
    const auto base =
        std::find_if(bases().begin(), bases().end(), [&](const Scenario& s) { return s.name == name; });
    if (base == bases().end()) {
        problem = "like: there is no base \"" + name + "\"";
        return text;
    }
    std::set<std::string> has;
    for (const std::string& t : own) has.insert(header(t));
    std::string whole = text + "\n";
    const std::vector<std::string> theirs = tables(base->text);
    for (std::size_t i = 1; i < theirs.size(); ++i)
        if (!has.contains(header(theirs[i]))) whole += theirs[i];
    return whole;
}

}  // namespace

std::string scenario_text(const std::string& name, std::string& problem) {
    for (const Scenario& s : scenarios())
        if (s.name == name) return with_base(s.text, problem);
    std::ifstream in(name, std::ios::binary);
    if (!in) {
        problem = name + ": no scenario of that name, and no file that can be read (see --list)";
        return "";
    }
    return with_base({std::istreambuf_iterator<char>(in), {}}, problem);
}

void play_plan(
    const standin::Plan& plan, const std::string& planner,
    const std::function<void(const std::string&)>& progress,
    const std::function<void(standin::Play&, const standin::Outcome&, std::uint64_t digest)>& then) {
    World world(plan.seed, delays_of(plan));
    SimGround ground(world, plan.placers, plan.zones);
    std::vector<std::unique_ptr<Baseline>> baselines(plan.placers);
    if (const std::optional<Policy> policy = policy_of(planner))
        ground.made = [&, policy](std::size_t i, apps::Embedded& placer) {
            std::vector<QueueGroup> groups;
            for (const standin::GroupTerms& g : plan.groups) groups.push_back(g.terms);
            baselines[i] =
                std::make_unique<Baseline>(placer.edge, *policy, plan.seed * 1009 + i, groups, plan.launches,
                                           plan.node.warm_after + plan.node.fall_window);
            placer.edge.plan_with(*baselines[i]);
        };
    standin::Play day(plan, ground, progress);
    const standin::Outcome out = play(world, day);
    then(day, out, world.digest());
}

int rehearse(const Wish& wish, std::ostream& to, std::ostream& err) {
    std::string problem;
    const std::string text = scenario_text(wish.scenario, problem);
    std::vector<std::string> problems;
    if (!problem.empty()) problems.push_back(problem);
    standin::Plan plan;
    if (problems.empty()) plan = standin::parse_plan(text, wish.scenario, problems, wish.placers, wish.nodes);
    if (wish.planner != "whinpost" && !policy_of(wish.planner))
        problems.push_back("--planner: must be whinpost, random, least_asked or two_choices");
    if (wish.sockets && wish.planner != "whinpost")
        problems.push_back("--planner: baselines play in virtual time only");
    for (const std::string& p : problems) err << p << '\n';
    if (!problems.empty()) return 2;
    if (wish.seed) plan.seed = wish.seed;
    std::string dir = wish.out;
    if (!dir.empty()) std::filesystem::create_directories(dir);
    to << plan.name << " (seed " << plan.seed << "): " << plan.placers << " placers, " << plan.nodes
       << " nodes in " << plan.zones.size() << " zones, " << plan.owners << " owners, "
       << plan.length / kSecond << " s, " << (wish.sockets ? "on loopback sockets" : "in virtual time")
       << (wish.planner == "whinpost" ? "" : ", placed by " + wish.planner) << std::endl;
    const auto progress = [&](const std::string& line) {
        if (!wish.quiet) to << "  " << line << std::endl;
    };
    int result = 2;
    if (!wish.sockets) {
        const auto began = std::chrono::steady_clock::now();
        play_plan(plan, wish.planner, progress,
                  [&](standin::Play& day, const standin::Outcome& out, std::uint64_t digest) {
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
    net::EventLoop loop;
    SocketsGround ground(loop, wish.program, dir, plan.placers);
    standin::Play day(plan, ground, progress);
    const std::string wrong = day.start([&](const standin::Outcome& out) {
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

}  // namespace whinpost::lab
