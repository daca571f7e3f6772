// Fuzzes the platform's server with arbitrary bytes from a client, a worker or the discovery service, and the
// parser of its bootstrap file. The server must not crash and must answer every task that other clients
// submit. The first byte of the input selects the sender of the rest.
#include "platform/bootstrap_config.h"
#include "settings/settings.h"
#include "support/platform_rig.h"

using namespace whinpost;

namespace {

void send(net::Stream* to, std::string_view bytes, PlatformRig& rig,
          const std::unique_ptr<net::Stream>& open_stream) {
    if (!to) return;
    to->write(bytes.substr(0, bytes.size() / 2));
    rig.run(kMillisecond);
    if (open_stream) open_stream->write(bytes.substr(bytes.size() / 2));
    rig.run(10 * kMillisecond);
}

void read_file(std::string_view text) {
    try {
        const auto config = platform::BootstrapConfig::parse(text, "f");
        settings::queue_groups(config.settings());
        settings::group_names(config.settings());
        settings::worker_kinds(config.settings());
        settings::worker_acceptance(config.settings());
        settings::slow_start_settings(config.settings());
        settings::discovery_settings(config.settings());
        settings::retry_settings(config.settings());
        settings::prices(config.settings());
        settings::zone(config.settings());
    } catch (const platform::BootstrapError&) {
    } catch (const settings::SettingsError&) {
    }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) return 0;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    const int from = data[0] % 4;
    if (from == 3) {
        read_file(bytes);
        return 0;
    }
    PlatformRig rig;
    rig.start();
    PlatformRig::FakeWorker& worker = rig.add_worker("h");
    rig.publish({PlatformRig::entry(worker)}, true);
    TestClient& good = rig.connect_client(1);
    rig.request_placement(good, 1);
    TestClient& other = rig.connect_client(2);
    if (from == 0) send(other.stream.get(), bytes, rig, other.stream);
    if (from == 1 && !worker.connections.empty())
        send(worker.connections[0]->stream.get(), bytes, rig, worker.connections[0]->stream);
    if (from == 2) send(rig.watches.back()->stream.get(), bytes, rig, rig.watches.back()->stream);
    rig.request_placement(good, 2);
    rig.run(8 * kSecond);
    for (const std::uint64_t id : {1, 2})
        if (good.count(MessageType::answer, id) + good.count(MessageType::release, id) == 0) __builtin_trap();
    return 0;
}
