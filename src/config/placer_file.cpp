#include "config/placer_file.h"

#include <algorithm>

namespace whinpost::config {

namespace {
constexpr Nanos kDay = 24 * 3600 * kSecond;
const std::vector<std::string_view> kPlaces = {"none", "machine", "cell", "zone", "all"};
}  // namespace

PlacerSettings placer_settings(Table root) {
    if (!root.has("placer")) root.wrong("placer", "is missing: a table with name, listen, zone and zones");
    Table t = root.table("placer");
    PlacerSettings n;
    if (!root.has("placer")) return n;
    n.name = t.text("name");
    n.listen = t.address("listen");
    const std::vector<std::string> zones = t.texts("zones");
    const std::string zone = t.text("zone");
    const auto at = std::find(zones.begin(), zones.end(), zone);
    if (!zone.empty() && !zones.empty() && at == zones.end()) t.wrong("zone", "must be one of placer.zones");
    n.zone = static_cast<int>(at - zones.begin());
    n.zones = static_cast<int>(zones.size());
    n.seed = static_cast<std::uint64_t>(t.whole("seed", 0, INT64_MAX, 0));
    return n;
}

std::vector<NamedQueueGroup> queue_groups(Table root, std::size_t kinds) {
    std::vector<NamedQueueGroup> out;
    for (Table& t : root.tables("queue_group")) {
        NamedQueueGroup g;
        g.name = t.text("name");
        for (const NamedQueueGroup& other : out)
            if (other.name == g.name) t.wrong("name", "is the name of another queue group");
        QueueGroup& q = g.terms;
        q.effect = static_cast<Effect>(t.word("effect", {"idempotent", "fingerprinted", "side-effecting"}));
        const bool marked = q.effect == Effect::fingerprinted;
        if (marked || t.has("repeats_dropped_by"))
            q.repeats_dropped_by = static_cast<FailureDomain>(t.word("repeats_dropped_by", kPlaces));
        if (marked && q.repeats_dropped_by == FailureDomain::none && t.has("repeats_dropped_by"))
            t.wrong("repeats_dropped_by", "must name who drops repeats of a fingerprinted container");
        if (marked || t.has("repeat_window_ms")) q.repeat_window = t.span("repeat_window_ms", 0, kDay);
        if (!marked && (t.has("repeats_dropped_by") || t.has("repeat_window_ms")))
            t.wrong("effect",
                    "has no use for repeats_dropped_by or repeat_window_ms unless it is \"fingerprinted\"");
        q.start_target = t.span("start_target_ms", kMillisecond, kDay);
        q.importance = t.number("importance", 0, 1e6, 1);
        q.start_worth_s = t.number("start_worth_s", 0, 1e6, 10);
        q.calm = t.number("calm", 0.01, 10, 0.8);
        q.fade = t.number("fade", 0.001, 10, 0.2);
        q.kind = static_cast<int>(t.whole("machine_kind", -1, static_cast<std::int64_t>(kinds) - 1, -1));
        q.spread = static_cast<FailureDomain>(t.word("spread", kPlaces, 0));
        if (q.spread == FailureDomain::all)
            t.wrong("spread", "must be \"none\", \"machine\", \"cell\" or \"zone\"");
        if (q.spread != FailureDomain::none) q.most = static_cast<int>(t.whole("most", 1, 1'000'000));
        else if (t.has("most")) t.wrong("most", "has no use without spread");
        q.priority = static_cast<int>(t.whole("priority", 0, 100, 0));
        out.push_back(g);
    }
    if (out.empty()) root.wrong("queue_group", "must name one queue group or more");
    return out;
}

std::vector<WorkerKind> worker_kinds(Table root) {
    std::vector<WorkerKind> out;
    for (Table& t : root.tables("machine_kind")) {
        t.text("name");
        const double cores = t.number("cores", 0.01, 1e6), memory = t.number("memory", 0.01, 1e9);
        out.push_back({cores, memory});
    }
    if (out.empty()) root.wrong("machine_kind", "must name one kind of machine or more");
    return out;
}

WorkerAcceptance worker_acceptance(Table root) {
    Table t = root.table("acceptance");
    WorkerAcceptance a;
    a.cores_multiple = t.number("cores_multiple", 0.01, 1000, 1);
    a.memory_multiple = t.number("memory_multiple", 0.01, 1000, 1);
    a.reports_use = t.word("free_means", {"not_asked_for", "not_in_use"}, 0) == 1;
    a.can_probe = t.truth("can_probe", true);
    a.yes_on_running = t.word("yes_on", {"acceptance", "running"}, 0) == 1;
    a.preempts = t.truth("preempts", false);
    a.notes_pressure = t.truth("notes_pressure", true);
    return a;
}

SlowStartSettings slow_start_settings(Table root) {
    Table t = root.table("cold");
    SlowStartSettings c;
    c.from = t.number("from", 0.001, 1, 0.2);
    c.warm_after = t.span("warm_after_ms", 0, kDay, 20 * kSecond);
    c.multiple = t.number("multiple", 0.01, 1000, 2);
    c.window = t.span("window_ms", kMillisecond, kDay, kSecond);
    c.always_borne = t.number("always_borne", 0, 1e6, 8);
    Table me = root.table("placer");
    c.placers = static_cast<int>(me.whole("placers", 1, 100'000, 1));
    c.me = static_cast<int>(me.whole("me", 0, c.placers - 1, 0));
    return c;
}

DiscoveryService discovery_service(Table root) {
    if (!root.has("list")) root.wrong("list", "is missing: a table with the list service's address");
    Table t = root.table("list");
    DiscoveryService l;
    if (!root.has("list")) return l;
    l.address = t.address("address");
    l.terms.on_request = t.word("mode", {"push", "on_request"}, 0) == 1;
    l.terms.ask_every = t.span("ask_every_ms", 100 * kMillisecond, kDay, 10 * kSecond);
    return l;
}

RetrySettings retry_settings(Table root) {
    Table t = root.table("launches");
    return {static_cast<int>(t.whole("most", 1, 100, 4)), t.truth("can_stop", true)};
}

Prices prices(Table root) {
    Table t = root.table("prices");
    Prices p;
    const auto price = [&t](std::string_view key) { return t.number(key, 0, 1e6, 0); };
    p.machines_in_use = price("machines_in_use");
    p.moves = price("moves");
    p.waste = price("waste");
    p.probes = price("probes");
    p.across_zones = price("across_zones");
    p.list_lines = price("list_lines");
    p.refused = price("refused");
    return p;
}

admission::AdmissionLimits admission_limits(Table root) {
    Table t = root.table("intake");
    admission::AdmissionLimits l;
    l.waiting = t.whole("waiting", 1, 10'000'000, l.waiting);
    l.waiting_an_owner = t.whole("waiting_an_owner", 1, 10'000'000, l.waiting_an_owner);
    l.a_second = t.whole("a_second", 1, 10'000'000, l.a_second);
    l.owners = t.whole("owners", 1, 1'000'000, l.owners);
    return l;
}

worker_connection::ConnectionSettings connection_settings(Table root) {
    Table t = root.table("links");
    worker_connection::ConnectionSettings l;
    const Nanos least = 10 * kMillisecond, most = 3600 * kSecond;
    l.dial_time_out = t.span("dial_time_out_ms", least, most, l.dial_time_out);
    l.greet_time_out = t.span("greet_time_out_ms", least, most, l.greet_time_out);
    l.silent_after = t.span("silent_after_ms", least, most, l.silent_after);
    l.first_pause = t.span("first_pause_ms", kMillisecond, most, l.first_pause);
    l.longest_pause = t.span("longest_pause_ms", kMillisecond, most, l.longest_pause);
    if (l.longest_pause < l.first_pause) t.wrong("longest_pause_ms", "must not be under first_pause_ms");
    l.drain_grace = t.span("drain_grace_ms", least, most, l.drain_grace);
    return l;
}

DialLimits dial_limits(Table root) {
    Table t = root.table("links");
    DialLimits d;
    d.at_once = static_cast<int>(t.whole("dials_at_once", 1, 100'000, d.at_once));
    d.a_second = static_cast<int>(t.whole("dials_a_second", 1, 1'000'000, d.a_second));
    return d;
}

LogSettings log_settings(Table root) {
    Table t = root.table("log");
    LogSettings s;
    s.level = static_cast<log::Level>(t.word("level", {"debug", "info", "warning", "error", "off"}, 1));
    s.form = static_cast<log::Format>(t.word("form", {"text", "json"}, 0));
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
        root.table("list").wrong("address", "is the address that placer.listen has");
    return file.problems();
}

}  // namespace whinpost::config
