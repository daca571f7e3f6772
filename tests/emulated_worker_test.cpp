// Compares the emulated worker with closed formulas of queueing theory, and tests its faults. Attempts arrive
// over a simulated connection, as a Poisson process where a formula assumes it.
#include "emulator/emulated_worker.h"

#include <catch2/catch.hpp>
#include <cmath>

#include "support/server_rig.h"

using namespace whinpost;

namespace {

struct Line1 {
    explicit Line1(emulator::EmulatedWorkerSettings terms, std::uint64_t seed = 1, int priorities = 1)
        : world(seed), host(world.process("node")), client(world.process("client")),
          fleet(host, seen, groups(priorities), seed), chance(static_cast<unsigned>(seed) + 77) {
        node = std::make_unique<emulator::EmulatedWorker>(fleet, host, emulator::WorkerIdentity{"n", 0, 0, 1},
                                                          terms, 0);
        REQUIRE(node->listen("node:1"));
        peer.stream = client.dial("node:1", peer);
        run(10 * kMillisecond);
        v1::ToWorker m;
        introduce(*m.mutable_hello(), "p", 1);
        peer.send(m);
        run(10 * kMillisecond);
    }
    static std::vector<emulator::NamedQueueGroup> groups(int n) {
        std::vector<emulator::NamedQueueGroup> all;
        for (int i = 0; i < n; ++i) {
            QueueGroup g;
            g.priority = i;
            all.push_back({"g" + std::to_string(i), g});
        }
        return all;
    }
    void run(Nanos by) { world.run_until(world.now() + by); }
    double drawn(double mean) {
        return -mean * std::log((static_cast<double>(chance() % 1'048'576) + 1) / 1'048'577);
    }
    std::uint64_t launch(double life_s, double cores = 1, int group = 0) {
        v1::ToWorker m;
        v1::StartAttempt& l = *m.mutable_start_attempt();
        l.set_attempt(++sent);
        l.set_task("c" + std::to_string(sent));
        l.set_service("s");
        l.set_queue_group(static_cast<std::uint32_t>(group));
        l.set_cores(cores);
        l.set_memory(0.001);
        l.set_expected_runtime(std::max<Nanos>(1, static_cast<Nanos>(life_s * 1e9)));
        l.set_request(sent);
        peer.send(m);
        return sent;
    }
    // Sends `count` attempts as a Poisson process; runtimes are exponentially distributed with mean `life_s`.
    void stream(int count, double a_second, double life_s) {
        for (int i = 0; i < count; ++i) {
            run(std::max<Nanos>(1, static_cast<Nanos>(drawn(1 / a_second) * 1e9)));
            launch(drawn(life_s));
        }
        run(60 * kSecond);
    }
    // Seconds from event `a` to event `b` of the same attempt, for all attempts that have both.
    std::vector<double> between(emulator::EventKind a, emulator::EventKind b) const {
        std::vector<Nanos> from(sent + 1, 0);
        std::vector<double> out;
        for (const emulator::RecordedEvent& l : seen.events()) {
            if (l.attempt == 0 || l.attempt > sent) continue;
            if (l.kind == a) from[l.attempt] = l.at;
            if (l.kind == b && from[l.attempt])
                out.push_back(static_cast<double>(l.at - from[l.attempt]) / 1e9);
        }
        return out;
    }
    std::size_t count(emulator::EventKind w) const {
        return static_cast<std::size_t>(
            std::count_if(seen.events().begin(), seen.events().end(),
                          [w](const emulator::RecordedEvent& l) { return l.kind == w; }));
    }

    simulation::SimulatedNetwork world;
    simulation::SimulatedProcess &host, &client;
    emulator::EventLog seen;
    emulator::EmulatedFleet fleet;
    std::unique_ptr<emulator::EmulatedWorker> node;
    TestPeer<v1::FromWorker, v1::ToWorker> peer;
    std::ranlux24_base chance;
    std::uint64_t sent = 0;
};

// Mean and half width of its 95% confidence interval, from the means of 25 batches, because successive values
// are correlated.
struct Estimate {
    double mean = 0, half = 0;
};
Estimate batches(const std::vector<double>& x) {
    constexpr std::size_t kBatches = 25;
    const std::size_t each = x.size() / kBatches;
    std::vector<double> means;
    for (std::size_t b = 0; b < kBatches; ++b) {
        double sum = 0;
        for (std::size_t i = 0; i < each; ++i) sum += x[b * each + i];
        means.push_back(sum / static_cast<double>(each));
    }
    Estimate e;
    for (const double m : means) e.mean += m / kBatches;
    double var = 0;
    for (const double m : means) var += (m - e.mean) * (m - e.mean) / (kBatches - 1);
    e.half = 2.064 * std::sqrt(var / kBatches);  // Student's t, 24 degrees of freedom
    return e;
}

double erlang_b(int servers, double load) {
    double b = 1;
    for (int k = 1; k <= servers; ++k) b = load * b / (k + load * b);
    return b;
}

emulator::EmulatedWorkerSettings roomy() {
    emulator::EmulatedWorkerSettings t;
    t.cores = 1e6;
    t.memory = 1e6;
    t.queue_limit = 1'000'000;
    t.concurrent_starts = 100'000;
    t.start_time = kMillisecond;
    t.missing_image_factor = 1;
    t.usage_interval = 3600 * kSecond;
    return t;
}

}  // namespace

TEST_CASE("the admission queue behaves as M/D/1: one server, constant service time") {
    emulator::EmulatedWorkerSettings terms = roomy();
    terms.admission_time = 200 * kMillisecond;
    Line1 t(terms);
    t.stream(60'000, 3.5, 0.001);
    const Estimate e =
        batches(t.between(emulator::EventKind::attempt_received, emulator::EventKind::attempt_accepted));
    const double rho = 0.7, wait = rho * 0.2 / (2 * (1 - rho));
    INFO("mean " << e.mean << " s, 95% within " << e.half << "; by the formula " << wait + 0.2);
    CHECK(std::abs(e.mean - 0.2 - wait) < 0.03 * wait + e.half);
    CHECK(e.half < 0.03 * (wait + 0.2));
    CHECK(std::abs(e.mean - 0.2 - wait) < 0.05 * wait);
}

TEST_CASE("task starts behave as M/M/c: limited concurrency, exponential start time") {
    emulator::EmulatedWorkerSettings terms = roomy();
    terms.admission_time = 0;
    terms.concurrent_starts = 3;
    terms.start_time = 600 * kMillisecond;
    terms.random_start_time = true;
    Line1 t(terms, 2);
    t.stream(150'000, 3.5, 0.001);
    const Estimate e =
        batches(t.between(emulator::EventKind::attempt_accepted, emulator::EventKind::task_started));
    const double load = 2.1, rho = load / 3, b = erlang_b(3, load);
    const double c = b / (1 - rho * (1 - b)), whole = c / (3 / 0.6 - 3.5) + 0.6;
    INFO("mean " << e.mean << " s, 95% within " << e.half << "; by Erlang's C " << whole);
    CHECK(std::abs(e.mean - whole) < 0.03 * whole);
    CHECK(e.half < 0.03 * whole);
}

TEST_CASE("the share of attempts that a full worker rejects follows Erlang's loss formula") {
    emulator::EmulatedWorkerSettings terms = roomy();
    terms.admission_time = 0;
    terms.cores = 8;
    terms.cores_overcommit = 1;
    Line1 t(terms, 3);
    t.stream(60'000, 3, 2);
    const double loss = static_cast<double>(t.count(emulator::EventKind::attempt_rejected)) / 60'000;
    const double formula = erlang_b(8, 6);
    INFO("lost " << loss << ", by the formula " << formula);
    CHECK(std::abs(loss - formula) < 0.03 * formula);
}

TEST_CASE("a worker that is paused, blocked in one direction, or limited in rate") {
    emulator::EmulatedWorkerSettings terms = roomy();
    terms.admission_time = kMillisecond;
    Line1 t(terms, 4, 2);
    emulator::ActiveFaults f;
    const auto answers = [&t] { return t.peer.count(&v1::FromWorker::has_accepted); };
    SECTION("paused: nothing happens until the pause ends; then the attempt is accepted and started") {
        f.paused = true;
        t.node->set_faults(f);
        t.launch(5);
        t.run(2 * kSecond);
        CHECK(t.count(emulator::EventKind::attempt_received) == 0);
        t.node->set_faults({});
        t.run(kSecond);
        CHECK(answers() == 1);
        CHECK(t.count(emulator::EventKind::task_started) == 1);
    }
    SECTION("output blocked: the task starts, and the answer is delivered after the fault") {
        f.output_blocked = true;
        t.node->set_faults(f);
        t.launch(5);
        t.run(2 * kSecond);
        CHECK(t.count(emulator::EventKind::task_started) == 1);
        CHECK(answers() == 0);
        t.node->set_faults({});
        t.run(kSecond);
        CHECK(answers() == 1);
    }
    SECTION("input blocked: attempts are read after the fault, and answers are still sent") {
        t.launch(1);
        t.run(100 * kMillisecond);
        f.input_blocked = true;
        t.node->set_faults(f);
        t.launch(1);
        t.run(3 * kSecond);
        CHECK(t.count(emulator::EventKind::attempt_received) == 1);
        CHECK(t.peer.count(&v1::FromWorker::has_ended) == 1);
        t.node->set_faults({});
        t.run(kSecond);
        CHECK(t.count(emulator::EventKind::attempt_received) == 2);
    }
    SECTION("limited rate: one queue group is rejected above its rate, although resources are free") {
        f.limited_group = 1;
        f.accepted_per_second = 2;
        t.node->set_faults(f);
        for (int i = 0; i < 6; ++i) t.launch(5, 1, i % 2);
        t.run(200 * kMillisecond);
        CHECK(answers() == 5);
        CHECK(t.count(emulator::EventKind::attempt_rejected) == 1);
        t.run(kSecond);
        t.launch(5, 1, 1);
        t.run(200 * kMillisecond);
        CHECK(answers() == 6);
    }
}

TEST_CASE("the service share falls when tasks or another program use more cores, and recovers") {
    emulator::EmulatedWorkerSettings terms = roomy();
    terms.cores = 10;
    terms.cores_overcommit = 10;
    Line1 t(terms, 5);
    for (int i = 0; i < 8; ++i) t.launch(100);
    t.run(kSecond);
    const auto share = [&t] {
        std::vector<double> running(1), served(1);
        t.node->add_service(running, served);
        REQUIRE(running[0] == 8);
        return served[0] / running[0];
    };
    CHECK(share() == 1);
    t.fleet.set_use_factor(0, 2.5);
    t.node->set_faults({});
    const double swollen = share();
    CHECK(swollen < 1);
    emulator::ActiveFaults f;
    f.other_cores = 5;
    t.node->set_faults(f);
    CHECK(share() < swollen);
    t.fleet.set_use_factor(0, 1);
    t.node->set_faults({});
    CHECK(share() == 1);
}

TEST_CASE("an attempt that is read or admitted after its not_after is rejected and never starts") {
    emulator::EmulatedWorkerSettings terms = roomy();
    terms.admission_time = 100 * kMillisecond;
    Line1 t(terms, 6);
    v1::ToWorker m;
    v1::StartAttempt& l = *m.mutable_start_attempt();
    l.set_task("c");
    l.set_service("s");
    l.set_cores(1);
    const Nanos clock = t.node->clock();
    l.set_attempt(1);
    l.set_not_after(clock - 1);  // has passed before it is read
    t.peer.send(m);
    l.set_attempt(2);
    l.set_not_after(clock + 50 * kMillisecond);  // passes before it is admitted
    t.peer.send(m);
    l.set_attempt(3);
    l.set_not_after(clock + kSecond);
    t.peer.send(m);
    t.run(kSecond);
    CHECK(t.count(emulator::EventKind::attempt_rejected) == 2);
    CHECK(t.count(emulator::EventKind::task_started) == 1);
}
