// Fuzzes the placer with arbitrary bytes from the discovery service. The placer must not crash, and must
// still answer a task, from the last valid endpoint list and after it has reconnected.
#include "own_protocol.h"

using namespace whinpost;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    ServerRig rig;
    rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    send_bytes(rig, *rig.discovery_streams.back(), data, size);
    rig.run(100 * kMillisecond);
    TestClient& client = rig.connect_client();
    rig.submit(client, rig.request(1));
    rig.run(6 * kSecond);
    if (client.count(&v1::ToClient::has_received) != 1 || rig.placer->admission.waiting() != 0)
        __builtin_trap();
    return 0;
}
