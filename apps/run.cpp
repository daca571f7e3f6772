#include "run.h"

#include <csignal>
#include <iostream>
#include <random>
#include <utility>

#include "embedded_placer.h"
#include "net/libevent_loop.h"

namespace whinpost::apps {

namespace {

int print_errors(const config::ConfigErrors& errors) {
    for (const config::ConfigError& error : errors) std::cerr << to_string(error) << '\n';
    return 1;
}

// Never returns 0, which means "not set" for a seed.
std::uint64_t random_nonzero(std::random_device& device) {
    return (static_cast<std::uint64_t>(device()) << 32 | device()) | 1;
}

}  // namespace

int check(const std::string& path) {
    config::Document document = config::Document::read(path);
    const config::ConfigErrors errors = config::check(document);
    if (!errors.empty()) return print_errors(errors);
    std::cout << path << ": ok\n";
    return 0;
}

int run(const std::string& path) {
    net::LibeventLoop loop;
    config::Document document = config::Document::read(path);
    std::random_device device;
    EmbeddedPlacerOptions options;
    options.seed = random_nonzero(device);
    options.incarnation = random_nonzero(device);
    const auto made = EmbeddedPlacer::make(loop, document, options);
    if (!made) return print_errors(made.error());
    EmbeddedPlacer& placer = **made;
    if (const auto listening = placer.start(); !listening) {
        std::cerr << path << ": placer.listen: " << placer.listen_address << ": "
                  << to_string(listening.error()) << '\n';
        return 1;
    }
    bool draining = false;
    const auto drain = [&] {
        if (std::exchange(draining, true)) return loop.stop();  // second signal: stop without draining
        placer.server.drain([&loop] { loop.stop(); });
    };
    loop.on_signal(SIGTERM, drain);
    loop.on_signal(SIGINT, drain);
    loop.run();
    return 0;
}

}  // namespace whinpost::apps
