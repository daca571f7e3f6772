// A scripted day on loopback sockets: the stand-ins in this process, each placer a child of it.
#pragma once
#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "emulator/scenario_run.h"
#include "net/libevent_loop.h"

namespace whinpost::simulation {

class SocketEnvironment final : public emulator::TestEnvironment {
public:
    // `program`: the placer's. `dir`: where placers' files and logs go. Throws where no port can be had.
    SocketEnvironment(net::LibeventLoop&, std::string program, std::string dir, std::size_t placers);
    ~SocketEnvironment() override;
    net::EventLoop& loop() override { return loop_; }
    net::EventLoop& worker_loop(const std::string&, int) override { return loop_; }
    std::string worker_address(const std::string&) override { return "127.0.0.1:0"; }
    std::string discovery_address() override { return "127.0.0.1:0"; }
    std::string dead_address(std::size_t) override { return "127.0.0.1:1"; }
    std::string placer_address(std::size_t i) override { return addresses_[i]; }
    void start_placer(std::size_t, const std::string& file) override;
    void kill_placer(std::size_t) override;
    void stall_placer(std::size_t, bool) override;
    // Asks all to end, and says how many did so cleanly.
    std::size_t end_all();

private:
    net::LibeventLoop& loop_;
    std::string program_, dir_;
    std::vector<std::string> addresses_;
    std::vector<std::unique_ptr<net::Listener>> held_;  // until the placer of that address starts
    std::vector<pid_t> children_;
};

}  // namespace whinpost::simulation
