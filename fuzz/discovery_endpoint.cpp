// Any bytes from the list service: the placer lives on, keeps the last good view, and connects again.
#include "own_protocol.h"

using namespace whinpost;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    Rig t;
    t.node("n");
    t.list({t.entry("n")});
    send_bytes(t, *t.lists.back(), data, size);
    t.run(100 * kMillisecond);
    OwnerPeer& o = t.owner();
    t.ask(o, t.offer(1));
    t.run(6 * kSecond);
    if (o.count(&v1::ToClient::has_received) != 1 || t.placer->intake.waiting() != 0) __builtin_trap();
    return 0;
}
