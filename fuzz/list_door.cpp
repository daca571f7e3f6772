// Any bytes from the list service: the placer lives on, keeps the last good view, and connects again.
#include <google/protobuf/stubs/logging.h>

#include "rig.h"

using namespace whinpost;

extern "C" int LLVMFuzzerInitialize(int*, char***) {
    google::protobuf::SetLogHandler(nullptr);
    return 0;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    Rig t;
    t.node("n");
    t.list({t.entry("n")});
    const std::size_t half = size / 2;
    t.lists.back()->stream->write({reinterpret_cast<const char*>(data), half});
    t.run(kMillisecond);
    if (t.lists.back()->stream)
        t.lists.back()->stream->write({reinterpret_cast<const char*>(data) + half, size - half});
    t.run(100 * kMillisecond);
    OwnerPeer& o = t.owner();
    t.ask(o, t.offer(1));
    t.run(6 * kSecond);
    if (o.count(&v1::ToOwner::has_taken) != 1 || t.placer->intake.waiting() != 0) __builtin_trap();
    return 0;
}
