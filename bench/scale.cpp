#include "scale.h"

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <utility>

#include "ledger/ledger.h"
#include "planner/local_planner.h"
#include "whinpost/stable_hash.h"

namespace whinpost::bench {
namespace {

using Json = nlohmann::json;

constexpr WorkerKind kWorkerSize{16, 32};
constexpr double kTaskCores = 1, kTaskMemory = 1;
constexpr Nanos kQueueTimeout = 4 * kSecond, kTaskLife = 2 * kSecond;
constexpr Nanos kStep = 20 * kMillisecond;  // between two moments of the hollow world
constexpr double kMostMemory = 12e9;        // bytes: half of the machine that the users name
constexpr double kBytesPerWorkerGuess = 8'000;

double processor_seconds() {
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

// In use on the heap: what the process holds of earlier runs does not count.
double heap_bytes() {
    const struct mallinfo2 heap = mallinfo2();
    return static_cast<double>(heap.uordblks + heap.hblkhd);
}

std::vector<QueueGroup> queue_groups(int count) {
    std::vector<QueueGroup> out(static_cast<std::size_t>(count));
    for (QueueGroup& g : out) {
        g.start_objective = 800 * kMillisecond;
        g.start_value_s = 10;
        g.full_service_utilization = 0.8;
        g.degradation_range = 0.25;
    }
    return out;
}

// One placer among hollow workers that accept and run whatever they get, and hollow clients.
class HollowWorld final : public planner::PlannerHandler {
public:
    explicit HollowWorld(const ScaleSizes& s)
        : sizes_(s), cold_{0.25, 10 * kSecond, 3, 2 * kSecond, 40, s.placers, 0},
          ledger_(queue_groups(s.queue_groups), {4, true}, cold_),
          planner_(*this, 5, 0, queue_groups(s.queue_groups), {kWorkerSize},
                   WorkerAcceptance{2.5, 1.5, false, false, true, false, true}, cold_, {}, {4, true},
                   Prices{0.02}) {}

    void list_all(bool full) {
        for (int i = 0; i < sizes_.workers; ++i) {
            EndpointState l{i % sizes_.zones,       i / 40, 0, kWorkerSize.cores, kWorkerSize.memory,
                            EndpointPhase::serving, 0};
            if (full) l.free_cores = -1.5 * kWorkerSize.cores;
            listed_.push_back(l);
            nodes_.push_back(&ledger_.add_worker("worker-" + std::to_string(i)));
            tell(i);
        }
        planner_.on_watch_event_done(now_, true);
        planner_.start(now_);
    }
    void recover(int count) {
        for (int i = 0; i < count; ++i) {
            const auto on = static_cast<std::size_t>(i % sizes_.workers);
            const std::uint64_t service = service_of(i);
            const ResourceRequest a = asked(i);
            const ledger::TaskRecord& r = ledger_.adopt_task(now_, "recovered", service, a, *nodes_[on]);
            planner_.adopt(now_, r.number, service, a, static_cast<planner::WorkerNumber>(on));
        }
    }
    // One event that tells these workers as they are in `listed()`, and the round after it.
    void event(const std::vector<int>& workers) {
        timed([&] {
            for (const int i : workers) tell(i);
            planner_.on_watch_event_done(now_, false);
            planner_.run_round(now_);
        });
        carry_out();
    }
    void ask(int count) {
        for (int i = 0; i < count; ++i) {
            const int n = asks_++;
            const std::uint64_t service = service_of(n);
            const ledger::TaskRecord& r = ledger_.create_task(now_, "task", service, asked(n));
            planner_.submit(now_, r.number, service, asked(n));
        }
    }
    void round() {
        timed([&] { planner_.run_round(now_); });
        carry_out();
    }
    // Time goes on; tasks whose life is over end.
    void pass(Nanos by) {
        now_ += by;
        while (!running_.empty() && running_.front().first <= now_) {
            end(running_.front().second, AttemptOutcome::completed);
            running_.pop_front();
        }
    }
    std::vector<EndpointState>& listed() { return listed_; }
    int asks() const { return asks_; }
    int answered() const { return answered_; }
    double longest_s() const { return longest_; }
    void forget_longest() { longest_ = 0; }
    Nanos now() const { return now_; }

    void place(planner::TaskNumber n, planner::WorkerNumber to, Nanos) override { bound_.push_back({n, to}); }
    void reject(planner::TaskNumber n, Nanos) override { answer(n); }
    void fail(planner::TaskNumber n) override { answer(n); }
    void migrate(planner::TaskNumber) override {}
    void cancel_attempt(planner::TaskNumber, int) override {}
    void check_health(planner::WorkerNumber) override {}
    void watch_endpoints() override {}
    void fetch_endpoints() override {}
    void wake_at(Nanos) override {}
    void log(std::string_view) override {}

private:
    std::uint64_t service_of(int n) const {
        return stable_hash("service-" + std::to_string(n % sizes_.services));
    }
    ResourceRequest asked(int n) const {
        ResourceRequest a;
        a.cores = kTaskCores;
        a.memory = kTaskMemory;
        a.queue_group = n % sizes_.queue_groups;
        a.time_left = kQueueTimeout;
        return a;
    }
    void tell(int i) {
        const auto at = static_cast<std::size_t>(i);
        ledger_.on_endpoint(now_, *nodes_[at], listed_[at]);
        planner_.on_endpoint(now_, static_cast<planner::WorkerNumber>(i), nodes_[at]->name_hash, listed_[at]);
    }
    template <class F>
    void timed(F what) {
        const double before = processor_seconds();
        what();
        longest_ = std::max(longest_, processor_seconds() - before);
    }
    void answer(planner::TaskNumber n) {
        ledger::TaskRecord* r = ledger_.find_task(n);
        if (!r) return;
        answered_ += now_ <= r->deadline;
        ledger_.record_answer(now_, *r, ledger_.honest_answer(*r));
        if (r->closed) ledger_.erase_task(*r);
    }
    void carry_out() {
        for (const auto& [n, to] : std::exchange(bound_, {})) {
            ledger::TaskRecord* r = ledger_.find_task(n);
            ledger::Attempt* l =
                r ? ledger_.start_attempt(now_, *r, *nodes_[to], kSecond).value_or(nullptr) : nullptr;
            if (!l) {
                planner_.on_attempt_ended(now_, n, 0, AttemptOutcome::not_sent, OutcomeReason::unspecified,
                                          false, {});
                continue;
            }
            answered_ += now_ <= r->deadline;
            ledger_.on_accepted(now_, *l);
            planner_.on_accepted(now_, n, 0);
            running_.push_back({now_ + kTaskLife, n});
        }
    }
    void end(planner::TaskNumber n, AttemptOutcome how) {
        ledger::TaskRecord* r = ledger_.find_task(n);
        if (r->in_flight) ledger_.on_ended(now_, *r->in_flight, how);
        planner_.on_attempt_ended(now_, n, 0, how, OutcomeReason::unspecified, true, {});
        ledger_.erase_task(*r);
    }

    const ScaleSizes sizes_;
    const SlowStartSettings cold_;
    ledger::Ledger ledger_;
    planner::LocalPlanner planner_;
    Nanos now_ = 1'000'000 * kSecond;
    std::vector<EndpointState> listed_;
    std::vector<ledger::WorkerRecord*> nodes_;
    std::vector<std::pair<planner::TaskNumber, planner::WorkerNumber>> bound_;
    std::deque<std::pair<Nanos, planner::TaskNumber>> running_;
    int asks_ = 0, answered_ = 0;
    double longest_ = 0;
};

// Asks and updates at the stated rates for that long; gives back processor seconds a second.
double run_for(HollowWorld& w, const ScaleSizes& s, Nanos length, std::ranlux24_base& chance) {
    const double before = processor_seconds();
    const Nanos start = w.now();
    double asks = 0, updates = 0;
    while (w.now() < start + length) {
        w.pass(kStep);
        const double step = static_cast<double>(kStep) / 1e9;
        asks += s.asks * step;
        updates += s.updates * step / 3;
        for (; updates >= 1; updates -= 1) {
            std::vector<int> told;
            for (int k = 0; k < 3; ++k) {
                const int i = static_cast<int>(chance() % static_cast<unsigned>(s.workers));
                EndpointState& l = w.listed()[static_cast<std::size_t>(i)];
                l.free_cores += chance() % 2 ? 1e-3 : -1e-3;  // told anew, and nothing is decided by it
                told.push_back(i);
            }
            w.event(told);
        }
        w.ask(static_cast<int>(asks));
        asks -= static_cast<int>(asks);
        w.round();
    }
    return (processor_seconds() - before) / (static_cast<double>(length) / 1e9);
}

// Processor seconds of one call, averaged.
double each(int times, const std::function<void(int)>& call) {
    const double before = processor_seconds();
    for (int i = 0; i < times; ++i) call(i);
    return (processor_seconds() - before) / times;
}

void measure_zone_lost(const ScaleSizes& s, ScaleFigures& f) {
    for (const bool at_once : {false, true}) {
        HollowWorld w(s);
        w.list_all(false);
        std::vector<int> zone;
        for (int i = 0; i < s.workers; i += s.zones) zone.push_back(i);
        for (const int i : zone) w.listed()[static_cast<std::size_t>(i)].phase = EndpointPhase::gone;
        const double before = processor_seconds();
        if (at_once) w.event(zone);
        else
            for (const int i : zone) w.event({i});
        (at_once ? f.zone_lost_once_ms : f.zone_lost_s) =
            (processor_seconds() - before) * (at_once ? 1e3 : 1);
    }
}

}  // namespace

std::string check(const ScaleSizes& s) {
    const std::pair<const char*, int> at_least_one[] = {{"--workers", s.workers},
                                                        {"--placers", s.placers},
                                                        {"--services", s.services},
                                                        {"--zones", s.zones},
                                                        {"--groups", s.queue_groups}};
    for (const auto& [name, value] : at_least_one)
        if (value < 1) return std::string(name) + ": must be one or more";
    const std::pair<const char*, int> not_below_zero[] = {
        {"--asks", s.asks}, {"--running", s.running}, {"--updates", s.updates}};
    for (const auto& [name, value] : not_below_zero)
        if (value < 0) return std::string(name) + ": must not be below zero";
    if (s.workers * kBytesPerWorkerGuess * 3 > kMostMemory)
        return "--workers: would pass half of the machine's memory";
    return {};
}

ScaleFigures measure(const ScaleSizes& s) {
    ScaleFigures f;
    std::ranlux24_base chance(7);
    const double memory_before = heap_bytes();
    HollowWorld w(s);
    const double start = processor_seconds();
    w.list_all(false);
    w.recover(s.running);
    w.round();
    f.ready_s = processor_seconds() - start;
    f.bytes_per_worker = (heap_bytes() - memory_before) / s.workers;
    f.calm_core_share = run_for(w, s, 2 * kSecond, chance);
    f.decision_us = 1e6 * each(200, [&](int) {
                        w.pass(kMillisecond);
                        w.ask(1);
                        w.round();
                    });
    f.update_event_ms = 1e3 * each(50, [&](int i) {
                            w.pass(kMillisecond);
                            w.ask(1);
                            w.event({i % s.workers, (i + 7) % s.workers, (i + 11) % s.workers});
                        });
    w.forget_longest();
    f.state_event_ms = 1e3 * each(20, [&](int i) {
                           const int worker = i / 2 % s.workers;
                           w.listed()[static_cast<std::size_t>(worker)].phase =
                               i % 2 ? EndpointPhase::serving : EndpointPhase::draining;
                           w.pass(kMillisecond);
                           w.event({worker});
                       });
    f.longest_event_ms = 1e3 * w.longest_s();
    measure_zone_lost(s, f);
    HollowWorld full(s);
    full.list_all(true);
    f.no_room_core_share = run_for(full, s, kSecond, chance);
    ScaleSizes none = s;
    none.asks = none.updates = 0;
    const int asked = full.asks();
    run_for(full, none, kQueueTimeout, chance);
    f.no_room_answered = asked ? static_cast<double>(full.answered()) / asked : 1;
    return f;
}

namespace {

struct Column {
    const char* key;
    const char* heading;
    double ScaleFigures::*value;
    const char* format;
};
constexpr Column kColumns[] = {
    {"decision_us", "decision, us", &ScaleFigures::decision_us, "%.0f"},
    {"update_event_ms", "update of room, ms", &ScaleFigures::update_event_ms, "%.2f"},
    {"state_event_ms", "change of state, ms", &ScaleFigures::state_event_ms, "%.2f"},
    {"longest_event_ms", "longest event, ms", &ScaleFigures::longest_event_ms, "%.1f"},
    {"calm_core_share", "calm, share of a core", &ScaleFigures::calm_core_share, "%.4f"},
    {"no_room_core_share", "no room, share of a core", &ScaleFigures::no_room_core_share, "%.3f"},
    {"no_room_answered", "no room, answered in time", &ScaleFigures::no_room_answered, "%.2f"},
    {"zone_lost_s", "zone lost one by one, s", &ScaleFigures::zone_lost_s, "%.3f"},
    {"zone_lost_once_ms", "zone lost at once, ms", &ScaleFigures::zone_lost_once_ms, "%.1f"},
    {"ready_s", "ready, s", &ScaleFigures::ready_s, "%.3f"},
    {"bytes_per_worker", "bytes a worker", &ScaleFigures::bytes_per_worker, "%.0f"}};

struct Size {
    const char* key;
    int ScaleSizes::*value;
};
constexpr Size kSizes[] = {{"workers", &ScaleSizes::workers},   {"placers", &ScaleSizes::placers},
                           {"services", &ScaleSizes::services}, {"groups", &ScaleSizes::queue_groups},
                           {"asks", &ScaleSizes::asks},         {"running", &ScaleSizes::running},
                           {"updates", &ScaleSizes::updates},   {"zones", &ScaleSizes::zones}};

std::string print(const char* format, double value) {
    char out[64];
    std::snprintf(out, sizeof out, format, value);
    return out;
}

std::vector<double> sorted(const ScalePoint& p, double ScaleFigures::*value) {
    std::vector<double> out;
    for (const ScaleFigures& f : p.runs) out.push_back(f.*value);
    std::sort(out.begin(), out.end());
    return out;
}

}  // namespace

std::string to_json(const ScaleRecord& record) {
    Json root{{"commit", record.commit}, {"command", record.command}, {"machine", record.machine}};
    root["hollow"] = "workers, clients, discovery; real: planner, decision module, ledger; one process";
    root["points"] = Json::array();
    for (const ScalePoint& p : record.points) {
        Json point{{"varied", p.varied}, {"runs", Json::array()}};
        for (const Size& s : kSizes) point["sizes"][s.key] = p.sizes.*s.value;
        for (const ScaleFigures& f : p.runs) {
            Json run;
            for (const Column& c : kColumns) run[c.key] = f.*c.value;
            point["runs"].push_back(run);
        }
        root["points"].push_back(point);
    }
    return root.dump(1) + "\n";
}

ScaleRecord read_record(const std::string& path) {
    std::ifstream in(path);
    const Json root = Json::parse(in, nullptr, false);
    if (!in || root.is_discarded()) throw std::runtime_error(path + ": can't be read as JSON");
    ScaleRecord out;
    try {
        out.commit = root.at("commit").get<std::string>();
        out.command = root.at("command").get<std::string>();
        out.machine = root.at("machine").get<std::string>();
        for (const Json& point : root.at("points")) {
            ScalePoint p;
            p.varied = point.at("varied").get<std::string>();
            for (const Size& s : kSizes) p.sizes.*s.value = point.at("sizes").at(s.key).get<int>();
            for (const Json& run : point.at("runs")) {
                ScaleFigures f;
                for (const Column& c : kColumns) f.*c.value = run.at(c.key).get<double>();
                p.runs.push_back(f);
            }
            if (p.runs.empty()) throw std::runtime_error(path + ": points: one without runs");
            out.points.push_back(p);
        }
    } catch (const Json::exception& e) {
        throw std::runtime_error(path + ": " + e.what());
    }
    return out;
}

std::string table(const ScaleRecord& record) {
    std::string out = "| varied |", line = "| --- |";
    for (const Column& c : kColumns) {
        out += std::string(" ") + c.heading + " |";
        line += " --- |";
    }
    out += "\n" + line + "\n";
    for (const ScalePoint& p : record.points) {
        int value = 0;
        for (const Size& s : kSizes)
            if (p.varied == s.key) value = p.sizes.*s.value;
        out += "| " + p.varied + " " + std::to_string(value) + " |";
        for (const Column& c : kColumns) {
            const std::vector<double> v = sorted(p, c.value);
            out += " " + print(c.format, v[v.size() / 2]);
            if (c.value == &ScaleFigures::decision_us)
                out += " (" + print(c.format, v.front()) + " to " + print(c.format, v.back()) + ")";
            out += " |";
        }
        out += "\n";
    }
    return out;
}

}  // namespace whinpost::bench
