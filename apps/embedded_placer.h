// A placer in one process: its server and its planner with a direct call between them, made from a file that
// was checked whole.
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
    std::uint64_t seed = 0;         // used where the file gives none
    std::uint64_t incarnation = 0;  // tells this life of the placer from earlier ones
    LedgerFactory make_ledger;      // empty: the program's own; tests use one that allows what it must not
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
