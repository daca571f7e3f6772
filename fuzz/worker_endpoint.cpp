// Any bytes from a node, with a launch out there: the placer lives on and answers the container once.
#include "own_protocol.h"

using namespace whinpost;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    Rig t;
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    OwnerPeer& o = t.owner();
    t.ask(o, t.offer(1, size % 3 == 0 ? "once" : size % 3 == 1 ? "marked" : "free", kSecond));
    if (n.conns.empty() || !n.now().stream) return 0;
    send_bytes(t, n.now(), data, size);
    t.run(3 * kSecond);
    const std::size_t finals = o.count(&v1::ToClient::has_placed) + o.count(&v1::ToClient::has_rejected) +
                               o.count(&v1::ToClient::has_failed);
    if (finals != 1) __builtin_trap();
    if (t.placer->intake.waiting() != 0) __builtin_trap();
    return 0;
}
