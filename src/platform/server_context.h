// Objects shared by the parts of the platform's server.
#pragma once
#include "ledger/ledger.h"
#include "log/logger.h"
#include "net/stream.h"
#include "platform/deadline_timers.h"
#include "platform/planner_rounds.h"
#include "platform/server_statistics.h"

namespace whinpost::platform {

// References to objects that outlive every part of the server.
struct ServerContext {
    net::EventLoop& loop;
    const log::Logger& log;
    ledger::Ledger& ledger;
    PlannerRounds& rounds;
    DeadlineTimers& timers;
    ServerStatistics& statistics;

    Nanos now() const { return loop.now(); }
    planner::Planner& planner() const { return rounds.planner(); }
};

}  // namespace whinpost::platform
