// What the fuzz targets of the placer's own protocol share.
#pragma once
#include <google/protobuf/stubs/logging.h>

#include "support/server_rig.h"

extern "C" int LLVMFuzzerInitialize(int*, char***) {
    google::protobuf::SetLogHandler(nullptr);
    return 0;
}

namespace whinpost {

// Sends the input in two parts, so that frames are cut anywhere; the placer may close the stream between
// them.
template <class AnyPeer>
void send_bytes(ServerRig& rig, AnyPeer& peer, const std::uint8_t* data, std::size_t size) {
    const std::size_t half = size / 2;
    peer.stream->write({reinterpret_cast<const char*>(data), half});
    rig.run(kMillisecond);
    if (peer.stream) peer.stream->write({reinterpret_cast<const char*>(data) + half, size - half});
}

}  // namespace whinpost
