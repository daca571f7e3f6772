// A placer whose server and planner run in the same process and call each other directly. It is created from
// a configuration file that has passed all checks.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "config/placer_file.h"
#include "planner/local_planner.h"
#include "server/placer_server.h"

namespace whinpost::apps {

using LedgerFactory =
    std::function<std::unique_ptr<ledger::Ledger>(std::vector<QueueGroup>, RetrySettings, SlowStartSettings)>;

struct EmbeddedPlacerOptions {
    std::uint64_t seed = 0;         // used if the file sets no seed
    std::uint64_t incarnation = 0;  // differs at each start of the placer
    LedgerFactory make_ledger;      // empty: ledger::Ledger; tests pass one that does not enforce its rules
};

class EmbeddedPlacer {
public:
    // The loop must outlive the placer.
    [[nodiscard]] static tl::expected<std::unique_ptr<EmbeddedPlacer>, config::ConfigErrors> make(
        net::EventLoop&, config::Document&, const EmbeddedPlacerOptions&);
    [[nodiscard]] tl::expected<void, net::ListenError> start() {
        return server.start(listen_address, {discovery_address, polls_discovery});
    }

    std::string listen_address, discovery_address;
    bool polls_discovery = false;
    log::Logger log;
    std::vector<std::string> group_names;
    admission::AdmissionController admission;
    std::unique_ptr<ledger::Ledger> ledger;
    server::PlacerServer server;
    planner::LocalPlanner planner;

private:
    EmbeddedPlacer(net::EventLoop&, const config::PlacerFile&, const EmbeddedPlacerOptions&);
};

}  // namespace whinpost::apps
