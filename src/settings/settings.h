// Reads a deployment's settings into the argument types of scheduler and ledger. The simulator adapter takes
// them from the simulator's first message and the platform server from its file; both use this module, so
// that they interpret settings alike. Unknown keys are ignored; an invalid value is an error that names its
// key. No I/O, no global state, and no library but the standard one, since the simulator adapter must
// build without dependencies.
#pragma once
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "whinpost/scheduler.h"

namespace whinpost::settings {

// Thrown by every function here for a missing or invalid value. An exception, since settings are read only
// while a program starts, and such an error ends the program. The message is `SOURCE: KEY PROBLEM`.
struct SettingsError : std::runtime_error {
    SettingsError(std::string source, std::string key, std::string problem);
    std::string source, key, problem;
};

// Values by key, for example `classes.0.aim_us` or `family_info.cpu_of_kind`. The values of a list are
// separated with commas; the length of a list of objects is stored under the key with `.count` appended. A
// value that is "-" or empty counts as missing.
class Settings {
public:
    // `source`: the name of the file or message, for errors.
    explicit Settings(std::string source) : source_(std::move(source)) {}
    // A later value for the same key is ignored.
    void put(std::string key, std::string value) { values_.emplace(std::move(key), std::move(value)); }
    // Puts `key=value` pairs that are separated with single spaces.
    void put_pairs(std::string_view text);

    bool has(const std::string& key) const;
    std::string_view text(const std::string& key) const;
    double number_at(const std::string& key) const { return number(key, text(key)); }
    double number_or(const std::string& key, double fallback) const {
        return has(key) ? number_at(key) : fallback;
    }
    double positive_number(const std::string& key) const;
    // The value is in microseconds; a fraction is truncated.
    Nanos duration(const std::string& key) const;
    Nanos duration_or_zero(const std::string& key) const { return has(key) ? duration(key) : 0; }
    bool boolean(const std::string& key) const;
    bool boolean_or(const std::string& key, bool fallback) const {
        return has(key) ? boolean(key) : fallback;
    }
    std::vector<std::string_view> list(const std::string& key) const;
    // The element at `index` of a list, for example of one queue group; the last element if the list is
    // shorter, and `fallback` if the list is missing.
    std::string_view nth(const std::string& key, std::size_t index, std::string_view fallback) const;
    // Parses `value` as a number; `key` is named in the error.
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

// Parses a load report: `name:value` pairs that are separated with `separator`. Unknown names are ignored.
// Returns false if a pair is malformed or its value is not a finite number; `report` is then to be discarded.
[[nodiscard]] bool parse_load_report(std::string_view text, char separator, LoadReport&);

}  // namespace whinpost::settings
