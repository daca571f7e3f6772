#include "emulator/scenario_parser.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

#include "config/document.h"
#include "config/placer_file.h"
#include "config/toml.h"

namespace whinpost::emulator {

namespace {

using config::Table;

constexpr Nanos kHour = 3600 * kSecond;
constexpr int kMaxShapes = 8;

enum class FaultTarget { none, workers, placer, client };

struct FaultTraits {
    std::string_view name;  // name in scenario files
    FaultTarget target;
    bool needs_duration;
    bool size_is_share;
};

// In the order of FaultKind.
constexpr std::array<FaultTraits, 28> kFaults{{
    {"drain", FaultTarget::workers, false, false},       {"kill", FaultTarget::workers, false, false},
    {"rejoin", FaultTarget::workers, false, false},      {"silent", FaultTarget::workers, true, false},
    {"slow", FaultTarget::workers, true, false},         {"refuse", FaultTarget::workers, true, true},
    {"fail_starts", FaultTarget::workers, true, true},   {"lose_answers", FaultTarget::workers, true, true},
    {"late_yes", FaultTarget::workers, true, false},     {"twice", FaultTarget::workers, true, false},
    {"cut", FaultTarget::workers, true, false},          {"pause", FaultTarget::workers, true, false},
    {"rate", FaultTarget::workers, true, false},         {"other", FaultTarget::workers, true, false},
    {"reset", FaultTarget::workers, false, false},       {"list_still", FaultTarget::none, false, false},
    {"list_backwards", FaultTarget::none, false, false}, {"list_none", FaultTarget::none, false, false},
    {"list_twice", FaultTarget::workers, false, false},  {"placer_kill", FaultTarget::placer, false, false},
    {"placer_stall", FaultTarget::placer, true, false},  {"owner_leave", FaultTarget::client, false, false},
    {"owner_half", FaultTarget::client, false, false},   {"owner_deaf", FaultTarget::client, false, false},
    {"burst", FaultTarget::none, true, false},           {"withdraw", FaultTarget::client, false, false},
    {"list_down", FaultTarget::none, true, false},       {"swell", FaultTarget::none, true, false},
}};
static_assert(kFaults.size() == static_cast<std::size_t>(FaultKind::increase_use) + 1);

const FaultTraits& traits_of(FaultKind kind) { return kFaults[static_cast<std::size_t>(kind)]; }

std::vector<std::string_view> fault_names() {
    std::vector<std::string_view> names;
    names.reserve(kFaults.size());
    for (const FaultTraits& traits : kFaults) names.push_back(traits.name);
    return names;
}

// In the order of Metric.
const std::vector<std::string_view> kMetrics = {"placed", "in_time",      "service", "worst_second",
                                                "back",   "launches",     "refused", "drain_lag",
                                                "fallen", "wrongly_lost", "never",   "busiest"};

bool is_share(Metric metric) {
    switch (metric) {
        case Metric::placed:
        case Metric::in_time:
        case Metric::service:
        case Metric::worst_second:
        case Metric::rejected:
        case Metric::busiest:
            return true;
        default:
            return false;
    }
}

// Reads the keys cores, cores2, cores3 and so on, one per task size.
std::vector<double> read_shapes(Table& table, std::string_view key) {
    std::vector<double> values;
    for (int i = 0; i < kMaxShapes; ++i) {
        const std::string numbered = std::string(key) + (i ? std::to_string(i + 1) : "");
        if (i && !table.has(numbered)) break;
        values.push_back(table.number(numbered, 0.001, 1e6));
    }
    return values;
}

// Reads a [[fault]] table and adds it to the scenario, once per wave.
class FaultReader {
public:
    FaultReader(Scenario& scenario, Table& table, const std::vector<std::string_view>& groups)
        : scenario_(scenario), table_(table), groups_(groups) {}

    void read() {
        read_basics();
        read_options();
        waves_ = static_cast<std::size_t>(table_.integer("waves", 1, 10'000, 1));
        wave_interval_ = waves_ > 1 ? table_.duration("every_s", kMillisecond, scenario_.length) : 0;
        read_target();
        if (fault_.at + static_cast<Nanos>(waves_ - 1) * wave_interval_ > scenario_.length)
            table_.add_error("waves", "must all begin within the day (day.length_s)");
        check_against_earlier_faults();
        add_waves();
    }

private:
    void read_basics() {
        fault_.at = table_.duration("at_s", 0, scenario_.length);
        fault_.duration = table_.duration("for_s", 0, scenario_.length, 0);
        fault_.kind = static_cast<FaultKind>(table_.choice("do", fault_names()));
        fault_.size = table_.number("size", 0, 1e6, 1);
        fault_.announce = table_.boolean("tell", true);
        if (traits_of(fault_.kind).size_is_share && fault_.size > 1)
            table_.add_error("size", "is a share for this fault: must be at most 1");
        if (traits_of(fault_.kind).needs_duration && !fault_.duration)
            table_.add_error("for_s", "is missing: this fault needs a duration");
    }

    void read_options() {
        const bool has_group = fault_.kind == FaultKind::increase_use && table_.has("group");
        if (fault_.kind == FaultKind::limit_rate || has_group)
            fault_.group = static_cast<int>(table_.choice("group", groups_));
        if (fault_.kind != FaultKind::partition) return;
        enum Way { both, in, out };
        const std::size_t way = table_.choice("way", {"both", "in", "out"}, both);
        fault_.blocks_input = way != out;
        fault_.blocks_output = way != in;
    }

    void read_target() {
        switch (traits_of(fault_.kind).target) {
            case FaultTarget::workers:
                return read_workers();
            case FaultTarget::placer:
                fault_.target = read_index("placer", scenario_.placers);
                return;
            case FaultTarget::client:
                fault_.target = read_index("owner", scenario_.clients);
                return;
            case FaultTarget::none:
                return;
        }
    }

    std::size_t read_index(std::string_view key, std::size_t count) {
        return static_cast<std::size_t>(table_.integer(key, 0, static_cast<std::int64_t>(count) - 1, 0));
    }

    void read_workers() {
        const std::size_t first = read_index("node", scenario_.workers);
        const auto most = static_cast<std::int64_t>(scenario_.workers - first);
        const auto count = static_cast<std::size_t>(table_.integer("count", 1, most, 1));
        if (table_.has("zone")) add_zone(table_.string("zone"));
        else
            for (std::size_t i = first; i < first + count; ++i) fault_.workers.push_back(i);
        if (waves_ > fault_.workers.size())
            table_.add_error("waves", "must not exceed the number of nodes of this fault");
    }

    void add_zone(const std::string& name) {
        const auto at = std::find(scenario_.zones.begin(), scenario_.zones.end(), name);
        if (at == scenario_.zones.end()) table_.add_error("zone", "must be one of fleet.zones");
        // An empty list of zones is reported elsewhere; here it would divide by zero.
        for (std::size_t i = 0; i < scenario_.workers && !scenario_.zones.empty(); ++i)
            if (static_cast<std::ptrdiff_t>(i % scenario_.zones.size()) == at - scenario_.zones.begin())
                fault_.workers.push_back(i);
    }

    bool overlaps(const Fault& other) const {
        return fault_.at < other.at + other.duration && other.at < fault_.at + fault_.duration;
    }

    // Reports a fault that overlaps with one of the same kind on the same target, or whose workers were all
    // killed before.
    void check_against_earlier_faults() {
        std::size_t killed = 0;
        for (const Fault& earlier : scenario_.faults) {
            const bool repeated = earlier.kind == fault_.kind && overlaps(earlier);
            killed += count_killed(earlier, repeated);
            if (repeated && fault_.workers.empty() && earlier.target == fault_.target &&
                earlier.group == fault_.group)
                table_.add_error("at_s", "overlaps with an earlier fault of the same kind");
        }
        if (!fault_.workers.empty() && killed >= fault_.workers.size())
            table_.add_error("node", "is killed by an earlier fault");
    }

    // The number of this fault's workers that the earlier fault kills. Stops at the first overlap, which it
    // reports.
    std::size_t count_killed(const Fault& earlier, bool repeated) {
        std::size_t killed = 0;
        for (const std::size_t worker : fault_.workers) {
            const auto& others = earlier.workers;
            if (std::find(others.begin(), others.end(), worker) == others.end()) continue;
            if (repeated) {
                table_.add_error("at_s", "overlaps with an earlier fault of the same kind on node " +
                                             std::to_string(worker));
                break;
            }
            killed += earlier.kind == FaultKind::kill && fault_.at > earlier.at;
        }
        return killed;
    }

    void add_waves() {
        const std::size_t count = fault_.workers.size();
        for (std::size_t wave = 0; wave < waves_; ++wave) {
            Fault part = fault_;
            part.at = fault_.at + static_cast<Nanos>(wave) * wave_interval_;
            if (waves_ > 1) {
                part.workers.clear();
                for (std::size_t i = wave * count / waves_; i < (wave + 1) * count / waves_; ++i)
                    part.workers.push_back(fault_.workers[i]);
            }
            scenario_.faults.push_back(part);
        }
    }

    Scenario& scenario_;
    Table& table_;
    const std::vector<std::string_view>& groups_;
    Fault fault_;
    std::size_t waves_ = 1;
    Nanos wave_interval_ = 0;
};

// Reads one scenario file. Errors are added to the document.
class ScenarioReader {
public:
    ScenarioReader(Table root, const ScenarioOverrides& overrides)
        : root_(std::move(root)), overrides_(overrides) {}

    Scenario read() {
        if (root_.has("like")) root_.string("like");  // the caller has merged the tables of that scenario
        if (!root_.has("day")) root_.add_error("day", "is missing: a table with length_s");
        Table day = root_.table("day");
        read_day(day);
        read_fleet(day);
        read_placer_settings();
        for (const NamedQueueGroup& group : scenario_.groups) group_names_.push_back(group.name);
        read_loads(day.number("load", 0, 1000, 1));
        scenario_.first_placer_share = day.number("lean", 0, 1, 0);
        if (root_.has("network")) read_network();
        if (root_.has("list_at_start")) read_stale_discovery();
        for (Table& table : root_.tables("fault")) FaultReader(scenario_, table, group_names_).read();
        std::stable_sort(scenario_.faults.begin(), scenario_.faults.end(),
                         [](const Fault& one, const Fault& other) { return one.at < other.at; });
        for (Table& table : root_.tables("expect")) scenario_.expectations.push_back(read_expectation(table));
        return std::move(scenario_);
    }

private:
    void read_day(Table& day) {
        scenario_.name = day.string("name", "day");
        scenario_.length = day.duration("length_s", kSecond, 24 * kHour, 30 * kSecond);
        scenario_.seed = static_cast<std::uint64_t>(day.integer("seed", 1, INT64_MAX, 1));
        scenario_.placers = static_cast<std::size_t>(day.integer("placers", 1, 1000, 1));
        if (overrides_.placers) scenario_.placers = overrides_.placers;
        scenario_.clients = static_cast<std::size_t>(day.integer("owners", 1, 1000, 1));
        scenario_.discovery_pushes = day.boolean("list_pushes", true);
        scenario_.slack = day.duration("slack_ms", kMillisecond, 10 * kSecond, scenario_.slack);
        scenario_.discovery_delay = day.duration("list_late_ms", 0, kHour, 500 * kMillisecond);
    }

    void read_fleet(Table& day) {
        if (!root_.has("fleet")) root_.add_error("fleet", "is missing: a table with nodes and zones");
        Table fleet = root_.table("fleet");
        scenario_.workers = static_cast<std::size_t>(fleet.integer("nodes", 1, 100'000));
        if (day.has("nodes")) scenario_.workers = static_cast<std::size_t>(day.integer("nodes", 1, 100'000));
        if (overrides_.workers) scenario_.workers = overrides_.workers;
        scenario_.zones = fleet.strings("zones");
        scenario_.cells_per_zone = static_cast<int>(fleet.integer("cells_in_zone", 1, 10'000, 1));
        EmulatedWorkerSettings& worker = scenario_.worker;
        worker.admission_time = fleet.duration("judge_ms", 0, kHour, worker.admission_time);
        worker.queue_limit = static_cast<std::size_t>(
            fleet.integer("line", 1, 1'000'000, static_cast<std::int64_t>(worker.queue_limit)));
        worker.concurrent_starts =
            static_cast<int>(fleet.integer("starts", 1, 10'000, worker.concurrent_starts));
        worker.start_time = fleet.duration("start_ms", kMillisecond, kHour, worker.start_time);
        worker.missing_image_factor = fleet.number("without_program", 1, 1000, worker.missing_image_factor);
        worker.image_kept_for = fleet.duration("program_kept_ms", 0, kHour, worker.image_kept_for);
        worker.issues_tokens = fleet.boolean("gives_turns", false);
        worker.random_start_time = fleet.boolean("drawn_starts", false);
        worker.reports_load = fleet.boolean("reports", true);
        worker.drain_interval = fleet.duration("sends_away_every_ms", 0, kHour, 0);
        worker.report_interval =
            fleet.duration("report_every_ms", kMillisecond, kHour, worker.report_interval);
    }

    // Reads the tables that are also part of the placers' configuration, so that workers and placers agree on
    // them.
    void read_placer_settings() {
        scenario_.kinds = config::worker_kinds(root_);
        for (const config::NamedQueueGroup& group : config::queue_groups(root_, scenario_.kinds.size()))
            scenario_.groups.push_back({group.name, group.queue_group});
        const WorkerAcceptance acceptance = config::worker_acceptance(root_);
        const SlowStartSettings slow_start = config::slow_start_settings(root_);
        scenario_.retry = config::retry_settings(root_);
        config::prices(root_);
        config::admission_limits(root_);
        scenario_.drain_grace = config::connection_settings(root_).drain_grace;
        config::dial_limits(root_);
        config::log_settings(root_);
        EmulatedWorkerSettings& worker = scenario_.worker;
        worker.cores_overcommit = acceptance.cores_overcommit;
        worker.memory_overcommit = acceptance.memory_overcommit;
        worker.accepts_when_running = acceptance.accepts_when_running;
        worker.preempts = acceptance.preempts;
        worker.reports_use = acceptance.reports_use;
        worker.reports_pressure = acceptance.reports_pressure;
        worker.initial_capacity = slow_start.initial_capacity;
        worker.warm_up_time = slow_start.warm_up_time;
        worker.overload_factor = slow_start.overload_factor;
        worker.overload_window = slow_start.window;
        worker.guaranteed_attempts = slow_start.guaranteed_attempts;
    }

    void read_loads(double factor) {
        for (Table& table : root_.tables("load")) {
            LoadProfile load;
            load.group = static_cast<int>(table.choice("group", group_names_));
            load.per_second = factor * table.number("a_second", 0, 1e6);
            load.services = static_cast<int>(table.integer("services", 1, 100'000, 4));
            load.batch_size = static_cast<int>(table.integer("batch", 1, 10'000, 1));
            load.cores = read_shapes(table, "cores");
            load.memory = read_shapes(table, "memory");
            if (load.cores.size() != load.memory.size())
                table.add_error("memory", "must have as many values (memory, memory2, ...) as cores");
            load.queue_timeout = table.duration("queue_timeout_ms", 10 * kMillisecond, kHour);
            load.min_runtime = table.duration("life_least_ms", kMillisecond, kHour, load.min_runtime);
            load.max_runtime = table.duration("life_most_ms", load.min_runtime, kHour,
                                              std::max(load.min_runtime, load.max_runtime));
            scenario_.loads.push_back(load);
        }
        if (scenario_.loads.empty()) root_.add_error("load", "is missing: at least one [[load]] is needed");
    }

    void read_network() {
        Table table = root_.table("network");
        Scenario::NetworkSettings& network = scenario_.network;
        network.min_delay = table.duration("least_ms", 0, 10 * kSecond, network.min_delay);
        network.spread = table.duration("spread_ms", 0, 10 * kSecond, network.spread);
        network.late_share = table.number("late_share", 0, 1, 0);
        network.late = table.duration("late_ms", 0, 10 * kSecond, 0);
        // A request and its answer take up to this long each, so a client may observe an event this much
        // later than the placer.
        scenario_.slack += 2 * (network.min_delay + network.spread + network.late);
    }

    void read_stale_discovery() {
        Table table = root_.table("list_at_start");
        Scenario::StaleDiscovery& stale = scenario_.stale_discovery;
        stale.age = table.duration("age_s", kSecond, 24 * kHour * 30);
        stale.lasts = table.duration("for_s", kSecond, scenario_.length);
        stale.ghosts = static_cast<std::size_t>(table.integer("ghosts", 0, 100'000, 0));
        stale.missing = static_cast<std::size_t>(
            table.integer("missing", 0, static_cast<std::int64_t>(scenario_.workers), 0));
    }

    Expectation read_expectation(Table& table) {
        Expectation expectation;
        expectation.metric = static_cast<Metric>(table.choice("of", kMetrics));
        if (table.has("group")) expectation.group = static_cast<int>(table.choice("group", group_names_));
        expectation.from = table.duration("from_s", 0, scenario_.length, 0);
        expectation.to = table.duration("to_s", 0, scenario_.length, scenario_.length);
        if (expectation.to <= expectation.from) table.add_error("to_s", "must be later than from_s");
        expectation.at_least = table.has("at_least");
        if (expectation.at_least == table.has("at_most"))
            table.add_error("at_least", "or at_most is needed, but not both");
        else
            expectation.bound = table.number(expectation.at_least ? "at_least" : "at_most", 0,
                                             is_share(expectation.metric) ? 1 : 1e9);
        if (expectation.metric == Metric::recovery_time) expectation.share = table.number("share", 0, 1);
        check_measurable(table, expectation);
        return expectation;
    }

    template <class Predicate>
    bool any_fault(Predicate predicate) const {
        return std::any_of(scenario_.faults.begin(), scenario_.faults.end(), predicate);
    }

    bool has_load(int group) const {
        return std::any_of(scenario_.loads.begin(), scenario_.loads.end(), [group](const LoadProfile& load) {
            return load.group == group && load.per_second > 0;
        });
    }

    // Reports an expectation that no run of the scenario can check: it would always pass.
    void check_measurable(Table& table, const Expectation& expectation) const {
        if (expectation.group >= 0 && !has_load(expectation.group))
            table.add_error("group", "has no load, so the expectation can never be checked");
        if (expectation.metric == Metric::drain_lag &&
            !any_fault([](const Fault& fault) { return fault.kind == FaultKind::drain; }))
            table.add_error("of", "is about drains, but no fault drains a node: it can never be checked");
        if (expectation.metric == Metric::overloaded && !any_fault([](const Fault& fault) {
                return fault.kind == FaultKind::drain || fault.kind == FaultKind::rejoin;
            }))
            table.add_error("of", "is about new nodes, but no fault starts one: it can never be checked");
        if (expectation.metric == Metric::recovery_time &&
            !any_fault([&expectation](const Fault& fault) { return fault.at <= expectation.from; }))
            table.add_error("from_s", "is before the first fault: there is nothing to recover from");
    }

    Table root_;
    const ScenarioOverrides& overrides_;
    Scenario scenario_;
    std::vector<std::string_view> group_names_;
};

// The tables shared by all placers' files: the scenario file without the tables used only by the emulator and
// those that placer_configuration() adds.
std::string placer_tables(const std::string& text) {
    toml::table tables = toml::parse(text);
    for (const char* own :
         {"like", "day", "fleet", "load", "fault", "expect", "list_at_start", "network", "placer", "list"})
        tables.erase(own);
    std::ostringstream out;
    out << toml::toml_formatter(tables);
    return out.str();
}

}  // namespace

std::string_view to_string(FaultKind kind) { return traits_of(kind).name; }
std::string_view to_string(Metric metric) { return kMetrics[static_cast<std::size_t>(metric)]; }

tl::expected<Scenario, config::ConfigErrors> parse_scenario(const std::string& text, const std::string& name,
                                                            const ScenarioOverrides& overrides) {
    config::Document document = config::Document::parse(text, name);
    Scenario scenario = ScenarioReader(document.root(), overrides).read();
    config::ConfigErrors errors = document.take_errors();
    if (!errors.empty()) return tl::unexpected(std::move(errors));
    scenario.placer_tables = placer_tables(text);
    return scenario;
}

std::string placer_configuration(const Scenario& scenario, std::size_t placer,
                                 const std::string& listen_address, const std::string& discovery_address) {
    std::ostringstream out;
    out << scenario.placer_tables << "\n\n[placer]\nname = \"placer-" << placer << "\"\nlisten = \""
        << listen_address << "\"\nzone = \"" << scenario.zones[placer % scenario.zones.size()]
        << "\"\nzones = [";
    for (std::size_t i = 0; i < scenario.zones.size(); ++i)
        out << (i ? ", " : "") << '"' << scenario.zones[i] << '"';
    out << "]\nplacers = " << scenario.placers << "\nme = " << placer << "\n\n[list]\naddress = \""
        << discovery_address << "\"\nmode = \"" << (scenario.discovery_pushes ? "push" : "on_request")
        << "\"\n";
    return out.str();
}

}  // namespace whinpost::emulator
