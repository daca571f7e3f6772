// What one scheduler's control work costs as the fleet grows: the real planner, scheduler and ledger among
// emulated workers and clients in virtual time. Processor time is this machine's; all else repeats exactly.
#pragma once
#include <optional>
#include <string>

#include "scale_figures.h"
#include "scale_record.h"

namespace whinpost::bench {

// A size that can't be measured.
struct InvalidSize {
    std::string option;  // of the program, as "--workers"
    std::string problem;
};
std::string to_string(const InvalidSize&);

// Nothing if the sizes can be measured.
[[nodiscard]] std::optional<InvalidSize> check(const ScaleSizes&);
// The sizes must have passed check().
ScaleFigures measure(const ScaleSizes&);

}  // namespace whinpost::bench
