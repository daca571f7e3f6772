// Where a scenario runs: in virtual time, or on sockets with one process per placer.
#pragma once
#include <cstddef>
#include <string>

#include "net/stream.h"

namespace whinpost::emulator {

class TestEnvironment {
public:
    virtual ~TestEnvironment() = default;
    virtual net::EventLoop& loop() = 0;  // for the discovery service, the clients and the scenario itself
    virtual net::EventLoop& worker_loop(const std::string& worker, int zone) = 0;
    virtual std::string worker_address(const std::string& worker) = 0;  // for listen()
    virtual std::string discovery_address() = 0;
    virtual std::string dead_address(std::size_t number) = 0;  // nobody listens there
    virtual std::string placer_address(std::size_t placer) = 0;
    virtual void start_placer(std::size_t placer, const std::string& configuration) = 0;
    virtual void kill_placer(std::size_t placer) = 0;
    virtual void stall_placer(std::size_t placer, bool stalled) = 0;
    virtual void on_worker_killed(const std::string&) {}
    // Blocks the worker's incoming and outgoing messages, or unblocks them. False if the environment has no
    // simulated network: the worker must then emulate the partition itself.
    virtual bool cut(const std::string& worker, bool input, bool output) {
        static_cast<void>(worker);
        static_cast<void>(input);
        static_cast<void>(output);
        return false;
    }
};

}  // namespace whinpost::emulator
