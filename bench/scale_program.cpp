// whinpost_scale: measures one scheduler's control work at given sizes and prints the tables of
// docs/CAPACITY.md.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <map>

#include "scale.h"

namespace {

using whinpost::bench::ScaleSizes;

int fail(const std::string& problem) {
    std::cerr << "scale: " << problem << '\n';
    return 1;
}

}  // namespace

int main(int argc, char** argv) {
    ScaleSizes sizes;
    std::string varied = "workers", tables, out, commit = "unknown", machine = "unknown";
    std::vector<int> values{400, 1400, 5000, 14'000, 28'000};
    int runs = 3;
    CLI::App app("Measures one placer's control work among emulated workers and clients in virtual time");
    app.add_option("--workers", sizes.workers);
    app.add_option("--placers", sizes.placers);
    app.add_option("--services", sizes.services);
    app.add_option("--groups", sizes.queue_groups);
    app.add_option("--asks", sizes.asks, "tasks submitted per second to this placer");
    app.add_option("--running", sizes.running, "tasks recovered at the start");
    app.add_option("--updates", sizes.updates, "workers per second whose free room changes");
    app.add_option("--zones", sizes.zones);
    app.add_option("--vary", varied, "which of these sizes to vary");
    app.add_option("--values", values, "values of the varied size")->delimiter(',');
    app.add_option("--runs", runs, "runs of each point");
    app.add_option("--out", out, "file for the raw points");
    app.add_option("--commit", commit, "recorded in the raw points");
    app.add_option("--machine", machine, "recorded in the raw points");
    app.add_option("--table", tables, "print the table of this file of raw points and exit");
    CLI11_PARSE(app, argc, argv);
    try {
        if (!tables.empty()) {
            std::cout << whinpost::bench::table(whinpost::bench::read_record(tables));
            return 0;
        }
        const std::map<std::string, int ScaleSizes::*> variables{
            {"workers", &ScaleSizes::workers},   {"placers", &ScaleSizes::placers},
            {"services", &ScaleSizes::services}, {"groups", &ScaleSizes::queue_groups},
            {"asks", &ScaleSizes::asks},         {"running", &ScaleSizes::running},
            {"updates", &ScaleSizes::updates}};
        const auto variable = variables.find(varied);
        if (variable == variables.end()) return fail("--vary: unknown size " + varied);
        if (runs < 1) return fail("--runs: must be one or more");
        whinpost::bench::ScaleRecord record{commit, "scale", machine, {}};
        for (int i = 1; i < argc; ++i) record.command += std::string(" ") + argv[i];
        for (const int value : values) {
            ScaleSizes at = sizes;
            at.*variable->second = value;
            if (const auto invalid = check(at)) return fail(to_string(*invalid));
        }
        for (const int value : values) {
            whinpost::bench::ScalePoint point{varied, sizes, {}};
            point.sizes.*variable->second = value;
            for (int i = 0; i < runs; ++i) point.runs.push_back(measure(point.sizes));
            record.points.push_back(point);
            std::cerr << varied << ' ' << value << " done\n";
        }
        std::cout << table(record);
        if (out.empty()) return 0;
        std::ofstream file(out);
        file << to_json(record);
        if (!file.flush()) return fail("--out: can't write " + out);
    } catch (const std::exception& e) {
        return fail(e.what());
    }
    return 0;
}
