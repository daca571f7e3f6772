#include "settings/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace whinpost::settings {

SettingsError::SettingsError(std::string source, std::string key, std::string problem)
    : std::runtime_error(source + ": " + key + " " + problem), source(std::move(source)), key(std::move(key)),
      problem(std::move(problem)) {}

namespace {

constexpr double kMaxMicroseconds = 9e14;
constexpr double kMaxGroups = 10'000;

bool parse_finite(std::string_view text, double& number) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc{} && end == text.data() + text.size() && std::isfinite(number);
}

}  // namespace

void Settings::put_pairs(std::string_view text) {
    while (!text.empty()) {
        const std::size_t end = text.find(' ');
        const std::string_view pair = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos)
            put(std::string(pair.substr(0, equals)), std::string(pair.substr(equals + 1)));
        else if (!pair.empty()) fail("params", "holds a pair without '='");
    }
}

void Settings::fail(std::string_view key, std::string_view problem) const {
    throw SettingsError(source_, std::string(key), std::string(problem));
}
bool Settings::has(const std::string& key) const {
    const auto it = values_.find(key);
    return it != values_.end() && it->second != "-" && !it->second.empty();
}
std::string_view Settings::text(const std::string& key) const {
    if (!has(key)) fail(key, "is missing");
    return values_.at(key);
}
double Settings::positive_number(const std::string& key) const {
    const double value = number_at(key);
    if (!(value > 0)) fail(key, "must be above zero");
    return value;
}
Nanos Settings::duration(const std::string& key) const {
    const double value = number_at(key);
    if (value < 0 || value > kMaxMicroseconds) fail(key, "is out of range");
    return static_cast<Nanos>(value) * kMicrosecond;
}
bool Settings::boolean(const std::string& key) const {
    const std::string_view value = text(key);
    if (value == "true" || value == "1") return true;
    if (value == "false" || value == "0") return false;
    fail(key, "is not true or false");
}
std::vector<std::string_view> Settings::list(const std::string& key) const {
    std::vector<std::string_view> values;
    const auto it = values_.find(key);
    if (it == values_.end() || it->second.empty()) return values;
    for (std::string_view rest = it->second;;) {
        const std::size_t comma = rest.find(',');
        values.push_back(rest.substr(0, comma));
        if (comma == std::string_view::npos) return values;
        rest = rest.substr(comma + 1);
    }
}
std::string_view Settings::nth(const std::string& key, std::size_t index, std::string_view fallback) const {
    const auto all = list(key);
    return all.empty() ? fallback : all[std::min(index, all.size() - 1)];
}
double Settings::number(const std::string& key, std::string_view value) const {
    double number{};
    if (!parse_finite(value, number)) fail(key, "is not a number");
    return number;
}

namespace {

FailureDomain failure_domain(const Settings& settings, const std::string& key, std::string_view name) {
    if (name == "off" || name == "none") return FailureDomain::none;
    if (name == "machine") return FailureDomain::worker;
    if (name == "cell") return FailureDomain::cell;
    if (name == "zone") return FailureDomain::zone;
    if (name == "all") return FailureDomain::all;
    settings.fail(key, "names no known kind of place");
}
std::size_t group_count(const Settings& settings) {
    const double count = settings.number_at("classes.count");
    if (!(count >= 1 && count <= kMaxGroups)) settings.fail("classes.count", "is out of range");
    return static_cast<std::size_t>(count);
}
std::string group_prefix(std::size_t index) { return "classes." + std::to_string(index) + "."; }

}  // namespace

namespace {

Effect effect(const Settings& settings, const std::string& key) {
    const std::string_view name = settings.text(key);
    if (name == "free") return Effect::idempotent;
    if (name == "guarded") return Effect::keyed;
    if (name == "single_shot") return Effect::side_effecting;
    settings.fail(key, "names no known kind of effect");
}

QueueGroup queue_group(const Settings& settings, std::size_t index) {
    const std::string prefix = group_prefix(index);
    const auto per_group = [&settings, index](const std::string& key, std::string_view fallback) {
        return settings.number(key, settings.nth(key, index, fallback));
    };
    QueueGroup group;
    group.effect = effect(settings, prefix + "semantics");
    if (const std::string key = prefix + "key_scope"; settings.has(key))
        group.deduplicated_by = failure_domain(settings, key, settings.text(key));
    group.deduplication_window = settings.duration_or_zero(prefix + "repeat_window_us");
    group.start_objective = settings.duration(prefix + "aim_us");
    group.priority_weight = settings.number_or(prefix + "importance", 1);
    group.start_value_s = per_group("family_info.class_start_s", "0");
    group.full_service_utilization = per_group("family_info.calm_level", "1");
    group.degradation_range = per_group("family_info.class_fade", "1");
    group.worker_kind = static_cast<int>(per_group("family_info.kind_by_class", "-1"));
    group.max_per_domain = static_cast<int>(per_group("family_info.class_most", "0"));
    group.priority = static_cast<int>(per_group("family_info.class_priority", "0"));
    const std::string spread_key = "family_info.class_spread";
    group.spread_domain = failure_domain(settings, spread_key, settings.nth(spread_key, index, "off"));
    return group;
}

}  // namespace

std::vector<QueueGroup> queue_groups(const Settings& settings) {
    std::vector<QueueGroup> groups;
    const std::size_t count = group_count(settings);
    for (std::size_t i = 0; i < count; ++i) groups.push_back(queue_group(settings, i));
    return groups;
}

std::vector<std::string> group_names(const Settings& settings) {
    std::vector<std::string> names;
    const std::size_t count = group_count(settings);
    for (std::size_t i = 0; i < count; ++i) names.emplace_back(settings.text(group_prefix(i) + "name"));
    return names;
}

std::vector<WorkerKind> worker_kinds(const Settings& settings) {
    std::vector<WorkerKind> kinds;
    const std::string cores_key = "family_info.cpu_of_kind", memory_key = "family_info.size_memory";
    const auto cores = settings.list(cores_key), memory = settings.list(memory_key);
    if (cores.empty()) settings.fail(cores_key, "names no machine kind");
    if (memory.size() != cores.size()) settings.fail(memory_key, "does not match family_info.cpu_of_kind");
    for (std::size_t i = 0; i < cores.size(); ++i) {
        const WorkerKind kind{settings.number(cores_key, cores[i]), settings.number(memory_key, memory[i])};
        if (!(kind.cores > 0)) settings.fail(cores_key, "must be above zero");
        if (!(kind.memory > 0)) settings.fail(memory_key, "must be above zero");
        kinds.push_back(kind);
    }
    return kinds;
}

WorkerAcceptance worker_acceptance(const Settings& settings) {
    return {settings.positive_number("family_info.accepts_cores"),
            settings.positive_number("family_info.memory_multiple"),
            settings.nth("family_info.free_by", 0, "asked") == "used",
            settings.boolean_or("limits.probes", false),
            settings.text("family_info.yes_at") == "running",
            settings.boolean_or("family_info.pushes_out", false),
            settings.boolean_or("family_info.says_pressure", true),
            settings.boolean_or("family_info.use_notes", true)};
}

SlowStartSettings slow_start_settings(const Settings& settings) {
    SlowStartSettings slow_start{settings.positive_number("contract.cold_from"),
                                 settings.duration("contract.cold_us"),
                                 settings.positive_number("contract.fall_multiple"),
                                 settings.duration("contract.fall_us"),
                                 settings.number_or("family_info.young_limit", 0),
                                 static_cast<int>(settings.positive_number("balancers")),
                                 static_cast<int>(settings.number_or("me", 0))};
    if (slow_start.placers < 1) settings.fail("balancers", "must be one or more");
    if (slow_start.placer_index < 0 || slow_start.placer_index >= slow_start.placers)
        settings.fail("me", "is out of range");
    if (slow_start.window <= 0) settings.fail("contract.fall_us", "must be above zero");
    return slow_start;
}

DiscoverySettings discovery_settings(const Settings& settings) {
    return {settings.text("discovery") == "on_request", settings.duration_or_zero("contract.ask_every_us")};
}
RetrySettings retry_settings(const Settings& settings) {
    return {static_cast<int>(settings.positive_number("limits.send_cap")),
            settings.boolean_or("limits.cancelling", false)};
}
Prices prices(const Settings& settings) {
    return {settings.number_or("penalties.fleet", 0),
            settings.number_or("penalties.moves", 0),
            settings.number_or("penalties.waste", 0),
            settings.number_or("penalties.probe", 0),
            settings.number_or("penalties.cross_zone", 0),
            settings.number_or("penalties.discovery", 0),
            settings.number_or("family_info.turned_down_price", 0)};
}

int zone(const Settings& settings) {
    const auto zones = settings.list("zones");
    if (zones.empty()) settings.fail("zones", "names no zone");
    const double zone = settings.number_at("zone");
    if (zone < 0 || zone >= static_cast<double>(zones.size())) settings.fail("zone", "is out of range");
    return static_cast<int>(zone);
}

namespace {

// Points to the members of a load report for one field name: its value and its presence flag. Both are null
// for an unknown name.
struct ReportField {
    double* value = nullptr;
    bool* is_given = nullptr;
};
ReportField report_field(LoadReport& report, std::string_view name) {
    if (name == "x0") return {&report.free_cores, &report.has_free_cores};
    if (name == "x1") return {&report.free_memory, &report.has_free_memory};
    if (name == "busy") return {&report.utilization, &report.has_utilization};
    if (name == "q" || name == "queue") return {&report.queue_length, &report.has_queue_length};
    return {};
}

}  // namespace

bool parse_load_report(std::string_view text, char separator, LoadReport& report) {
    while (!text.empty()) {
        const std::size_t end = text.find(separator);
        const std::string_view pair = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        const std::size_t colon = pair.find(':');
        if (colon == std::string_view::npos) return false;
        const ReportField field = report_field(report, pair.substr(0, colon));
        if (!field.value) continue;
        if (!parse_finite(pair.substr(colon + 1), *field.value)) return false;
        *field.is_given = true;
    }
    return true;
}

}  // namespace whinpost::settings
