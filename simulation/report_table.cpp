#include "simulation/report_table.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <ostream>
#include <sstream>

namespace whinpost::simulation {

using emulator::Expectation;
using emulator::Metric;

namespace {

constexpr Nanos kServiceRows = 15;
constexpr std::size_t kBusiestRows = 8;
constexpr std::size_t kDrainRows = 12;

double seconds(Nanos time) { return static_cast<double>(time) / 1e9; }

std::string pad(const std::string& text, std::size_t width) {
    return text + std::string(width > text.size() ? width - text.size() : 1, ' ');
}

std::string pad(std::uint64_t number, std::size_t width) { return pad(std::to_string(number), width); }

std::string format_share(double share) { return share < 0 ? "-" : format_number(share); }

void add_service(std::ostream& out, const RunReport& report) {
    const emulator::Scenario& scenario = report.run().scenario();
    out << "\nservice over time (share of the service wanted)\n" << pad("from", 8);
    for (const auto& group : scenario.groups) out << pad(group.name, 16);
    out << "all\n";
    const Nanos rounded_up = (scenario.length / kServiceRows + kSecond - 1) / kSecond * kSecond;
    const Nanos step = std::max<Nanos>(kSecond, rounded_up);
    for (Nanos from = 0; from < scenario.length; from += step) {
        out << pad(std::to_string(from / kSecond) + " s", 8);
        for (std::size_t group = 0; group < scenario.groups.size(); ++group)
            out << pad(format_share(report.service(static_cast<int>(group), from, from + step)), 16);
        out << format_share(report.service(-1, from, from + step)) << '\n';
    }
}

void add_busiest_workers(std::ostream& out, const RunReport& report) {
    std::vector<WorkerRow> busiest = report.workers();
    std::stable_sort(busiest.begin(), busiest.end(), [](const WorkerRow& one, const WorkerRow& other) {
        return one.attempts > other.attempts;
    });
    out << "\nnodes with the most launches (of " << busiest.size() << ")\n"
        << pad("node", 14) << pad("launches", 10) << pad("accepted", 10) << pad("refused", 10)
        << pad("errors", 8) << "started\n";
    for (std::size_t i = 0; i < busiest.size() && i < kBusiestRows; ++i) {
        const WorkerRow& row = busiest[i];
        out << pad(row.name, 14) << pad(row.attempts, 10) << pad(row.accepted, 10) << pad(row.rejected, 10)
            << pad(row.errors, 8) << row.started << (row.overloaded ? "  overloaded" : "") << '\n';
    }
}

void add_drains(std::ostream& out, const RunReport& report) {
    struct WorkerDrain {
        Nanos first_known_at;
        Nanos longest_lag = -1;  // -1: no attempt arrived after the drain was known
    };
    std::map<std::string, WorkerDrain> by_worker;
    for (const DrainRow& row : report.drains()) {
        WorkerDrain& drain = by_worker.try_emplace(row.worker, WorkerDrain{row.known_at}).first->second;
        drain.first_known_at = std::min(drain.first_known_at, row.known_at);
        if (row.last_attempt_at)
            drain.longest_lag = std::max(drain.longest_lag, row.last_attempt_at - row.known_at);
    }
    if (by_worker.empty()) return;
    out << "\ndrains\n" << pad("node", 14) << pad("first known", 14) << "last launch after that\n";
    std::size_t rows = 0;
    for (const auto& [worker, drain] : by_worker) {
        if (++rows > kDrainRows) break;
        out << pad(worker, 14) << pad(format_number(seconds(drain.first_known_at)) + " s", 14)
            << (drain.longest_lag < 0 ? "none" : format_number(seconds(drain.longest_lag)) + " s later")
            << '\n';
    }
    if (by_worker.size() > kDrainRows)
        out << "... and " << by_worker.size() - kDrainRows << " more nodes (all are in report.json)\n";
}

void add_expectations(std::ostream& out, const RunReport& report) {
    const emulator::Scenario& scenario = report.run().scenario();
    if (!report.expectations().empty()) out << "\nexpected\n";
    for (const CheckedExpectation& checked : report.expectations()) {
        const Expectation& expect = checked.expect;
        out << (checked.met ? "  met      " : "  NOT MET  ") << to_string(expect.metric);
        if (expect.group >= 0) out << " of " << scenario.groups[static_cast<std::size_t>(expect.group)].name;
        if (expect.from || expect.to != scenario.length)
            out << " from " << format_number(seconds(expect.from), 1) << " to "
                << format_number(seconds(expect.to), 1) << " s";
        if (expect.metric == Metric::recovery_time) out << " to " << format_number(expect.share);
        out << (expect.at_least ? " at least " : " at most ") << format_number(expect.bound) << ": "
            << (checked.known ? format_number(checked.value) : "no data in this run") << '\n';
    }
}

}  // namespace

std::string format_number(double value, int digits) {
    if (value == kNever) return "never";
    char text[32];
    std::snprintf(text, sizeof text, "%.*f", digits, value);
    return text;
}

std::string to_table(const RunReport& report) {
    std::ostringstream out;
    out << report.run().table(report.result());
    add_service(out, report);
    add_busiest_workers(out, report);
    add_drains(out, report);
    add_expectations(out, report);
    out << '\n' << report.result().verdict.summary() << '\n';
    return out.str();
}

}  // namespace whinpost::simulation
