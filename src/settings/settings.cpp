#include "settings/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace whinpost::settings {

void Settings::put_pairs(std::string_view text) {
    while (!text.empty()) {
        const std::size_t end = text.find(' ');
        const std::string_view pair = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        const std::size_t eq = pair.find('=');
        if (eq != std::string_view::npos)
            put(std::string(pair.substr(0, eq)), std::string(pair.substr(eq + 1)));
        else if (!pair.empty()) fail("params", "holds a pair without '='");
    }
}

void Settings::fail(std::string_view path, std::string_view what) const {
    throw SettingsError(source_ + ": " + std::string(path) + " " + std::string(what));
}
bool Settings::has(const std::string& path) const {
    const auto it = values_.find(path);
    return it != values_.end() && it->second != "-" && !it->second.empty();
}
std::string_view Settings::text(const std::string& path) const {
    if (!has(path)) fail(path, "is missing");
    return values_.at(path);
}
double Settings::positive_number(const std::string& path) const {
    const double v = number_at(path);
    if (!(v > 0)) fail(path, "must be above zero");
    return v;
}
Nanos Settings::duration(const std::string& path) const {
    const double v = number_at(path);
    if (v < 0 || v > 9e14) fail(path, "is out of range");
    return static_cast<Nanos>(v) * kMicrosecond;
}
bool Settings::boolean(const std::string& path) const {
    const std::string_view v = text(path);
    if (v == "true" || v == "1") return true;
    if (v == "false" || v == "0") return false;
    fail(path, "is not true or false");
}
std::vector<std::string_view> Settings::list(const std::string& path) const {
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
std::string_view Settings::nth(const std::string& path, std::size_t i, std::string_view absent) const {
    const auto all = list(path);
    return all.empty() ? absent : all[std::min(i, all.size() - 1)];
}
double Settings::number(const std::string& path, std::string_view v) const {
    double out{};
    const auto [at, error] = std::from_chars(v.data(), v.data() + v.size(), out);
    if (error != std::errc{} || at != v.data() + v.size() || !std::isfinite(out))
        fail(path, "is not a number");
    return out;
}

namespace {

FailureDomain place_of(const Settings& p, const std::string& path, std::string_view v) {
    if (v == "off" || v == "none") return FailureDomain::none;
    if (v == "machine") return FailureDomain::worker;
    if (v == "cell") return FailureDomain::cell;
    if (v == "zone") return FailureDomain::zone;
    if (v == "all") return FailureDomain::all;
    p.fail(path, "names no known kind of place");
}
std::size_t group_count(const Settings& p) {
    const double count = p.number_at("classes.count");
    if (!(count >= 1 && count <= 10'000)) p.fail("classes.count", "is out of range");
    return static_cast<std::size_t>(count);
}
std::string group_path(std::size_t i) { return "classes." + std::to_string(i) + "."; }

}  // namespace

std::vector<QueueGroup> queue_groups(const Settings& p) {
    std::vector<QueueGroup> groups;
    const std::size_t count = group_count(p);
    for (std::size_t i = 0; i < count; ++i) {
        const std::string at = group_path(i);
        QueueGroup g;
        const std::string_view effect = p.text(at + "semantics");
        if (effect == "free") g.effect = Effect::idempotent;
        else if (effect == "guarded") g.effect = Effect::keyed;
        else if (effect == "single_shot") g.effect = Effect::side_effecting;
        else p.fail(at + "semantics", "names no known kind of effect");
        if (p.has(at + "key_scope"))
            g.deduplicated_by = place_of(p, at + "key_scope", p.text(at + "key_scope"));
        g.deduplication_window = p.duration_or_zero(at + "repeat_window_us");
        g.start_objective = p.duration(at + "aim_us");
        g.priority_weight = p.number_or(at + "importance", 1);
        const auto per_group = [&](const std::string& path, std::string_view absent) {
            return p.number(path, p.nth(path, i, absent));
        };
        g.start_value_s = per_group("family_info.class_start_s", "0");
        g.full_service_utilization = per_group("family_info.calm_level", "1");
        g.degradation_range = per_group("family_info.class_fade", "1");
        g.worker_kind = static_cast<int>(per_group("family_info.kind_by_class", "-1"));
        g.max_per_domain = static_cast<int>(per_group("family_info.class_most", "0"));
        g.priority = static_cast<int>(per_group("family_info.class_priority", "0"));
        g.spread_domain =
            place_of(p, "family_info.class_spread", p.nth("family_info.class_spread", i, "off"));
        groups.push_back(g);
    }
    return groups;
}

std::vector<std::string> group_names(const Settings& p) {
    std::vector<std::string> names;
    const std::size_t count = group_count(p);
    for (std::size_t i = 0; i < count; ++i) names.emplace_back(p.text(group_path(i) + "name"));
    return names;
}

std::vector<WorkerKind> worker_kinds(const Settings& p) {
    std::vector<WorkerKind> kinds;
    const auto cores = p.list("family_info.cpu_of_kind"), memory = p.list("family_info.size_memory");
    if (cores.empty()) p.fail("family_info.cpu_of_kind", "names no machine kind");
    if (memory.size() != cores.size())
        p.fail("family_info.size_memory", "does not match family_info.cpu_of_kind");
    for (std::size_t i = 0; i < cores.size(); ++i) {
        const WorkerKind k{p.number("family_info.cpu_of_kind", cores[i]),
                           p.number("family_info.size_memory", memory[i])};
        if (!(k.cores > 0)) p.fail("family_info.cpu_of_kind", "must be above zero");
        if (!(k.memory > 0)) p.fail("family_info.size_memory", "must be above zero");
        kinds.push_back(k);
    }
    return kinds;
}

WorkerAcceptance worker_acceptance(const Settings& p) {
    return {
        p.positive_number("family_info.accepts_cores"),     p.positive_number("family_info.memory_multiple"),
        p.nth("family_info.free_by", 0, "asked") == "used", p.boolean_or("limits.probes", false),
        p.text("family_info.yes_at") == "running",          p.boolean_or("family_info.pushes_out", false),
        p.boolean_or("family_info.says_pressure", true)};
}

SlowStartSettings slow_start_settings(const Settings& p) {
    SlowStartSettings cold{
        p.positive_number("contract.cold_from"),     p.duration("contract.cold_us"),
        p.positive_number("contract.fall_multiple"), p.duration("contract.fall_us"),
        p.number_or("family_info.young_limit", 0),   static_cast<int>(p.positive_number("balancers")),
        static_cast<int>(p.number_or("me", 0))};
    if (cold.placers < 1) p.fail("balancers", "must be one or more");
    if (cold.placer_index < 0 || cold.placer_index >= cold.placers) p.fail("me", "is out of range");
    if (cold.window <= 0) p.fail("contract.fall_us", "must be above zero");
    return cold;
}

DiscoverySettings discovery_settings(const Settings& p) {
    return {p.text("discovery") == "on_request", p.duration_or_zero("contract.ask_every_us")};
}
RetrySettings retry_settings(const Settings& p) {
    return {static_cast<int>(p.positive_number("limits.send_cap")), p.boolean_or("limits.cancelling", false)};
}
Prices prices(const Settings& p) {
    return {p.number_or("penalties.fleet", 0),
            p.number_or("penalties.moves", 0),
            p.number_or("penalties.waste", 0),
            p.number_or("penalties.probe", 0),
            p.number_or("penalties.cross_zone", 0),
            p.number_or("penalties.discovery", 0),
            p.number_or("family_info.turned_down_price", 0)};
}

int zone(const Settings& p) {
    const auto zones = p.list("zones");
    if (zones.empty()) p.fail("zones", "names no zone");
    const double zone = p.number_at("zone");
    if (zone < 0 || zone >= static_cast<double>(zones.size())) p.fail("zone", "is out of range");
    return static_cast<int>(zone);
}

bool parse_load_report(std::string_view rest, char between, LoadReport& r) {
    while (!rest.empty()) {
        const std::size_t end = rest.find(between);
        const std::string_view pair = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
        const std::size_t colon = pair.find(':');
        if (colon == std::string_view::npos) return false;
        const std::string_view name = pair.substr(0, colon), v = pair.substr(colon + 1);
        double* value = name == "x0"                       ? &r.free_cores
                        : name == "x1"                     ? &r.free_memory
                        : name == "busy"                   ? &r.utilization
                        : (name == "q" || name == "queue") ? &r.queue_length
                                                           : nullptr;
        if (!value) continue;
        const auto [at, error] = std::from_chars(v.data(), v.data() + v.size(), *value);
        if (error != std::errc{} || at != v.data() + v.size() || !std::isfinite(*value)) return false;
        (name == "x0"     ? r.has_free_cores
         : name == "x1"   ? r.has_free_memory
         : name == "busy" ? r.has_utilization
                          : r.has_queue_length) = true;
    }
    return true;
}

}  // namespace whinpost::settings
