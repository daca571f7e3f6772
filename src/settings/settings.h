// The settings of a deployment, as the drill's first message and the platform's file give them, read into the
// arguments of module and ledger. Both sides read through here, so that they can't differ. Keys that nobody
// asks for pass; a wrong value is an error that names its path. No I/O, no value of its own.
#pragma once
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "whinpost/scheduler.h"

namespace whinpost::settings {

struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Values by path, as `classes.0.aim_us` or `family_info.cpu_of_kind` (a list: its values with commas between
// them; a list of objects has its length under `.count`). Absent is "-" or empty.
class Settings {
public:
    explicit Settings(std::string source) : source_(std::move(source)) {}  // errors begin with it
    void put(std::string path, std::string value) { values_.emplace(std::move(path), std::move(value)); }
    // `path=value` pairs with one space between them.
    void put_pairs(std::string_view text);

    bool has(const std::string& path) const;
    std::string_view text(const std::string& path) const;
    double number_at(const std::string& path) const { return number(path, text(path)); }
    double number_or(const std::string& path, double absent) const {
        return has(path) ? number_at(path) : absent;
    }
    double positive_number(const std::string& path) const;
    Nanos duration(const std::string& path) const;
    Nanos duration_or_zero(const std::string& path) const { return has(path) ? duration(path) : 0; }
    bool boolean(const std::string& path) const;
    bool boolean_or(const std::string& path, bool absent) const { return has(path) ? boolean(path) : absent; }
    std::vector<std::string_view> list(const std::string& path) const;
    // The value of one queue group in a list; the last serves for the rest.
    std::string_view nth(const std::string& path, std::size_t i, std::string_view absent) const;
    double number(const std::string& path, std::string_view v) const;
    [[noreturn]] void fail(std::string_view path, std::string_view what) const;

private:
    std::string source_;
    std::map<std::string, std::string, std::less<>> values_;
};

std::vector<QueueGroup> queue_groups(const Settings&);
std::vector<std::string> group_names(const Settings&);
std::vector<WorkerKind> worker_kinds(const Settings&);
WorkerAcceptance worker_acceptance(const Settings&);
SlowStartSettings slow_start_settings(const Settings&);
DiscoverySettings discovery_settings(const Settings&);
RetrySettings retry_settings(const Settings&);
Prices prices(const Settings&);
int zone(const Settings&);

// A load report, pairs `name:value` with `between` between them; names that say nothing here pass. False
// where it can't be read or a value is no finite number.
bool parse_load_report(std::string_view text, char between, LoadReport&);

}  // namespace whinpost::settings
