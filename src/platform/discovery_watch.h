// The event bus's side: keeps one connection to it, asks again with the last number.
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
    virtual void on_watch_event(const discovery::WatchEvent&) = 0;
};

class DiscoveryWatch final : private net::StreamHandler {
public:
    DiscoveryWatch(net::EventLoop&, const log::Logger&, DiscoveryHandler&, std::vector<std::string> zones,
                   std::vector<std::string> kinds, std::uint64_t seed);
    // Events of the start, each as JSON text; then follow() goes on after `last`.
    void apply_initial_event(std::string_view event);
    void follow(std::string address, std::int64_t last);
    void move_to(std::string address);  // the numbers go on
    std::int64_t last_sequence() const { return last_sequence_; }

private:
    void on_connected() override;
    std::size_t on_received(std::string_view) override;
    void on_closed(net::CloseReason) override;
    void connect();
    void retry_later(std::string_view why);
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
    std::unique_ptr<net::Timer> timer_;
    bool watching_ = false;
    Nanos last_line_at_ = 0;   // when the last whole line came
    int failed_attempts_ = 0;  // in a row
};

}  // namespace whinpost::platform
