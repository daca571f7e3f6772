// The raw points of a measurement, as stored in docs/capacity/*.json, and their table.
#pragma once
#include <string>
#include <vector>

#include "scale_figures.h"

namespace whinpost::bench {

// All runs with the same sizes.
struct ScalePoint {
    std::string varied;  // the varied size: its option without dashes
    ScaleSizes sizes;
    std::vector<ScaleFigures> runs;
};

struct ScaleRecord {
    std::string commit, command, machine;
    std::vector<ScalePoint> points;
};

std::string to_json(const ScaleRecord&);
// Throws std::runtime_error that names the file and the error in it.
ScaleRecord read_record(const std::string& path);
// Returns a Markdown table of all points: medians over the runs, and the range of the decision time.
std::string table(const ScaleRecord&);

}  // namespace whinpost::bench
