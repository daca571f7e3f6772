// Measures the latency of placements with open-loop load on one real placer over loopback sockets. The
// workers do almost no work. Latency counts from the time at which a task was due, not from when it was sent.
// Prints figures only; it does not judge them.
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <unordered_map>
#include <vector>

#include "net/libevent_loop.h"
#include "proto/client.pb.h"
#include "proto/discovery.pb.h"
#include "proto/worker.pb.h"

namespace {

using namespace whinpost;

// A histogram of durations in microseconds from 1 us to 10 s, with a hundred buckets of 2.3% width per
// decade.
class Latency {
public:
    Latency()
        : h_(boost::histogram::make_histogram(
              boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(700, 1, 1e7))) {
    }
    void add(Nanos d) {
        h_(std::max(1.0, static_cast<double>(d) / 1e3));
        ++count_;
    }
    double at(double share) const {
        double seen = 0;
        for (auto&& bin : boost::histogram::indexed(h_, boost::histogram::coverage::all)) {
            seen += *bin;
            if (seen >= share * static_cast<double>(count_)) return bin.bin().upper();
        }
        return 0;
    }
    std::uint64_t count() const { return count_; }

private:
    decltype(boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(700, 1, 1e7))) h_;
    std::uint64_t count_ = 0;
};

struct Rig;

template <class Message>
void send(net::Stream& s, std::string& frame, const Message& m) {
    frame.clear();
    net::encode_frame(frame, m);
    s.write(frame);
}

struct LightNode final : net::StreamHandler {
    LightNode(Rig& r, std::string n) : rig(r), name(std::move(n)) {}
    std::size_t on_received(std::string_view) override;
    void on_closed(net::CloseReason) override { stream.reset(); }
    Rig& rig;
    std::string name, address, frame;
    std::unique_ptr<net::Listener> listener;
    std::unique_ptr<net::Stream> stream;
    std::uint64_t read = 0;
};

struct ListEnd final : net::StreamHandler {
    explicit ListEnd(Rig& r) : rig(r) {}
    std::size_t on_received(std::string_view) override;
    void on_closed(net::CloseReason) override { stream.reset(); }
    Rig& rig;
    std::unique_ptr<net::Stream> stream;
};

struct OwnerEnd final : net::StreamHandler {
    explicit OwnerEnd(Rig& r) : rig(r) {}
    void on_connected() override;
    std::size_t on_received(std::string_view) override;
    void on_closed(net::CloseReason) override;
    Rig& rig;
    std::unique_ptr<net::Stream> stream;
    bool up = false;
};

struct Rig {
    net::LibeventLoop loop;
    double rate = 97, life_s = 1;
    Nanos length = 10 * kSecond, warm = 2 * kSecond;
    std::vector<std::unique_ptr<LightNode>> nodes;
    std::unique_ptr<net::Listener> list;
    std::unique_ptr<ListEnd> list_end{std::make_unique<ListEnd>(*this)};
    OwnerEnd owner{*this};
    std::unique_ptr<net::Timer> pulse, reap;
    std::ranlux24_base chance{7};
    Nanos begun = 0, next_due = 0;
    std::uint64_t next_id = 1, offered = 0, placed = 0, deferred = 0, killed = 0, launches = 0;
    std::unordered_map<std::uint64_t, Nanos> due;        // when each task was due, by id
    std::unordered_map<std::string, std::uint64_t> ids;  // request id by task name, until its first attempt
    std::unordered_map<std::uint64_t, Nanos> yes;        // when the worker accepted it, by id
    struct Ending {
        Nanos at;
        LightNode* node;
        std::uint64_t launch;
    };
    std::deque<Ending> ends;  // in order of time: all tasks run equally long
    Latency to_bind, to_answer, late_by;
    pid_t child = 0;
    double cpu_s = -1, cpu_begun = 0, memory_mib = 0;
    std::uint64_t counted_from = 0, counted = 0;
    int services = 50;
    std::string placer;
    std::string frame;

    bool counts() const { return begun && loop.now() >= begun + warm && loop.now() < begun + length; }
    void pump();
    void reap_due();
};

double child_cpu(pid_t child) {
    std::ifstream in("/proc/" + std::to_string(child) + "/stat");
    std::string all((std::istreambuf_iterator<char>(in)), {});
    std::istringstream rest(all.substr(all.rfind(')') + 2));
    std::string word;
    for (int i = 0; i < 11; ++i) rest >> word;
    double user = 0, sys = 0;
    rest >> user >> sys;
    return (user + sys) / static_cast<double>(sysconf(_SC_CLK_TCK));
}
double child_memory_mib(pid_t child) {
    std::ifstream in("/proc/" + std::to_string(child) + "/status");
    std::string line;
    while (std::getline(in, line))
        if (line.rfind("VmRSS:", 0) == 0) return std::stod(line.substr(6)) / 1024;
    return 0;
}

std::size_t LightNode::on_received(std::string_view in) {
    bool too_long = false;
    const std::uint64_t before = read;
    const std::size_t done = net::decode_frames(in, 1 << 20, too_long, [this](std::string_view f) {
        v1::ToWorker m;
        if (!m.ParseFromArray(f.data(), static_cast<int>(f.size()))) return false;
        v1::FromWorker out;
        if (m.has_hello()) {
            out.mutable_hello()->set_version(1);
            out.mutable_hello()->set_name(name);
            out.mutable_hello()->set_incarnation(1);
            send(*stream, frame, out);
            out.mutable_state()->set_remembers_for(60 * kSecond);
            send(*stream, frame, out);
        } else if (m.has_start_attempt()) {
            ++read;
            ++rig.launches;
            const Nanos now = rig.loop.now();
            if (const auto it = rig.ids.find(m.start_attempt().task()); it != rig.ids.end()) {
                if (rig.counts()) rig.to_bind.add(now - rig.due[it->second]);
                rig.yes[it->second] = now;
                rig.ids.erase(it);
            }
            out.mutable_accepted()->set_attempt(m.start_attempt().attempt());
            send(*stream, frame, out);
            out.mutable_running()->set_attempt(m.start_attempt().attempt());
            send(*stream, frame, out);
            rig.ends.push_back(
                {now + static_cast<Nanos>(rig.life_s * 1e9), this, m.start_attempt().attempt()});
        } else if (m.has_health_check()) {
            out.mutable_health_check_reply()->set_id(m.health_check().id());
            out.mutable_health_check_reply()->mutable_report()->set_utilization(0.3);
            send(*stream, frame, out);
        }
        return true;
    });
    if (read != before) {
        v1::FromWorker out;
        out.mutable_attempts_read()->set_attempts(read);
        send(*stream, frame, out);
    }
    return done;
}

std::size_t ListEnd::on_received(std::string_view in) {
    bool too_long = false;
    return net::decode_frames(in, 1 << 20, too_long, [this](std::string_view f) {
        v1::ToDiscovery m;
        if (!m.ParseFromArray(f.data(), static_cast<int>(f.size())) || !m.has_hello()) return true;
        v1::FromDiscovery out;
        out.mutable_hello()->set_version(1);
        out.mutable_hello()->set_name("list");
        out.mutable_hello()->set_incarnation(1);
        send(*stream, rig.frame, out);
        v1::EndpointUpdate& all = *out.mutable_update();
        all.set_is_snapshot(true);
        all.set_sequence(1);
        for (std::size_t i = 0; i < rig.nodes.size(); ++i) {
            v1::Endpoint& e = *all.add_endpoints();
            e.set_worker(rig.nodes[i]->name);
            e.set_address(rig.nodes[i]->address);
            e.set_cell(static_cast<std::uint32_t>(i / 10));
            e.set_free_cores(1e6);
            e.set_free_memory(1e6);
        }
        send(*stream, rig.frame, out);
        return true;
    });
}

void OwnerEnd::on_connected() {
    v1::FromClient m;
    m.mutable_hello()->set_version(1);
    m.mutable_hello()->set_name("load");
    send(*stream, rig.frame, m);
}
void OwnerEnd::on_closed(net::CloseReason) {
    stream.reset();
    if (!up) {  // the placer does not listen yet
        rig.pulse = rig.loop.make_timer([this] { rig.pump(); });
        rig.pulse->arm(rig.loop.now() + 50 * kMillisecond);
    }
}
std::size_t OwnerEnd::on_received(std::string_view in) {
    bool too_long = false;
    return net::decode_frames(in, 1 << 20, too_long, [this](std::string_view f) {
        v1::ToClient m;
        if (!m.ParseFromArray(f.data(), static_cast<int>(f.size()))) return false;
        if (m.has_hello()) {
            up = true;
            rig.pulse = rig.loop.make_timer([this] { rig.pump(); });
            rig.pulse->arm(rig.loop.now() + kSecond);  // time for the placer to connect to the workers
        } else if (m.has_placed()) {
            ++rig.placed;
            if (const auto it = rig.yes.find(m.placed().id()); it != rig.yes.end()) {
                if (rig.counts()) rig.to_answer.add(rig.loop.now() - it->second);
                rig.yes.erase(it);
            }
            rig.due.erase(m.placed().id());
        } else if (m.has_rejected()) ++rig.deferred;
        else if (m.has_failed()) ++rig.killed;
        return true;
    });
}

void Rig::reap_due() {
    const Nanos now = loop.now();
    v1::FromWorker out;
    while (!ends.empty() && ends.front().at <= now) {
        const Ending& e = ends.front();
        out.mutable_ended()->set_attempt(e.launch);
        out.mutable_ended()->set_outcome(v1::AttemptEnded::COMPLETED);
        if (e.node->stream) send(*e.node->stream, frame, out);
        ends.pop_front();
    }
    reap->arm(now + kMillisecond);
}

void Rig::pump() {
    const Nanos now = loop.now();
    if (!owner.up) {
        owner.stream = loop.dial(placer, owner);
        return;
    }
    if (!begun) {
        begun = next_due = now;
        reap = loop.make_timer([this] { reap_due(); });
        reap_due();
    }
    if (cpu_begun == 0 && now >= begun + warm) cpu_begun = child_cpu(child), counted_from = offered;
    const auto u = [this] { return (static_cast<double>(chance() % 65536) + 1) / 65537; };
    while (next_due <= now && next_due < begun + length) {
        v1::FromClient m;
        v1::SubmitTask& o = *m.mutable_submit();
        o.set_id(next_id++);
        o.set_task("c" + std::to_string(o.id()));
        o.set_service("s" + std::to_string(chance() % static_cast<unsigned>(services)));
        o.set_queue_group("load");
        o.set_cores(0.5);
        o.set_memory(0.5);
        o.set_time_left(5 * kSecond);
        o.set_expected_runtime(static_cast<Nanos>(life_s * 1e9));
        due[o.id()] = next_due;
        ids[o.task()] = o.id();
        if (now >= begun + warm) late_by.add(now - next_due);
        send(*owner.stream, frame, m);
        ++offered;
        next_due += static_cast<Nanos>(-std::log(u()) / rate * 1e9);
    }
    if (now >= begun + length && cpu_s < 0) {
        cpu_s = child_cpu(child) - cpu_begun;
        counted = offered - counted_from;
        memory_mib = child_memory_mib(child);
    }
    if (now >= begun + length + 6 * kSecond || (cpu_s >= 0 && due.empty())) return loop.stop();
    pulse->arm(std::max(now + 100 * kMicrosecond, std::min(next_due, now + 10 * kMillisecond)));
}

void print(const char* what, const Latency& l) {
    std::printf("%-28s %9.0f %9.0f %9.0f us   (%llu)\n", what, l.at(0.5), l.at(0.99), l.at(0.999),
                static_cast<unsigned long long>(l.count()));
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"whinpost_load: open-loop load on one placer over loopback"};
    Rig rig;
    std::size_t nodes = 100;
    double seconds = 10, warm = 2;
    std::string program = (std::filesystem::path(argv[0]).parent_path() / "../apps/whinpost").string(),
                log = "off";
    app.add_option("--rate", rig.rate, "Tasks per second")->capture_default_str();
    app.add_option("--nodes", nodes)->capture_default_str();
    app.add_option("--seconds", seconds)->capture_default_str();
    app.add_option("--warm", warm, "Seconds at the start that are not measured")->capture_default_str();
    app.add_option("--life", rig.life_s, "Seconds that each task runs")->capture_default_str();
    app.add_option("--services", rig.services)->capture_default_str();
    app.add_option("--program", program, "The placer's program")->capture_default_str();
    app.add_option("--log", log, "The placer's log level")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    rig.length = static_cast<Nanos>(seconds * 1e9);
    rig.warm = static_cast<Nanos>(warm * 1e9);
    for (std::size_t i = 0; i < nodes; ++i) {
        rig.nodes.push_back(std::make_unique<LightNode>(rig, "n" + std::to_string(i)));
        LightNode& n = *rig.nodes.back();
        auto listener = rig.loop.listen("127.0.0.1:0", [&rig, &n](std::unique_ptr<net::Stream> s) {
            n.stream = std::move(s);
            n.read = 0;
            rig.loop.attach(*n.stream, n);
        });
        if (!listener) {
            std::cerr << "no free port on 127.0.0.1: " << to_string(listener.error()) << '\n';
            return 2;
        }
        n.listener = std::move(*listener);
        n.address = n.listener->address();
    }
    rig.list = rig.loop
                   .listen("127.0.0.1:0",
                           [&rig](std::unique_ptr<net::Stream> s) {
                               rig.list_end->stream = std::move(s);
                               rig.loop.attach(*rig.list_end->stream, *rig.list_end);
                           })
                   .value();
    {
        const auto port = rig.loop.listen("127.0.0.1:0", [](std::unique_ptr<net::Stream>) {}).value();
        rig.placer = port->address();
    }
    char file[] = "/tmp/whinpost-load-XXXXXX";
    close(mkstemp(file));
    std::ofstream(file)
        << "[placer]\nname = \"load\"\nlisten = \"" << rig.placer << "\"\nzone = \"z\"\nzones = [\"z\"]\n"
        << "[list]\naddress = \"" << rig.list->address() << "\"\n[log]\nlevel = \"" << log << "\"\n"
        << "[acceptance]\ncores_multiple = 1000\nmemory_multiple = 1000\n"
        << "[intake]\nwaiting = 1000000\nwaiting_an_owner = 1000000\na_second = 1000000\n"
        << "[[machine_kind]]\nname = \"m\"\ncores = 100000\nmemory = 100000\n"
        << "[[queue_group]]\nname = \"load\"\neffect = \"idempotent\"\nstart_target_ms = 800\n";
    rig.child = fork();
    if (rig.child == 0) {
        for (int fd = 3; fd < 65536; ++fd) close(fd);
        execl(program.c_str(), program.c_str(), "run", file, static_cast<char*>(nullptr));
        _exit(127);
    }
    rig.pulse = rig.loop.make_timer([&rig] { rig.pump(); });
    rig.pulse->arm(rig.loop.now() + 200 * kMillisecond);
    rig.loop.run();
    kill(rig.child, SIGKILL);
    int status = 0;
    waitpid(rig.child, &status, 0);
    unlink(file);
    std::printf(
        "%.0f tasks per second on %zu nodes for %.0f s, the first %.0f not measured; runtime %.1f s, %d "
        "services\n",
        rig.rate, nodes, seconds, warm, rig.life_s, rig.services);
    std::printf("submitted %llu, placed %llu, rejected %llu, failed %llu, attempts %llu\n",
                static_cast<unsigned long long>(rig.offered), static_cast<unsigned long long>(rig.placed),
                static_cast<unsigned long long>(rig.deferred), static_cast<unsigned long long>(rig.killed),
                static_cast<unsigned long long>(rig.launches));
    std::printf("%-28s %9s %9s %9s\n", "", "median", "99%", "99.9%");
    print("due to attempt at the worker", rig.to_bind);
    print("accepted to client's answer", rig.to_answer);
    print("due to sent", rig.late_by);
    const double counted_s = seconds - warm;
    std::printf("placer: %.1f us of CPU per task, %.0f%% of a core, %.0f MiB resident\n",
                rig.cpu_s / static_cast<double>(std::max<std::uint64_t>(1, rig.counted)) * 1e6,
                rig.cpu_s / counted_s * 100, rig.memory_mib);
    return 0;
}
