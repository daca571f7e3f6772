// Any bytes from an owner: the placer lives on, another owner is served, and what was taken is answered.
#include <google/protobuf/stubs/logging.h>

#include "rig.h"

using namespace whinpost;

extern "C" int LLVMFuzzerInitialize(int*, char***) {
    google::protobuf::SetLogHandler(nullptr);
    return 0;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    Rig t("[intake]\nwaiting = 200\n");
    Rig::NodeAt& n = t.node("n");
    t.list({t.entry("n")});
    OwnerPeer& bad = t.owner("bad", false);
    // In two lots, so that frames are cut anywhere.
    const std::size_t half = size / 2;
    bad.stream->write({reinterpret_cast<const char*>(data), half});
    t.run(kMillisecond);
    if (bad.stream) bad.stream->write({reinterpret_cast<const char*>(data) + half, size - half});
    t.run(20 * kMillisecond);
    OwnerPeer& good = t.owner("good");
    t.ask(good, t.offer(1));
    if (good.count(&v1::ToOwner::has_taken) != 1) __builtin_trap();
    for (const v1::Launch& l : n.launches()) n.yes(l.launch());
    bad.stream.reset();
    t.run(10 * kSecond);
    if (t.placer->intake.waiting() != 0) __builtin_trap();
    return 0;
}
