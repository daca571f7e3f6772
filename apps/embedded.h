// A placer in one process: edge and planner with a direct call between them, made of a file that was read
// whole.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/placer_file.h"
#include "edge/edge.h"
#include "planner/planner.h"

namespace whinpost::apps {

class Embedded {
public:
    // Reads all tables; `problems` says what is wrong, and then nothing was made. `seed` and `incarnation`
    // are used where the file leaves them to chance.
    // `ledger`, if given, makes another ledger than the program's: tests break it on purpose.
    using MakeLedger =
        std::function<std::unique_ptr<ledger::Ledger>(std::vector<QueueGroup>, LaunchTerms, ColdTerms)>;
    static std::unique_ptr<Embedded> make(net::Loop&, config::Document&, std::uint64_t seed,
                                          std::uint64_t incarnation, std::vector<std::string>& problems,
                                          const MakeLedger& ledger = {});
    std::string start() { return edge.start(listen, list, on_request); }

    std::string listen, list;
    bool on_request = false;
    log::Log log;
    std::vector<std::string> names;
    intake::Intake intake;
    std::unique_ptr<ledger::Ledger> ledger;
    edge::Edge edge;
    planner::Planner planner;

private:
    Embedded(net::Loop&, const config::Named&, const std::vector<config::Group>&,
             const std::vector<MachineKind>&, Acceptance, ColdTerms, const config::ListAt&, LaunchTerms,
             Prices, intake::Limits, link::Terms, config::Dialling, config::Saying, std::uint64_t seed,
             std::uint64_t incarnation, const MakeLedger&);
};

}  // namespace whinpost::apps
