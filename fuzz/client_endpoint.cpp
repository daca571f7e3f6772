// Fuzzes the placer with arbitrary bytes from a client. The placer must not crash, must still serve another
// client, and must answer every admitted task.
#include "own_protocol.h"

using namespace whinpost;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    ServerRig rig("[intake]\nwaiting = 200\n");
    FakeWorker& worker = rig.add_worker("n");
    rig.publish({rig.endpoint("n")});
    TestClient& bad = rig.connect_client("bad", false);
    send_bytes(rig, bad, data, size);
    rig.run(20 * kMillisecond);
    TestClient& good = rig.connect_client("good");
    rig.submit(good, rig.request(1));
    if (good.count(&v1::ToClient::has_received) != 1) __builtin_trap();
    for (const v1::StartAttempt& attempt : worker.attempts()) worker.accept(attempt.attempt());
    bad.stream.reset();
    rig.run(10 * kSecond);
    if (rig.placer->admission.waiting() != 0) __builtin_trap();
    return 0;
}
