// Counters of the platform's server, for operators and tests.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>

#include "log/logger.h"
#include "platform/client_close_reason.h"

namespace whinpost::platform {

// Each counter only grows. Whatever was taken on is counted once more when it comes to its end, so what is
// still open can be worked out from the log alone.
struct ClientStatistics {
    std::uint64_t accepted = 0;
    std::array<std::uint64_t, kClientCloseReasons> closed{};

    void count_close(ClientCloseReason reason) { ++closed[static_cast<std::size_t>(reason)]; }
    bool operator==(const ClientStatistics&) const = default;
};

struct ServerStatistics {
    std::uint64_t tasks_reported = 0;      // reports of running tasks that were well formed
    std::uint64_t tasks_adopted = 0;       // of these, on a worker that is listed
    std::uint64_t reports_dropped = 0;     // of these, ended without an adoption
    std::uint64_t attempts_retried = 0;    // attempts that ended without the task's final answer
    std::uint64_t running_tasks_lost = 0;  // running tasks that ended without their worker's word

    std::uint64_t releases_sent = 0;          // ends of running tasks that were written to a client
    std::uint64_t releases_repeated = 0;      // written again, on another connection
    std::uint64_t releases_acknowledged = 0;  // said to be received, by the connection that was owed them
    std::uint64_t releases_pending = 0;       // ends that had to wait for their client's next connection
    std::uint64_t releases_dropped = 0;       // ends whose client did not come back

    bool operator==(const ServerStatistics&) const = default;
};

// One line, event `statistics`.
void log_statistics(const log::Logger&, const ClientStatistics&, const ServerStatistics&);

}  // namespace whinpost::platform
