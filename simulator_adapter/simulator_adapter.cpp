#include "simulator_adapter.h"

#include <array>
#include <charconv>
#include <cmath>
#include <deque>
#include <map>
#include <ostream>
#include <set>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

#include "settings/settings.h"
#include "whinpost/scheduler.h"
#include "whinpost/stable_hash.h"

namespace whinpost::simulator_adapter {
namespace {

struct MalformedMessage : std::runtime_error {
    using std::runtime_error::runtime_error;
};

[[noreturn]] void bad(std::string_view message, std::string_view field, std::string_view what) {
    throw MalformedMessage(std::string(message) + ": " + std::string(field) + " " + std::string(what));
}

// The values of one line, taken in their order.
class Fields {
public:
    explicit Fields(std::string_view line) : rest_(line) { message_ = word(); }
    std::string_view message() const { return message_; }

    std::string_view text(std::string_view field) {
        const std::string_view v = word();
        if (v.empty()) bad(message_, field, "is missing");
        return v;
    }
    std::string_view required(std::string_view field) {
        const std::string_view v = text(field);
        if (v == "-") bad(message_, field, "is absent");
        return v;
    }
    std::int64_t whole(std::string_view field) {
        return number<std::int64_t>(field, required(field), "a whole number");
    }
    std::int64_t whole_or(std::string_view field, std::int64_t absent) {
        const std::string_view v = text(field);
        return v == "-" ? absent : number<std::int64_t>(field, v, "a whole number");
    }
    double real(std::string_view field) { return finite(field, required(field)); }
    double real_or(std::string_view field, double absent) {
        const std::string_view v = text(field);
        return v == "-" ? absent : finite(field, v);
    }
    Nanos micros(std::string_view field) { return to_nanos(field, whole(field)); }
    Nanos micros_or_zero(std::string_view field) { return to_nanos(field, whole_or(field, 0)); }
    int index(std::string_view field, std::size_t count) {
        const std::int64_t v = whole(field);
        if (v < 0 || static_cast<std::size_t>(v) >= count) bad(message_, field, "is out of range");
        return static_cast<int>(v);
    }
    std::string_view remainder() {
        const std::string_view v = rest_;
        rest_ = {};
        return v;
    }
    void end() const {
        if (!rest_.empty()) bad(message_, "line", "has more values than expected");
    }

    template <class T>
    T number(std::string_view field, std::string_view v, std::string_view kind) const {
        T out{};
        const auto [at, error] = std::from_chars(v.data(), v.data() + v.size(), out);
        if (error != std::errc{} || at != v.data() + v.size())
            bad(message_, field, "is not " + std::string(kind));
        return out;
    }

private:
    std::string_view word() {
        const std::size_t end = rest_.find(' ');
        const std::string_view v = rest_.substr(0, end);
        rest_ = end == std::string_view::npos ? std::string_view{} : rest_.substr(end + 1);
        return v;
    }
    double finite(std::string_view field, std::string_view v) const {
        const double d = number<double>(field, v, "a number");
        if (!std::isfinite(d)) bad(message_, field, "is not a finite number");
        return d;
    }
    Nanos to_nanos(std::string_view field, std::int64_t us) const {
        if (us > INT64_MAX / 4000 || us < INT64_MIN / 4000) bad(message_, field, "is out of range");
        return us * kMicrosecond;
    }

    std::string_view rest_, message_;
};

AttemptOutcome ending_of(std::int64_t code) {
    switch (code) {
        case 0:
            return AttemptOutcome::completed;
        case 5:
            return AttemptOutcome::failed;
        case 11:
            return AttemptOutcome::rejected;
        case 110:
            return AttemptOutcome::timed_out;
        case 111:
            return AttemptOutcome::connect_failed;
        case 104:
            return AttemptOutcome::reset;
        case 125:
            return AttemptOutcome::cancelled;
        case 114:
            return AttemptOutcome::not_sent;
        default:
            return AttemptOutcome::unknown;
    }
}

OutcomeReason reason_of(std::int64_t info) {
    return info >= 1 && info <= 7 ? static_cast<OutcomeReason>(info) : OutcomeReason::unspecified;
}

struct Entry {
    std::string host;
    EndpointState listed;
};

}  // namespace

struct SimulatorAdapter::State {
    struct Instance;

    // Writes a placer's decisions as they are made.
    struct Writer : DecisionHandler {
        explicit Writer(Instance& i) : instance(i) {}
        void place(Task& c, Worker& m, Nanos time_out) override;
        void reject(Task& c, Nanos stay_away) override;
        void fail(Task& c) override;
        void migrate(Task& c) override;
        void cancel_attempt(Task& c, int launch) override;
        void check_health(Worker& m) override;
        void watch_endpoints() override { State::write(instance, "FOLLOW 1"); }
        void fetch_endpoints() override { State::write(instance, "SNAPSHOT"); }
        void wake_at(Nanos at) override {
            State::write(instance,
                         "WAKE_AT " + std::to_string((at + kMicrosecond - 1) / kMicrosecond) + " 1");
        }
        void log(std::string_view line) override { State::write(instance, "TRACE " + std::string(line)); }
        Instance& instance;
    };

    struct Instance {
        explicit Instance(int n) : number(n), writer(*this) {}
        int number;
        Writer writer;
        std::unique_ptr<Scheduler> placer;
        std::size_t groups = 0;
        std::unordered_map<std::string, Worker*> machines;
        std::unordered_map<const Worker*, std::string> hosts;
        std::unordered_map<std::string, Service*> services;
        std::unordered_map<std::uint64_t, Task*> containers;
        std::deque<std::pair<Nanos, std::uint64_t>> dropped;  // lately finished: the wire may still name them
        std::set<std::uint64_t> dropped_ids;
        std::size_t zones = 0, kinds = 0;
        std::vector<std::uint64_t> answered;  // in this batch; finished ones are dropped when it ends
        std::string reply;
        bool begun = false;
        bool touched = false;
    };

    explicit State(std::ostream& o) : out(o) {}

    static void write(Instance& i, const std::string& text) { (i.reply += text) += '\n'; }

    Instance& current(std::string_view message) {
        if (!at) bad(message, "placer", "is unknown: no INSTANCE line came before");
        return *at;
    }
    Scheduler& placer(std::string_view message) {
        Instance& i = current(message);
        if (!i.placer) bad(message, "placer", "has not had its INIT");
        if (!i.touched) touched.push_back(&i);
        i.touched = true;
        return *i.placer;
    }
    // Null: finished a short while ago, to be ignored.
    Task* container(Fields& f) {
        placer(f.message());
        const auto id = static_cast<std::uint64_t>(f.whole("txn"));
        const auto it = at->containers.find(id);
        if (it != at->containers.end()) return it->second;
        if (!at->dropped_ids.contains(id)) bad(f.message(), "txn", "was never given to this placer");
        return nullptr;
    }
    void drop_if_finished(Task& c) {
        if (!c.finished()) return;
        const std::uint64_t id = c.tag;
        at->placer->remove(c);
        at->containers.erase(id);
        at->dropped.emplace_back(now, id);
        at->dropped_ids.insert(id);
    }
    Worker& machine(Fields& f) {
        const std::string host(f.required("host"));
        const auto it = at->machines.find(host);
        if (it == at->machines.end()) bad(f.message(), "host", "was in no list of this placer");
        return *it->second;
    }
    Service& service(std::string_view name) {
        Service*& s = at->services[std::string(name)];
        if (!s) s = &at->placer->add_service(stable_hash(name));
        return *s;
    }

    LoadReport report(Fields& f) {
        LoadReport r;
        const std::string_view text = f.text("gauge");
        if (text != "-" && !settings::parse_load_report(text, ',', r))
            bad(f.message(), "gauge", "holds a pair without ':' or a value that is not a number");
        return r;
    }

    void init(Fields& f) {
        Instance& i = current(f.message());
        const std::int64_t seed = f.whole("init_seed");
        settings::Settings p("INIT");
        p.put_pairs(f.remainder());
        auto groups = settings::queue_groups(p);
        auto kinds = settings::worker_kinds(p);
        const WorkerAcceptance accepts = settings::worker_acceptance(p);
        const SlowStartSettings cold = settings::slow_start_settings(p);
        const DiscoverySettings list = settings::discovery_settings(p);
        const RetrySettings launch = settings::retry_settings(p);
        const Prices prices = settings::prices(p);
        const int zone = settings::zone(p);
        const int number = i.number;
        auto fresh = std::make_unique<Instance>(number);
        fresh->groups = groups.size();
        fresh->kinds = kinds.size();
        fresh->zones = p.list("zones").size();
        fresh->placer = std::make_unique<Scheduler>(fresh->writer, static_cast<std::uint64_t>(seed), zone,
                                                    std::move(groups), std::move(kinds), accepts, cold, list,
                                                    launch, prices);
        std::erase(touched, &i);
        at = (instances[number] = std::move(fresh)).get();
        placer(f.message());
    }

    void pool(Fields& f) {
        sheet = static_cast<std::size_t>(f.whole("sheet"));
        if (sheet >= sheets.size()) bad(f.message(), "sheet", "is out of range");
        const std::int64_t count = f.whole("nodes_list");
        if (count < 0 || count > 10'000'000) bad(f.message(), "nodes_list", "is out of range");
        entries_due = count;
        sheets[sheet].clear();
    }

    void entry(Fields& f) {
        Entry e;
        e.host = f.required("host");
        e.listed.zone = static_cast<int>(f.whole_or("campus", 0));
        e.listed.kind = static_cast<int>(f.whole_or("shape", 0));
        e.listed.free_memory = f.real_or("memory_free", 0);
        e.listed.cell = static_cast<int>(f.whole_or("cluster", 0));
        e.listed.free_cores = f.real_or("cpu_left", 0);
        const std::string_view stage = f.required("stage_state");
        if (stage == "SERVING") e.listed.phase = EndpointPhase::serving;
        else if (stage == "DRAINING") e.listed.phase = EndpointPhase::draining;
        else if (stage == "DELETED") e.listed.phase = EndpointPhase::gone;
        else bad("M", "stage_state", "names no known stage");
        f.real_or("rating", 1);
        e.listed.started_at = f.micros_or_zero("ready_at_us");
        f.end();
        sheets[sheet].push_back(std::move(e));
        --entries_due;
    }

    void roster(Fields& f) {
        Scheduler& p = placer(f.message());
        const std::string_view scope = f.required("scope");
        f.whole_or("seq_no", 0);
        if (scope == "Error") return p.on_watch_failed(now);
        const bool whole = scope == "Complete" || scope == "Persisted";
        if (!whole && scope != "Partial") bad(f.message(), "scope", "names no known scope");
        const std::int64_t number = f.whole("sheet");
        if (number < 0 || static_cast<std::size_t>(number) >= sheets.size())
            bad(f.message(), "sheet", "is out of range");
        for (const Entry& e : sheets[static_cast<std::size_t>(number)]) {
            if (e.listed.kind < 0 || static_cast<std::size_t>(e.listed.kind) >= at->kinds)
                bad("M", "shape", "is out of range");
            if (e.listed.zone < 0 || static_cast<std::size_t>(e.listed.zone) >= at->zones)
                bad("M", "campus", "is out of range");
            Worker*& m = at->machines[e.host];
            if (!m) {
                m = &p.add_worker(stable_hash(e.host));
                at->hosts[m] = e.host;
            }
            p.update_endpoint(now, *m, e.listed);
        }
        p.on_watch_event_done(now, whole);
        if (!std::exchange(at->begun, true)) p.start(now);
    }

    void arrival(Fields& f) {
        Scheduler& p = placer(f.message());
        const auto id = static_cast<std::uint64_t>(f.whole("txn"));
        ResourceRequest a;
        a.expected_runtime = f.micros_or_zero("life_us");
        a.time_left = f.micros("patience_left_us");
        a.cores = f.real("cpu_ask");
        Service& s = service(f.required("service"));
        f.whole_or("tenant", 0);
        a.queue_group = f.index("lane", at->groups);
        a.memory = f.real("mem");
        f.text("task_key");
        const std::int64_t bits = f.whole_or("state_bits", 0);
        f.end();
        if (!(bits & 1)) a.expected_runtime = 0;
        a.is_retry = bits & 16;
        Task& c = p.submit(now, s, a, id);
        if (!at->containers.emplace(id, &c).second) bad(f.message(), "txn", "was given before");
    }

    void open(Fields& f) {
        Scheduler& p = placer(f.message());
        const auto id = static_cast<std::uint64_t>(f.whole("txn"));
        ResourceRequest a;
        a.queue_group = f.index("lane", at->groups);
        f.whole_or("tenant", 0);
        f.text("task_key");
        a.time_left = f.micros_or_zero("patience_left_us");
        a.expected_runtime = f.micros_or_zero("life_us");
        Service& s = service(f.required("service"));
        a.cores = f.real("cpu_ask");
        a.memory = f.real("mem");
        const std::int64_t bits = f.whole_or("state_bits", 0);
        if (!(bits & 1)) a.expected_runtime = 0;
        a.is_retry = bits & 16;
        Worker& m = machine(f);
        f.end();
        Task& c = p.adopt(now, s, a, m, id);
        if (!at->containers.emplace(id, &c).second) bad(f.message(), "txn", "was given before");
    }

    void event(std::string_view text) {
        Fields f(text);
        const std::string_view m = f.message();
        if (entries_due > 0) {
            if (m != "M") bad("POOL", "nodes_list", "names more entries than follow");
            return entry(f);
        }
        if (m == "CLOCK") now = f.micros("clock");
        else if (m == "INSTANCE") {
            const std::int64_t n = f.whole("placer");
            if (n < 0 || n > 1'000'000) bad(m, "placer", "is out of range");
            auto& i = instances[static_cast<int>(n)];
            if (!i) i = std::make_unique<Instance>(static_cast<int>(n));
            at = i.get();
        } else if (m == "INIT") init(f);
        else if (m == "DOWN") {
            Instance& i = current(m);
            std::erase(touched, &i);
            const int n = i.number;
            at = (instances[n] = std::make_unique<Instance>(n)).get();
        } else if (m == "POOL") pool(f);
        else if (m == "ROSTER_CHANGE") roster(f);
        else if (m == "ARRIVAL") arrival(f);
        else if (m == "OPEN") open(f);
        else if (m == "CONFIRMED") {
            Task* c = container(f);
            const auto go = f.whole("go");
            if (c) c->on_accepted(now, static_cast<int>(go));
        } else if (m == "SIGNAL") {
            Task* c = container(f);
            const int go = static_cast<int>(f.whole("go"));
            f.required("host");
            const std::int64_t what = f.whole("what");
            const double x = f.real_or("x", 0);
            if (!c) return;
            if (what == 1) c->on_running(now, go);
            else if (what == 2) c->on_cores_used(now, go, x);
            else if (what == 3) c->on_memory_used(now, go, x);
            else if (what == 4) c->on_service_share(now, go, x);
            else if (what == 5) c->on_worker_memory(now, go, x);
        } else if (m == "VERDICT") {
            Task* c = container(f);
            const AttemptOutcome how = ending_of(f.whole("ending"));
            const bool closed = f.whole_or("closed", 0) != 0;
            const int go = static_cast<int>(f.whole("go"));
            const OutcomeReason why = reason_of(f.whole_or("info", 0));
            f.whole_or("elapsed_us", 0);
            f.required("host");
            const LoadReport r = report(f);
            if (!c) return;
            c->on_attempt_ended(now, go, how, why, closed, r);
            drop_if_finished(*c);
        } else if (m == "VANISHED") {
            if (Task* c = container(f)) {
                c->cancel(now);
                drop_if_finished(*c);
            }
        } else if (m == "TIMER") {
            placer(m);
            f.whole("key_back");
        } else if (m == "ECHO") {
            Scheduler& p = placer(m);
            Worker& on = machine(f);
            f.whole_or("elapsed_us", 0);
            const bool ok = f.whole("ending") == 0;
            const LoadReport r = report(f);
            if (ok) p.on_load_report(now, on, r);
        } else if (m == "DATAGRAM") {
            placer(m);  // peers have nothing to tell: placers share nothing
        } else if (m == "M") bad(m, "line", "came outside a POOL");
        else bad(m.empty() ? "batch" : m, "message", "is not known");
    }

    void turn() {
        std::string reply;
        for (Instance* i : touched) {
            i->touched = false;
            at = i;
            i->placer->run_round(now);
            for (const std::uint64_t id : std::exchange(i->answered, {}))
                if (const auto it = i->containers.find(id); it != i->containers.end())
                    drop_if_finished(*it->second);
            while (!i->dropped.empty() && now - i->dropped.front().first > 30 * kSecond) {
                i->dropped_ids.erase(i->dropped.front().second);
                i->dropped.pop_front();
            }
            if (!i->reply.empty())
                reply += "SOURCE " + std::to_string(i->number) + "\n" + std::exchange(i->reply, {});
        }
        touched.clear();
        at = nullptr;
        out << reply << "READY\n" << std::flush;
    }

    void fail(const char* what) {
        if (at) out << "SOURCE " << at->number << '\n';
        out << "EXCEPTION " << what << "\nREADY\n" << std::flush;
    }

    std::ostream& out;
    Instance* at = nullptr;
    Nanos now = 0;
    std::map<int, std::unique_ptr<Instance>> instances;
    std::vector<Instance*> touched;
    std::array<std::vector<Entry>, 16> sheets;
    std::size_t sheet = 0;
    std::int64_t entries_due = 0;
};

void SimulatorAdapter::State::Writer::place(Task& c, Worker& m, Nanos time_out) {
    State::write(instance, "BIND " + std::to_string(c.tag) + " " + instance.hosts.at(&m) + " " +
                               std::to_string(std::max<Nanos>(1, time_out / kMicrosecond)));
}
void SimulatorAdapter::State::Writer::reject(Task& c, Nanos stay_away) {
    State::write(instance,
                 "OVERLOAD_REPLY " + std::to_string(c.tag) + " " + std::to_string(stay_away / kMicrosecond));
    instance.answered.push_back(c.tag);
}
void SimulatorAdapter::State::Writer::fail(Task& c) {
    State::write(instance, "FAIL " + std::to_string(c.tag));
    instance.answered.push_back(c.tag);
}
void SimulatorAdapter::State::Writer::migrate(Task& c) {
    State::write(instance, "RELOCATE " + std::to_string(c.tag));
}
void SimulatorAdapter::State::Writer::cancel_attempt(Task& c, int launch) {
    State::write(instance, "CANCEL " + std::to_string(c.tag) + " " + std::to_string(launch));
}
void SimulatorAdapter::State::Writer::check_health(Worker& m) {
    State::write(instance, "HEALTH_CHECK " + instance.hosts.at(&m));
}

SimulatorAdapter::SimulatorAdapter(std::ostream& out) : state_(std::make_unique<State>(out)) {}
SimulatorAdapter::~SimulatorAdapter() = default;

bool SimulatorAdapter::line(std::string_view text) {
    State& s = *state_;
    try {
        if (text == "YOUR_TURN") {
            if (s.entries_due > 0) bad("POOL", "nodes_list", "names more entries than follow");
            s.turn();
        } else {
            s.event(text);
        }
        return true;
    } catch (const std::exception& e) {
        s.fail(e.what());
        return false;
    }
}

}  // namespace whinpost::simulator_adapter
