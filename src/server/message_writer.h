// Writes messages of one type to a stream as frames, with a buffer that is reused.
#pragma once
#include <string>

#include "net/stream.h"
#include "server/server_context.h"

namespace whinpost::server {

template <class Message>
class MessageWriter {
public:
    // Drops the message if `stream` is null.
    void send(net::Stream* stream, const Message& message) {
        if (!stream) return;
        frame_.clear();
        net::encode_frame(frame_, message);
        stream->write(frame_);
    }

private:
    std::string frame_;
};

// Fills in the Hello that this placer sends first on every stream.
template <class Hello>
void fill_hello(Hello& hello, const PlacerIdentity& identity) {
    hello.set_version(kProtocolVersion);
    hello.set_name(identity.name);
    hello.set_incarnation(identity.incarnation);
}

// The text of the Error for a peer with another protocol version.
inline std::string unsupported_version(std::uint32_t version) {
    return "version " + std::to_string(version) + " is not spoken here, only " +
           std::to_string(kProtocolVersion);
}

}  // namespace whinpost::server
