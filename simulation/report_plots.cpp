#include "simulation/report_plots.h"

#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>

#include "simulation/report_json.h"
#include "simulation/report_table.h"

namespace whinpost::simulation {

namespace {

double seconds(Nanos time) { return static_cast<double>(time) / 1e9; }

void write_file(const std::string& path, const std::string& text) {
    std::ofstream out(path, std::ios::binary);
    out << text;
    if (!out.flush()) throw std::runtime_error("can't write " + path);
}

// One row per second: the time in seconds, and the share of service of each queue group and of all groups.
std::string service_data(const RunReport& report) {
    std::ostringstream out;
    for (const emulator::ServiceSample& sample : report.run().samples()) {
        out << seconds(sample.at);
        for (std::size_t i = 0; i <= sample.wanted.size(); ++i) {
            const int group = i < sample.wanted.size() ? static_cast<int>(i) : -1;
            const double share = report.service(group, sample.at, sample.at + 1);
            out << ' ' << (share < 0 ? "?" : format_number(share, 4));
        }
        out << '\n';
    }
    return out.str();
}

// A matrix of the number of attempts: one row per worker, one column per second.
std::string attempt_data(const RunReport& report) {
    const auto columns = static_cast<std::size_t>(report.run().scenario().length / kSecond) + 1;
    std::vector<std::vector<int>> rows(report.workers().size(), std::vector<int>(columns, 0));
    for (const AttemptRow& attempt : report.attempts()) {
        const auto column = static_cast<std::size_t>(attempt.at / kSecond);
        if (attempt.at >= 0 && column < columns) ++rows[attempt.worker][column];
    }
    std::ostringstream out;
    for (const std::vector<int>& row : rows) {
        for (const int count : row) out << count << ' ';
        out << '\n';
    }
    return out.str();
}

std::string plot_script(const RunReport& report) {
    const emulator::Scenario& scenario = report.run().scenario();
    std::ostringstream out;
    out << "set terminal pngcairo size 1100,760 font 'sans,10'\nset output 'report.png'\n"
        << "set multiplot layout 2,1 title '" << scenario.name << ", seed " << scenario.seed << ", "
        << scenario.placers << " placers, " << scenario.workers << " nodes (emulated)'\n"
        << "set key below\nset yrange [0:1.05]\nset xrange [0:" << seconds(scenario.length)
        << "]\nset ylabel 'share of service'\nset datafile missing '?'\n";
    std::set<std::string> drawn;
    for (const emulator::Fault& fault : scenario.faults) {
        const std::string time = format_number(seconds(fault.at), 2);
        if (!drawn.insert(time).second) continue;
        out << "set arrow from " << time << ",0 to " << time << ",1.05 nohead lc rgb '#cc8888' dt 3\n";
    }
    out << "plot ";
    const std::size_t groups = scenario.groups.size();
    for (std::size_t i = 0; i <= groups; ++i)
        out << (i ? ", " : "") << "'service.dat' using 1:" << i + 2 << " with lines lw "
            << (i == groups ? 3 : 1) << " title '" << (i < groups ? scenario.groups[i].name : "all") << "'";
    out << "\nunset arrow\nset yrange [-0.5:" << static_cast<double>(report.workers().size()) - 0.5
        << "]\nset ylabel 'node'\nset xlabel 'seconds'\nset cblabel 'launches per second'\n"
        << "plot 'sent.dat' matrix with image notitle\nunset multiplot\n";
    return out.str();
}

}  // namespace

void write_report(const RunReport& report, const std::string& dir) {
    write_file(dir + "/report.json", to_json(report));
    write_file(dir + "/service.dat", service_data(report));
    write_file(dir + "/sent.dat", attempt_data(report));
    write_file(dir + "/report.gp", plot_script(report));
}

bool draw_plots(const std::string& dir) {
    std::string quoted = "'";
    for (const char symbol : dir) quoted += symbol == '\'' ? std::string("'\\''") : std::string(1, symbol);
    quoted += '\'';
    return std::system(("cd " + quoted + " && gnuplot report.gp 2>gnuplot.log").c_str()) == 0;
}

}  // namespace whinpost::simulation
