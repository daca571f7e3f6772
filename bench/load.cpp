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
        : histogram_(boost::histogram::make_histogram(
              boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(700, 1, 1e7))) {
    }
    void add(Nanos duration) {
        histogram_(std::max(1.0, static_cast<double>(duration) / 1e3));
        ++count_;
    }
    double at(double share) const {
        double seen = 0;
        for (auto&& bin : boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
            seen += *bin;
            if (seen >= share * static_cast<double>(count_)) return bin.bin().upper();
        }
        return 0;
    }
    std::uint64_t count() const { return count_; }

private:
    decltype(boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(700, 1,
                                                                                        1e7))) histogram_;
    std::uint64_t count_ = 0;
};

struct Rig;

template <class Message>
void send(net::Stream& stream, std::string& frame, const Message& message) {
    frame.clear();
    net::encode_frame(frame, message);
    stream.write(frame);
}

struct EmulatedWorker final : net::StreamHandler {
    EmulatedWorker(Rig& r, std::string n) : rig(r), name(std::move(n)) {}
    std::size_t on_received(std::string_view) override;
    void on_closed(net::CloseReason) override { stream.reset(); }
    Rig& rig;
    std::string name, address, frame;
    std::unique_ptr<net::Listener> listener;
    std::unique_ptr<net::Stream> stream;
    std::uint64_t attempts_read = 0;
};

struct DiscoveryConnection final : net::StreamHandler {
    explicit DiscoveryConnection(Rig& r) : rig(r) {}
    std::size_t on_received(std::string_view) override;
    void on_closed(net::CloseReason) override { stream.reset(); }
    Rig& rig;
    std::unique_ptr<net::Stream> stream;
};

struct ClientConnection final : net::StreamHandler {
    explicit ClientConnection(Rig& r) : rig(r) {}
    void on_connected() override;
    std::size_t on_received(std::string_view) override;
    void on_closed(net::CloseReason) override;
    Rig& rig;
    std::unique_ptr<net::Stream> stream;
    bool connected = false;
};

struct Rig {
    net::LibeventLoop loop;
    double rate = 97, runtime_s = 1;
    Nanos length = 10 * kSecond, warm_up = 2 * kSecond;
    std::vector<std::unique_ptr<EmulatedWorker>> workers;
    std::unique_ptr<net::Listener> discovery_listener;
    std::unique_ptr<DiscoveryConnection> discovery_connection{std::make_unique<DiscoveryConnection>(*this)};
    ClientConnection client{*this};
    std::unique_ptr<net::Timer> submit_timer, completion_timer;
    std::ranlux24_base random{7};
    Nanos started_at = 0, next_due = 0;
    std::uint64_t next_id = 1, submitted = 0, placed = 0, rejected = 0, failed = 0, attempts = 0;
    std::unordered_map<std::uint64_t, Nanos> due_at;             // by request id
    std::unordered_map<std::string, std::uint64_t> request_ids;  // by task, until its first attempt
    std::unordered_map<std::uint64_t, Nanos> accepted_at;        // by request id
    struct Completion {
        Nanos at;
        EmulatedWorker* worker;
        std::uint64_t attempt_number;
    };
    std::deque<Completion> completions;  // in order of time: all tasks run equally long
    Latency due_to_attempt, accepted_to_answer, due_to_sent;
    pid_t child = 0;
    double cpu_s = -1, cpu_at_start = 0, memory_mib = 0;
    std::uint64_t submitted_at_start = 0, submitted_measured = 0;
    int services = 50;
    std::string placer;
    std::string frame;

    bool is_measuring() const {
        return started_at && loop.now() >= started_at + warm_up && loop.now() < started_at + length;
    }
    void submit_due_tasks();
    void complete_due_attempts();
};

double child_cpu_seconds(pid_t child) {
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

std::size_t EmulatedWorker::on_received(std::string_view in) {
    bool too_long = false;
    const std::uint64_t before = attempts_read;
    const std::size_t done = net::decode_frames(in, 1 << 20, too_long, [this](std::string_view bytes) {
        v1::ToWorker message;
        if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return false;
        v1::FromWorker out;
        if (message.has_hello()) {
            out.mutable_hello()->set_version(1);
            out.mutable_hello()->set_name(name);
            out.mutable_hello()->set_incarnation(1);
            send(*stream, frame, out);
            out.mutable_state()->set_remembers_for(60 * kSecond);
            send(*stream, frame, out);
        } else if (message.has_start_attempt()) {
            ++attempts_read;
            ++rig.attempts;
            const Nanos now = rig.loop.now();
            if (const auto it = rig.request_ids.find(message.start_attempt().task());
                it != rig.request_ids.end()) {
                if (rig.is_measuring()) rig.due_to_attempt.add(now - rig.due_at[it->second]);
                rig.accepted_at[it->second] = now;
                rig.request_ids.erase(it);
            }
            out.mutable_accepted()->set_attempt(message.start_attempt().attempt());
            send(*stream, frame, out);
            out.mutable_running()->set_attempt(message.start_attempt().attempt());
            send(*stream, frame, out);
            rig.completions.push_back(
                {now + static_cast<Nanos>(rig.runtime_s * 1e9), this, message.start_attempt().attempt()});
        } else if (message.has_health_check()) {
            out.mutable_health_check_reply()->set_id(message.health_check().id());
            out.mutable_health_check_reply()->mutable_report()->set_utilization(0.3);
            send(*stream, frame, out);
        }
        return true;
    });
    if (attempts_read != before) {
        v1::FromWorker out;
        out.mutable_attempts_read()->set_attempts(attempts_read);
        send(*stream, frame, out);
    }
    return done;
}

std::size_t DiscoveryConnection::on_received(std::string_view in) {
    bool too_long = false;
    return net::decode_frames(in, 1 << 20, too_long, [this](std::string_view bytes) {
        v1::ToDiscovery message;
        if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || !message.has_hello())
            return true;
        v1::FromDiscovery out;
        out.mutable_hello()->set_version(1);
        out.mutable_hello()->set_name("list");
        out.mutable_hello()->set_incarnation(1);
        send(*stream, rig.frame, out);
        v1::EndpointUpdate& all = *out.mutable_update();
        all.set_is_snapshot(true);
        all.set_sequence(1);
        for (std::size_t i = 0; i < rig.workers.size(); ++i) {
            v1::Endpoint& entry = *all.add_endpoints();
            entry.set_worker(rig.workers[i]->name);
            entry.set_address(rig.workers[i]->address);
            entry.set_cell(static_cast<std::uint32_t>(i / 10));
            entry.set_free_cores(1e6);
            entry.set_free_memory(1e6);
        }
        send(*stream, rig.frame, out);
        return true;
    });
}

void ClientConnection::on_connected() {
    v1::FromClient message;
    message.mutable_hello()->set_version(1);
    message.mutable_hello()->set_name("load");
    send(*stream, rig.frame, message);
}
void ClientConnection::on_closed(net::CloseReason) {
    stream.reset();
    if (!connected) {  // the placer does not listen yet
        rig.submit_timer = rig.loop.make_timer([this] { rig.submit_due_tasks(); });
        rig.submit_timer->arm(rig.loop.now() + 50 * kMillisecond);
    }
}
std::size_t ClientConnection::on_received(std::string_view in) {
    bool too_long = false;
    return net::decode_frames(in, 1 << 20, too_long, [this](std::string_view bytes) {
        v1::ToClient message;
        if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return false;
        if (message.has_hello()) {
            connected = true;
            rig.submit_timer = rig.loop.make_timer([this] { rig.submit_due_tasks(); });
            rig.submit_timer->arm(rig.loop.now() + kSecond);  // time for the placer to connect to the workers
        } else if (message.has_placed()) {
            ++rig.placed;
            if (const auto it = rig.accepted_at.find(message.placed().id()); it != rig.accepted_at.end()) {
                if (rig.is_measuring()) rig.accepted_to_answer.add(rig.loop.now() - it->second);
                rig.accepted_at.erase(it);
            }
            rig.due_at.erase(message.placed().id());
        } else if (message.has_rejected()) ++rig.rejected;
        else if (message.has_failed()) ++rig.failed;
        return true;
    });
}

void Rig::complete_due_attempts() {
    const Nanos now = loop.now();
    v1::FromWorker out;
    while (!completions.empty() && completions.front().at <= now) {
        const Completion& completion = completions.front();
        out.mutable_ended()->set_attempt(completion.attempt_number);
        out.mutable_ended()->set_outcome(v1::AttemptEnded::COMPLETED);
        if (completion.worker->stream) send(*completion.worker->stream, frame, out);
        completions.pop_front();
    }
    completion_timer->arm(now + kMillisecond);
}

void Rig::submit_due_tasks() {
    const Nanos now = loop.now();
    if (!client.connected) {
        client.stream = loop.dial(placer, client);
        return;
    }
    if (!started_at) {
        started_at = next_due = now;
        completion_timer = loop.make_timer([this] { complete_due_attempts(); });
        complete_due_attempts();
    }
    if (cpu_at_start == 0 && now >= started_at + warm_up)
        cpu_at_start = child_cpu_seconds(child), submitted_at_start = submitted;
    const auto uniform = [this] { return (static_cast<double>(random() % 65536) + 1) / 65537; };
    while (next_due <= now && next_due < started_at + length) {
        v1::FromClient message;
        v1::SubmitTask& task = *message.mutable_submit();
        task.set_id(next_id++);
        task.set_task("c" + std::to_string(task.id()));
        task.set_service("s" + std::to_string(random() % static_cast<unsigned>(services)));
        task.set_queue_group("load");
        task.set_cores(0.5);
        task.set_memory(0.5);
        task.set_time_left(5 * kSecond);
        task.set_expected_runtime(static_cast<Nanos>(runtime_s * 1e9));
        due_at[task.id()] = next_due;
        request_ids[task.task()] = task.id();
        if (now >= started_at + warm_up) due_to_sent.add(now - next_due);
        send(*client.stream, frame, message);
        ++submitted;
        next_due += static_cast<Nanos>(-std::log(uniform()) / rate * 1e9);
    }
    if (now >= started_at + length && cpu_s < 0) {
        cpu_s = child_cpu_seconds(child) - cpu_at_start;
        submitted_measured = submitted - submitted_at_start;
        memory_mib = child_memory_mib(child);
    }
    if (now >= started_at + length + 6 * kSecond || (cpu_s >= 0 && due_at.empty())) return loop.stop();
    submit_timer->arm(std::max(now + 100 * kMicrosecond, std::min(next_due, now + 10 * kMillisecond)));
}

void print_latency(const char* what, const Latency& latency) {
    std::printf("%-28s %9.0f %9.0f %9.0f us   (%llu)\n", what, latency.at(0.5), latency.at(0.99),
                latency.at(0.999), static_cast<unsigned long long>(latency.count()));
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"whinpost_load: open-loop load on one placer over loopback"};
    Rig rig;
    std::size_t workers = 100;
    double seconds = 10, warm_up = 2;
    std::string program = (std::filesystem::path(argv[0]).parent_path() / "../apps/whinpost").string(),
                log = "off";
    app.add_option("--rate", rig.rate, "Tasks per second")->capture_default_str();
    app.add_option("--nodes", workers)->capture_default_str();
    app.add_option("--seconds", seconds)->capture_default_str();
    app.add_option("--warm", warm_up, "Seconds at the start that are not measured")->capture_default_str();
    app.add_option("--life", rig.runtime_s, "Seconds that each task runs")->capture_default_str();
    app.add_option("--services", rig.services)->capture_default_str();
    app.add_option("--program", program, "The placer's program")->capture_default_str();
    app.add_option("--log", log, "The placer's log level")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    rig.length = static_cast<Nanos>(seconds * 1e9);
    rig.warm_up = static_cast<Nanos>(warm_up * 1e9);
    for (std::size_t i = 0; i < workers; ++i) {
        rig.workers.push_back(std::make_unique<EmulatedWorker>(rig, "n" + std::to_string(i)));
        EmulatedWorker& worker = *rig.workers.back();
        auto listener = rig.loop.listen("127.0.0.1:0", [&rig, &worker](std::unique_ptr<net::Stream> stream) {
            worker.stream = std::move(stream);
            worker.attempts_read = 0;
            rig.loop.attach(*worker.stream, worker);
        });
        if (!listener) {
            std::cerr << "no free port on 127.0.0.1: " << to_string(listener.error()) << '\n';
            return 2;
        }
        worker.listener = std::move(*listener);
        worker.address = worker.listener->address();
    }
    rig.discovery_listener =
        rig.loop
            .listen("127.0.0.1:0",
                    [&rig](std::unique_ptr<net::Stream> stream) {
                        rig.discovery_connection->stream = std::move(stream);
                        rig.loop.attach(*rig.discovery_connection->stream, *rig.discovery_connection);
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
        << "[list]\naddress = \"" << rig.discovery_listener->address() << "\"\n[log]\nlevel = \"" << log
        << "\"\n"
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
    rig.submit_timer = rig.loop.make_timer([&rig] { rig.submit_due_tasks(); });
    rig.submit_timer->arm(rig.loop.now() + 200 * kMillisecond);
    rig.loop.run();
    kill(rig.child, SIGKILL);
    int status = 0;
    waitpid(rig.child, &status, 0);
    unlink(file);
    std::printf(
        "%.0f tasks per second on %zu nodes for %.0f s, the first %.0f not measured; runtime %.1f s, %d "
        "services\n",
        rig.rate, workers, seconds, warm_up, rig.runtime_s, rig.services);
    std::printf("submitted %llu, placed %llu, rejected %llu, failed %llu, attempts %llu\n",
                static_cast<unsigned long long>(rig.submitted), static_cast<unsigned long long>(rig.placed),
                static_cast<unsigned long long>(rig.rejected), static_cast<unsigned long long>(rig.failed),
                static_cast<unsigned long long>(rig.attempts));
    std::printf("%-28s %9s %9s %9s\n", "", "median", "99%", "99.9%");
    print_latency("due to attempt at the worker", rig.due_to_attempt);
    print_latency("accepted to client's answer", rig.accepted_to_answer);
    print_latency("due to sent", rig.due_to_sent);
    const double measured_s = seconds - warm_up;
    std::printf("placer: %.1f us of CPU per task, %.0f%% of a core, %.0f MiB resident\n",
                rig.cpu_s / static_cast<double>(std::max<std::uint64_t>(1, rig.submitted_measured)) * 1e6,
                rig.cpu_s / measured_s * 100, rig.memory_mib);
    return 0;
}
