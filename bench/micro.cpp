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
std::vector<Nanos> spans() {
    std::ranlux24_base chance(3);
    std::vector<Nanos> out(4096);
    for (Nanos& s : out) s = kMillisecond + static_cast<Nanos>(chance() % 10'000) * kMillisecond;
    return out;
}

void wheel_moves(benchmark::State& state) {
    const auto n = static_cast<std::size_t>(state.range(0));
    const auto span = spans();
    timer_wheel::TimerWheel w(0);
    std::vector<Deadline> all(n);
    for (std::size_t i = 0; i < n; ++i) w.arm(all[i], span[i % 4096]);
    std::size_t i = 0;
    Nanos now = 0;
    for (auto _ : state) {
        now += kMicrosecond;
        w.arm(all[i % n], now + span[i * 7 % 4096]);
        if (++i % 1000 == 0) w.run_timers(now);
    }
}
BENCHMARK(wheel_moves)->Arg(1'000)->Arg(100'000)->Arg(1'000'000);

void multimap_moves(benchmark::State& state) {
    const auto n = static_cast<std::size_t>(state.range(0));
    const auto span = spans();
    std::multimap<Nanos, std::size_t> map;
    std::vector<std::multimap<Nanos, std::size_t>::iterator> all(n);
    for (std::size_t i = 0; i < n; ++i) all[i] = map.emplace(span[i % 4096], i);
    std::size_t i = 0;
    Nanos now = 0;
    for (auto _ : state) {
        now += kMicrosecond;
        map.erase(all[i % n]);
        all[i % n] = map.emplace(now + span[i * 7 % 4096], i % n);
        if (++i % 1000 == 0)
            while (!map.empty() && map.begin()->first <= now) {
                const std::size_t k = map.begin()->second;
                map.erase(map.begin());
                all[k] = map.emplace(now + span[k % 4096], k);
            }
    }
}
BENCHMARK(multimap_moves)->Arg(1'000)->Arg(100'000)->Arg(1'000'000);

void libevent_moves(benchmark::State& state) {
    const auto n = static_cast<std::size_t>(state.range(0));
    const auto span = spans();
    event_base* base = event_base_new();
    std::vector<event*> all(n);
    for (std::size_t i = 0; i < n; ++i) {
        all[i] = event_new(
            base, -1, EV_TIMEOUT, [](evutil_socket_t, short, void*) {}, nullptr);
        const timeval t{span[i % 4096] / kSecond, span[i % 4096] % kSecond / kMicrosecond};
        event_add(all[i], &t);
    }
    std::size_t i = 0;
    for (auto _ : state) {
        const Nanos s = span[i * 7 % 4096];
        const timeval t{s / kSecond, s % kSecond / kMicrosecond};
        event_add(all[i % n], &t);
        if (++i % 1000 == 0) event_base_loop(base, EVLOOP_NONBLOCK);
    }
    for (event* e : all) event_free(e);
    event_base_free(base);
}
BENCHMARK(libevent_moves)->Arg(1'000)->Arg(100'000)->Arg(1'000'000);

// The life of one task in the ledger, with state.range(0) other tasks waiting.
void ledger_course(benchmark::State& state) {
    ledger::Ledger led({QueueGroup{}}, {4, true}, {});
    ledger::WorkerRecord& n = led.add_worker("n");
    led.on_endpoint(0, n, {0, 0, 0, 8, 16, EndpointPhase::serving, 0});
    ResourceRequest a;
    a.time_left = 5 * kSecond;
    for (std::int64_t i = 0; i < state.range(0); ++i) led.create_task(0, "waiting", 1, a);
    for (auto _ : state) {
        ledger::TaskRecord& r = led.create_task(0, "c", 1, a);
        ledger::Attempt& l = **led.start_attempt(0, r, n, kSecond);
        led.on_accepted(0, l);
        led.on_running(0, l);
        led.on_ended(0, l, AttemptOutcome::completed);
        led.erase_task(r);
    }
}
BENCHMARK(ledger_course)->Arg(10)->Arg(10'000)->Arg(200'000);

void launch_message(benchmark::State& state) {
    std::string frame;
    for (auto _ : state) {
        v1::ToWorker m;
        v1::StartAttempt& l = *m.mutable_start_attempt();
        l.set_attempt(123456);
        l.set_task("c123456");
        l.set_service("ingest-12");
        l.set_cores(0.5);
        l.set_memory(1);
        l.set_request(123456);
        frame.clear();
        net::encode_frame(frame, m);
        v1::ToWorker back;
        bool too_long = false;
        net::decode_frames(frame, 1 << 20, too_long, [&back](std::string_view f) {
            return back.ParseFromArray(f.data(), static_cast<int>(f.size()));
        });
        benchmark::DoNotOptimize(back);
    }
}
BENCHMARK(launch_message);

}  // namespace

BENCHMARK_MAIN();
