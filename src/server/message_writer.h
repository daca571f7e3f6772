// Writes messages of one type to a stream as frames, with a buffer that is reused.
#pragma once
#include <string>

#include "net/stream.h"
#include "server/server_context.h"

namespace whinpost::server {

template <class Message>
class MessageWriter {
public:
    // Drops the message where there is no stream.
    void send(net::Stream* stream, const Message& message) {
        if (!stream) return;
        frame_.clear();
        net::encode_frame(frame_, message);
        stream->write(frame_);
    }

private:
    std::string frame_;
};

// Fills in a Hello, with which both ends of a stream begin.
template <class Hello>
void introduce(Hello& hello, const PlacerIdentity& identity) {
    hello.set_version(kProtocolVersion);
    hello.set_name(identity.name);
    hello.set_incarnation(identity.incarnation);
}

// The error for a peer that speaks another version.
inline std::string unsupported_version(std::uint32_t version) {
    return "version " + std::to_string(version) + " is not spoken here, only " +
           std::to_string(kProtocolVersion);
}

}  // namespace whinpost::server
