#include "wire.h"

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

#include "terms/terms.h"
#include "whinpost/mark.h"
#include "whinpost/placer.h"

namespace whinpost::drill {
namespace {

struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

[[noreturn]] void bad(std::string_view message, std::string_view field, std::string_view what) {
    throw Malformed(std::string(message) + ": " + std::string(field) + " " + std::string(what));
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

Ending ending_of(std::int64_t code) {
    switch (code) {
        case 0:
            return Ending::served;
        case 5:
            return Ending::error;
        case 11:
            return Ending::refused;
        case 110:
            return Ending::timed_out;
        case 111:
            return Ending::unconnected;
        case 104:
            return Ending::reset;
        case 125:
            return Ending::cancelled;
        case 114:
            return Ending::unsent;
        default:
            return Ending::unknown;
    }
}

Reason reason_of(std::int64_t info) {
    return info >= 1 && info <= 7 ? static_cast<Reason>(info) : Reason::untold;
}

struct Entry {
    std::string host;
    Listed listed;
};

}  // namespace

struct Session::State {
    struct Instance;

    // Writes a placer's decisions as they are made.
    struct Writer : Port {
        explicit Writer(Instance& i) : instance(i) {}
        void bind(Container& c, Machine& m, Nanos time_out) override;
        void defer(Container& c, Nanos stay_away) override;
        void kill(Container& c) override;
        void move(Container& c) override;
        void stop_waiting(Container& c, int launch) override;
        void probe(Machine& m) override;
        void follow_list() override { State::write(instance, "FOLLOW 1"); }
        void fetch_list() override { State::write(instance, "SNAPSHOT"); }
        void wake(Nanos at) override {
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
        std::unique_ptr<Placer> placer;
        std::size_t groups = 0;
        std::unordered_map<std::string, Machine*> machines;
        std::unordered_map<const Machine*, std::string> hosts;
        std::unordered_map<std::string, Service*> services;
        std::unordered_map<std::uint64_t, Container*> containers;
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
    Placer& placer(std::string_view message) {
        Instance& i = current(message);
        if (!i.placer) bad(message, "placer", "has not had its INIT");
        if (!i.touched) touched.push_back(&i);
        i.touched = true;
        return *i.placer;
    }
    // Null: finished a short while ago, to be ignored.
    Container* container(Fields& f) {
        placer(f.message());
        const auto id = static_cast<std::uint64_t>(f.whole("txn"));
        const auto it = at->containers.find(id);
        if (it != at->containers.end()) return it->second;
        if (!at->dropped_ids.contains(id)) bad(f.message(), "txn", "was never given to this placer");
        return nullptr;
    }
    void drop_if_finished(Container& c) {
        if (!c.finished()) return;
        const std::uint64_t id = c.tag;
        at->placer->release(c);
        at->containers.erase(id);
        at->dropped.emplace_back(now, id);
        at->dropped_ids.insert(id);
    }
    Machine& machine(Fields& f) {
        const std::string host(f.required("host"));
        const auto it = at->machines.find(host);
        if (it == at->machines.end()) bad(f.message(), "host", "was in no list of this placer");
        return *it->second;
    }
    Service& service(std::string_view name) {
        Service*& s = at->services[std::string(name)];
        if (!s) s = &at->placer->meet_service(mark_of(name));
        return *s;
    }

    Report report(Fields& f) {
        Report r;
        const std::string_view text = f.text("gauge");
        if (text != "-" && !terms::read_report(text, ',', r)) bad(f.message(), "gauge", "holds a pair without ':' or a value that is not a number");
        return r;
    }

    void init(Fields& f) {
        Instance& i = current(f.message());
        const std::int64_t seed = f.whole("init_seed");
        terms::Paths p("INIT");
        p.put_pairs(f.remainder());
        auto groups = terms::queue_groups(p);
        auto kinds = terms::machine_kinds(p);
        const Acceptance accepts = terms::acceptance(p);
        const ColdTerms cold = terms::cold_terms(p);
        const ListTerms list = terms::list_terms(p);
        const LaunchTerms launch = terms::launch_terms(p);
        const Prices prices = terms::prices(p);
        const int zone = terms::zone(p);
        const int number = i.number;
        auto fresh = std::make_unique<Instance>(number);
        fresh->groups = groups.size();
        fresh->kinds = kinds.size();
        fresh->zones = p.list("zones").size();
        fresh->placer =
            std::make_unique<Placer>(fresh->writer, static_cast<std::uint64_t>(seed), zone, std::move(groups),
                                     std::move(kinds), accepts, cold, list, launch, prices);
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
        if (stage == "SERVING") e.listed.stage = Stage::serving;
        else if (stage == "DRAINING") e.listed.stage = Stage::draining;
        else if (stage == "DELETED") e.listed.stage = Stage::gone;
        else bad("M", "stage_state", "names no known stage");
        f.real_or("rating", 1);
        e.listed.started = f.micros_or_zero("ready_at_us");
        f.end();
        sheets[sheet].push_back(std::move(e));
        --entries_due;
    }

    void roster(Fields& f) {
        Placer& p = placer(f.message());
        const std::string_view scope = f.required("scope");
        f.whole_or("seq_no", 0);
        if (scope == "Error") return p.list_failed(now);
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
            Machine*& m = at->machines[e.host];
            if (!m) {
                m = &p.meet_machine(mark_of(e.host));
                at->hosts[m] = e.host;
            }
            p.list_entry(now, *m, e.listed);
        }
        p.list_done(now, whole);
        if (!std::exchange(at->begun, true)) p.begin(now);
    }

    void arrival(Fields& f) {
        Placer& p = placer(f.message());
        const auto id = static_cast<std::uint64_t>(f.whole("txn"));
        Asked a;
        a.life_left = f.micros_or_zero("life_us");
        a.time_left = f.micros("patience_left_us");
        a.cores = f.real("cpu_ask");
        Service& s = service(f.required("service"));
        f.whole_or("tenant", 0);
        a.group = f.index("lane", at->groups);
        a.memory = f.real("mem");
        f.text("task_key");
        const std::int64_t bits = f.whole_or("state_bits", 0);
        f.end();
        if (!(bits & 1)) a.life_left = 0;
        a.came_again = bits & 16;
        Container& c = p.take(now, s, a, id);
        if (!at->containers.emplace(id, &c).second) bad(f.message(), "txn", "was given before");
    }

    void open(Fields& f) {
        Placer& p = placer(f.message());
        const auto id = static_cast<std::uint64_t>(f.whole("txn"));
        Asked a;
        a.group = f.index("lane", at->groups);
        f.whole_or("tenant", 0);
        f.text("task_key");
        a.time_left = f.micros_or_zero("patience_left_us");
        a.life_left = f.micros_or_zero("life_us");
        Service& s = service(f.required("service"));
        a.cores = f.real("cpu_ask");
        a.memory = f.real("mem");
        const std::int64_t bits = f.whole_or("state_bits", 0);
        if (!(bits & 1)) a.life_left = 0;
        a.came_again = bits & 16;
        Machine& m = machine(f);
        f.end();
        Container& c = p.take_over(now, s, a, m, id);
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
            Container* c = container(f);
            const auto go = f.whole("go");
            if (c) c->accepted(now, static_cast<int>(go));
        } else if (m == "SIGNAL") {
            Container* c = container(f);
            const int go = static_cast<int>(f.whole("go"));
            f.required("host");
            const std::int64_t what = f.whole("what");
            const double x = f.real_or("x", 0);
            if (!c) return;
            if (what == 1) c->runs(now, go);
            else if (what == 2) c->uses_cores(now, go, x);
            else if (what == 3) c->uses_memory(now, go, x);
            else if (what == 4) c->served_share(now, go, x);
            else if (what == 5) c->machine_memory(now, go, x);
        } else if (m == "VERDICT") {
            Container* c = container(f);
            const Ending how = ending_of(f.whole("ending"));
            const bool closed = f.whole_or("closed", 0) != 0;
            const int go = static_cast<int>(f.whole("go"));
            const Reason why = reason_of(f.whole_or("info", 0));
            f.whole_or("elapsed_us", 0);
            f.required("host");
            const Report r = report(f);
            if (!c) return;
            c->ended(now, go, how, why, closed, r);
            drop_if_finished(*c);
        } else if (m == "VANISHED") {
            if (Container* c = container(f)) {
                c->withdrawn(now);
                drop_if_finished(*c);
            }
        } else if (m == "TIMER") {
            placer(m);
            f.whole("key_back");
        } else if (m == "ECHO") {
            Placer& p = placer(m);
            Machine& on = machine(f);
            f.whole_or("elapsed_us", 0);
            const bool ok = f.whole("ending") == 0;
            const Report r = report(f);
            if (ok) p.heard(now, on, r);
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
            i->placer->round(now);
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

void Session::State::Writer::bind(Container& c, Machine& m, Nanos time_out) {
    State::write(instance, "BIND " + std::to_string(c.tag) + " " + instance.hosts.at(&m) + " " +
                               std::to_string(std::max<Nanos>(1, time_out / kMicrosecond)));
}
void Session::State::Writer::defer(Container& c, Nanos stay_away) {
    State::write(instance,
                 "OVERLOAD_REPLY " + std::to_string(c.tag) + " " + std::to_string(stay_away / kMicrosecond));
    instance.answered.push_back(c.tag);
}
void Session::State::Writer::kill(Container& c) {
    State::write(instance, "FAIL " + std::to_string(c.tag));
    instance.answered.push_back(c.tag);
}
void Session::State::Writer::move(Container& c) {
    State::write(instance, "RELOCATE " + std::to_string(c.tag));
}
void Session::State::Writer::stop_waiting(Container& c, int launch) {
    State::write(instance, "CANCEL " + std::to_string(c.tag) + " " + std::to_string(launch));
}
void Session::State::Writer::probe(Machine& m) {
    State::write(instance, "HEALTH_CHECK " + instance.hosts.at(&m));
}

Session::Session(std::ostream& out) : state_(std::make_unique<State>(out)) {}
Session::~Session() = default;

bool Session::line(std::string_view text) {
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

}  // namespace whinpost::drill
