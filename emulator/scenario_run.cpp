#include "emulator/scenario_run.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "config/placer_file.h"
#include "config/toml.h"
#include "whinpost/stable_hash.h"

namespace whinpost::emulator {

// ---------------------------------------------------------------- the script

namespace {

const std::vector<std::string_view> kDo = {
    "drain",        "kill",       "rejoin",         "silent",    "slow",       "refuse",      "fail_starts",
    "lose_answers", "late_yes",   "twice",          "cut",       "pause",      "rate",        "other",
    "reset",        "list_still", "list_backwards", "list_none", "list_twice", "placer_kill", "placer_stall",
    "owner_leave",  "owner_half", "owner_deaf",     "burst",     "withdraw",   "list_down",   "swell"};

const std::vector<std::string_view> kOf = {"placed", "in_time",      "service", "worst_second",
                                           "back",   "launches",     "refused", "drain_lag",
                                           "fallen", "wrongly_lost", "never",   "busiest"};

bool at_nodes(FaultKind d) { return d <= FaultKind::reset || d == FaultKind::list_twice; }
bool at_placer(FaultKind d) { return d == FaultKind::placer_kill || d == FaultKind::placer_stall; }
bool lasting(FaultKind d) {  // makes sense only for a time
    return d == FaultKind::silent || d == FaultKind::cut || d == FaultKind::pause || d == FaultKind::rate ||
           d == FaultKind::other || d == FaultKind::swell || d == FaultKind::list_down ||
           d == FaultKind::burst || d == FaultKind::placer_stall || d == FaultKind::slow ||
           d == FaultKind::refuse || d == FaultKind::fail_starts || d == FaultKind::lose_answers ||
           d == FaultKind::late_yes || d == FaultKind::twice;
}
bool at_owner(FaultKind d) {
    return d == FaultKind::owner_leave || d == FaultKind::owner_half || d == FaultKind::owner_deaf ||
           d == FaultKind::withdraw;
}

std::vector<double> amounts(config::Table& t, std::string_view key) {
    // A list of shapes, as texts of numbers would be odd: read one by one.
    std::vector<double> out;
    for (int i = 0; i < 8; ++i) {
        const std::string at = std::string(key) + (i ? std::to_string(i + 1) : "");
        if (i && !t.has(at)) break;
        out.push_back(t.number(at, 0.001, 1e6));
    }
    return out;
}

void read_fault(Scenario& p, config::Table& t, const std::vector<std::string_view>& groups) {
    Fault f;
    f.at = t.span("at_s", 0, p.length);
    f.lasts = t.span("for_s", 0, p.length, 0);
    f.what = static_cast<FaultKind>(t.word("do", kDo));
    f.size = t.number("size", 0, 1e6, 1);
    f.tell = t.truth("tell", true);
    const bool share =
        f.what == FaultKind::refuse || f.what == FaultKind::fail_starts || f.what == FaultKind::lose_answers;
    if (share && f.size > 1) t.wrong("size", "is a share here: at most 1");
    if (lasting(f.what) && !f.lasts) t.wrong("for_s", "is missing: this trouble lasts for a time");
    if (f.what == FaultKind::rate || f.what == FaultKind::swell) {
        if (f.what == FaultKind::rate || t.has("group")) f.group = static_cast<int>(t.word("group", groups));
    }
    if (f.what == FaultKind::cut) {
        const std::size_t way = t.word("way", {"both", "in", "out"}, 0);
        f.in = way != 2;
        f.out = way != 1;
    }
    const auto waves = static_cast<std::size_t>(t.whole("waves", 1, 10'000, 1));
    const Nanos every = waves > 1 ? t.span("every_s", kMillisecond, p.length) : 0;
    if (at_nodes(f.what)) {
        const auto first =
            static_cast<std::size_t>(t.whole("node", 0, static_cast<std::int64_t>(p.nodes) - 1, 0));
        const auto count =
            static_cast<std::size_t>(t.whole("count", 1, static_cast<std::int64_t>(p.nodes - first), 1));
        if (t.has("zone")) {
            const std::string name = t.text("zone");
            const auto at = std::find(p.zones.begin(), p.zones.end(), name);
            if (at == p.zones.end()) t.wrong("zone", "must be one of fleet.zones");
            for (std::size_t i = 0; i < p.nodes && !p.zones.empty(); ++i)
                if (static_cast<std::ptrdiff_t>(i % p.zones.size()) == at - p.zones.begin())
                    f.nodes.push_back(i);
        } else {
            for (std::size_t i = first; i < first + count; ++i) f.nodes.push_back(i);
        }
        if (waves > f.nodes.size()) t.wrong("waves", "must be no more than the nodes it is for");
    } else if (at_placer(f.what)) {
        f.which = static_cast<std::size_t>(t.whole("placer", 0, static_cast<std::int64_t>(p.placers) - 1, 0));
    } else if (at_owner(f.what)) {
        f.which = static_cast<std::size_t>(t.whole("owner", 0, static_cast<std::int64_t>(p.owners) - 1, 0));
    }
    if (f.at + static_cast<Nanos>(waves - 1) * every > p.length)
        t.wrong("waves", "must all begin within the day");
    // The same trouble twice at once on one node, or any on what was killed for good, is a slip.
    std::size_t killed = 0;
    for (const Fault& o : p.faults) {
        const bool meet = f.at < o.at + o.lasts && o.at < f.at + f.lasts;
        for (const std::size_t n : f.nodes) {
            if (std::find(o.nodes.begin(), o.nodes.end(), n) == o.nodes.end()) continue;
            if (o.what == f.what && meet) {
                t.wrong("at_s", "overlaps with the same trouble on node " + std::to_string(n));
                break;
            }
            killed += o.what == FaultKind::kill && f.at > o.at;
        }
        if (o.what == f.what && meet && f.nodes.empty() && o.which == f.which && o.group == f.group)
            t.wrong("at_s", "overlaps with the same trouble named before");
    }
    if (!f.nodes.empty() && killed >= f.nodes.size()) t.wrong("node", "is killed for good before");
    for (std::size_t w = 0; w < waves; ++w) {
        Fault one = f;
        one.at = f.at + static_cast<Nanos>(w) * every;
        if (waves > 1) {
            one.nodes.clear();
            for (std::size_t i = w * f.nodes.size() / waves; i < (w + 1) * f.nodes.size() / waves; ++i)
                one.nodes.push_back(f.nodes[i]);
        }
        p.faults.push_back(one);
    }
}

// One that can never be checked is refused: it would pass for ever.
Expectation read_expect(const Scenario& p, config::Table& t, const std::vector<std::string_view>& groups) {
    Expectation e;
    e.of = static_cast<Metric>(t.word("of", kOf));
    if (t.has("group")) e.group = static_cast<int>(t.word("group", groups));
    e.from = t.span("from_s", 0, p.length, 0);
    e.to = t.span("to_s", 0, p.length, p.length);
    if (e.to <= e.from) t.wrong("to_s", "must be later than from_s");
    const bool shares = e.of == Metric::placed || e.of == Metric::in_time || e.of == Metric::service ||
                        e.of == Metric::worst_second || e.of == Metric::refused || e.of == Metric::busiest;
    const double most = shares ? 1 : 1e9;
    e.at_least = t.has("at_least");
    if (e.at_least == t.has("at_most")) t.wrong("at_least", "or at_most must be there, and one of them only");
    else e.bound = t.number(e.at_least ? "at_least" : "at_most", 0, most);
    if (e.of == Metric::back) e.share = t.number("share", 0, 1);
    const auto any = [&p](auto which) { return std::any_of(p.faults.begin(), p.faults.end(), which); };
    if (e.group >= 0 && std::none_of(p.loads.begin(), p.loads.end(), [&e](const LoadProfile& l) {
            return l.group == e.group && l.a_second > 0;
        }))
        t.wrong("group", "has no load: this can never be checked");
    if (e.of == Metric::drain_lag && !any([](const Fault& f) { return f.what == FaultKind::drain; }))
        t.wrong("of", "is about drains, and no node drains: this can never be checked");
    if (e.of == Metric::fallen &&
        !any([](const Fault& f) { return f.what == FaultKind::drain || f.what == FaultKind::rejoin; }))
        t.wrong("of", "is about cold nodes, and none comes up: this can never be checked");
    if (e.of == Metric::back && !any([&e](const Fault& f) { return f.at <= e.from; }))
        t.wrong("from_s", "is before all troubles: there is nothing to be back from");
    return e;
}

Scenario plan_of(config::Document& file, const std::string& text, std::vector<std::string>& problems,
                 std::size_t placers, std::size_t nodes) {
    Scenario p;
    config::Table root = file.root();
    if (root.has("like")) root.text("like");  // whose tables were added by whoever read the file
    if (!root.has("day")) root.wrong("day", "is missing: a table with length_s");
    config::Table day = root.table("day");
    p.name = day.text("name", "day");
    p.length = day.span("length_s", kSecond, 24 * 3600 * kSecond, 30 * kSecond);
    p.seed = static_cast<std::uint64_t>(day.whole("seed", 1, INT64_MAX, 1));
    p.placers = static_cast<std::size_t>(day.whole("placers", 1, 1000, 1));
    if (placers) p.placers = placers;
    p.owners = static_cast<std::size_t>(day.whole("owners", 1, 1000, 1));
    p.list_pushes = day.truth("list_pushes", true);
    p.slack = day.span("slack_ms", kMillisecond, 10 * kSecond, p.slack);
    p.list_late = day.span("list_late_ms", 0, 3600 * kSecond, 500 * kMillisecond);

    if (!root.has("fleet")) root.wrong("fleet", "is missing: a table with nodes and zones");
    config::Table fleet = root.table("fleet");
    p.nodes = static_cast<std::size_t>(fleet.whole("nodes", 1, 100'000));
    if (day.has("nodes")) p.nodes = static_cast<std::size_t>(day.whole("nodes", 1, 100'000));
    if (nodes) p.nodes = nodes;
    p.zones = fleet.texts("zones");
    p.cells_in_zone = static_cast<int>(fleet.whole("cells_in_zone", 1, 10'000, 1));
    EmulatedWorkerSettings& n = p.node;
    const Nanos hour = 3600 * kSecond;
    n.judge = fleet.span("judge_ms", 0, hour, n.judge);
    n.line = static_cast<std::size_t>(fleet.whole("line", 1, 1'000'000, static_cast<std::int64_t>(n.line)));
    n.starts = static_cast<int>(fleet.whole("starts", 1, 10'000, n.starts));
    n.start = fleet.span("start_ms", kMillisecond, hour, n.start);
    n.without_program = fleet.number("without_program", 1, 1000, n.without_program);
    n.program_kept = fleet.span("program_kept_ms", 0, hour, n.program_kept);
    n.gives_turns = fleet.truth("gives_turns", false);
    n.drawn_starts = fleet.truth("drawn_starts", false);
    n.reports = fleet.truth("reports", true);
    n.sends_away_every = fleet.span("sends_away_every_ms", 0, hour, 0);
    n.report_every = fleet.span("report_every_ms", kMillisecond, hour, n.report_every);

    p.kinds = config::worker_kinds(root);
    for (const config::NamedQueueGroup& g : config::queue_groups(root, p.kinds.size()))
        p.groups.push_back({g.name, g.terms});
    const WorkerAcceptance accepts = config::worker_acceptance(root);
    const SlowStartSettings cold = config::slow_start_settings(root);
    p.launches = config::retry_settings(root);
    config::prices(root);
    config::admission_limits(root);
    p.drain_grace = config::connection_settings(root).drain_grace;
    config::dial_limits(root);
    config::log_settings(root);
    n.cores_multiple = accepts.cores_multiple;
    n.memory_multiple = accepts.memory_multiple;
    n.yes_on_running = accepts.yes_on_running;
    n.preempts = accepts.preempts;
    n.reports_use = accepts.reports_use;
    n.notes_pressure = accepts.notes_pressure;
    n.cold_from = cold.from;
    n.warm_after = cold.warm_after;
    n.fall_multiple = cold.multiple;
    n.fall_window = cold.window;
    n.always_borne = cold.always_borne;

    std::vector<std::string_view> group_names;
    for (const NamedQueueGroup& g : p.groups) group_names.push_back(g.name);
    const double factor = day.number("load", 0, 1000, 1);
    for (config::Table& t : root.tables("load")) {
        LoadProfile l;
        l.group = static_cast<int>(t.word("group", group_names));
        l.a_second = factor * t.number("a_second", 0, 1e6);
        l.services = static_cast<int>(t.whole("services", 1, 100'000, 4));
        l.batch = static_cast<int>(t.whole("batch", 1, 10'000, 1));
        l.cores = amounts(t, "cores");
        l.memory = amounts(t, "memory");
        if (l.cores.size() != l.memory.size()) t.wrong("memory", "must have as many shapes as cores");
        l.queue_timeout = t.span("queue_timeout_ms", 10 * kMillisecond, hour);
        l.life_least = t.span("life_least_ms", kMillisecond, hour, l.life_least);
        l.life_most = t.span("life_most_ms", l.life_least, hour, std::max(l.life_least, l.life_most));
        p.loads.push_back(l);
    }
    if (p.loads.empty()) root.wrong("load", "must name one load or more");
    p.lean = day.number("lean", 0, 1, 0);
    if (root.has("network")) {
        config::Table net = root.table("network");
        p.network.least = net.span("least_ms", 0, 10 * kSecond, p.network.least);
        p.network.spread = net.span("spread_ms", 0, 10 * kSecond, p.network.spread);
        p.network.late_share = net.number("late_share", 0, 1, 0);
        p.network.late = net.span("late_ms", 0, 10 * kSecond, 0);
        // An offer and its answer are each on the way for up to that: what owners see is so much later than
        // what the placer did.
        p.slack += 2 * (p.network.least + p.network.spread + p.network.late);
    }
    if (root.has("list_at_start")) {
        config::Table old = root.table("list_at_start");
        p.old_list.age = old.span("age_s", kSecond, 30 * 24 * hour);
        p.old_list.lasts = old.span("for_s", kSecond, p.length);
        p.old_list.ghosts = static_cast<std::size_t>(old.whole("ghosts", 0, 100'000, 0));
        p.old_list.missing =
            static_cast<std::size_t>(old.whole("missing", 0, static_cast<std::int64_t>(p.nodes), 0));
    }
    for (config::Table& t : root.tables("fault")) read_fault(p, t, group_names);
    std::stable_sort(p.faults.begin(), p.faults.end(),
                     [](const Fault& a, const Fault& b) { return a.at < b.at; });
    for (config::Table& t : root.tables("expect")) p.expects.push_back(read_expect(p, t, group_names));
    problems = file.problems();
    if (!problems.empty()) return p;
    toml::table all = toml::parse(text);
    for (const char* own :
         {"like", "day", "fleet", "load", "fault", "expect", "list_at_start", "network", "placer", "list"})
        all.erase(own);
    std::ostringstream out;
    out << toml::toml_formatter(all);
    p.placer_tables = out.str();
    return p;
}

}  // namespace

std::string_view to_string(Metric of) { return kOf[static_cast<std::size_t>(of)]; }

Scenario parse_scenario(const std::string& text, const std::string& name, std::vector<std::string>& problems,
                        std::size_t placers, std::size_t nodes) {
    config::Document file = config::Document::parse(text, name);
    return plan_of(file, text, problems, placers, nodes);
}

std::string placer_configuration(const Scenario& p, std::size_t i, const std::string& listen,
                                 const std::string& list) {
    std::ostringstream out;
    out << p.placer_tables << "\n\n[placer]\nname = \"placer-" << i << "\"\nlisten = \"" << listen
        << "\"\nzone = \"" << p.zones[i % p.zones.size()] << "\"\nzones = [";
    for (std::size_t z = 0; z < p.zones.size(); ++z) out << (z ? ", " : "") << '"' << p.zones[z] << '"';
    out << "]\nplacers = " << p.placers << "\nme = " << i << "\n\n[list]\naddress = \"" << list
        << "\"\nmode = \"" << (p.list_pushes ? "push" : "on_request") << "\"\n";
    return out.str();
}

// ---------------------------------------------------------------- the play

ScenarioRun::ScenarioRun(const Scenario& plan, TestEnvironment& ground,
                         std::function<void(const std::string&)> progress)
    : plan_(plan), ground_(ground), progress_(std::move(progress)),
      fleet_(std::make_unique<EmulatedFleet>(ground.loop(), seen_, plan.groups, plan.seed)),
      chance_(static_cast<std::ranlux24_base::result_type>(plan.seed * 7919 + 1)) {}

ScenarioRun::~ScenarioRun() = default;

void ScenarioRun::later(Nanos at, std::function<void()> f) {
    laters_.push_back(std::make_unique<ScheduledCall>(std::move(f)));
    fleet_->arm(*laters_.back(), at);
    if (laters_.size() > 4096) std::erase_if(laters_, [](const auto& l) { return !l->armed(); });
}

std::string ScenarioRun::raise(std::size_t i, const std::string& name, const std::string& address,
                               Nanos started) {
    WorkerSlot& at = places_[i];
    EmulatedWorkerSettings terms = plan_.node;
    terms.cores = plan_.kinds[static_cast<std::size_t>(at.kind)].cores;
    terms.memory = plan_.kinds[static_cast<std::size_t>(at.kind)].memory;
    terms.kind = at.kind;
    if (nodes_[i]) dead_.push_back(std::move(nodes_[i]));
    nodes_[i] = std::make_unique<EmulatedWorker>(*fleet_, ground_.node_loop(name, at.zone), name, at.zone,
                                                 at.cell, terms, next_incarnation_++, started);
    const std::string wrong = nodes_[i]->listen(address);
    if (!wrong.empty()) return name + " can't listen on " + address + ": " + wrong;
    at.name = name;
    at.address = nodes_[i]->address();
    at.started = started;
    all_places_.push_back({name, at.zone, at.cell});
    return "";
}

std::string ScenarioRun::start(std::function<void(const RunResult&)> done) {
    done_ = std::move(done);
    list_ = std::make_unique<DiscoveryService>(ground_.loop(), seen_, plan_.list_pushes, plan_.list_late, 1);
    std::string wrong = list_->listen(ground_.list_address());
    if (!wrong.empty()) return "the list service can't listen: " + wrong;
    nodes_.resize(plan_.nodes);
    const int zones = static_cast<int>(plan_.zones.size());
    for (std::size_t i = 0; i < plan_.nodes; ++i) {
        const int zone = static_cast<int>(i) % zones;
        const int cell = zone * plan_.cells_in_zone + static_cast<int>(i) / zones % plan_.cells_in_zone;
        places_.push_back({"", "", zone, cell, static_cast<int>(i % plan_.kinds.size()), 0, 0});
        const std::string name = "node-" + std::to_string(next_node_++);
        wrong = raise(i, name, ground_.node_address(name), 0);
        if (!wrong.empty()) return wrong;
        put(i);
    }
    if (plan_.old_list.age) {
        std::vector<v1::Entry> ghosts;
        for (std::size_t i = 0; i < plan_.old_list.ghosts; ++i) {
            v1::Entry e;
            e.set_node("former-" + std::to_string(i));
            e.set_address(ground_.nowhere(i));
            e.set_zone(static_cast<std::uint32_t>(i % plan_.zones.size()));
            e.set_cell(static_cast<std::uint32_t>(i % plan_.zones.size()) *
                       static_cast<std::uint32_t>(plan_.cells_in_zone));
            e.set_kind(0);
            e.set_free_cores(plan_.kinds[0].cores);
            e.set_free_memory(plan_.kinds[0].memory);
            ghosts.push_back(e);
        }
        std::vector<std::string> unknown;
        for (std::size_t i = 0; i < plan_.old_list.missing; ++i) unknown.push_back(places_[i].name);
        list_->be_old(plan_.old_list.age, ghosts, unknown);
    }
    std::vector<std::string> placers;
    for (std::size_t i = 0; i < plan_.placers; ++i) {
        placers.push_back(ground_.placer_address(i));
        ground_.start_placer(i, placer_configuration(plan_, i, placers.back(), list_->address()));
    }
    for (std::size_t i = 0; i < plan_.owners; ++i) {
        owners_.push_back(
            std::make_unique<EmulatedClient>(*fleet_, "owner-" + std::to_string(i), placers, plan_.lean));
        owners_.back()->connect();
    }
    await(ground_.loop().now() + 20 * kSecond);
    return "";
}

// The day begins when every owner has every placer, and the first list had its time.
void ScenarioRun::await(Nanos give_up) {
    bool all = true;
    for (const auto& o : owners_)
        for (std::size_t i = 0; i < plan_.placers; ++i) all = all && o->connected(i);
    const Nanos now = ground_.loop().now();
    if (all || now > give_up) later(now + plan_.list_late + 500 * kMillisecond, [this] { begin(); });
    else later(now + 50 * kMillisecond, [this, give_up] { await(give_up); });
}

void ScenarioRun::begin() {
    began_ = ground_.loop().now();
    for (std::size_t i = 0; i < plan_.loads.size(); ++i) arrive(i);
    for (const Fault& f : plan_.faults) {
        later(began_ + f.at, [this, &f] { lay(f); });
        if (f.lasts) later(began_ + f.at + f.lasts, [this, &f] { lift(f); });
    }
    if (plan_.old_list.age) later(began_ + plan_.old_list.lasts, [this] { list_->end_old(); });
    refresh();
    tell_progress();
    sample();
    later(began_ + plan_.length, [this] { finish(); });
}

void ScenarioRun::arrive(std::size_t i) {
    const LoadProfile& l = plan_.loads[i];
    const Nanos now = ground_.loop().now();
    if (now >= began_ + plan_.length) return;
    if (now > began_) {
        const auto roll = [this](std::size_t n) { return static_cast<std::size_t>(chance_()) % n; };
        const std::string service = plan_.groups[static_cast<std::size_t>(l.group)].name + "-" +
                                    std::to_string(roll(static_cast<std::size_t>(l.services)));
        const std::size_t shape = stable_hash(service) % l.cores.size();
        for (int k = 0; k < l.batch; ++k) {
            TaskRequest a;
            a.container = "c" + std::to_string(next_container_++);
            a.service = service;
            a.group = l.group;
            a.cores = l.cores[shape];
            a.memory = l.memory[shape];
            a.queue_timeout = l.queue_timeout;
            a.life = l.life_least + static_cast<Nanos>(static_cast<double>(roll(4096)) / 4096 *
                                                       static_cast<double>(l.life_most - l.life_least));
            std::size_t who = roll(owners_.size());
            for (std::size_t tried = 0; owners_[who]->left() && tried < owners_.size(); ++tried)
                who = (who + 1) % owners_.size();
            owners_[who]->ask(a);
        }
    }
    const double u = (static_cast<double>(chance_() % 65536) + 1) / 65537;
    const double gap = -std::log(u) / std::max(1e-9, l.a_second * burst_ / l.batch);
    later(now + std::max<Nanos>(1, static_cast<Nanos>(gap * 1e9)), [this, i] { arrive(i); });
}

void ScenarioRun::put(std::size_t i) {
    v1::Entry e;
    const WorkerSlot& at = places_[i];
    e.set_node(at.name);
    e.set_address(at.address);
    e.set_zone(static_cast<std::uint32_t>(at.zone));
    e.set_cell(static_cast<std::uint32_t>(at.cell));
    e.set_kind(static_cast<std::uint32_t>(at.kind));
    const EmulatedWorker* n = nodes_[i].get();
    if (!n) return;
    e.set_free_cores(n->free_cores());
    e.set_free_memory(n->free_memory());
    e.set_stage(n->draining() ? v1::Entry::DRAINING : v1::Entry::SERVING);
    list_->put(e, at.started);
}

void ScenarioRun::refresh() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) put(i);
    if (!over_) later(ground_.loop().now() + 500 * kMillisecond, [this] { refresh(); });
}

void ScenarioRun::trouble(std::size_t i, bool on) {
    WorkerSlot& at = places_[i];
    if (on && at.troubles++ == 0 && nodes_[i]) nodes_[i]->trouble(true);
    if (!on && --at.troubles == 0 && nodes_[i]) nodes_[i]->trouble(false);
}

void ScenarioRun::lay(const Fault& f) {
    const Nanos now = ground_.loop().now();
    progress_("fault " + std::string(kDo[static_cast<std::size_t>(f.what)]) +
              (f.nodes.empty() ? "" : " on " + std::to_string(f.nodes.size()) + " node(s)"));
    const auto each = [&](auto then) {
        for (const std::size_t i : f.nodes)
            if (nodes_[i]) then(i);
    };
    const auto with = [&](auto change) {
        each([&](std::size_t i) {
            ActiveFaults now_in_force = nodes_[i]->faults();
            change(now_in_force);
            trouble(i, true);
            nodes_[i]->set(now_in_force);
        });
    };
    const auto dies = [this](std::size_t i) {
        seen_.add({ground_.loop().now(), EventKind::node_trouble, "", nodes_[i]->name(), "", "", -1, 0, 0, 0,
                   "dead"});
        ground_.node_killed(nodes_[i]->name());
        nodes_[i].reset();
    };
    switch (f.what) {
        case FaultKind::drain:
            each([&](std::size_t i) {
                nodes_[i]->drain(f.tell);
                put(i);
            });
            break;
        case FaultKind::kill:
            each([&](std::size_t i) {
                const std::string name = places_[i].name;
                dies(i);
                later(now + plan_.list_late + kSecond, [this, name] { list_->remove(name); });
            });
            break;
        case FaultKind::rejoin:
            each([&](std::size_t i) {
                const WorkerSlot at = places_[i];
                dies(i);
                later(now + 300 * kMillisecond, [this, i, at] {
                    raise(i, at.name, at.address, ground_.loop().now());
                    seen_.add(
                        {ground_.loop().now(), EventKind::node_well, "", at.name, "", "", -1, 0, 0, 0, ""});
                    put(i);
                });
            });
            break;
        case FaultKind::silent:
            with([](ActiveFaults& x) { x.silent = true; });
            break;
        case FaultKind::slow:
            with([&](ActiveFaults& x) { x.slow = f.size; });
            break;
        case FaultKind::refuse:
            with([&](ActiveFaults& x) { x.refuse = f.size; });
            break;
        case FaultKind::fail_starts:
            with([&](ActiveFaults& x) { x.fail_starts = f.size; });
            break;
        case FaultKind::lose_answers:
            with([&](ActiveFaults& x) { x.lose_answers = f.size; });
            break;
        case FaultKind::late_yes:
            with([&](ActiveFaults& x) { x.late_yes = static_cast<Nanos>(f.size * 1e9); });
            break;
        case FaultKind::twice:
            with([](ActiveFaults& x) { x.twice = true; });
            break;
        case FaultKind::cut:
            each([&](std::size_t i) {
                trouble(i, true);
                if (ground_.cut(nodes_[i]->name(), f.in, f.out)) return;
                ActiveFaults x = nodes_[i]->faults();
                x.deaf = f.in;
                x.mute = f.out;
                nodes_[i]->set(x);
            });
            break;
        case FaultKind::pause:
            with([](ActiveFaults& x) { x.paused = true; });
            break;
        case FaultKind::rate:
            with([&](ActiveFaults& x) {
                x.rate_group = f.group;
                x.rate = f.size;
            });
            break;
        case FaultKind::other:
            with([&](ActiveFaults& x) { x.other_cores = f.size; });
            break;
        case FaultKind::reset:
            each([&](std::size_t i) {
                trouble(i, true);
                nodes_[i]->drop_connections();
                trouble(i, false);
            });
            break;
        case FaultKind::list_still:
            list_->stand_still(true);
            break;
        case FaultKind::list_down:
            list_->down(true);
            break;
        case FaultKind::list_backwards:
            list_->go_backwards();
            break;
        case FaultKind::list_none:
            list_->name_none();
            // It is right again with the next changes, which name all.
            break;
        case FaultKind::list_twice:
            each([&](std::size_t i) {
                v1::Entry other;
                other.set_node(places_[i].name);
                other.set_address(places_[i].address);
                other.set_stage(v1::Entry::SERVING);
                other.set_free_cores(1e6);
                list_->name_twice(places_[i].name, other);
            });
            break;
        case FaultKind::placer_kill:
            seen_.add({now, EventKind::placer_killed, "placer-" + std::to_string(f.which), "", "", "", -1, 0,
                       0, 0, ""});
            ground_.kill_placer(f.which);
            break;
        case FaultKind::placer_stall:
            seen_.add({now, EventKind::placer_stalled, "placer-" + std::to_string(f.which), "", "", "", -1, 0,
                       0, 0, ""});
            ground_.stall_placer(f.which, true);
            break;
        case FaultKind::owner_leave:
            for (std::size_t i = 0; i < plan_.placers; ++i) owners_[f.which]->leave(i);
            break;
        case FaultKind::owner_half:
            owners_[f.which]->half_message(0);
            break;
        case FaultKind::owner_deaf:
            owners_[f.which]->read(0, false);
            break;
        case FaultKind::burst:
            burst_ = f.size;
            break;
        case FaultKind::swell:
            for (std::size_t g = 0; g < fleet_->swell.size(); ++g)
                if (f.group < 0 || static_cast<int>(g) == f.group) fleet_->swell[g] = f.size;
            break;
        case FaultKind::withdraw:
            owners_[f.which]->withdraw_some(static_cast<std::size_t>(f.size));
            break;
    }
}

void ScenarioRun::lift(const Fault& f) {
    const Nanos now = ground_.loop().now();
    const auto without = [&](auto change) {
        for (const std::size_t i : f.nodes)
            if (nodes_[i]) {
                ActiveFaults x = nodes_[i]->faults();
                change(x);
                nodes_[i]->set(x);
                trouble(i, false);
            }
    };
    switch (f.what) {
        case FaultKind::drain:  // it dies, and a cold successor comes up elsewhere
            for (const std::size_t i : f.nodes) {
                if (!nodes_[i]) continue;
                nodes_[i]->send_all_away();
                const std::string old = places_[i].name;
                list_->remove(old);
                seen_.add({now, EventKind::node_trouble, "", old, "", "", -1, 0, 0, 0, "dead"});
                ground_.node_killed(old);
                nodes_[i].reset();
                const std::string name = "node-" + std::to_string(next_node_++);
                raise(i, name, ground_.node_address(name), now);
                put(i);
            }
            break;
        case FaultKind::silent:
            without([](ActiveFaults& x) { x.silent = false; });
            break;
        case FaultKind::slow:
            without([](ActiveFaults& x) { x.slow = 1; });
            break;
        case FaultKind::refuse:
            without([](ActiveFaults& x) { x.refuse = 0; });
            break;
        case FaultKind::fail_starts:
            without([](ActiveFaults& x) { x.fail_starts = 0; });
            break;
        case FaultKind::lose_answers:
            without([](ActiveFaults& x) { x.lose_answers = 0; });
            break;
        case FaultKind::late_yes:
            without([](ActiveFaults& x) { x.late_yes = 0; });
            break;
        case FaultKind::twice:
            without([](ActiveFaults& x) { x.twice = false; });
            break;
        case FaultKind::cut:
            for (const std::size_t i : f.nodes) {
                if (!nodes_[i]) continue;
                if (!ground_.cut(nodes_[i]->name(), false, false)) {
                    ActiveFaults x = nodes_[i]->faults();
                    x.deaf = x.mute = false;
                    nodes_[i]->set(x);
                }
                trouble(i, false);
            }
            break;
        case FaultKind::pause:
            without([](ActiveFaults& x) { x.paused = false; });
            break;
        case FaultKind::rate:
            without([](ActiveFaults& x) { x.rate_group = -1; });
            break;
        case FaultKind::other:
            without([](ActiveFaults& x) { x.other_cores = 0; });
            break;
        case FaultKind::list_still:
            list_->stand_still(false);
            break;
        case FaultKind::list_down:
            list_->down(false);
            break;
        case FaultKind::placer_kill:
            ground_.start_placer(
                f.which,
                placer_configuration(plan_, f.which, ground_.placer_address(f.which), list_->address()));
            break;
        case FaultKind::placer_stall:
            ground_.stall_placer(f.which, false);
            seen_.add({now, EventKind::placer_well, "placer-" + std::to_string(f.which), "", "", "", -1, 0, 0,
                       0, ""});
            break;
        case FaultKind::owner_deaf:
            owners_[f.which]->read(0, true);
            break;
        case FaultKind::burst:
            burst_ = 1;
            break;
        case FaultKind::swell:
            for (std::size_t g = 0; g < fleet_->swell.size(); ++g)
                if (f.group < 0 || static_cast<int>(g) == f.group) fleet_->swell[g] = 1;
            break;
        default:
            break;
    }
}

void ScenarioRun::tell_progress() {
    const Nanos now = ground_.loop().now();
    std::size_t waiting = 0, running = 0;
    std::uint64_t placed = 0, deferred = 0;
    for (const auto& o : owners_) {
        waiting += o->waiting();
        for (const QueueGroupCounts& c : o->counts()) {
            placed += c.placed;
            deferred += c.deferred;
        }
    }
    for (const auto& n : nodes_) running += n ? n->containers() : 0;
    std::ostringstream out;
    out << "at " << (now - began_) / kSecond << " s: waiting " << waiting << ", on nodes " << running
        << ", placed " << placed << ", deferred " << deferred;
    progress_(out.str());
    if (!over_) later(now + 5 * kSecond, [this] { tell_progress(); });
}

void ScenarioRun::sample() {
    const Nanos now = ground_.loop().now();
    ServiceSample s;
    s.at = now - began_;
    s.wanted.resize(plan_.groups.size());
    s.running = s.served = s.wanted;
    for (const auto& o : owners_) o->wants(s.wanted);
    for (const auto& n : nodes_)
        if (n) n->serves(s.running, s.served);
    for (std::size_t g = 0; g < s.wanted.size(); ++g) s.wanted[g] += s.running[g];
    samples_.push_back(std::move(s));
    if (!over_ && now < began_ + plan_.length) later(now + kSecond, [this] { sample(); });
}

void ScenarioRun::finish() {
    const Nanos now = ground_.loop().now();
    Nanos longest = 0;
    for (const LoadProfile& l : plan_.loads) longest = std::max(longest, l.queue_timeout);
    std::size_t waiting = 0;
    for (const auto& o : owners_) waiting += o->waiting();
    if (waiting && now < began_ + plan_.length + 2 * longest + 5 * kSecond)
        return later(now + 100 * kMillisecond, [this] { finish(); });
    over_ = true;
    RunResult out;
    RuleSettings terms;
    terms.groups = plan_.groups;
    terms.places = all_places_;
    terms.drain_grace = plan_.drain_grace;
    terms.slack = plan_.slack;
    out.verdict = check_invariants(seen_, terms, now);
    out.counts.resize(plan_.groups.size());
    for (const auto& o : owners_) {
        for (std::size_t g = 0; g < out.counts.size(); ++g) {
            const QueueGroupCounts& c = o->counts()[g];
            QueueGroupCounts& to = out.counts[g];
            to.asked += c.asked;
            to.placed += c.placed;
            to.deferred += c.deferred;
            to.killed += c.killed;
            to.in_time += c.in_time;
            to.again += c.again;
            to.never += c.never;
        }
    }
    out.still_waiting = waiting;
    done_(out);
}

std::string ScenarioRun::table(const RunResult& out) const {
    std::ostringstream t;
    const auto cell = [&t](const std::string& s, std::size_t width) {
        t << s << std::string(width > s.size() ? width - s.size() : 1, ' ');
    };
    for (const char* head :
         {"queue group", "asked", "placed", "in time", "deferred", "killed", "asked again", "never"})
        cell(head, head == std::string("queue group") ? 20 : 12);
    t << '\n';
    for (std::size_t g = 0; g < out.counts.size(); ++g) {
        const QueueGroupCounts& c = out.counts[g];
        cell(plan_.groups[g].name, 20);
        for (const std::uint64_t n : {c.asked, c.placed, c.in_time, c.deferred, c.killed, c.again, c.never})
            cell(std::to_string(n), 12);
        t << '\n';
    }
    return t.str();
}

}  // namespace whinpost::emulator
