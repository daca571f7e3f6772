// Any bytes from an owner: the placer lives on, another owner is served, and what was taken is answered.
#include "own_protocol.h"

using namespace whinpost;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    Rig t("[intake]\nwaiting = 200\n");
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    OwnerPeer& bad = t.owner("bad", false);
    send_bytes(t, bad, data, size);
    t.run(20 * kMillisecond);
    OwnerPeer& good = t.owner("good");
    t.ask(good, t.offer(1));
    if (good.count(&v1::ToClient::has_received) != 1) __builtin_trap();
    for (const v1::StartAttempt& l : n.launches()) n.yes(l.attempt());
    bad.stream.reset();
    t.run(10 * kSecond);
    if (t.placer->intake.waiting() != 0) __builtin_trap();
    return 0;
}
