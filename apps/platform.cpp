#include "platform.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

#include "ledger/ledger.h"
#include "net/libevent_loop.h"
#include "planner/local_planner.h"
#include "platform/bootstrap_config.h"
#include "platform/platform_server.h"
#include "settings/settings.h"

namespace whinpost::apps {
namespace {

std::string variable(const char* name) {
    const char* v = std::getenv(name);
    if (!v || !*v) throw platform::BootstrapError(std::string(name) + ": is not set");
    return v;
}
std::vector<std::string> texts(const std::vector<std::string_view>& in) { return {in.begin(), in.end()}; }

int serve(log::Level level) {
    const std::string path = variable("GW_CONFIG");
    const std::string listen = variable("GW_LISTEN");
    variable("GW_NAME");
    const log::Logger log(level, log::Format::text);
    net::LibeventLoop loop;
    std::optional<platform::BootstrapConfig> told = platform::BootstrapConfig::read(path);
    const settings::Settings& settings = told->settings();
    const auto groups = settings::queue_groups(settings);
    const auto kinds = settings::worker_kinds(settings);
    const RetrySettings launches = settings::retry_settings(settings);
    const SlowStartSettings cold = settings::slow_start_settings(settings);
    const auto kind_names = texts(settings.list("flavors"));
    if (kind_names.size() != kinds.size()) settings.fail("flavors", "does not match family_info.cpu_of_kind");
    ledger::Ledger ledger(groups, launches, cold);
    platform::PlatformServer front(loop, log, ledger, settings::group_names(settings), kinds, kind_names,
                                   texts(settings.list("zones")), settings.duration("limits.dial_timeout_us"),
                                   settings.duration("limits.conn_idle_us"), told->sockets(), told->seed());
    planner::LocalPlanner planner(
        front, told->seed(), settings::zone(settings), groups, kinds, settings::worker_acceptance(settings),
        cold, settings::discovery_settings(settings), launches, settings::prices(settings));
    front.set_planner(planner);
    for (const std::string& e : told->known()) front.discovery_watch().apply_initial_event(e);
    // Before it listens: a signal that comes once clients connect would else kill it over what they wrote.
    loop.on_signal(SIGHUP, [&] {
        try {
            front.discovery_watch().move_to(platform::BootstrapConfig::read(path).bus());
            log(log::Level::info, "read_again", {{"file", path}});
        } catch (const std::exception& e) {
            log(log::Level::error, "read_again_failed", {{"why", e.what()}});
        }
    });
    const auto end = [&] { front.drain([&loop] { loop.stop(); }); };
    loop.on_signal(SIGTERM, end);
    loop.on_signal(SIGINT, end);
    const std::string wrong = front.listen(listen);
    if (!wrong.empty()) throw platform::BootstrapError("GW_LISTEN: " + listen + ": " + wrong);
    front.discovery_watch().follow(told->bus(), told->offset());
    told.reset();
    log(log::Level::info, "serving", {{"listen", listen}});
    loop.run();
    return 0;
}

}  // namespace

int platform(log::Level level) {
    try {
        return serve(level);
    } catch (const std::exception& e) {
        std::cerr << "whinpost platform: " << e.what() << '\n';
        return 1;
    }
}

}  // namespace whinpost::apps
