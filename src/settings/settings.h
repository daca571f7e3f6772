// The settings of a deployment, as the simulator's first message and the platform's file give them, read into
// the arguments of scheduler and ledger. Both sides read through here, so that they can't differ. Keys that
// nobody asks for pass; a wrong value is an error that names its key. No I/O, no value of its own, and no
// library but the standard one, since the simulator adapter must build without any.
#pragma once
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "whinpost/scheduler.h"

namespace whinpost::settings {

// Thrown by every getter here for a value that is missing or wrong. An exception, since settings are read
// only while a program starts, which such an error ends. The text is `SOURCE: KEY PROBLEM`.
struct SettingsError : std::runtime_error {
    SettingsError(std::string source, std::string key, std::string problem);
    std::string source, key, problem;
};

// Values by key, as `classes.0.aim_us` or `family_info.cpu_of_kind` (a list: its values with commas between
// them; a list of objects has its length under `.count`). Absent is "-" or empty.
class Settings {
public:
    // `source` names the file or message in errors.
    explicit Settings(std::string source) : source_(std::move(source)) {}
    // The first value of a key holds.
    void put(std::string key, std::string value) { values_.emplace(std::move(key), std::move(value)); }
    // `key=value` pairs with one space between them.
    void put_pairs(std::string_view text);

    bool has(const std::string& key) const;
    std::string_view text(const std::string& key) const;
    double number_at(const std::string& key) const { return number(key, text(key)); }
    double number_or(const std::string& key, double absent) const {
        return has(key) ? number_at(key) : absent;
    }
    double positive_number(const std::string& key) const;
    // Given in whole microseconds; what is beyond the point is cut off.
    Nanos duration(const std::string& key) const;
    Nanos duration_or_zero(const std::string& key) const { return has(key) ? duration(key) : 0; }
    bool boolean(const std::string& key) const;
    bool boolean_or(const std::string& key, bool absent) const { return has(key) ? boolean(key) : absent; }
    std::vector<std::string_view> list(const std::string& key) const;
    // The value of one queue group in a list; the last serves for the rest.
    std::string_view nth(const std::string& key, std::size_t index, std::string_view absent) const;
    // `value` as a number; `key` is for the error.
    double number(const std::string& key, std::string_view value) const;
    [[noreturn]] void fail(std::string_view key, std::string_view problem) const;

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

// A load report, pairs `name:value` with `separator` between them; names that say nothing here pass. False
// where it can't be read or a value is no finite number; the report is then to be discarded.
[[nodiscard]] bool parse_load_report(std::string_view text, char separator, LoadReport&);

}  // namespace whinpost::settings
