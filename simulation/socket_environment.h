// Runs a scenario on loopback sockets: workers, clients and discovery service in this process, each placer in
// a child process.
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
    // `program`: path of the placer's program. `dir`: directory for the placers' configuration and log files.
    // The loop must outlive the environment. Throws std::runtime_error if no free port is available.
    SocketEnvironment(net::LibeventLoop&, std::string program, std::string dir, std::size_t placers);
    ~SocketEnvironment() override;

    net::EventLoop& loop() override { return loop_; }
    net::EventLoop& worker_loop(const std::string&, int) override { return loop_; }
    std::string worker_address(const std::string&) override { return "127.0.0.1:0"; }
    std::string discovery_address() override { return "127.0.0.1:0"; }
    std::string dead_address(std::size_t) override { return "127.0.0.1:1"; }
    std::string placer_address(std::size_t placer) override { return addresses_[placer]; }
    void start_placer(std::size_t placer, const std::string& configuration) override;
    void kill_placer(std::size_t placer) override;
    void stall_placer(std::size_t placer, bool stalled) override;
    // Sends SIGTERM to all placers, waits for them, and returns how many exited with status 0.
    std::size_t end_all();

private:
    pid_t fork_placer(const std::string& configuration_path, const std::string& log_path);
    // Runs in the child process: replaces it with the placer's program.
    [[noreturn]] void exec_placer(const std::string& configuration_path, const std::string& log_path,
                                  int started_pipe);

    net::LibeventLoop& loop_;
    std::string program_, dir_;
    std::vector<std::string> addresses_;
    std::vector<std::unique_ptr<net::Listener>> reserved_ports_;  // by placer, each until that placer starts
    std::vector<pid_t> children_;                                 // by placer; 0: not running
};

}  // namespace whinpost::simulation
