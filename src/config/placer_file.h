// The tables of a placer's file, each read as the plain values that one part of the program takes.
#pragma once
#include <string>
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
    std::uint64_t seed = 0;  // 0: from chance, at each start
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

PlacerSettings placer_settings(Table root);
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
// All of them, for what is wrong alone: a file that passes can be run.
std::vector<std::string> check(Document&);

}  // namespace whinpost::config
