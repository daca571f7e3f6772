#include "platform.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "ledger/ledger.h"
#include "net/libevent_loop.h"
#include "planner/local_planner.h"
#include "platform/bootstrap_config.h"
#include "platform/platform_server.h"
#include "settings/settings.h"

namespace whinpost::apps {
namespace {

// A start that fails for lack of descriptors or memory is retried for 5 seconds.
constexpr int kStartTries = 50;
constexpr std::chrono::milliseconds kStartRetryInterval{100};

std::string required_variable(const char* name) {
    const char* value = std::getenv(name);
    if (!value || !*value) throw platform::BootstrapError(name, "", "is not set");
    return value;
}

std::vector<std::string> to_strings(const std::vector<std::string_view>& views) {
    return {views.begin(), views.end()};
}

// All settings of the deployment, read and checked before any socket is opened. They are checked in the order
// of the members.
struct Deployment {
    explicit Deployment(const platform::BootstrapConfig& config)
        : groups(settings::queue_groups(config.settings())), kinds(settings::worker_kinds(config.settings())),
          retry(settings::retry_settings(config.settings())),
          slow_start(settings::slow_start_settings(config.settings())), server(server_options(config, kinds)),
          zone(settings::zone(config.settings())), acceptance(settings::worker_acceptance(config.settings())),
          discovery(settings::discovery_settings(config.settings())),
          prices(settings::prices(config.settings())) {}

    static platform::PlatformServerOptions server_options(const platform::BootstrapConfig& config,
                                                          const std::vector<WorkerKind>& kinds) {
        const settings::Settings& settings = config.settings();
        platform::PlatformServerOptions options;
        options.worker_kinds = kinds;
        options.worker_kind_names = to_strings(settings.list("flavors"));
        if (options.worker_kind_names.size() != kinds.size())
            settings.fail("flavors", "does not match family_info.cpu_of_kind");
        options.group_names = settings::group_names(settings);
        options.zone_names = to_strings(settings.list("zones"));
        options.dial_timeout = settings.duration("limits.dial_timeout_us");
        options.idle_timeout = settings.duration("limits.conn_idle_us");
        options.descriptors = config.descriptors();
        options.seed = config.seed();
        const WorkerAcceptance workers = settings::worker_acceptance(settings);
        options.health_checks = workers.health_checks;
        options.workers_report_tasks =
            workers.reports_task_use || workers.reports_pressure || !workers.accepts_when_running;
        return options;
    }

    std::vector<QueueGroup> groups;
    std::vector<WorkerKind> kinds;
    RetrySettings retry;
    SlowStartSettings slow_start;
    platform::PlatformServerOptions server;
    int zone;
    WorkerAcceptance acceptance;
    DiscoverySettings discovery;
    Prices prices;
};

// Reads the configuration file again on SIGHUP. An invalid file changes nothing. The file may be incomplete
// at the time of the signal, or reading may fail temporarily, and no second signal follows: reading is
// retried up to kTries times.
class ConfigReloader {
public:
    ConfigReloader(net::EventLoop& loop, std::string path, platform::DiscoveryWatch& watch,
                   const log::Logger& log)
        : loop_(loop), path_(std::move(path)), watch_(watch), log_(log),
          retry_timer_(loop.make_timer([this] { read(); })) {}

    void on_signal() {
        tries_left_ = kTries;
        read();
    }

private:
    static constexpr int kTries = 20;
    static constexpr Nanos kRetryInterval = 200 * kMillisecond;

    void read() {
        --tries_left_;
        try {
            watch_.move_to(platform::BootstrapConfig::read(path_).discovery_address());
            log_(log::Level::info, "config_reloaded", {{"file", path_}});
            retry_timer_->disarm();
        } catch (const std::exception& error) {
            log_(log::Level::error, "config_reload_failed",
                 {{"reason", error.what()}, {"tries_left", tries_left_}});
            if (tries_left_ > 0) retry_timer_->arm(loop_.now() + kRetryInterval);
        }
    }

    net::EventLoop& loop_;
    const std::string path_;
    platform::DiscoveryWatch& watch_;
    const log::Logger& log_;
    std::unique_ptr<net::Timer> retry_timer_;
    int tries_left_ = 0;
};

// The start failed for a temporary lack of resources.
class TemporaryStartError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

std::unique_ptr<net::LibeventLoop> make_loop() {
    try {
        return std::make_unique<net::LibeventLoop>();
    } catch (const std::runtime_error& error) {
        throw TemporaryStartError(error.what());
    }
}

void listen_for_clients(platform::PlatformServer& server, const std::string& address) {
    const auto listening = server.listen(address);
    if (listening) return;
    const std::string reason = address + ": " + to_string(listening.error());
    if (listening.error().is_temporary) throw TemporaryStartError("GW_LISTEN: " + reason);
    throw platform::BootstrapError("GW_LISTEN", "", reason);
}

int serve(log::Level level) {
    const std::string path = required_variable("GW_CONFIG");
    const std::string listen = required_variable("GW_LISTEN");
    required_variable("GW_NAME");
    const log::Logger log(level, log::Format::text);
    const std::unique_ptr<net::LibeventLoop> owned_loop = make_loop();
    net::LibeventLoop& loop = *owned_loop;
    auto config = std::make_optional(platform::BootstrapConfig::read(path));
    const Deployment deployment(*config);
    ledger::Ledger ledger(deployment.groups, deployment.retry, deployment.slow_start);
    platform::PlatformServer server(loop, log, ledger, deployment.server);
    planner::LocalPlanner planner(server, config->seed(), deployment.zone, deployment.groups,
                                  deployment.kinds, deployment.acceptance, deployment.slow_start,
                                  deployment.discovery, deployment.retry, deployment.prices);
    server.set_planner(planner);
    for (const std::string& event : config->initial_events())
        server.discovery_watch().apply_initial_event(event);
    // The signal handlers are set before the server listens: otherwise a signal that arrives after clients
    // have connected would kill the process while they wait for answers.
    ConfigReloader reloader(loop, path, server.discovery_watch(), log);
    loop.on_signal(SIGHUP, [&reloader] { reloader.on_signal(); });
    const auto drain = [&] { server.drain([&loop] { loop.stop(); }); };
    loop.on_signal(SIGTERM, drain);
    loop.on_signal(SIGINT, drain);
    listen_for_clients(server, listen);
    server.discovery_watch().follow(config->discovery_address(), config->last_sequence());
    config.reset();  // frees the initial events, which may be large
    log(log::Level::info, "serving", {{"listen", listen}});
    loop.run();
    return 0;
}

}  // namespace

int platform(log::Level level) {
    for (int tries_left = kStartTries;; std::this_thread::sleep_for(kStartRetryInterval)) {
        try {
            return serve(level);
        } catch (const TemporaryStartError& error) {
            std::cerr << "whinpost platform: " << error.what() << '\n';
            if (--tries_left == 0) return 1;
        } catch (const std::exception& error) {
            std::cerr << "whinpost platform: " << error.what() << '\n';
            return 1;
        }
    }
}

}  // namespace whinpost::apps
