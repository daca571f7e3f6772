// The watch on discovery: keeps one connection to it, and watches again from the last event after a break.
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
    // Each event once, in the order of their numbers.
    virtual void on_watch_event(const discovery::WatchEvent&) = 0;
};

class DiscoveryWatch final : private net::StreamHandler {
public:
    DiscoveryWatch(net::EventLoop&, const log::Logger&, DiscoveryHandler&, std::vector<std::string> zones,
                   std::vector<std::string> kinds, std::uint64_t seed);
    // An event of the configuration, as JSON text; follow() then goes on after `last_sequence`.
    void apply_initial_event(std::string_view json) { on_event(json); }
    void follow(std::string address, std::int64_t last_sequence);
    // Discovery has another address; its events' numbers go on.
    void move_to(std::string address);
    std::int64_t last_sequence() const { return last_sequence_; }
    // The watch is up for a while and not silent: what discovery knew a moment ago has been told.
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
    std::unique_ptr<net::Timer> timer_;  // while watching: of the silence; else of the next try
    bool watching_ = false;
    Nanos first_line_at_ = 0;  // of the watch that is up; 0: nothing has come
    Nanos last_line_at_ = 0;   // when the last complete line came
    int failed_attempts_ = 0;  // in a row
};

}  // namespace whinpost::platform
