#include "embedded_placer.h"

#include <algorithm>

namespace whinpost::apps {

namespace {
std::vector<std::string> names_of(const std::vector<config::NamedQueueGroup>& groups) {
    std::vector<std::string> out;
    for (const config::NamedQueueGroup& g : groups) out.push_back(g.name);
    return out;
}
std::vector<QueueGroup> terms_of(const std::vector<config::NamedQueueGroup>& groups) {
    std::vector<QueueGroup> out;
    for (const config::NamedQueueGroup& g : groups) out.push_back(g.queue_group);
    return out;
}
}  // namespace

EmbeddedPlacer::EmbeddedPlacer(net::EventLoop& loop, const config::PlacerSettings& me,
                               const std::vector<config::NamedQueueGroup>& groups,
                               const std::vector<WorkerKind>& kinds, WorkerAcceptance accepts,
                               SlowStartSettings cold, const config::DiscoveryService& at,
                               RetrySettings launches, Prices prices, admission::AdmissionLimits limits,
                               worker_connection::ConnectionSettings links, config::DialLimits dials,
                               config::LogSettings says, std::uint64_t seed, std::uint64_t incarnation,
                               const MakeLedger& make_ledger)
    : listen(me.listen), list(at.address), on_request(at.settings.poll), log(says.level, says.format),
      names(names_of(groups)), intake(limits, groups.size()),
      ledger(make_ledger ? make_ledger(terms_of(groups), launches, cold)
                         : std::make_unique<ledger::Ledger>(terms_of(groups), launches, cold)),
      edge(loop, log, *ledger, intake,
           {.identity = {me.name, incarnation, seed},
            .queue_groups = names,
            .worker_kinds = kinds.size(),
            .workers = {links, dials.concurrent, dials.per_second},
            .report_is_free = !accepts.reports_use,
            .slow_start_time = cold.warm_up_time + cold.window}),
      planner(edge, seed, me.zone, terms_of(groups), kinds, accepts, cold, at.settings, launches, prices) {
    edge.set_planner(planner);
}

std::unique_ptr<EmbeddedPlacer> EmbeddedPlacer::make(net::EventLoop& loop, config::Document& file,
                                                     std::uint64_t seed, std::uint64_t incarnation,
                                                     std::vector<std::string>& problems,
                                                     const MakeLedger& make_ledger) {
    problems = config::check(file);
    if (!problems.empty()) return nullptr;
    config::Table root = file.root();
    const config::PlacerSettings me = config::placer_settings(root);
    const std::vector<WorkerKind> kinds = config::worker_kinds(root);
    const std::vector<config::NamedQueueGroup> groups = config::queue_groups(root, kinds.size());
    const WorkerAcceptance accepts = config::worker_acceptance(root);
    const SlowStartSettings cold = config::slow_start_settings(root);
    const config::DiscoveryService at = config::discovery_service(root);
    const RetrySettings launches = config::retry_settings(root);
    const Prices prices = config::prices(root);
    const admission::AdmissionLimits limits = config::admission_limits(root);
    const worker_connection::ConnectionSettings links = config::connection_settings(root);
    const config::DialLimits dials = config::dial_limits(root);
    const config::LogSettings says = config::log_settings(root);
    return std::unique_ptr<EmbeddedPlacer>(
        new EmbeddedPlacer(loop, me, groups, kinds, accepts, cold, at, launches, prices, limits, links, dials,
                           says, me.seed ? me.seed : seed, incarnation, make_ledger));
}

}  // namespace whinpost::apps
