#include "embedded_placer.h"

namespace whinpost::apps {

namespace {

std::vector<std::string> names_of(const std::vector<config::NamedQueueGroup>& groups) {
    std::vector<std::string> names;
    names.reserve(groups.size());
    for (const config::NamedQueueGroup& group : groups) names.push_back(group.name);
    return names;
}

std::vector<QueueGroup> settings_of(const std::vector<config::NamedQueueGroup>& groups) {
    std::vector<QueueGroup> settings;
    settings.reserve(groups.size());
    for (const config::NamedQueueGroup& group : groups) settings.push_back(group.queue_group);
    return settings;
}

std::unique_ptr<ledger::Ledger> make_ledger(const config::PlacerFile& file, const LedgerFactory& factory) {
    std::vector<QueueGroup> groups = settings_of(file.queue_groups);
    if (factory) return factory(std::move(groups), file.retry, file.slow_start);
    return std::make_unique<ledger::Ledger>(std::move(groups), file.retry, file.slow_start);
}

std::uint64_t seed_of(const config::PlacerFile& file, const EmbeddedPlacerOptions& options) {
    return file.placer.seed ? file.placer.seed : options.seed;
}

}  // namespace

EmbeddedPlacer::EmbeddedPlacer(net::EventLoop& loop, const config::PlacerFile& file,
                               const EmbeddedPlacerOptions& options)
    : listen_address(file.placer.listen), discovery_address(file.discovery.address),
      polls_discovery(file.discovery.settings.poll), log(file.log.level, file.log.format),
      group_names(names_of(file.queue_groups)), admission(file.admission, file.queue_groups.size()),
      ledger(make_ledger(file, options.make_ledger)),
      server(loop, log, *ledger, admission,
             {.identity = {file.placer.name, options.incarnation, seed_of(file, options)},
              .queue_groups = group_names,
              .worker_kinds = file.worker_kinds.size(),
              .workers = {file.connection, file.dial_limits.concurrent, file.dial_limits.per_second},
              .load_report_replaces_listed = !file.worker_acceptance.reports_use,
              .slow_start_time = file.slow_start.warm_up_time + file.slow_start.window}),
      planner(server, seed_of(file, options), file.placer.zone, settings_of(file.queue_groups),
              file.worker_kinds, file.worker_acceptance, file.slow_start, file.discovery.settings, file.retry,
              file.prices) {
    server.set_planner(planner);
}

tl::expected<std::unique_ptr<EmbeddedPlacer>, config::ConfigErrors> EmbeddedPlacer::make(
    net::EventLoop& loop, config::Document& document, const EmbeddedPlacerOptions& options) {
    const auto file = config::read_placer_file(document);
    if (!file) return tl::unexpected(file.error());
    return std::unique_ptr<EmbeddedPlacer>(new EmbeddedPlacer(loop, *file, options));
}

}  // namespace whinpost::apps
