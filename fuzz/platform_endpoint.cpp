// Any bytes from an owner, a host or the event bus of the platform, or as its file: the placer lives on, and
// every container that it took gets its answer. The first byte says from whom the rest comes.
#include "platform/bootstrap_config.h"
#include "settings/settings.h"
#include "support/platform_rig.h"

using namespace whinpost;

namespace {

void send(net::Stream* to, std::string_view bytes, PlatformRig& t,
          const std::unique_ptr<net::Stream>& still) {
    if (!to) return;
    to->write(bytes.substr(0, bytes.size() / 2));
    t.run(kMillisecond);
    if (still) still->write(bytes.substr(bytes.size() / 2));
    t.run(10 * kMillisecond);
}

void read_file(std::string_view text) {
    try {
        const auto b = platform::BootstrapConfig::parse(text, "f");
        settings::queue_groups(b.settings());
        settings::group_names(b.settings());
        settings::worker_kinds(b.settings());
        settings::worker_acceptance(b.settings());
        settings::slow_start_settings(b.settings());
        settings::discovery_settings(b.settings());
        settings::retry_settings(b.settings());
        settings::prices(b.settings());
        settings::zone(b.settings());
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
    PlatformRig t;
    t.start();
    PlatformRig::FakeWorker& h = t.add_worker("h");
    t.publish({PlatformRig::entry(h)}, true);
    TestClient& good = t.connect_client(1);
    t.request_placement(good, 1);
    TestClient& other = t.connect_client(2);
    if (from == 0) send(other.stream.get(), bytes, t, other.stream);
    if (from == 1 && !h.connections.empty())
        send(h.connections[0]->stream.get(), bytes, t, h.connections[0]->stream);
    if (from == 2) send(t.watches.back()->stream.get(), bytes, t, t.watches.back()->stream);
    t.request_placement(good, 2);
    t.run(8 * kSecond);
    for (const std::uint64_t id : {1, 2})
        if (good.count(MessageType::answer, id) + good.count(MessageType::release, id) == 0) __builtin_trap();
    return 0;
}
