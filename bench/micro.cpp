// Micro-benchmarks. The timer wheel is compared with an ordered map of deadlines and with libevent's timers,
// on timers that are rearmed before they expire, like nearly all deadlines of a placer.
#include <benchmark/benchmark.h>
#include <event2/event.h>

#include <map>
#include <memory>
#include <random>
#include <vector>

#include "ledger/ledger.h"
#include "net/stream.h"
#include "proto/worker.pb.h"
#include "timer_wheel/timer_wheel.h"

namespace {

using namespace whinpost;

struct Deadline final : timer_wheel::Timer {
    void on_deadline(Nanos) override { ++fired; }
    int fired = 0;
};

// Durations from 1 ms to 10 s. Each timer benchmark keeps state.range(0) timers armed; a step advances the
// time by 1 us, where the clock is virtual, and rearms one timer with one of these durations.
std::vector<Nanos> random_durations() {
    std::ranlux24_base random(3);
    std::vector<Nanos> durations(4096);
    for (Nanos& duration : durations)
        duration = kMillisecond + static_cast<Nanos>(random() % 10'000) * kMillisecond;
    return durations;
}

void rearm_timer_wheel(benchmark::State& state) {
    const auto count = static_cast<std::size_t>(state.range(0));
    const auto durations = random_durations();
    timer_wheel::TimerWheel wheel(0);
    std::vector<Deadline> all(count);
    for (std::size_t i = 0; i < count; ++i) wheel.arm(all[i], durations[i % 4096]);
    std::size_t i = 0;
    Nanos now = 0;
    for (auto _ : state) {
        now += kMicrosecond;
        wheel.arm(all[i % count], now + durations[i * 7 % 4096]);
        if (++i % 1000 == 0) wheel.run_timers(now);
    }
}
BENCHMARK(rearm_timer_wheel)->Arg(1'000)->Arg(100'000)->Arg(1'000'000);

void rearm_multimap(benchmark::State& state) {
    const auto count = static_cast<std::size_t>(state.range(0));
    const auto durations = random_durations();
    std::multimap<Nanos, std::size_t> map;
    std::vector<std::multimap<Nanos, std::size_t>::iterator> all(count);
    for (std::size_t i = 0; i < count; ++i) all[i] = map.emplace(durations[i % 4096], i);
    std::size_t i = 0;
    Nanos now = 0;
    for (auto _ : state) {
        now += kMicrosecond;
        map.erase(all[i % count]);
        all[i % count] = map.emplace(now + durations[i * 7 % 4096], i % count);
        if (++i % 1000 == 0)
            while (!map.empty() && map.begin()->first <= now) {
                const std::size_t index = map.begin()->second;
                map.erase(map.begin());
                all[index] = map.emplace(now + durations[index % 4096], index);
            }
    }
}
BENCHMARK(rearm_multimap)->Arg(1'000)->Arg(100'000)->Arg(1'000'000);

void rearm_libevent(benchmark::State& state) {
    const auto count = static_cast<std::size_t>(state.range(0));
    const auto durations = random_durations();
    event_base* base = event_base_new();
    std::vector<event*> all(count);
    for (std::size_t i = 0; i < count; ++i) {
        all[i] = event_new(
            base, -1, EV_TIMEOUT, [](evutil_socket_t, short, void*) {}, nullptr);
        const timeval timeout{durations[i % 4096] / kSecond, durations[i % 4096] % kSecond / kMicrosecond};
        event_add(all[i], &timeout);
    }
    std::size_t i = 0;
    for (auto _ : state) {
        const Nanos duration = durations[i * 7 % 4096];
        const timeval timeout{duration / kSecond, duration % kSecond / kMicrosecond};
        event_add(all[i % count], &timeout);
        if (++i % 1000 == 0) event_base_loop(base, EVLOOP_NONBLOCK);
    }
    for (event* timer : all) event_free(timer);
    event_base_free(base);
}
BENCHMARK(rearm_libevent)->Arg(1'000)->Arg(100'000)->Arg(1'000'000);

// The life of one task in the ledger, with state.range(0) other tasks waiting.
void ledger_task_life(benchmark::State& state) {
    ledger::Ledger ledger({QueueGroup{}}, {4, true}, {});
    ledger::WorkerRecord& worker = ledger.add_worker("n");
    ledger.on_endpoint(0, worker, {0, 0, 0, 8, 16, EndpointPhase::serving, 0});
    ResourceRequest request;
    request.time_left = 5 * kSecond;
    for (std::int64_t i = 0; i < state.range(0); ++i) ledger.create_task(0, "waiting", 1, request);
    for (auto _ : state) {
        ledger::TaskRecord& task = ledger.create_task(0, "c", 1, request);
        ledger::Attempt& attempt = **ledger.start_attempt(0, task, worker, kSecond);
        ledger.on_accepted(0, attempt);
        ledger.on_running(0, attempt);
        ledger.on_ended(0, attempt, AttemptOutcome::completed);
        ledger.erase_task(task);
    }
}
BENCHMARK(ledger_task_life)->Arg(10)->Arg(10'000)->Arg(200'000);

void start_attempt_message(benchmark::State& state) {
    std::string frame;
    for (auto _ : state) {
        v1::ToWorker message;
        v1::StartAttempt& attempt = *message.mutable_start_attempt();
        attempt.set_attempt(123456);
        attempt.set_task("c123456");
        attempt.set_service("ingest-12");
        attempt.set_cores(0.5);
        attempt.set_memory(1);
        attempt.set_request(123456);
        frame.clear();
        net::encode_frame(frame, message);
        v1::ToWorker parsed;
        bool too_long = false;
        net::decode_frames(frame, 1 << 20, too_long, [&parsed](std::string_view bytes) {
            return parsed.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
        });
        benchmark::DoNotOptimize(parsed);
    }
}
BENCHMARK(start_attempt_message);

}  // namespace

BENCHMARK_MAIN();
