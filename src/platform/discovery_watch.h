// Watches the endpoint list of discovery over one connection. After a break it reconnects and resumes after
// the last event.
#pragma once
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "discovery/event_stream.h"
#include "log/logger.h"
#include "net/stream.h"

namespace whinpost::platform {

class DiscoveryHandler {
public:
    virtual ~DiscoveryHandler() = default;
    // Called once for each event, in the order of the sequence numbers.
    virtual void on_watch_event(const discovery::WatchEvent&) = 0;
};

class DiscoveryWatch final : private net::StreamHandler {
public:
    DiscoveryWatch(net::EventLoop&, const log::Logger&, DiscoveryHandler&, std::vector<std::string> zones,
                   std::vector<std::string> kinds, std::uint64_t seed);
    // Applies an event of the bootstrap configuration, given as JSON text. To be called before follow().
    void apply_initial_event(std::string_view json) { on_event(json); }
    // Connects to discovery and watches the events after `last_sequence`.
    void follow(std::string address, std::int64_t last_sequence);
    // Reconnects to discovery at a new address; the sequence numbers continue.
    void move_to(std::string address);
    std::int64_t last_sequence() const { return last_sequence_; }
    // True if the watch has been up for a while and is not silent, so that the endpoint list is at most a
    // moment behind discovery.
    bool is_current() const;

private:
    void on_connected() override;
    std::size_t on_received(std::string_view) override;
    void on_closed(net::CloseReason) override;
    void connect();
    void retry_later(std::string_view reason);
    void on_timer();
    void on_event(std::string_view json);

    net::EventLoop& loop_;
    const log::Logger& log_;
    DiscoveryHandler& handler_;
    const std::vector<std::string> zones_, kinds_;
    std::ranlux24_base random_;
    std::string address_;
    std::int64_t last_sequence_ = 0;
    std::unique_ptr<net::Stream> stream_;
    std::unique_ptr<discovery::EventStreamParser> parser_;
    std::unique_ptr<net::Timer> timer_;  // silence timeout while connected, otherwise the next try
    bool watching_ = false;
    Nanos first_line_at_ = 0;  // on the current connection; 0: no line received
    Nanos last_line_at_ = 0;   // when the last complete line was received
    int failed_attempts_ = 0;  // consecutive
};

}  // namespace whinpost::platform
