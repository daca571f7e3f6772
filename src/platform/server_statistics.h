// Counters of the platform's server, for operators and tests.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>

#include "log/logger.h"
#include "platform/client_close_reason.h"

namespace whinpost::platform {

// Counters never decrease. Whatever is opened is counted again when it ends, so the number that is still open
// can be derived from the log alone.
struct ClientStatistics {
    std::uint64_t accepted = 0;
    std::array<std::uint64_t, kClientCloseReasons> closed{};

    void count_close(ClientCloseReason reason) { ++closed[static_cast<std::size_t>(reason)]; }
    bool operator==(const ClientStatistics&) const = default;
};

struct ServerStatistics {
    std::uint64_t tasks_reported = 0;      // valid reports of running tasks, from clients
    std::uint64_t tasks_adopted = 0;       // reported tasks that were adopted, on a listed worker
    std::uint64_t reports_dropped = 0;     // reports that ended without an adoption
    std::uint64_t attempts_retried = 0;    // attempts that ended without the task's final answer
    std::uint64_t running_tasks_lost = 0;  // running tasks that ended without a release from their worker

    std::uint64_t releases_sent = 0;          // ends of running tasks that were written to a client
    std::uint64_t releases_repeated = 0;      // written again, on another connection
    std::uint64_t releases_acknowledged = 0;  // acknowledged on the connection that they were sent on
    std::uint64_t releases_pending = 0;       // ends that had to wait for their client's next connection
    std::uint64_t releases_dropped = 0;       // ends whose client did not reconnect

    bool operator==(const ServerStatistics&) const = default;
};

// Logs one line, event `statistics`.
void log_statistics(const log::Logger&, const ClientStatistics&, const ServerStatistics&);

}  // namespace whinpost::platform
