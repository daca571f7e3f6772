// Reads the tables of a placer's configuration file into the settings structs of the program's parts.
#pragma once
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "admission/admission_controller.h"
#include "config/document.h"
#include "log/logger.h"
#include "whinpost/scheduler.h"
#include "worker_connection/worker_connection.h"

namespace whinpost::config {

struct PlacerSettings {
    std::string name, listen;
    int zone = 0, zones = 0;
    std::uint64_t seed = 0;  // 0: the program chooses a random seed at each start
};
struct NamedQueueGroup {
    std::string name;
    QueueGroup queue_group;
};
struct DiscoveryService {
    std::string address;
    DiscoverySettings settings;
};
struct DialLimits {
    int concurrent = 16, per_second = 200;
};
struct LogSettings {
    log::Level level = log::Level::info;
    log::Format format = log::Format::text;
};

// Each function takes the document's root and reads its own tables. Errors are added to the document; see
// Document::take_errors().
PlacerSettings placer_settings(Table root);
// `kinds`: the number of worker kinds in the file.
std::vector<NamedQueueGroup> queue_groups(Table root, std::size_t kinds);
std::vector<WorkerKind> worker_kinds(Table root);
WorkerAcceptance worker_acceptance(Table root);
SlowStartSettings slow_start_settings(Table root);
DiscoveryService discovery_service(Table root);
RetrySettings retry_settings(Table root);
Prices prices(Table root);
admission::AdmissionLimits admission_limits(Table root);
worker_connection::ConnectionSettings connection_settings(Table root);
DialLimits dial_limits(Table root);
LogSettings log_settings(Table root);

// All settings in a placer's file.
struct PlacerFile {
    PlacerSettings placer;
    std::vector<WorkerKind> worker_kinds;
    std::vector<NamedQueueGroup> queue_groups;
    WorkerAcceptance worker_acceptance;
    SlowStartSettings slow_start;
    DiscoveryService discovery;
    RetrySettings retry;
    Prices prices;
    admission::AdmissionLimits admission;
    worker_connection::ConnectionSettings connection;
    DialLimits dial_limits;
    LogSettings log;
};
// Returns the settings only if the file has no errors.
[[nodiscard]] tl::expected<PlacerFile, ConfigErrors> read_placer_file(Document&);
// Returns only the errors; empty if the file is valid.
[[nodiscard]] ConfigErrors check(Document&);

}  // namespace whinpost::config
