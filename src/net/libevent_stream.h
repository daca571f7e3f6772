// A TCP connection on libevent's bufferevent.
#pragma once
#include <event2/util.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "net/stream.h"

struct bufferevent;
struct event;

namespace whinpost::net {

class LibeventLoop;

class LibeventStream final : public Stream {
public:
    // Takes ownership of the descriptor; -1: connect() opens one. The loop must outlive the stream.
    LibeventStream(LibeventLoop&, evutil_socket_t);
    ~LibeventStream() override;
    LibeventStream(const LibeventStream&) = delete;
    LibeventStream& operator=(const LibeventStream&) = delete;

    // Starts reading if the connection is established. The handler must outlive the stream.
    void set_handler(StreamHandler&);
    // set_handler() must be called first. Every failure is reported by a call of the handler's on_closed() in
    // a later pass of the loop.
    void connect(const std::string& address);
    // Enables TCP keepalive and the TCP user timeout on an accepted connection, so that it is closed after
    // its peer vanished without a reset.
    void detect_dead_peer();
    // Called by the loop at the end of a pass in which bytes were written. May destroy the stream.
    void flush();

    void write(std::string_view) override;
    std::size_t unsent() const override;
    std::uint64_t bytes_passed_to_kernel() const override { return written_ - unsent(); }
    void set_reading(bool on) override;
    bool has_unread() const override;
    bool peer_closed() const override;
    void shutdown_write() override;
    void abort() override;
    std::string peer() const override;

private:
    enum class State { connecting, established, aborted };

    void shutdown_socket();
    void send_pending();
    void disable_nagle();
    void report_connect_failure(int error);
    void on_connect_finished();
    void close_connecting();
    static void on_read(bufferevent*, void* self);
    static void on_write(bufferevent*, void* self);
    static void on_event(bufferevent*, short events, void* self);

    LibeventLoop& loop_;
    bufferevent* bufferevent_;
    StreamHandler* handler_ = nullptr;
    State state_ = State::established;
    bool write_shut_down_ = false;
    // Bytes written in this pass or before the connection was established, and not yet passed to the kernel
    // or the bufferevent.
    std::string pending_;
    std::uint64_t written_ = 0;
    // While connecting: the socket, which is passed to the bufferevent once the connection is established,
    // and the event that reports the result.
    evutil_socket_t connecting_ = -1;
    event* connect_event_ = nullptr;
    CloseReason connect_failure_ = CloseReason::refused;
    // Points to a local variable of on_read() while that calls the handler; the destructor sets it to true.
    bool* destroyed_ = nullptr;
};

}  // namespace whinpost::net
