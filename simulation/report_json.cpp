#include "simulation/report_json.h"

#include <nlohmann/json.hpp>

namespace whinpost::simulation {

using emulator::Rule;
using nlohmann::ordered_json;

namespace {

double seconds(Nanos time) { return static_cast<double>(time) / 1e9; }

void add_rules(ordered_json& rules, const RunReport& report) {
    const emulator::Verdict& verdict = report.result().verdict;
    rules["kept"] = verdict.kept();
    rules["lost"] = verdict.count(Rule::lost);
    rules["twice"] = verdict.count(Rule::twice);
    rules["drains"] = verdict.count(Rule::drain);
    rules["pushed_over"] = verdict.count(Rule::overload);
    rules["spread"] = verdict.count(Rule::spread);
    for (const emulator::Violation& violation : verdict.violations)
        rules["breaches"].push_back(
            {{"what", violation.what}, {"line", to_string(violation.event, report.run().started_at())}});
}

void add_groups(ordered_json& root, const RunReport& report) {
    const emulator::Scenario& scenario = report.run().scenario();
    for (std::size_t i = 0; i < scenario.groups.size(); ++i) {
        const emulator::QueueGroupCounts& counts = report.result().counts[i];
        root["groups"].push_back({{"name", scenario.groups[i].name},
                                  {"asked", counts.requested},
                                  {"placed", counts.accepted},
                                  {"in_time", counts.in_time},
                                  {"deferred", counts.rejected},
                                  {"killed", counts.failed},
                                  {"asked_again", counts.retried},
                                  {"never", counts.abandoned},
                                  {"service", report.service(static_cast<int>(i), 0, scenario.length)}});
    }
}

void add_seconds(ordered_json& root, const RunReport& report) {
    for (const emulator::ServiceSample& sample : report.run().samples())
        root["seconds"].push_back({{"at_s", seconds(sample.at)},
                                   {"wanted", sample.wanted},
                                   {"running", sample.running},
                                   {"served", sample.served}});
}

void add_workers(ordered_json& root, const RunReport& report) {
    for (const WorkerRow& row : report.workers())
        root["sent"].push_back({{"node", row.name},
                                {"launches", row.attempts},
                                {"accepted", row.accepted},
                                {"refused", row.rejected},
                                {"errors", row.errors},
                                {"started", row.started},
                                {"fell", row.overloaded}});
}

void add_drains(ordered_json& root, const RunReport& report) {
    for (const DrainRow& drain : report.drains()) {
        ordered_json row{
            {"node", drain.worker}, {"placer", drain.placer}, {"heard_s", seconds(drain.known_at)}};
        if (drain.last_attempt_at)
            row["last_launch_after_s"] = seconds(drain.last_attempt_at - drain.known_at);
        root["drains"].push_back(row);
    }
}

void add_expectations(ordered_json& root, const RunReport& report) {
    for (const CheckedExpectation& checked : report.expectations()) {
        const emulator::Expectation& expect = checked.expect;
        ordered_json row{{"of", to_string(expect.metric)},
                         {expect.at_least ? "at_least" : "at_most", expect.bound},
                         {"from_s", seconds(expect.from)},
                         {"to_s", seconds(expect.to)}};
        if (expect.group >= 0)
            row["group"] = report.run().scenario().groups[static_cast<std::size_t>(expect.group)].name;
        if (checked.known && checked.value != kNever) row["value"] = checked.value;
        row["met"] = checked.met;
        root["expected"].push_back(row);
    }
}

}  // namespace

std::string to_json(const RunReport& report) {
    const emulator::Scenario& scenario = report.run().scenario();
    ordered_json root;
    root["scenario"] = scenario.name;
    root["seed"] = scenario.seed;
    root["placers"] = scenario.placers;
    root["nodes"] = scenario.workers;
    root["length_s"] = seconds(scenario.length);
    if (!report.digest().empty()) root["digest"] = report.digest();
    add_rules(root["rules"], report);
    add_groups(root, report);
    root["service"] = report.service(-1, 0, scenario.length);
    add_seconds(root, report);
    add_workers(root, report);
    add_drains(root, report);
    add_expectations(root, report);
    return root.dump(1);
}

}  // namespace whinpost::simulation
