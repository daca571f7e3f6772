// Compares the emulated worker with closed formulas of queueing theory, and tests its faults. Attempts arrive
// over a simulated connection, as a Poisson process where a formula assumes it.
#include "emulator/emulated_worker.h"

#include <catch2/catch.hpp>
#include <cmath>

#include "support/server_rig.h"

using namespace whinpost;

namespace {

struct WorkerFixture {
    explicit WorkerFixture(emulator::EmulatedWorkerSettings settings, std::uint64_t seed = 1,
                           int priorities = 1)
        : network(seed), worker_process(network.add_process("node")),
          client_process(network.add_process("client")),
          fleet(worker_process, event_log, groups(priorities), seed),
          random(static_cast<unsigned>(seed) + 77) {
        worker = std::make_unique<emulator::EmulatedWorker>(
            fleet, worker_process, emulator::WorkerIdentity{"n", 0, 0, 1}, settings, 0);
        REQUIRE(worker->listen("node:1"));
        peer.stream = client_process.dial("node:1", peer);
        run(10 * kMillisecond);
        v1::ToWorker message;
        fill_hello(*message.mutable_hello(), "p", 1);
        peer.send(message);
        run(10 * kMillisecond);
    }
    static std::vector<emulator::NamedQueueGroup> groups(int count) {
        std::vector<emulator::NamedQueueGroup> result;
        for (int i = 0; i < count; ++i) {
            QueueGroup group;
            group.priority = i;
            result.push_back({"g" + std::to_string(i), group});
        }
        return result;
    }
    void run(Nanos duration) { network.run_until(network.now() + duration); }
    double draw_exponential(double mean) {
        return -mean * std::log((static_cast<double>(random() % 1'048'576) + 1) / 1'048'577);
    }
    std::uint64_t send_attempt(double runtime_s, double cores = 1, int group = 0) {
        v1::ToWorker message;
        v1::StartAttempt& attempt = *message.mutable_start_attempt();
        attempt.set_attempt(++last_attempt);
        attempt.set_task("c" + std::to_string(last_attempt));
        attempt.set_service("s");
        attempt.set_queue_group(static_cast<std::uint32_t>(group));
        attempt.set_cores(cores);
        attempt.set_memory(0.001);
        attempt.set_expected_runtime(std::max<Nanos>(1, static_cast<Nanos>(runtime_s * 1e9)));
        attempt.set_request(last_attempt);
        peer.send(message);
        return last_attempt;
    }
    // Sends `count` attempts as a Poisson process; runtimes are exponentially distributed with mean
    // `runtime_s`.
    void send_attempts(int count, double per_second, double runtime_s) {
        for (int i = 0; i < count; ++i) {
            run(std::max<Nanos>(1, static_cast<Nanos>(draw_exponential(1 / per_second) * 1e9)));
            send_attempt(draw_exponential(runtime_s));
        }
        run(60 * kSecond);
    }
    // Seconds from event `first` to event `second` of the same attempt, for all attempts that have both.
    std::vector<double> seconds_between(emulator::EventKind first, emulator::EventKind second) const {
        std::vector<Nanos> first_at(last_attempt + 1, 0);
        std::vector<double> seconds;
        for (const emulator::RecordedEvent& event : event_log.events()) {
            if (event.attempt == 0 || event.attempt > last_attempt) continue;
            if (event.kind == first) first_at[event.attempt] = event.at;
            if (event.kind == second && first_at[event.attempt])
                seconds.push_back(static_cast<double>(event.at - first_at[event.attempt]) / 1e9);
        }
        return seconds;
    }
    std::size_t count(emulator::EventKind kind) const {
        return static_cast<std::size_t>(
            std::count_if(event_log.events().begin(), event_log.events().end(),
                          [kind](const emulator::RecordedEvent& event) { return event.kind == kind; }));
    }

    simulation::SimulatedNetwork network;
    simulation::SimulatedProcess &worker_process, &client_process;
    emulator::EventLog event_log;
    emulator::EmulatedFleet fleet;
    std::unique_ptr<emulator::EmulatedWorker> worker;
    TestPeer<v1::FromWorker, v1::ToWorker> peer;
    std::ranlux24_base random;
    std::uint64_t last_attempt = 0;
};

// Mean and half width of its 95% confidence interval, from the means of 25 batches, because successive values
// are correlated.
struct Estimate {
    double mean = 0, half_width = 0;
};
Estimate estimate_mean(const std::vector<double>& values) {
    constexpr std::size_t kBatches = 25;
    const std::size_t batch_size = values.size() / kBatches;
    std::vector<double> means;
    for (std::size_t batch = 0; batch < kBatches; ++batch) {
        double sum = 0;
        for (std::size_t i = 0; i < batch_size; ++i) sum += values[batch * batch_size + i];
        means.push_back(sum / static_cast<double>(batch_size));
    }
    Estimate estimate;
    for (const double batch_mean : means) estimate.mean += batch_mean / kBatches;
    double variance = 0;
    for (const double batch_mean : means)
        variance += (batch_mean - estimate.mean) * (batch_mean - estimate.mean) / (kBatches - 1);
    estimate.half_width = 2.064 * std::sqrt(variance / kBatches);  // Student's t, 24 degrees of freedom
    return estimate;
}

double erlang_b(int servers, double load) {
    double b = 1;
    for (int k = 1; k <= servers; ++k) b = load * b / (k + load * b);
    return b;
}

emulator::EmulatedWorkerSettings ample_settings() {
    emulator::EmulatedWorkerSettings settings;
    settings.cores = 1e6;
    settings.memory = 1e6;
    settings.queue_limit = 1'000'000;
    settings.concurrent_starts = 100'000;
    settings.start_time = kMillisecond;
    settings.missing_image_factor = 1;
    settings.usage_interval = 3600 * kSecond;
    return settings;
}

}  // namespace

TEST_CASE("the admission queue behaves as M/D/1: one server, constant service time") {
    emulator::EmulatedWorkerSettings settings = ample_settings();
    settings.admission_time = 200 * kMillisecond;
    WorkerFixture fixture(settings);
    fixture.send_attempts(60'000, 3.5, 0.001);
    const Estimate estimate = estimate_mean(fixture.seconds_between(emulator::EventKind::attempt_received,
                                                                    emulator::EventKind::attempt_accepted));
    const double rho = 0.7, wait = rho * 0.2 / (2 * (1 - rho));
    INFO("mean " << estimate.mean << " s, 95% confidence interval +-" << estimate.half_width << "; expected "
                 << wait + 0.2);
    CHECK(std::abs(estimate.mean - 0.2 - wait) < 0.03 * wait + estimate.half_width);
    CHECK(estimate.half_width < 0.03 * (wait + 0.2));
    CHECK(std::abs(estimate.mean - 0.2 - wait) < 0.05 * wait);
}

TEST_CASE("task starts behave as M/M/c: limited concurrency, exponential start time") {
    emulator::EmulatedWorkerSettings settings = ample_settings();
    settings.admission_time = 0;
    settings.concurrent_starts = 3;
    settings.start_time = 600 * kMillisecond;
    settings.random_start_time = true;
    WorkerFixture fixture(settings, 2);
    fixture.send_attempts(150'000, 3.5, 0.001);
    const Estimate estimate = estimate_mean(
        fixture.seconds_between(emulator::EventKind::attempt_accepted, emulator::EventKind::task_started));
    const double load = 2.1, rho = load / 3, b = erlang_b(3, load);
    const double c = b / (1 - rho * (1 - b)), expected = c / (3 / 0.6 - 3.5) + 0.6;
    INFO("mean " << estimate.mean << " s, 95% confidence interval +-" << estimate.half_width
                 << "; expected by Erlang C " << expected);
    CHECK(std::abs(estimate.mean - expected) < 0.03 * expected);
    CHECK(estimate.half_width < 0.03 * expected);
}

TEST_CASE("the share of attempts that a full worker rejects follows Erlang's loss formula") {
    emulator::EmulatedWorkerSettings settings = ample_settings();
    settings.admission_time = 0;
    settings.cores = 8;
    settings.cores_overcommit = 1;
    WorkerFixture fixture(settings, 3);
    fixture.send_attempts(60'000, 3, 2);
    const double loss = static_cast<double>(fixture.count(emulator::EventKind::attempt_rejected)) / 60'000;
    const double formula = erlang_b(8, 6);
    INFO("rejected share " << loss << ", expected " << formula);
    CHECK(std::abs(loss - formula) < 0.03 * formula);
}

TEST_CASE("a worker that is paused, blocked in one direction, or limited in rate") {
    emulator::EmulatedWorkerSettings settings = ample_settings();
    settings.admission_time = kMillisecond;
    WorkerFixture fixture(settings, 4, 2);
    emulator::ActiveFaults faults;
    const auto accepted = [&fixture] { return fixture.peer.count(&v1::FromWorker::has_accepted); };
    SECTION("paused: nothing happens until the pause ends; then the attempt is accepted and started") {
        faults.paused = true;
        fixture.worker->set_faults(faults);
        fixture.send_attempt(5);
        fixture.run(2 * kSecond);
        CHECK(fixture.count(emulator::EventKind::attempt_received) == 0);
        fixture.worker->set_faults({});
        fixture.run(kSecond);
        CHECK(accepted() == 1);
        CHECK(fixture.count(emulator::EventKind::task_started) == 1);
    }
    SECTION("output blocked: the task starts, and the answer is delivered after the fault") {
        faults.output_blocked = true;
        fixture.worker->set_faults(faults);
        fixture.send_attempt(5);
        fixture.run(2 * kSecond);
        CHECK(fixture.count(emulator::EventKind::task_started) == 1);
        CHECK(accepted() == 0);
        fixture.worker->set_faults({});
        fixture.run(kSecond);
        CHECK(accepted() == 1);
    }
    SECTION("input blocked: attempts are read after the fault, and answers are still sent") {
        fixture.send_attempt(1);
        fixture.run(100 * kMillisecond);
        faults.input_blocked = true;
        fixture.worker->set_faults(faults);
        fixture.send_attempt(1);
        fixture.run(3 * kSecond);
        CHECK(fixture.count(emulator::EventKind::attempt_received) == 1);
        CHECK(fixture.peer.count(&v1::FromWorker::has_ended) == 1);
        fixture.worker->set_faults({});
        fixture.run(kSecond);
        CHECK(fixture.count(emulator::EventKind::attempt_received) == 2);
    }
    SECTION("limited rate: one queue group is rejected above its rate, although resources are free") {
        faults.limited_group = 1;
        faults.accepted_per_second = 2;
        fixture.worker->set_faults(faults);
        for (int i = 0; i < 6; ++i) fixture.send_attempt(5, 1, i % 2);
        fixture.run(200 * kMillisecond);
        CHECK(accepted() == 5);
        CHECK(fixture.count(emulator::EventKind::attempt_rejected) == 1);
        fixture.run(kSecond);
        fixture.send_attempt(5, 1, 1);
        fixture.run(200 * kMillisecond);
        CHECK(accepted() == 6);
    }
}

TEST_CASE("the service share falls when tasks or another program use more cores, and recovers") {
    emulator::EmulatedWorkerSettings settings = ample_settings();
    settings.cores = 10;
    settings.cores_overcommit = 10;
    WorkerFixture fixture(settings, 5);
    for (int i = 0; i < 8; ++i) fixture.send_attempt(100);
    fixture.run(kSecond);
    const auto share = [&fixture] {
        std::vector<double> running(1), served(1);
        fixture.worker->add_service(running, served);
        REQUIRE(running[0] == 8);
        return served[0] / running[0];
    };
    CHECK(share() == 1);
    fixture.fleet.set_use_factor(0, 2.5);
    fixture.worker->set_faults({});
    const double share_with_increased_use = share();
    CHECK(share_with_increased_use < 1);
    emulator::ActiveFaults faults;
    faults.other_cores = 5;
    fixture.worker->set_faults(faults);
    CHECK(share() < share_with_increased_use);
    fixture.fleet.set_use_factor(0, 1);
    fixture.worker->set_faults({});
    CHECK(share() == 1);
}

TEST_CASE("an attempt that is read or admitted after its not_after is rejected and never starts") {
    emulator::EmulatedWorkerSettings settings = ample_settings();
    settings.admission_time = 100 * kMillisecond;
    WorkerFixture fixture(settings, 6);
    v1::ToWorker message;
    v1::StartAttempt& attempt = *message.mutable_start_attempt();
    attempt.set_task("c");
    attempt.set_service("s");
    attempt.set_cores(1);
    const Nanos clock = fixture.worker->clock();
    attempt.set_attempt(1);
    attempt.set_not_after(clock - 1);  // has passed before it is read
    fixture.peer.send(message);
    attempt.set_attempt(2);
    attempt.set_not_after(clock + 50 * kMillisecond);  // passes before it is admitted
    fixture.peer.send(message);
    attempt.set_attempt(3);
    attempt.set_not_after(clock + kSecond);
    fixture.peer.send(message);
    fixture.run(kSecond);
    CHECK(fixture.count(emulator::EventKind::attempt_rejected) == 2);
    CHECK(fixture.count(emulator::EventKind::task_started) == 1);
}
