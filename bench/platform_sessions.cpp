// Runs random sessions with the platform's server in virtual time and prints a digest of each: of all bytes
// delivered, and of the server's numbers of tasks and connections after each step. bench/same_behaviour.sh
// compares the output of two builds.
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
constexpr int kFewWorkers = 10, kManyWorkers = 30;
constexpr int kClients = 5;
constexpr std::size_t kFewDescriptors = 40, kManyDescriptors = 256;

std::uint64_t combine(std::uint64_t digest, std::uint64_t value) {
    return (digest ^ value) * 1099511628211u + 0x9e3779b97f4a7c15u;
}

// Makes random planner decisions, for submitted tasks and, before the first one, for an unknown task.
class RandomPlanner final : public QuietPlanner {
public:
    RandomPlanner(platform::PlatformServer& server, std::size_t workers, std::uint64_t seed)
        : server_(server), workers_(workers), random_(static_cast<std::ranlux24_base::result_type>(seed)) {}
    void run_round(Nanos now) override {
        for (int i = 0; i < 3; ++i)
            decide_something(submitted.empty() ? 1 : submitted[roll(submitted.size())]);
        server_.wake_at(now + static_cast<Nanos>(5 + roll(60)) * kMillisecond);
    }

private:
    std::size_t roll(std::size_t bound) { return random_() % bound; }
    void decide_something(planner::TaskNumber task) {
        const std::size_t what = roll(40);
        const auto worker = static_cast<planner::WorkerNumber>(roll(workers_));
        if (what == 0) server_.reject(task, static_cast<Nanos>(roll(500)) * kMillisecond);
        else if (what == 1) server_.fail(task);
        else if (what == 2) server_.migrate(task);
        else if (what == 3) server_.cancel_attempt(task, 0);
        else if (what < 8) server_.check_health(worker);
        else if (what < 30) server_.place(task, worker, static_cast<Nanos>(50 + roll(3000)) * kMillisecond);
    }
    platform::PlatformServer& server_;
    const std::size_t workers_;
    std::ranlux24_base random_;
};

class Session {
public:
    explicit Session(std::uint64_t seed)
        : worker_count_(seed % 3 == 0 ? kManyWorkers : kFewWorkers),
          random_(static_cast<std::ranlux24_base::result_type>(seed)),
          rig_(seed % 3 == 0 ? kFewDescriptors : kManyDescriptors),
          random_planner_(rig_.server, static_cast<std::size_t>(worker_count_), seed) {
        if (seed % 5 == 0) rig_.server.set_planner(random_planner_);
    }

    std::uint64_t digest() {
        rig_.start();
        std::vector<std::string> entries;
        for (int i = 0; i < worker_count_; ++i) {
            workers_.push_back(&rig_.add_worker("h" + std::to_string(i)));
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
    std::size_t roll(std::size_t bound) { return random_() % bound; }
    bool chance(std::size_t percent) { return roll(100) < percent; }

    std::string entry(std::size_t i) {
        const auto& worker = *workers_[i];
        const std::string born = chance(30) ? std::to_string(rig_.world.now() / kMillisecond) : "0";
        return R"({"host":")" + worker.name + R"(","dial":")" + worker.address + R"(","site":")" +
               (i % 2 ? "a" : "b") + R"(","class":"std","block":)" + std::to_string(i / 3) +
               R"(,"health":")" + states_[i] + R"(","share":1,"born_ms":)" + born + R"(,"free":[)" +
               std::to_string(2 + roll(15)) + "," + std::to_string(4 + roll(28)) + "]}";
    }

    void act() {
        if (chance(35)) place_task();
        for (auto* worker : workers_) worker_sends(*worker);
        if (chance(8)) send_client_message();
        if (chance(4)) disturb_client();
        if (chance(10)) change_endpoints();
        if (chance(2)) disturb_discovery();
        if (chance(2)) disturb_worker(*workers_[roll(workers_.size())]);
    }

    void place_task() {
        const char* groups[] = {"free", "marked", "once"};
        const std::uint64_t id = chance(5) && next_id_ > 3 ? next_id_ - roll(3) - 1 : next_id_++;
        std::string more = chance(10) ? ";again:1" : "";
        if (chance(4)) more += ";at:h" + std::to_string(roll(workers_.size() + 1));
        if (chance(20)) more += ";life:" + std::to_string(500 + roll(5000));
        if (chance(2)) more += ";bad";
        auto& client = *clients_[roll(clients_.size())];
        client.send_bytes(place_task_bytes(id, groups[roll(3)], static_cast<int>(200 + roll(4000)), more));
    }

    // Replies to the messages that a worker has received, ends some of its tasks, and sends notes on others.
    void worker_sends(PlatformRig::FakeWorker& worker) {
        for (auto& connection : worker.connections) {
            if (connection->closed || !connection->stream) continue;
            std::size_t& read = read_[connection.get()];
            for (; read < connection->received.size(); ++read)
                worker_receives(worker, *connection, connection->received[read]);
        }
        auto& running = running_[worker.name];
        for (std::size_t i = 0; i < running.size();) {
            if (!chance(4)) {
                if (chance(5)) send_note(*worker.connections.back(), running[i]);
                ++i;
                continue;
            }
            const platform_codec::Cause causes[] = {platform_codec::Cause::ok, platform_codec::Cause::ok,
                                                    platform_codec::Cause::reset,
                                                    platform_codec::Cause::error};
            worker.last_connection().release(running[i], causes[roll(4)], chance(20) ? "evicted" : "");
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    void worker_receives(PlatformRig::FakeWorker& worker, TestClient& connection,
                         const TestClient::ReceivedMessage& message) {
        if (message.type == MessageType::health_check) {
            Message reply;
            reply.type = MessageType::health_check_reply;
            reply.task = message.task;
            reply.cause =
                chance(90) ? platform_codec::Cause::check_passed : platform_codec::Cause::check_failed;
            const std::string report = "x0:" + std::to_string(roll(16)) + ";x1:" + std::to_string(roll(32)) +
                                       ";busy:0." + std::to_string(roll(10));
            if (chance(80)) reply.load_report = report;
            connection.send(reply);
            return;
        }
        if (message.type != MessageType::place_task || chance(4)) return;
        const std::size_t action = roll(20);
        if (action == 0) return connection.release(message.task, platform_codec::Cause::full, "no_cores");
        if (action == 1) return connection.release(message.task, platform_codec::Cause::full, "queue_full");
        if (action == 2) return connection.release(message.task, platform_codec::Cause::error);
        if (action == 3) return connection.release(message.task, platform_codec::Cause::full, "not_here");
        if (action == 4) return connection.release(message.task, platform_codec::Cause::reset, "sent_away");
        if (action == 5) return send_note(connection, message.task);
        if (action == 6) return send_answer_and_end(connection, message.task);
        if (action == 7 && chance(20)) return connection.answer(message.task, "");
        connection.answer(message.task);
        running_[worker.name].push_back(message.task);
    }

    // The task has ended before its answer was sent: one release message carries both.
    void send_answer_and_end(TestClient& connection, std::uint64_t task) {
        Message message;
        message.type = MessageType::release;
        message.task = task;
        message.cause = platform_codec::Cause::ok;
        message.description = "ran";
        connection.send(message);
    }

    void send_note(TestClient& connection, std::uint64_t task) {
        const char* metrics[] = {"runs", "cores", "memory", "served", "pressure"};
        const std::string figure = "0." + std::to_string(1 + roll(9));
        Message message;
        message.type = MessageType::note;
        message.task = task;
        message.detail = metrics[roll(5)];
        if (chance(95)) message.metric_value = figure;
        connection.send(message);
    }

    void send_client_message() {
        auto& client = *clients_[roll(clients_.size())];
        if (chance(60))
            client.release(next_id_ - std::min<std::uint64_t>(next_id_, roll(12)), platform_codec::Cause::ok);
        Message message;
        message.type = chance(50) ? MessageType::health_check : MessageType::release_ack;
        message.task = roll(next_id_);
        message.cause = platform_codec::Cause::check_failed;
        client.send(message);
    }

    void disturb_client() {
        const std::size_t i = roll(clients_.size());
        auto& client = *clients_[i];
        if (client.stream && chance(30)) client.send_bytes(std::string("\x00\x40\x01half", 7));
        else if (client.stream && chance(30)) client.send_bytes("\xff\xff no message");
        else if (client.stream && chance(40)) client.stream->shutdown_write();
        else if (client.stream) client.stream->abort();
        clients_[i] = &rig_.connect_client(static_cast<int>(i) + 1);
    }

    void change_endpoints() {
        const std::size_t i = roll(workers_.size());
        const char* states[] = {"active", "active", "active", "leaving", "left"};
        states_[i] = states[roll(5)];
        std::vector<std::string> entries{entry(i)};
        const bool snapshot = chance(10);
        if (snapshot)
            for (std::size_t k = 0; k < workers_.size(); ++k)
                if (k != i && chance(90)) entries.push_back(entry(k));
        rig_.publish(entries, snapshot);
    }

    void disturb_discovery() {
        if (rig_.watches.empty() || !rig_.watches.back()->stream) return;
        if (chance(50)) rig_.publish_bytes("data: no event\n\n");
        else if (chance(50)) rig_.watches.back()->stream->abort();
        else rig_.comments = !rig_.comments;
    }

    void disturb_worker(PlatformRig::FakeWorker& worker) {
        if (worker.connections.empty()) return;
        TestClient& connection = *worker.connections[roll(worker.connections.size())];
        if (!connection.stream || connection.closed) return;
        const std::size_t action = roll(5);
        if (action == 0) connection.send_bytes("\xff\xff no message");
        else if (action == 1) connection.stream->abort();
        else if (action == 2) rig_.world.stall(*worker.process);
        else if (action == 3)
            rig_.world.set_added_delay(worker.process->host(), static_cast<Nanos>(roll(200)) * kMillisecond);
        else rig_.world.cut_host(worker.process->host(), chance(50), chance(50));
        if (action != 2) rig_.world.resume(*worker.process);
    }

    const int worker_count_;
    std::ranlux24_base random_;
    PlatformRig rig_;
    RandomPlanner random_planner_;
    std::vector<PlatformRig::FakeWorker*> workers_;
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
