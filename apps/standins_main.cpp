// The project's own nodes, list service and owners, and placers as their children: plays a scripted day on
// loopback.
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "net/event_loop.h"
#include "standin/day.h"

namespace {

using namespace whinpost;

// On sockets: the stand-ins in this process, each placer a child.
class Sockets final : public standin::Ground {
public:
    Sockets(net::EventLoop& loop, std::string program, std::string dir, std::size_t placers)
        : loop_(loop), program_(std::move(program)), dir_(std::move(dir)), addresses_(placers),
          children_(placers, 0) {
        // A restarted placer must be found where it was: its port is chosen once. Held open together, so that
        // no two get the same.
        std::vector<std::unique_ptr<net::Listener>> held;
        for (std::string& a : addresses_) {
            std::string error;
            held.push_back(loop.listen(
                "127.0.0.1:0", [](std::unique_ptr<net::Stream>) {}, error));
            if (!held.back()) throw std::runtime_error("no port can be had: " + error);
            a = held.back()->address();
        }
    }
    ~Sockets() override {
        for (std::size_t i = 0; i < children_.size(); ++i) kill_placer(i);
    }
    net::Loop& loop() override { return loop_; }
    net::Loop& node_loop(const std::string&, int) override { return loop_; }
    std::string node_address(const std::string&) override { return "127.0.0.1:0"; }
    std::string list_address() override { return "127.0.0.1:0"; }
    std::string placer_address(std::size_t i) override { return addresses_[i]; }
    void start_placer(std::size_t i, const std::string& file) override {
        const std::string path = dir_ + "/placer-" + std::to_string(i) + ".toml";
        std::ofstream(path) << file;
        const std::string log = dir_ + "/placer-" + std::to_string(i) + ".log";
        const pid_t child = fork();
        if (child < 0) throw std::runtime_error(std::string("fork: ") + std::strerror(errno));
        if (child == 0) {
            const int to = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
            if (to >= 0) {
                dup2(to, 1);
                dup2(to, 2);
            }
            for (int fd = 3; fd < 4096; ++fd) close(fd);  // the stand-ins' sockets are not the child's
            execl(program_.c_str(), program_.c_str(), "run", path.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
        children_[i] = child;
    }
    void kill_placer(std::size_t i) override {
        if (!children_[i]) return;
        ::kill(children_[i], SIGKILL);
        int status = 0;
        waitpid(children_[i], &status, 0);
        children_[i] = 0;
    }
    void stall_placer(std::size_t i, bool on) override {
        if (children_[i]) ::kill(children_[i], on ? SIGSTOP : SIGCONT);
    }
    // Asks all to end, and says how many did so cleanly.
    std::size_t end_all() {
        std::size_t clean = 0;
        for (const pid_t c : children_)
            if (c) ::kill(c, SIGTERM);
        for (pid_t& c : children_) {
            if (!c) continue;
            int status = 0;
            if (waitpid(c, &status, 0) == c && WIFEXITED(status) && WEXITSTATUS(status) == 0) ++clean;
            c = 0;
        }
        return clean;
    }

private:
    net::EventLoop& loop_;
    std::string program_, dir_;
    std::vector<std::string> addresses_;
    std::vector<pid_t> children_;
};

int play(const std::string& path, const std::string& program, std::string dir, std::uint64_t seed) {
    std::vector<std::string> problems;
    standin::Plan plan = standin::read_plan(path, problems);
    for (const std::string& p : problems) std::cerr << p << '\n';
    if (!problems.empty()) return 2;
    if (seed) plan.seed = seed;
    if (access(program.c_str(), X_OK) != 0) {
        std::cerr << program << ": " << std::strerror(errno) << " (the placer's program; see --program)\n";
        return 2;
    }
    if (dir.empty()) {
        char made[] = "/tmp/whinpost-day-XXXXXX";
        if (!mkdtemp(made)) {
            std::cerr << made << ": " << std::strerror(errno) << '\n';
            return 2;
        }
        dir = made;
    } else {
        std::filesystem::create_directories(dir);
    }
    net::EventLoop loop;
    Sockets ground(loop, program, dir, plan.placers);
    std::cout << plan.name << ": " << plan.placers << " placers, " << plan.nodes << " nodes in "
              << plan.zones.size() << " zones, " << plan.owners << " owners, " << plan.length / kSecond
              << " s; logs in " << dir << std::endl;
    standin::Play day(plan, ground, [](const std::string& line) { std::cout << "  " << line << std::endl; });
    int result = 2;
    const std::string wrong = day.start([&](const standin::Outcome& out) {
        const std::size_t clean = ground.end_all();
        std::cout << '\n' << day.table(out) << '\n';
        std::cout << "placers that ended cleanly when asked: " << clean << " of " << plan.placers << '\n';
        if (out.still_waiting) std::cout << "still waiting at the end: " << out.still_waiting << '\n';
        std::size_t shown = 0;
        for (const standin::Breach& b : out.verdict.breaches) {
            if (++shown > 5) break;
            std::cout << "\nbroken: " << b.what << "\n  " << show(b.line, day.began()) << "\n  the record:\n";
            for (const std::string& l : standin::story(day.seen(), b.line.container, day.began()))
                std::cout << "    " << l << '\n';
        }
        std::cout << out.verdict.line() << std::endl;
        result = out.verdict.kept() && clean == plan.placers && !out.still_waiting ? 0 : 1;
        loop.stop();
    });
    if (!wrong.empty()) {
        std::cerr << wrong << '\n';
        return 2;
    }
    loop.on_signal(SIGINT, [&loop] { loop.stop(); });
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return result;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"whinpost-standins: stand-ins for nodes, list service and owners, on loopback"};
    app.require_subcommand(1);
    CLI::App* play_command =
        app.add_subcommand("play", "Play a scripted day through real placers and check the rules");
    std::string day, dir, program = (std::filesystem::path(argv[0]).parent_path() / "whinpost").string();
    std::uint64_t seed = 0;
    play_command->add_option("day", day, "The day's script (TOML)")->required();
    play_command->add_option("--program", program, "The placer's program")->capture_default_str();
    play_command->add_option("--dir", dir,
                             "Where placers' files and logs go; a new one under /tmp if not given");
    play_command->add_option("--seed", seed, "Another seed than the script's");
    play_command->footer("Exit status: 0 all rules kept, 1 one broke, 2 the day could not be played.");
    CLI11_PARSE(app, argc, argv);
    try {
        return play(day, program, dir, seed);
    } catch (const std::exception& e) {
        std::cerr << "whinpost-standins: " << e.what() << '\n';
        return 2;
    }
}
