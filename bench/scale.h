// Measures the cost of one scheduler's control work by fleet size, with the real planner, scheduler and
// ledger among emulated workers and clients in virtual time. The processor times depend on the machine;
// everything else is the same in each run.
#pragma once
#include <optional>
#include <string>

#include "scale_figures.h"
#include "scale_record.h"

namespace whinpost::bench {

// A size that is out of range.
struct InvalidSize {
    std::string option;  // of the program, such as "--workers"
    std::string problem;
};
std::string to_string(const InvalidSize&);

// Returns the first size that is out of range, or nothing.
[[nodiscard]] std::optional<InvalidSize> check(const ScaleSizes&);
// Runs one measurement. The sizes must have passed check().
ScaleFigures measure(const ScaleSizes&);

}  // namespace whinpost::bench
