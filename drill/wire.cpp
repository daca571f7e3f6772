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

// The settings of an INIT line.
class Params {
public:
    explicit Params(std::string_view text) {
        while (!text.empty()) {
            const std::size_t end = text.find(' ');
            const std::string_view pair = text.substr(0, end);
            text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
            const std::size_t eq = pair.find('=');
            if (eq == std::string_view::npos) {
                if (!pair.empty()) bad("INIT", "params", "holds a pair without '='");
                continue;
            }
            values_.emplace(pair.substr(0, eq), pair.substr(eq + 1));
        }
    }
    std::string_view text(const std::string& path) const {
        const auto it = values_.find(path);
        if (it == values_.end() || it->second == "-" || it->second.empty()) bad("INIT", path, "is missing");
        return it->second;
    }
    bool has(const std::string& path) const { return values_.contains(path) && values_.at(path) != "-"; }
    double real(const std::string& path) const { return parse(path, text(path)); }
    double real_or(const std::string& path, double absent) const { return has(path) ? real(path) : absent; }
    double positive(const std::string& path) const {
        const double v = real(path);
        if (!(v > 0)) bad("INIT", path, "must be above zero");
        return v;
    }
    Nanos micros(const std::string& path) const {
        const double v = real(path);
        if (v < 0 || v > 9e14) bad("INIT", path, "is out of range");
        return static_cast<Nanos>(v) * kMicrosecond;
    }
    Nanos micros_or_zero(const std::string& path) const { return has(path) ? micros(path) : 0; }
    bool truth(const std::string& path) const {
        const std::string_view v = text(path);
        if (v == "true" || v == "1") return true;
        if (v == "false" || v == "0") return false;
        bad("INIT", path, "is not true or false");
    }
    bool truth_or(const std::string& path, bool absent) const { return has(path) ? truth(path) : absent; }
    std::vector<std::string_view> list(const std::string& path) const {
        std::vector<std::string_view> out;
        const auto it = values_.find(path);
        if (it == values_.end() || it->second.empty()) return out;
        for (std::string_view rest = it->second;;) {
            const std::size_t comma = rest.find(',');
            out.push_back(rest.substr(0, comma));
            if (comma == std::string_view::npos) return out;
            rest = rest.substr(comma + 1);
        }
    }
    // The value of one queue group in a list; the last serves for the rest.
    std::string_view nth(const std::string& path, std::size_t i, std::string_view absent) const {
        const auto all = list(path);
        return all.empty() ? absent : all[std::min(i, all.size() - 1)];
    }
    double parse(const std::string& path, std::string_view v) const {
        double out{};
        const auto [at, error] = std::from_chars(v.data(), v.data() + v.size(), out);
        if (error != std::errc{} || at != v.data() + v.size() || !std::isfinite(out))
            bad("INIT", path, "is not a number");
        return out;
    }

private:
    std::map<std::string, std::string_view, std::less<>> values_;
};

Place place_of(const std::string& path, std::string_view v) {
    if (v == "off" || v == "none") return Place::none;
    if (v == "machine") return Place::machine;
    if (v == "cell") return Place::cell;
    if (v == "zone") return Place::zone;
    if (v == "all") return Place::all;
    bad("INIT", path, "names no known kind of place");
}

std::vector<QueueGroup> read_groups(const Params& p) {
    std::vector<QueueGroup> groups;
    const double count = p.real("classes.count");
    if (!(count >= 1 && count <= 10'000)) bad("INIT", "classes.count", "is out of range");
    for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i) {
        const std::string at = "classes." + std::to_string(i) + ".";
        QueueGroup g;
        const std::string_view effect = p.text(at + "semantics");
        if (effect == "free") g.effect = Effect::idempotent;
        else if (effect == "guarded") g.effect = Effect::fingerprinted;
        else if (effect == "single_shot") g.effect = Effect::side_effecting;
        else bad("INIT", at + "semantics", "names no known kind of effect");
        if (p.has(at + "key_scope"))
            g.repeats_dropped_by = place_of(at + "key_scope", p.text(at + "key_scope"));
        g.repeat_window = p.micros_or_zero(at + "repeat_window_us");
        g.start_target = p.micros(at + "aim_us");
        g.importance = p.real_or(at + "importance", 1);
        const auto per_group = [&](const std::string& path, std::string_view absent) {
            return p.parse(path, p.nth(path, i, absent));
        };
        g.start_worth_s = per_group("family_info.class_start_s", "0");
        g.calm = per_group("family_info.calm_level", "1");
        g.fade = per_group("family_info.class_fade", "1");
        g.kind = static_cast<int>(per_group("family_info.kind_by_class", "-1"));
        g.most = static_cast<int>(per_group("family_info.class_most", "0"));
        g.priority = static_cast<int>(per_group("family_info.class_priority", "0"));
        g.spread = place_of("family_info.class_spread", p.nth("family_info.class_spread", i, "off"));
        groups.push_back(g);
    }
    return groups;
}

std::vector<MachineKind> read_kinds(const Params& p) {
    std::vector<MachineKind> kinds;
    const auto cores = p.list("family_info.cpu_of_kind"), memory = p.list("family_info.size_memory");
    if (cores.empty()) bad("INIT", "family_info.cpu_of_kind", "names no machine kind");
    if (memory.size() != cores.size())
        bad("INIT", "family_info.size_memory", "does not match family_info.cpu_of_kind");
    for (std::size_t i = 0; i < cores.size(); ++i) {
        const MachineKind k{p.parse("family_info.cpu_of_kind", cores[i]),
                            p.parse("family_info.size_memory", memory[i])};
        if (!(k.cores > 0)) bad("INIT", "family_info.cpu_of_kind", "must be above zero");
        if (!(k.memory > 0)) bad("INIT", "family_info.size_memory", "must be above zero");
        kinds.push_back(k);
    }
    return kinds;
}

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
        std::string_view rest = f.text("gauge");
        if (rest == "-") return r;
        while (!rest.empty()) {
            const std::size_t comma = rest.find(',');
            const std::string_view pair = rest.substr(0, comma);
            rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
            const std::size_t colon = pair.find(':');
            if (colon == std::string_view::npos) bad(f.message(), "gauge", "holds a pair without ':'");
            const std::string_view name = pair.substr(0, colon);
            double* value = name == "x0"     ? &r.free_cores
                            : name == "x1"   ? &r.free_memory
                            : name == "busy" ? &r.busy
                            : name == "q"    ? &r.queued
                                             : nullptr;
            if (!value) continue;
            *value = f.number<double>("gauge", pair.substr(colon + 1), "a number");
            if (!std::isfinite(*value)) bad(f.message(), "gauge", "is not a finite number");
            (name == "x0"     ? r.has_free_cores
             : name == "x1"   ? r.has_free_memory
             : name == "busy" ? r.has_busy
                              : r.has_queued) = true;
        }
        return r;
    }

    void init(Fields& f) {
        Instance& i = current(f.message());
        const std::int64_t seed = f.whole("init_seed");
        const Params p(f.remainder());
        auto groups = read_groups(p);
        auto kinds = read_kinds(p);
        Acceptance accepts{p.positive("family_info.accepts_cores"),
                           p.positive("family_info.memory_multiple"),
                           p.nth("family_info.free_by", 0, "asked") == "used",
                           p.truth_or("limits.probes", false),
                           p.text("family_info.yes_at") == "running",
                           p.truth_or("family_info.pushes_out", false),
                           p.truth_or("family_info.says_pressure", true)};
        ColdTerms cold{p.positive("contract.cold_from"),        p.micros("contract.cold_us"),
                       p.positive("contract.fall_multiple"),    p.micros("contract.fall_us"),
                       p.real_or("family_info.young_limit", 0), static_cast<int>(p.positive("balancers")),
                       static_cast<int>(p.real_or("me", 0))};
        if (cold.placers < 1) bad("INIT", "balancers", "must be one or more");
        if (cold.me < 0 || cold.me >= cold.placers) bad("INIT", "me", "is out of range");
        if (cold.window <= 0) bad("INIT", "contract.fall_us", "must be above zero");
        ListTerms list{p.text("discovery") == "on_request", p.micros_or_zero("contract.ask_every_us")};
        LaunchTerms launch{static_cast<int>(p.positive("limits.send_cap")),
                           p.truth_or("limits.cancelling", false)};
        Prices prices{p.real_or("penalties.fleet", 0),
                      p.real_or("penalties.moves", 0),
                      p.real_or("penalties.waste", 0),
                      p.real_or("penalties.probe", 0),
                      p.real_or("penalties.cross_zone", 0),
                      p.real_or("penalties.discovery", 0),
                      p.real_or("family_info.turned_down_price", 0)};
        if (p.list("zones").empty()) bad("INIT", "zones", "names no zone");
        const double zone = p.real("zone");
        if (zone < 0 || zone >= static_cast<double>(p.list("zones").size()))
            bad("INIT", "zone", "is out of range");
        const int number = i.number;
        auto fresh = std::make_unique<Instance>(number);
        fresh->groups = groups.size();
        fresh->kinds = kinds.size();
        fresh->zones = p.list("zones").size();
        fresh->placer = std::make_unique<Placer>(fresh->writer, static_cast<std::uint64_t>(seed),
                                                 static_cast<int>(zone), std::move(groups), std::move(kinds),
                                                 accepts, cold, list, launch, prices);
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
