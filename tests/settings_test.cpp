// Reading of settings by key, and the errors for missing and invalid values.
#include "settings/settings.h"

#include <catch2/catch.hpp>
#include <string>

using namespace whinpost;
using settings::Settings;
using settings::SettingsError;

namespace {

SettingsError error_of(const Settings& values, const std::string& key) {
    try {
        values.duration(key);
    } catch (const SettingsError& error) {
        return error;
    }
    FAIL("no error");
    return {"", "", ""};
}

}  // namespace

TEST_CASE("an error holds source, key and problem, and its message consists of them") {
    Settings values("INIT");
    values.put_pairs("negative=-1 word=soon absent=-");
    const SettingsError missing = error_of(values, "absent");
    CHECK(missing.source == "INIT");
    CHECK(missing.key == "absent");
    CHECK(missing.problem == "is missing");
    CHECK(std::string(missing.what()) == "INIT: absent is missing");
    CHECK(error_of(values, "negative").problem == "is out of range");
    CHECK(error_of(values, "word").problem == "is not a number");
}

TEST_CASE(
    "durations are whole microseconds, lists repeat their last element, the first value of a key is kept") {
    Settings values("file");
    values.put("time", "2.9");
    values.put("time", "7");
    values.put("list", "a,b");
    CHECK(values.duration("time") == 2 * kMicrosecond);
    CHECK(values.duration_or_zero("nothing") == 0);
    CHECK(values.nth("list", 0, "") == "a");
    CHECK(values.nth("list", 9, "") == "b");
    CHECK(values.nth("nothing", 0, "absent") == "absent");
}

TEST_CASE("a load report sets the fields it names, and is invalid if a value is not a finite number") {
    LoadReport report;
    CHECK(settings::parse_load_report("x0:1.5;queue:3;other:x", ';', report));
    CHECK(report.has_free_cores);
    CHECK(report.free_cores == 1.5);
    CHECK(report.queue_length == 3);
    CHECK_FALSE(report.has_free_memory);
    LoadReport spoiled;
    CHECK_FALSE(settings::parse_load_report("busy:nan", ';', spoiled));
    CHECK_FALSE(settings::parse_load_report("busy", ';', spoiled));
}
