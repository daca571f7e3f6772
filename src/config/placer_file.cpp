#include "config/placer_file.h"

#include <algorithm>

namespace whinpost::config {

namespace {
constexpr Nanos kDay = 24 * 3600 * kSecond;
const std::vector<std::string_view> kPlaces = {"none", "machine", "cell", "zone", "all"};
}  // namespace

PlacerSettings placer_settings(Table root) {
    if (!root.has("placer"))
        root.add_problem("placer", "is missing: a table with name, listen, zone and zones");
    Table t = root.table("placer");
    PlacerSettings n;
    if (!root.has("placer")) return n;
    n.name = t.string("name");
    n.listen = t.address("listen");
    const std::vector<std::string> zones = t.strings("zones");
    const std::string zone = t.string("zone");
    const auto at = std::find(zones.begin(), zones.end(), zone);
    if (!zone.empty() && !zones.empty() && at == zones.end())
        t.add_problem("zone", "must be one of placer.zones");
    n.zone = static_cast<int>(at - zones.begin());
    n.zones = static_cast<int>(zones.size());
    n.seed = static_cast<std::uint64_t>(t.integer("seed", 0, INT64_MAX, 0));
    return n;
}

std::vector<NamedQueueGroup> queue_groups(Table root, std::size_t kinds) {
    std::vector<NamedQueueGroup> out;
    for (Table& t : root.tables("queue_group")) {
        NamedQueueGroup g;
        g.name = t.string("name");
        for (const NamedQueueGroup& other : out)
            if (other.name == g.name) t.add_problem("name", "is the name of another queue group");
        QueueGroup& q = g.queue_group;
        q.effect = static_cast<Effect>(t.choice("effect", {"idempotent", "fingerprinted", "side-effecting"}));
        const bool marked = q.effect == Effect::keyed;
        if (marked || t.has("repeats_dropped_by"))
            q.deduplicated_by = static_cast<FailureDomain>(t.choice("repeats_dropped_by", kPlaces));
        if (marked && q.deduplicated_by == FailureDomain::none && t.has("repeats_dropped_by"))
            t.add_problem("repeats_dropped_by", "must name who drops repeats of a fingerprinted container");
        if (marked || t.has("repeat_window_ms"))
            q.deduplication_window = t.duration("repeat_window_ms", 0, kDay);
        if (!marked && (t.has("repeats_dropped_by") || t.has("repeat_window_ms")))
            t.add_problem(
                "effect",
                "has no use for repeats_dropped_by or repeat_window_ms unless it is \"fingerprinted\"");
        q.start_objective = t.duration("start_target_ms", kMillisecond, kDay);
        q.priority_weight = t.number("importance", 0, 1e6, 1);
        q.start_value_s = t.number("start_worth_s", 0, 1e6, 10);
        q.full_service_utilization = t.number("calm", 0.01, 10, 0.8);
        q.degradation_range = t.number("fade", 0.001, 10, 0.2);
        q.worker_kind =
            static_cast<int>(t.integer("machine_kind", -1, static_cast<std::int64_t>(kinds) - 1, -1));
        q.spread_domain = static_cast<FailureDomain>(t.choice("spread", kPlaces, 0));
        if (q.spread_domain == FailureDomain::all)
            t.add_problem("spread", "must be \"none\", \"machine\", \"cell\" or \"zone\"");
        if (q.spread_domain != FailureDomain::none)
            q.max_per_domain = static_cast<int>(t.integer("most", 1, 1'000'000));
        else if (t.has("most")) t.add_problem("most", "has no use without spread");
        q.priority = static_cast<int>(t.integer("priority", 0, 100, 0));
        out.push_back(g);
    }
    if (out.empty()) root.add_problem("queue_group", "must name one queue group or more");
    return out;
}

std::vector<WorkerKind> worker_kinds(Table root) {
    std::vector<WorkerKind> out;
    for (Table& t : root.tables("machine_kind")) {
        t.string("name");
        const double cores = t.number("cores", 0.01, 1e6), memory = t.number("memory", 0.01, 1e9);
        out.push_back({cores, memory});
    }
    if (out.empty()) root.add_problem("machine_kind", "must name one kind of machine or more");
    return out;
}

WorkerAcceptance worker_acceptance(Table root) {
    Table t = root.table("acceptance");
    WorkerAcceptance a;
    a.cores_overcommit = t.number("cores_multiple", 0.01, 1000, 1);
    a.memory_overcommit = t.number("memory_multiple", 0.01, 1000, 1);
    a.reports_use = t.choice("free_means", {"not_asked_for", "not_in_use"}, 0) == 1;
    a.health_checks = t.boolean("can_probe", true);
    a.accepts_when_running = t.choice("yes_on", {"acceptance", "running"}, 0) == 1;
    a.preempts = t.boolean("preempts", false);
    a.reports_pressure = t.boolean("notes_pressure", true);
    return a;
}

SlowStartSettings slow_start_settings(Table root) {
    Table t = root.table("cold");
    SlowStartSettings c;
    c.initial_capacity = t.number("from", 0.001, 1, 0.2);
    c.warm_up_time = t.duration("warm_after_ms", 0, kDay, 20 * kSecond);
    c.overload_factor = t.number("multiple", 0.01, 1000, 2);
    c.window = t.duration("window_ms", kMillisecond, kDay, kSecond);
    c.guaranteed_attempts = t.number("always_borne", 0, 1e6, 8);
    Table me = root.table("placer");
    c.placers = static_cast<int>(me.integer("placers", 1, 100'000, 1));
    c.placer_index = static_cast<int>(me.integer("me", 0, c.placers - 1, 0));
    return c;
}

DiscoveryService discovery_service(Table root) {
    if (!root.has("list")) root.add_problem("list", "is missing: a table with the list service's address");
    Table t = root.table("list");
    DiscoveryService l;
    if (!root.has("list")) return l;
    l.address = t.address("address");
    l.settings.poll = t.choice("mode", {"push", "on_request"}, 0) == 1;
    l.settings.poll_interval = t.duration("ask_every_ms", 100 * kMillisecond, kDay, 10 * kSecond);
    return l;
}

RetrySettings retry_settings(Table root) {
    Table t = root.table("launches");
    return {static_cast<int>(t.integer("most", 1, 100, 4)), t.boolean("can_stop", true)};
}

Prices prices(Table root) {
    Table t = root.table("prices");
    Prices p;
    const auto price = [&t](std::string_view key) { return t.number(key, 0, 1e6, 0); };
    p.workers_in_use = price("machines_in_use");
    p.migrations = price("moves");
    p.waste = price("waste");
    p.health_checks = price("probes");
    p.cross_zone = price("across_zones");
    p.discovery_entries = price("list_lines");
    p.rejections = price("refused");
    return p;
}

admission::AdmissionLimits admission_limits(Table root) {
    Table t = root.table("intake");
    admission::AdmissionLimits l;
    l.waiting = t.integer("waiting", 1, 10'000'000, l.waiting);
    l.waiting_an_owner = t.integer("waiting_an_owner", 1, 10'000'000, l.waiting_an_owner);
    l.a_second = t.integer("a_second", 1, 10'000'000, l.a_second);
    l.owners = t.integer("owners", 1, 1'000'000, l.owners);
    return l;
}

worker_connection::ConnectionSettings connection_settings(Table root) {
    Table t = root.table("links");
    worker_connection::ConnectionSettings l;
    const Nanos least = 10 * kMillisecond, most = 3600 * kSecond;
    l.dial_time_out = t.duration("dial_time_out_ms", least, most, l.dial_time_out);
    l.greet_time_out = t.duration("greet_time_out_ms", least, most, l.greet_time_out);
    l.silent_after = t.duration("silent_after_ms", least, most, l.silent_after);
    l.first_pause = t.duration("first_pause_ms", kMillisecond, most, l.first_pause);
    l.longest_pause = t.duration("longest_pause_ms", kMillisecond, most, l.longest_pause);
    if (l.longest_pause < l.first_pause)
        t.add_problem("longest_pause_ms", "must not be under first_pause_ms");
    l.drain_grace = t.duration("drain_grace_ms", least, most, l.drain_grace);
    return l;
}

DialLimits dial_limits(Table root) {
    Table t = root.table("links");
    DialLimits d;
    d.concurrent = static_cast<int>(t.integer("dials_at_once", 1, 100'000, d.concurrent));
    d.per_second = static_cast<int>(t.integer("dials_a_second", 1, 1'000'000, d.per_second));
    return d;
}

LogSettings log_settings(Table root) {
    Table t = root.table("log");
    LogSettings s;
    s.level = static_cast<log::Level>(t.choice("level", {"debug", "info", "warning", "error", "off"}, 1));
    s.format = static_cast<log::Format>(t.choice("form", {"text", "json"}, 0));
    return s;
}

std::vector<std::string> check(Document& file) {
    Table root = file.root();
    const PlacerSettings me = placer_settings(root);
    queue_groups(root, worker_kinds(root).size());
    worker_acceptance(root);
    slow_start_settings(root);
    const DiscoveryService at = discovery_service(root);
    retry_settings(root);
    prices(root);
    admission_limits(root);
    connection_settings(root);
    dial_limits(root);
    log_settings(root);
    if (!me.listen.empty() && me.listen == at.address)
        root.table("list").add_problem("address", "is the address that placer.listen has");
    return file.problems();
}

}  // namespace whinpost::config
