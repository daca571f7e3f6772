// Time, timers and streams, as edge, planner and stand-ins see them. Two implementations: libevent with real
// sockets (net/libevent_loop.h) and a simulated network in virtual time (simulation/simulated_network.h).
// Nothing here knows a message's meaning.
//
// One loop is one thread. Calls on its streams and timers are made from its own callbacks only.
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
    by_peer,            // its end was read
    reset,              // broken off
    refused,            // the connection was never made
    out_of_descriptors  // nor could it be: this process has no file descriptor left
};
std::string_view to_string(CloseReason);

// Bytes that are read from one stream in one pass: a flood on one does not keep the others waiting. libevent
// 2.1 reads no more at once, whatever it is asked for.
constexpr std::size_t kMaxReadSize = 4096;

// Told what happens on one stream. A stream may be destroyed within any of these calls.
class StreamHandler {
public:
    virtual ~StreamHandler() = default;
    virtual void on_connected() {}  // of a stream that was dialled
    // Bytes that were read and not consumed yet; gives back how many it has consumed. Called again with the
    // rest once more has come.
    virtual std::size_t on_received(std::string_view) = 0;
    virtual void on_drained() {}  // all that was written is in the kernel's hands
    virtual void on_closed(CloseReason) = 0;
};

// Destroying it closes it, after what the kernel has been handed; what it has not been handed is dropped.
class Stream {
public:
    virtual ~Stream() = default;
    virtual void write(std::string_view) = 0;
    virtual std::size_t unsent() const = 0;         // written, and not in the kernel's hands
    virtual std::uint64_t handed_over() const = 0;  // bytes in the kernel's hands since the start; grows only
    virtual void set_reading(bool on) = 0;          // off: nothing is received, the peer meets a full window
    // Bytes of the peer lie in the kernel that were not handed on yet. Closing now would destroy them, and
    // with them what the peer has not received.
    virtual bool has_unread() const = 0;
    // The peer has closed or half-closed its side; what it wrote before may still be unread.
    virtual bool peer_closed() const = 0;
    // Half-close: says that no more comes once all that was written has left, and goes on receiving; what is
    // written later is dropped. closed() tells when the peer has closed too.
    virtual void shutdown_write() = 0;
    // Closes so that what the peer has not received yet never reaches it.
    virtual void abort() = 0;
    virtual std::string peer() const = 0;
};

class Listener {
public:
    virtual ~Listener() = default;
    virtual std::string address() const = 0;  // the one really listened on: port 0 asks for any
    // Hands on what the kernel has accepted already, in this call.
    virtual void accept_pending() = 0;
};

// Why an address can't be listened on.
struct ListenError {
    std::string address;  // as it was asked for
    std::string reason;   // the system's text for it, or what is wrong with the address
};
// The reason alone: the address is the caller's to name.
std::string to_string(const ListenError&);

using AcceptHandler = std::function<void(std::unique_ptr<Stream>)>;
using ListenResult = tl::expected<std::unique_ptr<Listener>, ListenError>;  // never holds a null listener

class Timer {
public:
    virtual ~Timer() = default;
    virtual void arm(Nanos at) = 0;  // again: moved
    virtual void disarm() = 0;
};

class EventLoop {
public:
    virtual ~EventLoop() = default;
    virtual Nanos now() const = 0;  // of this pass of the loop; never backwards
    // When this pass asked the kernel what there is: what has come since then is not known yet.
    virtual Nanos polled_at() const = 0;
    // What is read in this pass came no earlier than this. It is the pass's own poll where that had to wait,
    // and else the one before: while the loop was busy bytes may have lain in the kernel.
    virtual Nanos unseen_since() const = 0;
    // `address` is host:port, the host an IP address; port 0 asks for any free one. The handler is called
    // with each accepted connection until the listener is destroyed.
    [[nodiscard]] virtual ListenResult listen(const std::string& address, AcceptHandler) = 0;
    // Never null; a failure is told by closed(), later.
    virtual std::unique_ptr<Stream> dial(const std::string& address, StreamHandler&) = 0;
    virtual void attach(
        Stream&,
        StreamHandler&) = 0;  // for one that a listener gave; once, before anything is received
    virtual std::unique_ptr<Timer> make_timer(std::function<void()>) = 0;
    virtual void stop() = 0;  // the loop's run ends after this pass
};

// ---- frames: four bytes of length, the most significant first, then the message

// Far over any message of the protocols (a list of 10,000 nodes is under 1 MiB), and little enough to buffer.
constexpr std::size_t kMaxFrameSize = 4 << 20;

// Hands each whole frame of `in` to `each(std::string_view) -> bool`, until it gives false; gives back how
// many bytes are done with. `too_long` is set where a length is over `most`, and nothing after it is read.
template <class F>
std::size_t decode_frames(std::string_view in, std::size_t most, bool& too_long, F each) {
    std::size_t at = 0;
    too_long = false;
    while (in.size() - at >= 4) {
        std::size_t length = 0;
        for (int i = 0; i < 4; ++i)
            length = length << 8 | static_cast<unsigned char>(in[at + static_cast<std::size_t>(i)]);
        if (length > most) {
            too_long = true;
            return at;
        }
        if (in.size() - at - 4 < length) break;
        const std::string_view frame = in.substr(at + 4, length);
        at += 4 + length;
        if (!each(frame)) break;
    }
    return at;
}

// Appends a protobuf message (or anything with its two calls) as one frame.
template <class Message>
void encode_frame(std::string& out, const Message& m) {
    const std::size_t size = m.ByteSizeLong();
    for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(size >> shift & 0xff);
    const std::size_t at = out.size();
    out.resize(at + size);
    m.SerializeWithCachedSizesToArray(reinterpret_cast<std::uint8_t*>(out.data() + at));
}

}  // namespace whinpost::net
