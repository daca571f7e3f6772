// Time, timers and streams, as servers, planner and emulator see them. Two implementations: libevent with
// real sockets (net/libevent_loop.h) and a simulated network in virtual time
// (simulation/simulated_network.h). Nothing here knows the meaning of a message.
//
// One loop is one thread. Its streams, listeners and timers may be used from its own callbacks only.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "whinpost/scheduler.h"

namespace whinpost::net {

enum class CloseReason {
    by_peer,  // the peer closed it, and all that it sent was read
    reset,    // broken off
    refused,  // never established: no process listens at the address
    // Never established, and nothing is known of the peer: it gave no answer, or there is no way to it.
    unreachable,
    out_of_resources  // never established: this machine lacks a file descriptor, a port or memory for it
};
std::string_view to_string(CloseReason);

// How many bytes are read from one stream in one pass, so that a flood on one does not keep the others
// waiting. libevent 2.1 reads no more at once, whatever it is asked for.
constexpr std::size_t kMaxReadSize = 4096;

// Called with what happens on one stream. The stream may be destroyed within any of these calls.
class StreamHandler {
public:
    virtual ~StreamHandler() = default;
    virtual void on_connected() {}  // only for a stream made by EventLoop::dial()
    // Gets the bytes that were read and not consumed yet, and returns how many it has consumed. Called again
    // with the rest once more has come.
    virtual std::size_t on_received(std::string_view) = 0;
    virtual void on_drained() {}  // all that was written has been handed to the kernel
    virtual void on_closed(CloseReason) = 0;
};

// A connection. Destroying it closes it: what the kernel has been handed is still sent, the rest is dropped.
class Stream {
public:
    virtual ~Stream() = default;
    virtual void write(std::string_view) = 0;
    virtual std::size_t unsent() const = 0;         // bytes written and not handed to the kernel yet
    virtual std::uint64_t handed_over() const = 0;  // bytes handed to the kernel since the start; only grows
    virtual void set_reading(bool on) = 0;  // off: nothing is received, and the peer's window fills up
    // True while bytes of the peer wait in the kernel. Closing now would make the kernel reset the
    // connection, which also destroys what the peer has not received yet.
    virtual bool has_unread() const = 0;
    // The peer has closed or half-closed its side; what it wrote before may still be unread.
    virtual bool peer_closed() const = 0;
    // Half-close: the peer sees the end once all that was written has left. Receiving goes on; what is
    // written later is dropped. on_closed() is called when the peer has closed too.
    virtual void shutdown_write() = 0;
    // Closes with a reset: what the peer has not received yet never reaches it.
    virtual void abort() = 0;
    virtual std::string peer() const = 0;
};

class Listener {
public:
    virtual ~Listener() = default;
    virtual std::string address() const = 0;  // the one really listened on, with its port
    // Calls the handler, within this call, for each connection that the kernel has accepted already. False
    // where some may be left, for want of resources: to be called again later.
    [[nodiscard]] virtual bool accept_pending() = 0;
};

// Why an address can't be listened on.
struct ListenError {
    std::string address;    // as it was asked for
    std::string reason;     // the system's text for it, or what is wrong with the address
    bool may_pass = false;  // the machine lacks descriptors or memory for now: worth another try
};
// The reason alone: the address is the caller's to name.
std::string to_string(const ListenError&);

using AcceptHandler = std::function<void(std::unique_ptr<Stream>)>;
using ListenResult = tl::expected<std::unique_ptr<Listener>, ListenError>;  // never holds a null listener

class Timer {
public:
    virtual ~Timer() = default;
    // Replaces an earlier deadline. The callback is never called before it.
    virtual void arm(Nanos at) = 0;
    virtual void disarm() = 0;
};

class EventLoop {
public:
    virtual ~EventLoop() = default;
    virtual Nanos now() const = 0;  // never goes backwards
    // The moment on this loop's clock at which the time of day was `unix_time`, whatever steps the system's
    // clock has made since the start; now() at the latest.
    virtual Nanos from_unix_time(Nanos unix_time) const = 0;
    // When this pass of the loop polled the kernel: what has come since then is not known yet.
    virtual Nanos polled_at() const = 0;
    // What is read in this pass arrived no earlier than this. It is the time of the pass's own poll if that
    // had to block, and else of the poll before: bytes may have waited in the kernel while the loop was busy.
    virtual Nanos unseen_since() const = 0;
    // `address` is host:port, the host an IP address; port 0 asks for any free one. The handler is called
    // with each accepted connection until the listener is destroyed.
    [[nodiscard]] virtual ListenResult listen(const std::string& address, AcceptHandler) = 0;
    // Never null; a failure is reported by a later call of on_closed(). The handler must outlive the stream.
    virtual std::unique_ptr<Stream> dial(const std::string& address, StreamHandler&) = 0;
    // Sets the handler of a stream that a listener gave: once, before anything is received. The handler must
    // outlive the stream.
    virtual void attach(Stream&, StreamHandler&) = 0;
    virtual std::unique_ptr<Timer> make_timer(std::function<void()>) = 0;
    virtual void stop() = 0;  // run() returns after this pass
};

// ---- frames: the message's length in four bytes, the most significant first, then the message

// Far over any message of the protocols (a list of 10,000 workers is under 1 MiB), and small enough to
// buffer.
constexpr std::size_t kMaxFrameSize = 4 << 20;

// Calls `handle(std::string_view) -> bool` with each complete frame of `in`, until it returns false. Returns
// how many bytes were consumed. `too_long` is set where a frame's length is over `max_size`; nothing after it
// is read.
template <class Handler>
std::size_t decode_frames(std::string_view in, std::size_t max_size, bool& too_long, Handler handle) {
    std::size_t at = 0;
    too_long = false;
    while (in.size() - at >= 4) {
        std::size_t length = 0;
        for (int i = 0; i < 4; ++i)
            length = length << 8 | static_cast<unsigned char>(in[at + static_cast<std::size_t>(i)]);
        if (length > max_size) {
            too_long = true;
            return at;
        }
        if (in.size() - at - 4 < length) break;
        const std::string_view frame = in.substr(at + 4, length);
        at += 4 + length;
        if (!handle(frame)) break;
    }
    return at;
}

// Appends a protobuf message (or anything with the same two functions) as one frame.
template <class Message>
void encode_frame(std::string& out, const Message& message) {
    const std::size_t size = message.ByteSizeLong();
    for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(size >> shift & 0xff);
    const std::size_t at = out.size();
    out.resize(at + size);
    message.SerializeWithCachedSizesToArray(reinterpret_cast<std::uint8_t*>(out.data() + at));
}

}  // namespace whinpost::net
