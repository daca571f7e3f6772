// Where a scenario runs: in virtual time, or on sockets with each placer a process of its own.
#pragma once
#include <cstddef>
#include <string>

#include "net/stream.h"

namespace whinpost::emulator {

class TestEnvironment {
public:
    virtual ~TestEnvironment() = default;
    virtual net::EventLoop& loop() = 0;  // of discovery service, clients, and the scenario
    virtual net::EventLoop& worker_loop(const std::string& worker, int zone) = 0;
    virtual std::string worker_address(const std::string& worker) = 0;  // to listen on
    virtual std::string discovery_address() = 0;
    virtual std::string dead_address(std::size_t number) = 0;  // at which nobody listens
    virtual std::string placer_address(std::size_t placer) = 0;
    virtual void start_placer(std::size_t placer, const std::string& configuration) = 0;
    virtual void kill_placer(std::size_t placer) = 0;
    virtual void stall_placer(std::size_t placer, bool stalled) = 0;
    virtual void on_worker_killed(const std::string&) {}
    // False where there is no network to cut: the worker then plays the cut itself.
    virtual bool cut(const std::string& worker, bool input, bool output) {
        static_cast<void>(worker);
        static_cast<void>(input);
        static_cast<void>(output);
        return false;
    }
};

}  // namespace whinpost::emulator
