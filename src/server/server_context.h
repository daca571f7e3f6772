// State shared by the classes of the placer's server: the event loop, the ledger, admission control, the
// planner, timers, rounds and statistics.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "admission/admission_controller.h"
#include "ledger/ledger.h"
#include "log/logger.h"
#include "net/stream.h"
#include "planner/planner.h"
#include "server/planner_rounds.h"
#include "server/server_timers.h"

namespace whinpost::server {

// The version of all three protocols. A peer with another version is sent an Error and disconnected.
constexpr std::uint32_t kProtocolVersion = 1;

// The maximum length of the name of a task, a service, a client or a worker, in bytes.
constexpr std::size_t kMaxNameLength = 256;

// This placer's identity in its Hello messages. The incarnation differs at each start; the seed determines
// all random choices and is not sent.
struct PlacerIdentity {
    std::string name;
    std::uint64_t incarnation = 1;
    std::uint64_t seed = 1;
};

// Counters for operators and tests.
struct ServerStatistics {
    std::uint64_t planner_faults = 0;        // planner decisions that could not be executed
    std::uint64_t protocol_errors = 0;       // protocol violations by peers
    std::uint64_t admission_rejections = 0;  // rejected tasks and clients
    std::uint64_t late_accepts_reported = 0;
    std::uint64_t cancellations_sent = 0;
    std::uint64_t health_checks = 0;
    std::uint64_t endpoint_updates = 0;
    std::uint64_t stale_endpoint_updates = 0;
    std::uint64_t slow_clients_evicted = 0;
};

// The objects behind the references outlive the server. `planner` must be set before the first peer is
// served.
struct ServerContext {
    ServerContext(net::EventLoop& event_loop, const log::Logger& logger, PlacerIdentity placer,
                  ledger::Ledger& attempt_ledger, admission::AdmissionController& admission_controller,
                  RoundHandler& round_handler)
        : loop(event_loop), log(logger), identity(std::move(placer)), ledger(attempt_ledger),
          admission(admission_controller), timers(loop), rounds(loop, round_handler) {}

    net::EventLoop& loop;
    const log::Logger& log;
    const PlacerIdentity identity;
    ledger::Ledger& ledger;
    admission::AdmissionController& admission;
    ServerTimers timers;
    PlannerRounds rounds;
    planner::Planner* planner = nullptr;  // not owned; outlives the server
    ServerStatistics statistics;

    Nanos now() const { return loop.now(); }

    // Counts and logs a decision of the planner that can't be executed.
    void report_planner_fault(std::string_view decision, planner::TaskNumber task, std::string_view reason) {
        ++statistics.planner_faults;
        log(log::Level::warning, "planner_fault",
            {{"decision", decision}, {"task", task}, {"reason", reason}});
    }
};

}  // namespace whinpost::server
