// The event bus's side: keeps one connection to it, asks again with the last number.
#pragma once
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bus/events.h"
#include "log/log.h"
#include "net/net.h"

namespace whinpost::platform {

class BusUser {
public:
    virtual ~BusUser() = default;
    virtual void told(const bus::Event&) = 0;
};

class BusDoor final : private net::StreamUser {
public:
    BusDoor(net::Loop&, const log::Log&, BusUser&, std::vector<std::string> zones,
            std::vector<std::string> kinds, std::uint64_t seed);
    // Events of the start, each as JSON text; then follow() goes on after `last`.
    void known(std::string_view event);
    void follow(std::string address, std::int64_t last);
    void moved(std::string address);  // the numbers go on
    std::int64_t last() const { return last_; }

private:
    void connected() override;
    std::size_t received(std::string_view) override;
    void closed(net::Closed) override;
    void ask();
    void ask_later(std::string_view why);
    void event(std::string_view json);

    net::Loop& loop_;
    const log::Log& log_;
    BusUser& user_;
    const std::vector<std::string> zones_, kinds_;
    std::ranlux24_base chance_;
    std::string address_;
    std::int64_t last_ = 0;
    std::unique_ptr<net::Stream> stream_;
    std::unique_ptr<bus::Reader> reader_;
    std::unique_ptr<net::Timer> timer_;
    bool asking_ = false;
    Nanos line_at_ = 0;  // when the last whole line came
    int failed_ = 0;     // in a row
};

}  // namespace whinpost::platform
