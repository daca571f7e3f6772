// A port that keeps what left the placer, and a small fleet to place on.
#pragma once
#include <string>
#include <vector>

#include "whinpost/scheduler.h"

namespace whinpost {

struct Seen {
    char what;  // b bind, d defer, k kill, p probe, f follow
    Task* container;
    Worker* machine;
    Nanos time_out;
};

struct Stand : DecisionHandler {
    explicit Stand(std::vector<QueueGroup> groups = {QueueGroup{}}, SlowStartSettings cold = usual_cold(),
                   DiscoverySettings list = {}, int launches = 4, WorkerAcceptance accepts = {2.5, 1.5},
                   Prices prices = {})
        : placer(*this, 7, 0, std::move(groups), {{16, 32}, {48, 96}}, accepts, cold, list, {launches, true},
                 prices) {}
    static SlowStartSettings usual_cold() { return {0.25, 10 * kSecond, 3, 2 * kSecond, 40, 4}; }

    void place(Task& c, Worker& m, Nanos t) override { seen.push_back({'b', &c, &m, t}); }
    void reject(Task& c, Nanos) override { seen.push_back({'d', &c, nullptr, 0}); }
    void fail(Task& c) override { seen.push_back({'k', &c, nullptr, 0}); }
    void migrate(Task& c) override { seen.push_back({'m', &c, nullptr, 0}); }
    void cancel_attempt(Task& c, int) override { seen.push_back({'s', &c, nullptr, 0}); }
    void check_health(Worker& m) override { seen.push_back({'p', nullptr, &m, 0}); }
    void watch_endpoints() override { seen.push_back({'f', nullptr, nullptr, 0}); }
    void fetch_endpoints() override {}
    void wake_at(Nanos) override {}
    void log(std::string_view) override {}

    Worker& machine(int cell = 0, int zone = 0, Nanos started = 0) {
        Worker& m = placer.add_worker(machines.size());
        machines.push_back(&m);
        entry(m, {zone, cell, 0, 16, 32, EndpointPhase::serving, started});
        return m;
    }
    void entry(Worker& m, EndpointState listed) {
        placer.update_endpoint(now, m, listed);
        placer.on_watch_event_done(now, false);
    }
    Task& take(Service& s, int group = 0, double cores = 1, Nanos time_left = 5 * kSecond) {
        ResourceRequest a;
        a.cores = cores;
        a.memory = 1;
        a.queue_group = group;
        a.time_left = time_left;
        return placer.submit(now, s, a, ++tags);
    }
    Task& bound(Service& s, int group = 0) {  // taken, and launched at once
        Task& c = take(s, group);
        placer.run_round(now);
        return c;
    }
    void end(Task& c, AttemptOutcome how, OutcomeReason why = OutcomeReason::unspecified,
             bool closed = false) {
        c.on_attempt_ended(now, c.attempts - 1, how, why, closed, {});
    }
    void pass(Nanos by, Nanos step = 20 * kMillisecond) {
        for (const Nanos until = now + by; now < until;) placer.run_round(now += step);
    }
    int count(char what) const {
        int n = 0;
        for (const Seen& s : seen) n += s.what == what;
        return n;
    }

    Nanos now = 1000 * kSecond;
    std::uint64_t tags = 0;
    std::vector<Seen> seen;
    std::vector<Worker*> machines;
    Scheduler placer;
};

inline QueueGroup group(Effect effect, FailureDomain dropped_by = FailureDomain::all,
                        Nanos window = 3 * kSecond) {
    QueueGroup g;
    g.effect = effect;
    g.deduplicated_by = dropped_by;
    g.deduplication_window = window;
    return g;
}

}  // namespace whinpost
