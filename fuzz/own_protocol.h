// What the fuzz targets of the placer's doors share.
#pragma once
#include <google/protobuf/stubs/logging.h>

#include "support/server_rig.h"

extern "C" int LLVMFuzzerInitialize(int*, char***) {
    google::protobuf::SetLogHandler(nullptr);
    return 0;
}

namespace whinpost {

// Sends the input in two lots, so that frames are cut anywhere; the door may close the stream between them.
template <class AnyPeer>
void send_bytes(Rig& t, AnyPeer& from, const std::uint8_t* data, std::size_t size) {
    const std::size_t half = size / 2;
    from.stream->write({reinterpret_cast<const char*>(data), half});
    t.run(kMillisecond);
    if (from.stream) from.stream->write({reinterpret_cast<const char*>(data) + half, size - half});
}

}  // namespace whinpost
