// Interfaces of the event loop, timers and byte streams that servers, planner and emulator use. There are two
// implementations: libevent with real sockets (net/libevent_loop.h) and a simulated network in virtual time
// (simulation/simulated_network.h). This layer does not interpret messages.
//
// A loop runs in one thread. Its streams, listeners and timers may be used only from its own callbacks.
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
    by_peer,  // the peer closed the connection, and all bytes that it sent were read
    reset,    // the connection was reset, or an I/O error or timeout ended it
    refused,  // not established: no process listens at the address
    // Not established, and the state of the peer is unknown: it did not answer, or there is no route to it.
    unreachable,
    out_of_resources  // not established: this machine lacks a file descriptor, a port or memory for it
};
std::string_view to_string(CloseReason);

// Most bytes read from one stream in one pass, so that a flood on one stream does not delay the others.
// libevent 2.1 never reads more than this at once, even if a larger limit is set.
constexpr std::size_t kMaxReadSize = 4096;

// Callbacks for the events of one stream. The stream may be destroyed within any of these calls.
class StreamHandler {
public:
    virtual ~StreamHandler() = default;
    virtual void on_connected() {}  // only for a stream made by EventLoop::dial()
    // Receives the bytes that were read and are not consumed yet, and returns how many it has consumed. The
    // rest is passed again, followed by the new bytes, after the next read.
    virtual std::size_t on_received(std::string_view) = 0;
    virtual void on_drained() {}  // all written bytes have been passed to the kernel
    virtual void on_closed(CloseReason) = 0;
};

// A connection. The destructor closes it: bytes that the kernel has accepted are still sent, the rest is
// dropped.
class Stream {
public:
    virtual ~Stream() = default;
    virtual void write(std::string_view) = 0;
    virtual std::size_t unsent() const = 0;  // bytes written and not yet passed to the kernel
    // Bytes passed to the kernel since the start; never decreases.
    virtual std::uint64_t bytes_passed_to_kernel() const = 0;
    // Off: no bytes are read, and TCP flow control stops the peer.
    virtual void set_reading(bool on) = 0;
    // True while the kernel holds bytes from the peer that were not read. Closing now would make the kernel
    // reset the connection, and the peer would lose bytes that were sent and that it has not received yet.
    virtual bool has_unread() const = 0;
    // True if the peer has closed or half-closed the connection; bytes that it sent before may still be
    // unread.
    virtual bool peer_closed() const = 0;
    // Half-close: the peer sees the end of the stream after all bytes written so far. Receiving continues;
    // later writes are dropped. on_closed() is called when the peer has closed its side too.
    virtual void shutdown_write() = 0;
    // Closes with a reset: bytes that the peer has not received yet are discarded.
    virtual void abort() = 0;
    virtual std::string peer() const = 0;
};

class Listener {
public:
    virtual ~Listener() = default;
    virtual std::string address() const = 0;  // the bound address, with the port that the system chose for 0
    // Accepts the connections in the kernel's backlog and calls the handler for each, before it returns.
    // False if some may remain, for lack of resources or after too many errors: to be called again later.
    [[nodiscard]] virtual bool accept_pending() = 0;
};

// Why listening on an address failed.
struct ListenError {
    std::string address;        // as passed to listen()
    std::string reason;         // the system's error text, or that the address is invalid
    bool is_temporary = false;  // the machine temporarily lacks descriptors or memory: retry
};
// The reason without the address, which the caller adds.
std::string to_string(const ListenError&);

using AcceptHandler = std::function<void(std::unique_ptr<Stream>)>;
using ListenResult = tl::expected<std::unique_ptr<Listener>, ListenError>;  // never holds a null listener

class Timer {
public:
    virtual ~Timer() = default;
    // Sets the deadline, in place of an earlier one. The callback is never called before it.
    virtual void arm(Nanos at) = 0;
    virtual void disarm() = 0;
};

class EventLoop {
public:
    virtual ~EventLoop() = default;
    virtual Nanos now() const = 0;  // never goes backwards
    // The time on this loop's clock at which the system's time of day was `unix_time`, also if the system
    // clock was stepped since the start. A result in the future is replaced with now().
    virtual Nanos from_unix_time(Nanos unix_time) const = 0;
    // When this pass of the loop polled the kernel: later events are not known yet.
    virtual Nanos polled_at() const = 0;
    // A lower bound for the arrival time of the bytes read in this pass: the time of this pass's poll if that
    // blocked, else of the previous poll, since bytes may have waited in the kernel while the loop was busy.
    virtual Nanos earliest_arrival() const = 0;
    // `address` is host:port, the host an IP address; port 0 selects any free port. The handler is
    // called for each accepted connection until the listener is destroyed.
    [[nodiscard]] virtual ListenResult listen(const std::string& address, AcceptHandler) = 0;
    // Opens a connection. Never returns null; a failure is reported by a later call of on_closed(). The
    // handler must outlive the stream.
    virtual std::unique_ptr<Stream> dial(const std::string& address, StreamHandler&) = 0;
    // Sets the handler of an accepted stream: to be called once, before any byte is received. The handler
    // must outlive the stream.
    virtual void attach(Stream&, StreamHandler&) = 0;
    virtual std::unique_ptr<Timer> make_timer(std::function<void()>) = 0;
    virtual void stop() = 0;  // makes run() return after this pass
};

// ---- Frames: the length of the message as a 4-byte big-endian integer, then the message.

// Larger than any message of the protocols (an endpoint list of 10,000 workers is under 1 MiB), and small
// enough to buffer.
constexpr std::size_t kMaxFrameSize = 4 << 20;

// Calls `handle(std::string_view) -> bool` with the message of each complete frame in `in`, until it returns
// false. Returns the number of bytes consumed. If a frame's length exceeds `max_size`, sets `too_long` and
// stops there.
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

// Appends a message as one frame. `Message` is a protobuf message or a type with ByteSizeLong() and
// SerializeWithCachedSizesToArray().
template <class Message>
void encode_frame(std::string& out, const Message& message) {
    const std::size_t size = message.ByteSizeLong();
    for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(size >> shift & 0xff);
    const std::size_t at = out.size();
    out.resize(at + size);
    message.SerializeWithCachedSizesToArray(reinterpret_cast<std::uint8_t*>(out.data() + at));
}

}  // namespace whinpost::net
