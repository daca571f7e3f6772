#include "platform/server_statistics.h"

#include <string>

namespace whinpost::platform {
namespace {

// Formats the counts as in `no_request:3,draining:1`; reasons with a count of 0 are left out.
std::string close_counts(const ClientStatistics& clients) {
    std::string text;
    for (std::size_t i = 0; i < kClientCloseReasons; ++i) {
        if (!clients.closed[i]) continue;
        if (!text.empty()) text += ',';
        text += to_string(static_cast<ClientCloseReason>(i));
        text += ':' + std::to_string(clients.closed[i]);
    }
    return text.empty() ? "none" : text;
}

}  // namespace

void log_statistics(const log::Logger& log, const ClientStatistics& clients,
                    const ServerStatistics& statistics) {
    log(log::Level::info, "statistics",
        {{"clients_accepted", clients.accepted},
         {"clients_closed", close_counts(clients)},
         {"tasks_reported", statistics.tasks_reported},
         {"tasks_adopted", statistics.tasks_adopted},
         {"reports_dropped", statistics.reports_dropped},
         {"attempts_retried", statistics.attempts_retried},
         {"running_tasks_lost", statistics.running_tasks_lost},
         {"releases_sent", statistics.releases_sent},
         {"releases_repeated", statistics.releases_repeated},
         {"releases_acknowledged", statistics.releases_acknowledged},
         {"releases_pending", statistics.releases_pending},
         {"releases_dropped", statistics.releases_dropped}});
}

}  // namespace whinpost::platform
