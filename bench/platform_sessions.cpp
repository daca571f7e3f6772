// Plays random sessions with the platform's server in virtual time and prints a digest of each: of all bytes
// delivered, and of how many tasks and connections it held at each step. For bench/same_behaviour.sh, which
// compares the lines of two builds.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include "support/platform_rig.h"
#include "support/quiet_planner.h"

namespace {

using namespace whinpost;

constexpr int kSteps = 900;
constexpr Nanos kStep = 10 * kMillisecond;
constexpr int kFewHosts = 10, kManyHosts = 30;
constexpr int kClients = 5;
constexpr std::size_t kFewDescriptors = 40, kManyDescriptors = 256;

std::uint64_t combine(std::uint64_t digest, std::uint64_t value) {
    return (digest ^ value) * 1099511628211u + 0x9e3779b97f4a7c15u;
}

// Says anything that a planner may say, of tasks that it was told of and of others.
class RandomPlanner final : public QuietPlanner {
public:
    RandomPlanner(platform::PlatformServer& front, std::size_t hosts, std::uint64_t seed)
        : front_(front), hosts_(hosts), chance_(static_cast<std::ranlux24_base::result_type>(seed)) {}
    void run_round(Nanos now) override {
        for (int i = 0; i < 3; ++i) say_something(taken.empty() ? 1 : taken[roll(taken.size())]);
        front_.wake_at(now + static_cast<Nanos>(5 + roll(60)) * kMillisecond);
    }

private:
    std::size_t roll(std::size_t n) { return chance_() % n; }
    void say_something(planner::TaskNumber task) {
        const std::size_t what = roll(40);
        const auto host = static_cast<planner::WorkerNumber>(roll(hosts_));
        if (what == 0) front_.reject(task, static_cast<Nanos>(roll(500)) * kMillisecond);
        else if (what == 1) front_.fail(task);
        else if (what == 2) front_.migrate(task);
        else if (what == 3) front_.cancel_attempt(task, 0);
        else if (what < 8) front_.check_health(host);
        else if (what < 30) front_.place(task, host, static_cast<Nanos>(50 + roll(3000)) * kMillisecond);
    }
    platform::PlatformServer& front_;
    const std::size_t hosts_;
    std::ranlux24_base chance_;
};

class Session {
public:
    explicit Session(std::uint64_t seed)
        : host_count_(seed % 3 == 0 ? kManyHosts : kFewHosts),
          chance_(static_cast<std::ranlux24_base::result_type>(seed)),
          rig_(seed % 3 == 0 ? kFewDescriptors : kManyDescriptors),
          random_planner_(rig_.server, static_cast<std::size_t>(host_count_), seed) {
        if (seed % 5 == 0) rig_.server.set_planner(random_planner_);
    }

    std::uint64_t digest() {
        rig_.start();
        std::vector<std::string> entries;
        for (int i = 0; i < host_count_; ++i) {
            hosts_.push_back(&rig_.add_worker("h" + std::to_string(i)));
            states_.push_back("active");
            entries.push_back(entry(static_cast<std::size_t>(i)));
        }
        rig_.publish(entries, true);
        for (int i = 0; i < kClients; ++i) clients_.push_back(&rig_.connect_client(i + 1));
        for (int step = 0; step < kSteps; ++step) {
            act();
            if (step == kSteps * 9 / 10) rig_.server.drain([] {});
            rig_.run(kStep);
            digest_ = combine(digest_, rig_.world.digest());
            digest_ = combine(digest_, rig_.server.task_count());
            digest_ = combine(digest_, rig_.server.connection_count());
            digest_ = combine(digest_, rig_.server.pending_recovery_count());
        }
        return digest_;
    }

private:
    std::size_t roll(std::size_t n) { return chance_() % n; }
    bool luck(std::size_t percent) { return roll(100) < percent; }

    std::string entry(std::size_t i) {
        const auto& host = *hosts_[i];
        const std::string born = luck(30) ? std::to_string(rig_.world.now() / kMillisecond) : "0";
        return R"({"host":")" + host.name + R"(","dial":")" + host.address + R"(","site":")" +
               (i % 2 ? "a" : "b") + R"(","class":"std","block":)" + std::to_string(i / 3) +
               R"(,"health":")" + states_[i] + R"(","share":1,"born_ms":)" + born + R"(,"free":[)" +
               std::to_string(2 + roll(15)) + "," + std::to_string(4 + roll(28)) + "]}";
    }

    void act() {
        if (luck(35)) set_up();
        for (auto* host : hosts_) host_speaks(*host);
        if (luck(8)) client_releases();
        if (luck(4)) client_disturbs();
        if (luck(10)) list_changes();
        if (luck(2)) discovery_disturbs();
        if (luck(2)) host_disturbs(*hosts_[roll(hosts_.size())]);
    }

    void set_up() {
        const char* groups[] = {"free", "marked", "once"};
        const std::uint64_t id = luck(5) && next_id_ > 3 ? next_id_ - roll(3) - 1 : next_id_++;
        std::string more = luck(10) ? ";again:1" : "";
        if (luck(4)) more += ";at:h" + std::to_string(roll(hosts_.size() + 1));
        if (luck(20)) more += ";life:" + std::to_string(500 + roll(5000));
        if (luck(2)) more += ";bad";
        auto& client = *clients_[roll(clients_.size())];
        client.send_bytes(place_task_bytes(id, groups[roll(3)], static_cast<int>(200 + roll(4000)), more));
    }

    // Answers some of what a host has read, ends some of what runs there, and sends notes on it.
    void host_speaks(PlatformRig::FakeWorker& host) {
        for (auto& line : host.connections) {
            if (line->closed || !line->stream) continue;
            std::size_t& read = read_[line.get()];
            for (; read < line->received.size(); ++read) host_hears(host, *line, line->received[read]);
        }
        auto& running = running_[host.name];
        for (std::size_t i = 0; i < running.size();) {
            if (!luck(4)) {
                if (luck(5)) note(*host.connections.back(), running[i]);
                ++i;
                continue;
            }
            const platform_codec::Cause causes[] = {platform_codec::Cause::ok, platform_codec::Cause::ok,
                                                    platform_codec::Cause::reset,
                                                    platform_codec::Cause::error};
            host.last_connection().release(running[i], causes[roll(4)], luck(20) ? "evicted" : "");
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    void host_hears(PlatformRig::FakeWorker& host, TestClient& line,
                    const TestClient::ReceivedMessage& message) {
        if (message.type == MessageType::health_check) {
            Message reply;
            reply.type = MessageType::health_check_reply;
            reply.task = message.task;
            reply.cause =
                luck(90) ? platform_codec::Cause::check_passed : platform_codec::Cause::check_failed;
            const std::string report = "x0:" + std::to_string(roll(16)) + ";x1:" + std::to_string(roll(32)) +
                                       ";busy:0." + std::to_string(roll(10));
            if (luck(80)) reply.load_report = report;
            line.send(reply);
            return;
        }
        if (message.type != MessageType::place_task || luck(4)) return;
        const std::size_t kind = roll(20);
        if (kind == 0) return line.release(message.task, platform_codec::Cause::full, "no_cores");
        if (kind == 1) return line.release(message.task, platform_codec::Cause::full, "queue_full");
        if (kind == 2) return line.release(message.task, platform_codec::Cause::error);
        if (kind == 3) return line.release(message.task, platform_codec::Cause::full, "not_here");
        if (kind == 4) return line.release(message.task, platform_codec::Cause::reset, "sent_away");
        if (kind == 5) return note(line, message.task);
        if (kind == 6) return answer_and_end(line, message.task);
        if (kind == 7 && luck(20)) return line.answer(message.task, "");
        line.answer(message.task);
        running_[host.name].push_back(message.task);
    }

    // It has run to its end before its answer was written: both in one message.
    void answer_and_end(TestClient& line, std::uint64_t task) {
        Message m;
        m.type = MessageType::release;
        m.task = task;
        m.cause = platform_codec::Cause::ok;
        m.description = "ran";
        line.send(m);
    }

    void note(TestClient& line, std::uint64_t task) {
        const char* kinds[] = {"runs", "cores", "memory", "served", "pressure"};
        const std::string figure = "0." + std::to_string(1 + roll(9));
        Message m;
        m.type = MessageType::note;
        m.task = task;
        m.detail = kinds[roll(5)];
        if (luck(95)) m.metric_value = figure;
        line.send(m);
    }

    void client_releases() {
        auto& client = *clients_[roll(clients_.size())];
        if (luck(60))
            client.release(next_id_ - std::min<std::uint64_t>(next_id_, roll(12)), platform_codec::Cause::ok);
        Message m;
        m.type = luck(50) ? MessageType::health_check : MessageType::release_ack;
        m.task = roll(next_id_);
        m.cause = platform_codec::Cause::check_failed;
        client.send(m);
    }

    void client_disturbs() {
        const std::size_t i = roll(clients_.size());
        auto& client = *clients_[i];
        if (client.stream && luck(30)) client.send_bytes(std::string("\x00\x40\x01half", 7));
        else if (client.stream && luck(30)) client.send_bytes("\xff\xff no message");
        else if (client.stream && luck(40)) client.stream->shutdown_write();
        else if (client.stream) client.stream->abort();
        clients_[i] = &rig_.connect_client(static_cast<int>(i) + 1);
    }

    void list_changes() {
        const std::size_t i = roll(hosts_.size());
        const char* states[] = {"active", "active", "active", "leaving", "left"};
        states_[i] = states[roll(5)];
        std::vector<std::string> entries{entry(i)};
        const bool whole = luck(10);
        if (whole)
            for (std::size_t k = 0; k < hosts_.size(); ++k)
                if (k != i && luck(90)) entries.push_back(entry(k));
        rig_.publish(entries, whole);
    }

    void discovery_disturbs() {
        if (rig_.watches.empty() || !rig_.watches.back()->stream) return;
        if (luck(50)) rig_.publish_bytes("data: no event\n\n");
        else if (luck(50)) rig_.watches.back()->stream->abort();
        else rig_.comments = !rig_.comments;
    }

    void host_disturbs(PlatformRig::FakeWorker& host) {
        if (host.connections.empty()) return;
        TestClient& line = *host.connections[roll(host.connections.size())];
        if (!line.stream || line.closed) return;
        const std::size_t kind = roll(5);
        if (kind == 0) line.send_bytes("\xff\xff no message");
        else if (kind == 1) line.stream->abort();
        else if (kind == 2) rig_.world.stall(*host.process);
        else if (kind == 3)
            rig_.world.slow(host.process->host(), static_cast<Nanos>(roll(200)) * kMillisecond);
        else rig_.world.cut_host(host.process->host(), luck(50), luck(50));
        if (kind != 2) rig_.world.resume(*host.process);
    }

    const int host_count_;
    std::ranlux24_base chance_;
    PlatformRig rig_;
    RandomPlanner random_planner_;
    std::vector<PlatformRig::FakeWorker*> hosts_;
    std::vector<TestClient*> clients_;
    std::vector<std::string> states_;
    std::map<const TestClient*, std::size_t> read_;
    std::map<std::string, std::vector<std::uint64_t>> running_;
    std::uint64_t next_id_ = 1;
    std::uint64_t digest_ = 14695981039346656037u;
};

}  // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        std::fprintf(stderr, "usage: whinpost_platform_sessions FIRST_SEED COUNT\n");
        return 2;
    }
    const unsigned long first = std::strtoul(argv[1], nullptr, 10);
    const unsigned long count = std::strtoul(argv[2], nullptr, 10);
    for (unsigned long seed = first; seed < first + count; ++seed) {
        const std::uint64_t digest = Session(seed).digest();
        std::printf("session %lu digest %016llx\n", seed, static_cast<unsigned long long>(digest));
    }
    return 0;
}
