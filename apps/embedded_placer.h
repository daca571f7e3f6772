// A placer in one process: edge and planner with a direct call between them, made of a file that was read
// whole.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/placer_file.h"
#include "planner/local_planner.h"
#include "server/placer_server.h"

namespace whinpost::apps {

class EmbeddedPlacer {
public:
    // Reads all tables; `problems` says what is wrong, and then nothing was made. `seed` and `incarnation`
    // are used where the file leaves them to chance.
    // `ledger`, if given, makes another ledger than the program's: tests break it on purpose.
    using MakeLedger = std::function<std::unique_ptr<ledger::Ledger>(std::vector<QueueGroup>, RetrySettings,
                                                                     SlowStartSettings)>;
    static std::unique_ptr<EmbeddedPlacer> make(net::EventLoop&, config::Document&, std::uint64_t seed,
                                                std::uint64_t incarnation, std::vector<std::string>& problems,
                                                const MakeLedger& ledger = {});
    // Empty if it listens; else what is wrong.
    std::string start() {
        const auto listening = edge.start(listen, {list, on_request});
        return listening ? std::string() : listen + ": " + to_string(listening.error());
    }

    std::string listen, list;
    bool on_request = false;
    log::Logger log;
    std::vector<std::string> names;
    admission::AdmissionController intake;
    std::unique_ptr<ledger::Ledger> ledger;
    server::PlacerServer edge;
    planner::LocalPlanner planner;

private:
    EmbeddedPlacer(net::EventLoop&, const config::PlacerSettings&,
                   const std::vector<config::NamedQueueGroup>&, const std::vector<WorkerKind>&,
                   WorkerAcceptance, SlowStartSettings, const config::DiscoveryService&, RetrySettings,
                   Prices, admission::AdmissionLimits, worker_connection::ConnectionSettings,
                   config::DialLimits, config::LogSettings, std::uint64_t seed, std::uint64_t incarnation,
                   const MakeLedger&);
};

}  // namespace whinpost::apps
