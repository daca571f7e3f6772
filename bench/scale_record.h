// The raw points of a measurement, as written to docs/capacity/*.json, and their table.
#pragma once
#include <string>
#include <vector>

#include "scale_figures.h"

namespace whinpost::bench {

// All runs at the same sizes.
struct ScalePoint {
    std::string varied;  // which of the sizes, by its option without dashes
    ScaleSizes sizes;
    std::vector<ScaleFigures> runs;
};

struct ScaleRecord {
    std::string commit, command, machine;
    std::vector<ScalePoint> points;
};

std::string to_json(const ScaleRecord&);
// Throws std::runtime_error that names the file and what is wrong with it.
ScaleRecord read_record(const std::string& path);
// A Markdown table of all points: medians over the runs, and the spread of the decision.
std::string table(const ScaleRecord&);

}  // namespace whinpost::bench
