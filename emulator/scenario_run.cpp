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
    f.at = t.duration("at_s", 0, p.length);
    f.duration = t.duration("for_s", 0, p.length, 0);
    f.kind = static_cast<FaultKind>(t.choice("do", kDo));
    f.size = t.number("size", 0, 1e6, 1);
    f.announce = t.boolean("tell", true);
    const bool share =
        f.kind == FaultKind::refuse || f.kind == FaultKind::fail_starts || f.kind == FaultKind::lose_answers;
    if (share && f.size > 1) t.add_error("size", "is a share here: at most 1");
    if (lasting(f.kind) && !f.duration) t.add_error("for_s", "is missing: this trouble lasts for a time");
    if (f.kind == FaultKind::rate || f.kind == FaultKind::swell) {
        if (f.kind == FaultKind::rate || t.has("group"))
            f.group = static_cast<int>(t.choice("group", groups));
    }
    if (f.kind == FaultKind::cut) {
        const std::size_t way = t.choice("way", {"both", "in", "out"}, 0);
        f.in = way != 2;
        f.out = way != 1;
    }
    const auto waves = static_cast<std::size_t>(t.integer("waves", 1, 10'000, 1));
    const Nanos every = waves > 1 ? t.duration("every_s", kMillisecond, p.length) : 0;
    if (at_nodes(f.kind)) {
        const auto first =
            static_cast<std::size_t>(t.integer("node", 0, static_cast<std::int64_t>(p.workers) - 1, 0));
        const auto count =
            static_cast<std::size_t>(t.integer("count", 1, static_cast<std::int64_t>(p.workers - first), 1));
        if (t.has("zone")) {
            const std::string name = t.string("zone");
            const auto at = std::find(p.zones.begin(), p.zones.end(), name);
            if (at == p.zones.end()) t.add_error("zone", "must be one of fleet.zones");
            for (std::size_t i = 0; i < p.workers && !p.zones.empty(); ++i)
                if (static_cast<std::ptrdiff_t>(i % p.zones.size()) == at - p.zones.begin())
                    f.nodes.push_back(i);
        } else {
            for (std::size_t i = first; i < first + count; ++i) f.nodes.push_back(i);
        }
        if (waves > f.nodes.size()) t.add_error("waves", "must be no more than the nodes it is for");
    } else if (at_placer(f.kind)) {
        f.target =
            static_cast<std::size_t>(t.integer("placer", 0, static_cast<std::int64_t>(p.placers) - 1, 0));
    } else if (at_owner(f.kind)) {
        f.target =
            static_cast<std::size_t>(t.integer("owner", 0, static_cast<std::int64_t>(p.clients) - 1, 0));
    }
    if (f.at + static_cast<Nanos>(waves - 1) * every > p.length)
        t.add_error("waves", "must all begin within the day");
    // The same trouble twice at once on one node, or any on what was killed for good, is a slip.
    std::size_t killed = 0;
    for (const Fault& o : p.faults) {
        const bool meet = f.at < o.at + o.duration && o.at < f.at + f.duration;
        for (const std::size_t n : f.nodes) {
            if (std::find(o.nodes.begin(), o.nodes.end(), n) == o.nodes.end()) continue;
            if (o.kind == f.kind && meet) {
                t.add_error("at_s", "overlaps with the same trouble on node " + std::to_string(n));
                break;
            }
            killed += o.kind == FaultKind::kill && f.at > o.at;
        }
        if (o.kind == f.kind && meet && f.nodes.empty() && o.target == f.target && o.group == f.group)
            t.add_error("at_s", "overlaps with the same trouble named before");
    }
    if (!f.nodes.empty() && killed >= f.nodes.size()) t.add_error("node", "is killed for good before");
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
    e.metric = static_cast<Metric>(t.choice("of", kOf));
    if (t.has("group")) e.group = static_cast<int>(t.choice("group", groups));
    e.from = t.duration("from_s", 0, p.length, 0);
    e.to = t.duration("to_s", 0, p.length, p.length);
    if (e.to <= e.from) t.add_error("to_s", "must be later than from_s");
    const bool shares = e.metric == Metric::placed || e.metric == Metric::in_time ||
                        e.metric == Metric::service || e.metric == Metric::worst_second ||
                        e.metric == Metric::refused || e.metric == Metric::busiest;
    const double most = shares ? 1 : 1e9;
    e.at_least = t.has("at_least");
    if (e.at_least == t.has("at_most"))
        t.add_error("at_least", "or at_most must be there, and one of them only");
    else e.bound = t.number(e.at_least ? "at_least" : "at_most", 0, most);
    if (e.metric == Metric::back) e.share = t.number("share", 0, 1);
    const auto any = [&p](auto which) { return std::any_of(p.faults.begin(), p.faults.end(), which); };
    if (e.group >= 0 && std::none_of(p.loads.begin(), p.loads.end(), [&e](const LoadProfile& l) {
            return l.group == e.group && l.per_second > 0;
        }))
        t.add_error("group", "has no load: this can never be checked");
    if (e.metric == Metric::drain_lag && !any([](const Fault& f) { return f.kind == FaultKind::drain; }))
        t.add_error("of", "is about drains, and no node drains: this can never be checked");
    if (e.metric == Metric::fallen &&
        !any([](const Fault& f) { return f.kind == FaultKind::drain || f.kind == FaultKind::rejoin; }))
        t.add_error("of", "is about cold nodes, and none comes up: this can never be checked");
    if (e.metric == Metric::back && !any([&e](const Fault& f) { return f.at <= e.from; }))
        t.add_error("from_s", "is before all troubles: there is nothing to be back from");
    return e;
}

tl::expected<Scenario, config::ConfigErrors> plan_of(config::Document& file, const std::string& text,
                                                     const ScenarioOverrides& overrides) {
    Scenario p;
    config::Table root = file.root();
    if (root.has("like")) root.string("like");  // whose tables were added by whoever read the file
    if (!root.has("day")) root.add_error("day", "is missing: a table with length_s");
    config::Table day = root.table("day");
    p.name = day.string("name", "day");
    p.length = day.duration("length_s", kSecond, 24 * 3600 * kSecond, 30 * kSecond);
    p.seed = static_cast<std::uint64_t>(day.integer("seed", 1, INT64_MAX, 1));
    p.placers = static_cast<std::size_t>(day.integer("placers", 1, 1000, 1));
    if (overrides.placers) p.placers = overrides.placers;
    p.clients = static_cast<std::size_t>(day.integer("owners", 1, 1000, 1));
    p.discovery_pushes = day.boolean("list_pushes", true);
    p.slack = day.duration("slack_ms", kMillisecond, 10 * kSecond, p.slack);
    p.discovery_delay = day.duration("list_late_ms", 0, 3600 * kSecond, 500 * kMillisecond);

    if (!root.has("fleet")) root.add_error("fleet", "is missing: a table with nodes and zones");
    config::Table fleet = root.table("fleet");
    p.workers = static_cast<std::size_t>(fleet.integer("nodes", 1, 100'000));
    if (day.has("nodes")) p.workers = static_cast<std::size_t>(day.integer("nodes", 1, 100'000));
    if (overrides.workers) p.workers = overrides.workers;
    p.zones = fleet.strings("zones");
    p.cells_per_zone = static_cast<int>(fleet.integer("cells_in_zone", 1, 10'000, 1));
    EmulatedWorkerSettings& n = p.worker;
    const Nanos hour = 3600 * kSecond;
    n.judge = fleet.duration("judge_ms", 0, hour, n.judge);
    n.line = static_cast<std::size_t>(fleet.integer("line", 1, 1'000'000, static_cast<std::int64_t>(n.line)));
    n.starts = static_cast<int>(fleet.integer("starts", 1, 10'000, n.starts));
    n.start = fleet.duration("start_ms", kMillisecond, hour, n.start);
    n.without_program = fleet.number("without_program", 1, 1000, n.without_program);
    n.program_kept = fleet.duration("program_kept_ms", 0, hour, n.program_kept);
    n.gives_turns = fleet.boolean("gives_turns", false);
    n.drawn_starts = fleet.boolean("drawn_starts", false);
    n.reports = fleet.boolean("reports", true);
    n.sends_away_every = fleet.duration("sends_away_every_ms", 0, hour, 0);
    n.report_every = fleet.duration("report_every_ms", kMillisecond, hour, n.report_every);

    p.kinds = config::worker_kinds(root);
    for (const config::NamedQueueGroup& g : config::queue_groups(root, p.kinds.size()))
        p.groups.push_back({g.name, g.queue_group});
    const WorkerAcceptance accepts = config::worker_acceptance(root);
    const SlowStartSettings cold = config::slow_start_settings(root);
    p.retry = config::retry_settings(root);
    config::prices(root);
    config::admission_limits(root);
    p.drain_grace = config::connection_settings(root).drain_grace;
    config::dial_limits(root);
    config::log_settings(root);
    n.cores_multiple = accepts.cores_overcommit;
    n.memory_multiple = accepts.memory_overcommit;
    n.yes_on_running = accepts.accepts_when_running;
    n.preempts = accepts.preempts;
    n.reports_use = accepts.reports_use;
    n.notes_pressure = accepts.reports_pressure;
    n.cold_from = cold.initial_capacity;
    n.warm_after = cold.warm_up_time;
    n.fall_multiple = cold.overload_factor;
    n.fall_window = cold.window;
    n.always_borne = cold.guaranteed_attempts;

    std::vector<std::string_view> group_names;
    for (const NamedQueueGroup& g : p.groups) group_names.push_back(g.name);
    const double factor = day.number("load", 0, 1000, 1);
    for (config::Table& t : root.tables("load")) {
        LoadProfile l;
        l.group = static_cast<int>(t.choice("group", group_names));
        l.per_second = factor * t.number("a_second", 0, 1e6);
        l.services = static_cast<int>(t.integer("services", 1, 100'000, 4));
        l.batch_size = static_cast<int>(t.integer("batch", 1, 10'000, 1));
        l.cores = amounts(t, "cores");
        l.memory = amounts(t, "memory");
        if (l.cores.size() != l.memory.size()) t.add_error("memory", "must have as many shapes as cores");
        l.queue_timeout = t.duration("queue_timeout_ms", 10 * kMillisecond, hour);
        l.min_runtime = t.duration("life_least_ms", kMillisecond, hour, l.min_runtime);
        l.max_runtime =
            t.duration("life_most_ms", l.min_runtime, hour, std::max(l.min_runtime, l.max_runtime));
        p.loads.push_back(l);
    }
    if (p.loads.empty()) root.add_error("load", "must name one load or more");
    p.first_placer_share = day.number("lean", 0, 1, 0);
    if (root.has("network")) {
        config::Table net = root.table("network");
        p.network.least = net.duration("least_ms", 0, 10 * kSecond, p.network.least);
        p.network.spread = net.duration("spread_ms", 0, 10 * kSecond, p.network.spread);
        p.network.late_share = net.number("late_share", 0, 1, 0);
        p.network.late = net.duration("late_ms", 0, 10 * kSecond, 0);
        // An offer and its answer are each on the way for up to that: what owners see is so much later than
        // what the placer did.
        p.slack += 2 * (p.network.least + p.network.spread + p.network.late);
    }
    if (root.has("list_at_start")) {
        config::Table old = root.table("list_at_start");
        p.stale_discovery.age = old.duration("age_s", kSecond, 30 * 24 * hour);
        p.stale_discovery.lasts = old.duration("for_s", kSecond, p.length);
        p.stale_discovery.ghosts = static_cast<std::size_t>(old.integer("ghosts", 0, 100'000, 0));
        p.stale_discovery.missing =
            static_cast<std::size_t>(old.integer("missing", 0, static_cast<std::int64_t>(p.workers), 0));
    }
    for (config::Table& t : root.tables("fault")) read_fault(p, t, group_names);
    std::stable_sort(p.faults.begin(), p.faults.end(),
                     [](const Fault& a, const Fault& b) { return a.at < b.at; });
    for (config::Table& t : root.tables("expect")) p.expectations.push_back(read_expect(p, t, group_names));
    config::ConfigErrors errors = file.take_errors();
    if (!errors.empty()) return tl::unexpected(std::move(errors));
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

tl::expected<Scenario, config::ConfigErrors> parse_scenario(const std::string& text, const std::string& name,
                                                            const ScenarioOverrides& overrides) {
    config::Document file = config::Document::parse(text, name);
    return plan_of(file, text, overrides);
}

std::string placer_configuration(const Scenario& p, std::size_t i, const std::string& listen,
                                 const std::string& list) {
    std::ostringstream out;
    out << p.placer_tables << "\n\n[placer]\nname = \"placer-" << i << "\"\nlisten = \"" << listen
        << "\"\nzone = \"" << p.zones[i % p.zones.size()] << "\"\nzones = [";
    for (std::size_t z = 0; z < p.zones.size(); ++z) out << (z ? ", " : "") << '"' << p.zones[z] << '"';
    out << "]\nplacers = " << p.placers << "\nme = " << i << "\n\n[list]\naddress = \"" << list
        << "\"\nmode = \"" << (p.discovery_pushes ? "push" : "on_request") << "\"\n";
    return out.str();
}

// ---------------------------------------------------------------- the play

ScenarioRun::ScenarioRun(const Scenario& plan, TestEnvironment& ground,
                         std::function<void(const std::string&)> progress)
    : scenario_(plan), environment_(ground), progress_(std::move(progress)),
      fleet_(std::make_unique<EmulatedFleet>(ground.loop(), events_, plan.groups, plan.seed)),
      random_(static_cast<std::ranlux24_base::result_type>(plan.seed * 7919 + 1)) {}

ScenarioRun::~ScenarioRun() = default;

void ScenarioRun::schedule(Nanos at, std::function<void()> f) {
    scheduled_.push_back(std::make_unique<ScheduledCall>(std::move(f)));
    fleet_->arm(*scheduled_.back(), at);
    if (scheduled_.size() > 4096) std::erase_if(scheduled_, [](const auto& l) { return !l->armed(); });
}

std::string ScenarioRun::start_worker(std::size_t i, const std::string& name, const std::string& address,
                                      Nanos started) {
    WorkerSlot& at = slots_[i];
    EmulatedWorkerSettings terms = scenario_.worker;
    terms.cores = scenario_.kinds[static_cast<std::size_t>(at.kind)].cores;
    terms.memory = scenario_.kinds[static_cast<std::size_t>(at.kind)].memory;
    terms.kind = at.kind;
    if (workers_[i]) dead_workers_.push_back(std::move(workers_[i]));
    workers_[i] = std::make_unique<EmulatedWorker>(*fleet_, environment_.worker_loop(name, at.zone), name,
                                                   at.zone, at.cell, terms, next_incarnation_++, started);
    const std::string wrong = workers_[i]->listen(address);
    if (!wrong.empty()) return name + " can't listen on " + address + ": " + wrong;
    at.name = name;
    at.address = workers_[i]->address();
    at.started = started;
    locations_.push_back({name, at.zone, at.cell});
    return "";
}

std::string ScenarioRun::start(std::function<void(const RunResult&)> done) {
    done_ = std::move(done);
    discovery_ = std::make_unique<DiscoveryService>(environment_.loop(), events_, scenario_.discovery_pushes,
                                                    scenario_.discovery_delay, 1);
    std::string wrong = discovery_->listen(environment_.discovery_address());
    if (!wrong.empty()) return "the list service can't listen: " + wrong;
    workers_.resize(scenario_.workers);
    const int zones = static_cast<int>(scenario_.zones.size());
    for (std::size_t i = 0; i < scenario_.workers; ++i) {
        const int zone = static_cast<int>(i) % zones;
        const int cell =
            zone * scenario_.cells_per_zone + static_cast<int>(i) / zones % scenario_.cells_per_zone;
        slots_.push_back({"", "", zone, cell, static_cast<int>(i % scenario_.kinds.size()), 0, 0});
        const std::string name = "node-" + std::to_string(next_worker_++);
        wrong = start_worker(i, name, environment_.worker_address(name), 0);
        if (!wrong.empty()) return wrong;
        publish(i);
    }
    if (scenario_.stale_discovery.age) {
        std::vector<v1::Endpoint> ghosts;
        for (std::size_t i = 0; i < scenario_.stale_discovery.ghosts; ++i) {
            v1::Endpoint e;
            e.set_worker("former-" + std::to_string(i));
            e.set_address(environment_.dead_address(i));
            e.set_zone(static_cast<std::uint32_t>(i % scenario_.zones.size()));
            e.set_cell(static_cast<std::uint32_t>(i % scenario_.zones.size()) *
                       static_cast<std::uint32_t>(scenario_.cells_per_zone));
            e.set_kind(0);
            e.set_free_cores(scenario_.kinds[0].cores);
            e.set_free_memory(scenario_.kinds[0].memory);
            ghosts.push_back(e);
        }
        std::vector<std::string> unknown;
        for (std::size_t i = 0; i < scenario_.stale_discovery.missing; ++i) unknown.push_back(slots_[i].name);
        discovery_->be_old(scenario_.stale_discovery.age, ghosts, unknown);
    }
    std::vector<std::string> placers;
    for (std::size_t i = 0; i < scenario_.placers; ++i) {
        placers.push_back(environment_.placer_address(i));
        environment_.start_placer(i,
                                  placer_configuration(scenario_, i, placers.back(), discovery_->address()));
    }
    for (std::size_t i = 0; i < scenario_.clients; ++i) {
        clients_.push_back(std::make_unique<EmulatedClient>(*fleet_, "owner-" + std::to_string(i), placers,
                                                            scenario_.first_placer_share));
        clients_.back()->connect();
    }
    await_connections(environment_.loop().now() + 20 * kSecond);
    return "";
}

// The day begins when every owner has every placer, and the first list had its time.
void ScenarioRun::await_connections(Nanos give_up) {
    bool all = true;
    for (const auto& o : clients_)
        for (std::size_t i = 0; i < scenario_.placers; ++i) all = all && o->connected(i);
    const Nanos now = environment_.loop().now();
    if (all || now > give_up)
        schedule(now + scenario_.discovery_delay + 500 * kMillisecond, [this] { begin(); });
    else schedule(now + 50 * kMillisecond, [this, give_up] { await_connections(give_up); });
}

void ScenarioRun::begin() {
    started_at_ = environment_.loop().now();
    for (std::size_t i = 0; i < scenario_.loads.size(); ++i) on_arrival(i);
    for (const Fault& f : scenario_.faults) {
        schedule(started_at_ + f.at, [this, &f] { inject(f); });
        if (f.duration) schedule(started_at_ + f.at + f.duration, [this, &f] { heal(f); });
    }
    if (scenario_.stale_discovery.age)
        schedule(started_at_ + scenario_.stale_discovery.lasts, [this] { discovery_->end_old(); });
    publish_all();
    tell_progress();
    sample();
    schedule(started_at_ + scenario_.length, [this] { finish(); });
}

void ScenarioRun::on_arrival(std::size_t i) {
    const LoadProfile& l = scenario_.loads[i];
    const Nanos now = environment_.loop().now();
    if (now >= started_at_ + scenario_.length) return;
    if (now > started_at_) {
        const auto roll = [this](std::size_t n) { return static_cast<std::size_t>(random_()) % n; };
        const std::string service = scenario_.groups[static_cast<std::size_t>(l.group)].name + "-" +
                                    std::to_string(roll(static_cast<std::size_t>(l.services)));
        const std::size_t shape = stable_hash(service) % l.cores.size();
        for (int k = 0; k < l.batch_size; ++k) {
            TaskRequest a;
            a.container = "c" + std::to_string(next_task_++);
            a.service = service;
            a.group = l.group;
            a.cores = l.cores[shape];
            a.memory = l.memory[shape];
            a.queue_timeout = l.queue_timeout;
            a.life = l.min_runtime + static_cast<Nanos>(static_cast<double>(roll(4096)) / 4096 *
                                                        static_cast<double>(l.max_runtime - l.min_runtime));
            std::size_t who = roll(clients_.size());
            for (std::size_t tried = 0; clients_[who]->left() && tried < clients_.size(); ++tried)
                who = (who + 1) % clients_.size();
            clients_[who]->ask(a);
        }
    }
    const double u = (static_cast<double>(random_() % 65536) + 1) / 65537;
    const double gap = -std::log(u) / std::max(1e-9, l.per_second * burst_ / l.batch_size);
    schedule(now + std::max<Nanos>(1, static_cast<Nanos>(gap * 1e9)), [this, i] { on_arrival(i); });
}

void ScenarioRun::publish(std::size_t i) {
    v1::Endpoint e;
    const WorkerSlot& at = slots_[i];
    e.set_worker(at.name);
    e.set_address(at.address);
    e.set_zone(static_cast<std::uint32_t>(at.zone));
    e.set_cell(static_cast<std::uint32_t>(at.cell));
    e.set_kind(static_cast<std::uint32_t>(at.kind));
    const EmulatedWorker* n = workers_[i].get();
    if (!n) return;
    e.set_free_cores(n->free_cores());
    e.set_free_memory(n->free_memory());
    e.set_phase(n->draining() ? v1::Endpoint::DRAINING : v1::Endpoint::SERVING);
    discovery_->put(e, at.started);
}

void ScenarioRun::publish_all() {
    for (std::size_t i = 0; i < workers_.size(); ++i) publish(i);
    if (!finished_) schedule(environment_.loop().now() + 500 * kMillisecond, [this] { publish_all(); });
}

void ScenarioRun::mark_fault(std::size_t i, bool on) {
    WorkerSlot& at = slots_[i];
    if (on && at.troubles++ == 0 && workers_[i]) workers_[i]->trouble(true);
    if (!on && --at.troubles == 0 && workers_[i]) workers_[i]->trouble(false);
}

void ScenarioRun::inject(const Fault& f) {
    const Nanos now = environment_.loop().now();
    progress_("fault " + std::string(kDo[static_cast<std::size_t>(f.kind)]) +
              (f.nodes.empty() ? "" : " on " + std::to_string(f.nodes.size()) + " node(s)"));
    const auto each = [&](auto then) {
        for (const std::size_t i : f.nodes)
            if (workers_[i]) then(i);
    };
    const auto with = [&](auto change) {
        each([&](std::size_t i) {
            ActiveFaults now_in_force = workers_[i]->faults();
            change(now_in_force);
            mark_fault(i, true);
            workers_[i]->set(now_in_force);
        });
    };
    const auto dies = [this](std::size_t i) {
        events_.add({environment_.loop().now(), EventKind::node_trouble, "", workers_[i]->name(), "", "", -1,
                     0, 0, 0, "dead"});
        environment_.on_worker_killed(workers_[i]->name());
        workers_[i].reset();
    };
    switch (f.kind) {
        case FaultKind::drain:
            each([&](std::size_t i) {
                workers_[i]->drain(f.announce);
                publish(i);
            });
            break;
        case FaultKind::kill:
            each([&](std::size_t i) {
                const std::string name = slots_[i].name;
                dies(i);
                schedule(now + scenario_.discovery_delay + kSecond,
                         [this, name] { discovery_->remove(name); });
            });
            break;
        case FaultKind::rejoin:
            each([&](std::size_t i) {
                const WorkerSlot at = slots_[i];
                dies(i);
                schedule(now + 300 * kMillisecond, [this, i, at] {
                    start_worker(i, at.name, at.address, environment_.loop().now());
                    events_.add({environment_.loop().now(), EventKind::node_well, "", at.name, "", "", -1, 0,
                                 0, 0, ""});
                    publish(i);
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
                mark_fault(i, true);
                if (environment_.cut(workers_[i]->name(), f.in, f.out)) return;
                ActiveFaults x = workers_[i]->faults();
                x.deaf = f.in;
                x.mute = f.out;
                workers_[i]->set(x);
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
                mark_fault(i, true);
                workers_[i]->drop_connections();
                mark_fault(i, false);
            });
            break;
        case FaultKind::list_still:
            discovery_->stand_still(true);
            break;
        case FaultKind::list_down:
            discovery_->down(true);
            break;
        case FaultKind::list_backwards:
            discovery_->go_backwards();
            break;
        case FaultKind::list_none:
            discovery_->name_none();
            // It is right again with the next changes, which name all.
            break;
        case FaultKind::list_twice:
            each([&](std::size_t i) {
                v1::Endpoint other;
                other.set_worker(slots_[i].name);
                other.set_address(slots_[i].address);
                other.set_phase(v1::Endpoint::SERVING);
                other.set_free_cores(1e6);
                discovery_->name_twice(slots_[i].name, other);
            });
            break;
        case FaultKind::placer_kill:
            events_.add({now, EventKind::placer_killed, "placer-" + std::to_string(f.target), "", "", "", -1,
                         0, 0, 0, ""});
            environment_.kill_placer(f.target);
            break;
        case FaultKind::placer_stall:
            events_.add({now, EventKind::placer_stalled, "placer-" + std::to_string(f.target), "", "", "", -1,
                         0, 0, 0, ""});
            environment_.stall_placer(f.target, true);
            break;
        case FaultKind::owner_leave:
            for (std::size_t i = 0; i < scenario_.placers; ++i) clients_[f.target]->leave(i);
            break;
        case FaultKind::owner_half:
            clients_[f.target]->half_message(0);
            break;
        case FaultKind::owner_deaf:
            clients_[f.target]->read(0, false);
            break;
        case FaultKind::burst:
            burst_ = f.size;
            break;
        case FaultKind::swell:
            for (std::size_t g = 0; g < fleet_->swell.size(); ++g)
                if (f.group < 0 || static_cast<int>(g) == f.group) fleet_->swell[g] = f.size;
            break;
        case FaultKind::withdraw:
            clients_[f.target]->withdraw_some(static_cast<std::size_t>(f.size));
            break;
    }
}

void ScenarioRun::heal(const Fault& f) {
    const Nanos now = environment_.loop().now();
    const auto without = [&](auto change) {
        for (const std::size_t i : f.nodes)
            if (workers_[i]) {
                ActiveFaults x = workers_[i]->faults();
                change(x);
                workers_[i]->set(x);
                mark_fault(i, false);
            }
    };
    switch (f.kind) {
        case FaultKind::drain:  // it dies, and a cold successor comes up elsewhere
            for (const std::size_t i : f.nodes) {
                if (!workers_[i]) continue;
                workers_[i]->send_all_away();
                const std::string old = slots_[i].name;
                discovery_->remove(old);
                events_.add({now, EventKind::node_trouble, "", old, "", "", -1, 0, 0, 0, "dead"});
                environment_.on_worker_killed(old);
                workers_[i].reset();
                const std::string name = "node-" + std::to_string(next_worker_++);
                start_worker(i, name, environment_.worker_address(name), now);
                publish(i);
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
                if (!workers_[i]) continue;
                if (!environment_.cut(workers_[i]->name(), false, false)) {
                    ActiveFaults x = workers_[i]->faults();
                    x.deaf = x.mute = false;
                    workers_[i]->set(x);
                }
                mark_fault(i, false);
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
            discovery_->stand_still(false);
            break;
        case FaultKind::list_down:
            discovery_->down(false);
            break;
        case FaultKind::placer_kill:
            environment_.start_placer(
                f.target, placer_configuration(scenario_, f.target, environment_.placer_address(f.target),
                                               discovery_->address()));
            break;
        case FaultKind::placer_stall:
            environment_.stall_placer(f.target, false);
            events_.add({now, EventKind::placer_well, "placer-" + std::to_string(f.target), "", "", "", -1, 0,
                         0, 0, ""});
            break;
        case FaultKind::owner_deaf:
            clients_[f.target]->read(0, true);
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
    const Nanos now = environment_.loop().now();
    std::size_t waiting = 0, running = 0;
    std::uint64_t placed = 0, deferred = 0;
    for (const auto& o : clients_) {
        waiting += o->waiting();
        for (const QueueGroupCounts& c : o->counts()) {
            placed += c.accepted;
            deferred += c.rejected;
        }
    }
    for (const auto& n : workers_) running += n ? n->containers() : 0;
    std::ostringstream out;
    out << "at " << (now - started_at_) / kSecond << " s: waiting " << waiting << ", on nodes " << running
        << ", placed " << placed << ", deferred " << deferred;
    progress_(out.str());
    if (!finished_) schedule(now + 5 * kSecond, [this] { tell_progress(); });
}

void ScenarioRun::sample() {
    const Nanos now = environment_.loop().now();
    ServiceSample s;
    s.at = now - started_at_;
    s.wanted.resize(scenario_.groups.size());
    s.running = s.served = s.wanted;
    for (const auto& o : clients_) o->wants(s.wanted);
    for (const auto& n : workers_)
        if (n) n->serves(s.running, s.served);
    for (std::size_t g = 0; g < s.wanted.size(); ++g) s.wanted[g] += s.running[g];
    samples_.push_back(std::move(s));
    if (!finished_ && now < started_at_ + scenario_.length) schedule(now + kSecond, [this] { sample(); });
}

void ScenarioRun::finish() {
    const Nanos now = environment_.loop().now();
    Nanos longest = 0;
    for (const LoadProfile& l : scenario_.loads) longest = std::max(longest, l.queue_timeout);
    std::size_t waiting = 0;
    for (const auto& o : clients_) waiting += o->waiting();
    if (waiting && now < started_at_ + scenario_.length + 2 * longest + 5 * kSecond)
        return schedule(now + 100 * kMillisecond, [this] { finish(); });
    finished_ = true;
    RunResult out;
    RuleSettings terms;
    terms.groups = scenario_.groups;
    terms.locations = locations_;
    terms.drain_grace = scenario_.drain_grace;
    terms.slack = scenario_.slack;
    out.verdict = check_invariants(events_, terms, now);
    out.counts.resize(scenario_.groups.size());
    for (const auto& o : clients_) {
        for (std::size_t g = 0; g < out.counts.size(); ++g) {
            const QueueGroupCounts& c = o->counts()[g];
            QueueGroupCounts& to = out.counts[g];
            to.requested += c.requested;
            to.accepted += c.accepted;
            to.rejected += c.rejected;
            to.failed += c.failed;
            to.in_time += c.in_time;
            to.retried += c.retried;
            to.abandoned += c.abandoned;
        }
    }
    out.pending = waiting;
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
        cell(scenario_.groups[g].name, 20);
        for (const std::uint64_t n :
             {c.requested, c.accepted, c.in_time, c.rejected, c.failed, c.retried, c.abandoned})
            cell(std::to_string(n), 12);
        t << '\n';
    }
    return t.str();
}

}  // namespace whinpost::emulator
