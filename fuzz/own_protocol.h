// Shared by the fuzz targets of the placer's own protocol.
#pragma once
#include <google/protobuf/stubs/logging.h>

#include "support/server_rig.h"

extern "C" int LLVMFuzzerInitialize(int*, char***) {
    google::protobuf::SetLogHandler(nullptr);
    return 0;
}

namespace whinpost {

// Sends the input in two parts, so that a frame may be split at any byte. The placer may close the stream
// after the first part.
template <class AnyPeer>
void send_bytes(ServerRig& rig, AnyPeer& peer, const std::uint8_t* data, std::size_t size) {
    const std::size_t half = size / 2;
    peer.stream->write({reinterpret_cast<const char*>(data), half});
    rig.run(kMillisecond);
    if (peer.stream) peer.stream->write({reinterpret_cast<const char*>(data) + half, size - half});
}

}  // namespace whinpost
