// Fuzzes the placer with arbitrary bytes from a worker that has an attempt in flight. The placer must not
// crash and must answer the task exactly once.
#include "own_protocol.h"

using namespace whinpost;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    ServerRig rig;
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient& client = rig.connect_client();
    rig.submit(client, rig.request(1, size % 3 == 0 ? "once" : size % 3 == 1 ? "marked" : "free", kSecond));
    if (worker.connections.empty() || !worker.connection().stream) return 0;
    send_bytes(rig, worker.connection(), data, size);
    rig.run(3 * kSecond);
    if (final_answers(client) != 1) __builtin_trap();
    if (rig.placer->admission.waiting() != 0) __builtin_trap();
    return 0;
}
