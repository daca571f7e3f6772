#include "config/placer_file.h"

#include <algorithm>

namespace whinpost::config {

namespace {

constexpr Nanos kDay = kSecond * 24 * 3600;
// In the order of FailureDomain.
const std::vector<std::string_view> kFailureDomains = {"none", "machine", "cell", "zone", "all"};

void read_deduplication(Table& table, QueueGroup& group) {
    const bool keyed = group.effect == Effect::keyed;
    const bool has_domain = table.has("repeats_dropped_by");
    if (keyed || has_domain)
        group.deduplicated_by =
            static_cast<FailureDomain>(table.choice("repeats_dropped_by", kFailureDomains));
    if (keyed && group.deduplicated_by == FailureDomain::none && has_domain)
        table.add_error("repeats_dropped_by", "must name who drops repeats of a fingerprinted container");
    if (keyed || table.has("repeat_window_ms"))
        group.deduplication_window = table.duration("repeat_window_ms", 0, kDay);
    if (!keyed && (has_domain || table.has("repeat_window_ms")))
        table.add_error(
            "effect", "has no use for repeats_dropped_by or repeat_window_ms unless it is \"fingerprinted\"");
}

void read_spread(Table& table, QueueGroup& group) {
    group.spread_domain = static_cast<FailureDomain>(table.choice("spread", kFailureDomains, 0));
    if (group.spread_domain == FailureDomain::all)
        table.add_error("spread", "must be \"none\", \"machine\", \"cell\" or \"zone\"");
    if (group.spread_domain != FailureDomain::none)
        group.max_per_domain = static_cast<int>(table.integer("most", 1, 1'000'000));
    else if (table.has("most")) table.add_error("most", "has no use without spread");
}

QueueGroup read_queue_group(Table& table, std::size_t kinds) {
    QueueGroup group;
    group.effect =
        static_cast<Effect>(table.choice("effect", {"idempotent", "fingerprinted", "side-effecting"}));
    read_deduplication(table, group);
    group.start_objective = table.duration("start_target_ms", kMillisecond, kDay);
    group.priority_weight = table.number("importance", 0, 1e6, 1);
    group.start_value_s = table.number("start_worth_s", 0, 1e6, 10);
    group.full_service_utilization = table.number("calm", 0.01, 10, 0.8);
    group.degradation_range = table.number("fade", 0.001, 10, 0.2);
    group.worker_kind =
        static_cast<int>(table.integer("machine_kind", -1, static_cast<std::int64_t>(kinds) - 1, -1));
    read_spread(table, group);
    group.priority = static_cast<int>(table.integer("priority", 0, 100, 0));
    return group;
}

}  // namespace

PlacerSettings placer_settings(Table root) {
    if (!root.has("placer"))
        root.add_error("placer", "is missing: a table with name, listen, zone and zones");
    Table table = root.table("placer");
    PlacerSettings placer;
    if (!root.has("placer")) return placer;
    placer.name = table.string("name");
    placer.listen = table.address("listen");
    const std::vector<std::string> zones = table.strings("zones");
    const std::string zone = table.string("zone");
    const auto at = std::find(zones.begin(), zones.end(), zone);
    if (!zone.empty() && !zones.empty() && at == zones.end())
        table.add_error("zone", "must be one of placer.zones");
    placer.zone = static_cast<int>(at - zones.begin());
    placer.zones = static_cast<int>(zones.size());
    placer.seed = static_cast<std::uint64_t>(table.integer("seed", 0, INT64_MAX, 0));
    return placer;
}

std::vector<NamedQueueGroup> queue_groups(Table root, std::size_t kinds) {
    std::vector<NamedQueueGroup> groups;
    for (Table& table : root.tables("queue_group")) {
        const std::string name = table.string("name");
        for (const NamedQueueGroup& other : groups)
            if (other.name == name) table.add_error("name", "is the name of another queue group");
        groups.push_back({name, read_queue_group(table, kinds)});
    }
    if (groups.empty()) root.add_error("queue_group", "must name one queue group or more");
    return groups;
}

std::vector<WorkerKind> worker_kinds(Table root) {
    std::vector<WorkerKind> kinds;
    for (Table& table : root.tables("machine_kind")) {
        table.string("name");  // required, but used by no part of the placer
        const double cores = table.number("cores", 0.01, 1e6);
        const double memory = table.number("memory", 0.01, 1e9);
        kinds.push_back({cores, memory});
    }
    if (kinds.empty()) root.add_error("machine_kind", "must name one kind of machine or more");
    return kinds;
}

WorkerAcceptance worker_acceptance(Table root) {
    Table table = root.table("acceptance");
    WorkerAcceptance acceptance;
    acceptance.cores_overcommit = table.number("cores_multiple", 0.01, 1000, 1);
    acceptance.memory_overcommit = table.number("memory_multiple", 0.01, 1000, 1);
    acceptance.reports_use = table.choice("free_means", {"not_asked_for", "not_in_use"}, 0) == 1;
    acceptance.health_checks = table.boolean("can_probe", true);
    acceptance.accepts_when_running = table.choice("yes_on", {"acceptance", "running"}, 0) == 1;
    acceptance.preempts = table.boolean("preempts", false);
    acceptance.reports_pressure = table.boolean("notes_pressure", true);
    return acceptance;
}

SlowStartSettings slow_start_settings(Table root) {
    Table table = root.table("cold");
    SlowStartSettings slow_start;
    slow_start.initial_capacity = table.number("from", 0.001, 1, 0.2);
    slow_start.warm_up_time = table.duration("warm_after_ms", 0, kDay, 20 * kSecond);
    slow_start.overload_factor = table.number("multiple", 0.01, 1000, 2);
    slow_start.window = table.duration("window_ms", kMillisecond, kDay, kSecond);
    slow_start.guaranteed_attempts = table.number("always_borne", 0, 1e6, 8);
    Table placer = root.table("placer");
    slow_start.placers = static_cast<int>(placer.integer("placers", 1, 100'000, 1));
    slow_start.placer_index = static_cast<int>(placer.integer("me", 0, slow_start.placers - 1, 0));
    return slow_start;
}

DiscoveryService discovery_service(Table root) {
    if (!root.has("list")) root.add_error("list", "is missing: a table with the list service's address");
    Table table = root.table("list");
    DiscoveryService service;
    if (!root.has("list")) return service;
    service.address = table.address("address");
    service.settings.poll = table.choice("mode", {"push", "on_request"}, 0) == 1;
    service.settings.poll_interval = table.duration("ask_every_ms", 100 * kMillisecond, kDay, 10 * kSecond);
    return service;
}

RetrySettings retry_settings(Table root) {
    Table table = root.table("launches");
    RetrySettings retry;
    retry.max_attempts = static_cast<int>(table.integer("most", 1, 100, 4));
    retry.can_cancel = table.boolean("can_stop", true);
    return retry;
}

Prices prices(Table root) {
    Table table = root.table("prices");
    const auto price = [&table](std::string_view key) { return table.number(key, 0, 1e6, 0); };
    Prices prices;
    prices.workers_in_use = price("machines_in_use");
    prices.migrations = price("moves");
    prices.waste = price("waste");
    prices.health_checks = price("probes");
    prices.cross_zone = price("across_zones");
    prices.discovery_entries = price("list_lines");
    prices.rejections = price("refused");
    return prices;
}

admission::AdmissionLimits admission_limits(Table root) {
    Table table = root.table("intake");
    admission::AdmissionLimits limits;
    limits.max_waiting = table.integer("waiting", 1, 10'000'000, limits.max_waiting);
    limits.max_waiting_per_client =
        table.integer("waiting_an_owner", 1, 10'000'000, limits.max_waiting_per_client);
    limits.max_per_second = table.integer("a_second", 1, 10'000'000, limits.max_per_second);
    limits.max_clients = table.integer("owners", 1, 1'000'000, limits.max_clients);
    return limits;
}

worker_connection::ConnectionSettings connection_settings(Table root) {
    Table table = root.table("links");
    worker_connection::ConnectionSettings links;
    const Nanos min = 10 * kMillisecond;
    const Nanos max = 3600 * kSecond;
    links.dial_timeout = table.duration("dial_time_out_ms", min, max, links.dial_timeout);
    links.greeting_timeout = table.duration("greet_time_out_ms", min, max, links.greeting_timeout);
    links.silent_after = table.duration("silent_after_ms", min, max, links.silent_after);
    links.initial_backoff = table.duration("first_pause_ms", kMillisecond, max, links.initial_backoff);
    links.max_backoff = table.duration("longest_pause_ms", kMillisecond, max, links.max_backoff);
    if (links.max_backoff < links.initial_backoff)
        table.add_error("longest_pause_ms", "must not be under first_pause_ms");
    links.drain_grace = table.duration("drain_grace_ms", min, max, links.drain_grace);
    return links;
}

DialLimits dial_limits(Table root) {
    Table table = root.table("links");
    DialLimits limits;
    limits.concurrent = static_cast<int>(table.integer("dials_at_once", 1, 100'000, limits.concurrent));
    limits.per_second = static_cast<int>(table.integer("dials_a_second", 1, 1'000'000, limits.per_second));
    return limits;
}

LogSettings log_settings(Table root) {
    Table table = root.table("log");
    LogSettings settings;
    settings.level =
        static_cast<log::Level>(table.choice("level", {"debug", "info", "warning", "error", "off"}, 1));
    settings.format = static_cast<log::Format>(table.choice("form", {"text", "json"}, 0));
    return settings;
}

tl::expected<PlacerFile, ConfigErrors> read_placer_file(Document& document) {
    Table root = document.root();
    PlacerFile file;
    file.placer = placer_settings(root);
    file.worker_kinds = worker_kinds(root);
    file.queue_groups = queue_groups(root, file.worker_kinds.size());
    file.worker_acceptance = worker_acceptance(root);
    file.slow_start = slow_start_settings(root);
    file.discovery = discovery_service(root);
    file.retry = retry_settings(root);
    file.prices = prices(root);
    file.admission = admission_limits(root);
    file.connection = connection_settings(root);
    file.dial_limits = dial_limits(root);
    file.log = log_settings(root);
    if (!file.placer.listen.empty() && file.placer.listen == file.discovery.address)
        root.table("list").add_error("address", "is the address that placer.listen has");
    ConfigErrors errors = document.take_errors();
    if (!errors.empty()) return tl::unexpected(std::move(errors));
    return file;
}

ConfigErrors check(Document& document) {
    const auto file = read_placer_file(document);
    return file ? ConfigErrors{} : file.error();
}

}  // namespace whinpost::config
