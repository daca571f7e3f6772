// A port that keeps what left the placer, and a small fleet to place on.
#pragma once
#include <string>
#include <vector>

#include "whinpost/placer.h"

namespace whinpost {

struct Seen {
    char what;  // b bind, d defer, k kill, p probe, f follow
    Container* container;
    Machine* machine;
    Nanos time_out;
};

struct Stand : Port {
    explicit Stand(std::vector<QueueGroup> groups = {QueueGroup{}}, ColdTerms cold = usual_cold(),
                   ListTerms list = {}, int launches = 4, Acceptance accepts = {2.5, 1.5}, Prices prices = {})
        : placer(*this, 7, 0, std::move(groups), {{16, 32}, {48, 96}}, accepts, cold, list, {launches, true},
                 prices) {}
    static ColdTerms usual_cold() { return {0.25, 10 * kSecond, 3, 2 * kSecond, 40, 4}; }

    void bind(Container& c, Machine& m, Nanos t) override { seen.push_back({'b', &c, &m, t}); }
    void defer(Container& c, Nanos) override { seen.push_back({'d', &c, nullptr, 0}); }
    void kill(Container& c) override { seen.push_back({'k', &c, nullptr, 0}); }
    void move(Container& c) override { seen.push_back({'m', &c, nullptr, 0}); }
    void stop_waiting(Container& c, int) override { seen.push_back({'s', &c, nullptr, 0}); }
    void probe(Machine& m) override { seen.push_back({'p', nullptr, &m, 0}); }
    void follow_list() override { seen.push_back({'f', nullptr, nullptr, 0}); }
    void fetch_list() override {}
    void wake(Nanos) override {}
    void log(std::string_view) override {}

    Machine& machine(int cell = 0, int zone = 0, Nanos started = 0) {
        Machine& m = placer.meet_machine(machines.size());
        machines.push_back(&m);
        entry(m, {zone, cell, 0, 16, 32, Stage::serving, started});
        return m;
    }
    void entry(Machine& m, Listed listed) {
        placer.list_entry(now, m, listed);
        placer.list_done(now, false);
    }
    Container& take(Service& s, int group = 0, double cores = 1, Nanos time_left = 5 * kSecond) {
        Asked a;
        a.cores = cores;
        a.memory = 1;
        a.group = group;
        a.time_left = time_left;
        return placer.take(now, s, a, ++tags);
    }
    Container& bound(Service& s, int group = 0) {  // taken, and launched at once
        Container& c = take(s, group);
        placer.round(now);
        return c;
    }
    void end(Container& c, Ending how, Reason why = Reason::untold, bool closed = false) {
        c.ended(now, c.launches - 1, how, why, closed, {});
    }
    void pass(Nanos by, Nanos step = 20 * kMillisecond) {
        for (const Nanos until = now + by; now < until;) placer.round(now += step);
    }
    int count(char what) const {
        int n = 0;
        for (const Seen& s : seen) n += s.what == what;
        return n;
    }

    Nanos now = 1000 * kSecond;
    std::uint64_t tags = 0;
    std::vector<Seen> seen;
    std::vector<Machine*> machines;
    Placer placer;
};

inline QueueGroup group(Effect effect, Place dropped_by = Place::all, Nanos window = 3 * kSecond) {
    QueueGroup g;
    g.effect = effect;
    g.repeats_dropped_by = dropped_by;
    g.repeat_window = window;
    return g;
}

}  // namespace whinpost
