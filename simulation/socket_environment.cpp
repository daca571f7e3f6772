#include "simulation/socket_environment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace whinpost::simulation {

namespace {

constexpr int kMaxDescriptors = 4096;
constexpr int kExecFailed = 127;  // as a shell reports a command that it can't run

std::runtime_error system_error(const char* call) {
    return std::runtime_error(std::string(call) + ": " + std::strerror(errno));
}

}  // namespace

SocketEnvironment::SocketEnvironment(net::LibeventLoop& loop, std::string program, std::string dir,
                                     std::size_t placers)
    : loop_(loop), program_(std::move(program)), dir_(std::move(dir)), addresses_(placers),
      children_(placers, 0) {
    // Ports are chosen once, since a restarted placer must listen on the same one. Each port stays reserved
    // until its placer starts: if it were free, the kernel could give it to a worker that listens on port 0,
    // and clients would connect to that worker.
    for (std::string& address : addresses_) {
        auto listener = loop.listen("127.0.0.1:0", [](std::unique_ptr<net::Stream>) {});
        if (!listener) throw std::runtime_error("no free port on 127.0.0.1: " + to_string(listener.error()));
        reserved_ports_.push_back(std::move(*listener));
        address = reserved_ports_.back()->address();
    }
}

SocketEnvironment::~SocketEnvironment() {
    for (std::size_t i = 0; i < children_.size(); ++i) kill_placer(i);
}

void SocketEnvironment::start_placer(std::size_t placer, const std::string& configuration) {
    const std::string path = dir_ + "/placer-" + std::to_string(placer);
    std::ofstream(path + ".toml") << configuration;
    reserved_ports_[placer].reset();
    children_[placer] = fork_placer(path + ".toml", path + ".log");
}

pid_t SocketEnvironment::fork_placer(const std::string& configuration_path, const std::string& log_path) {
    // Until its exec() the child holds copies of all sockets that reserve ports, and the next placer would
    // find its port in use. The pipe closes at exec(), so reading from it waits for that.
    int started[2];
    if (pipe2(started, O_CLOEXEC) != 0) throw system_error("pipe");
    const pid_t child = fork();
    if (child < 0) throw system_error("fork");
    if (child == 0) exec_placer(configuration_path, log_path, started[1]);
    close(started[1]);
    char ignored = 0;
    while (read(started[0], &ignored, 1) < 0 && errno == EINTR) {
    }
    close(started[0]);
    return child;
}

void SocketEnvironment::exec_placer(const std::string& configuration_path, const std::string& log_path,
                                    int started_pipe) {
    const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log >= 0) {
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
    }
    for (int fd = STDERR_FILENO + 1; fd < kMaxDescriptors; ++fd)
        if (fd != started_pipe) close(fd);  // the child must not hold the emulator's sockets
    execl(program_.c_str(), program_.c_str(), "run", configuration_path.c_str(), static_cast<char*>(nullptr));
    _exit(kExecFailed);
}

void SocketEnvironment::kill_placer(std::size_t placer) {
    if (!children_[placer]) return;
    ::kill(children_[placer], SIGKILL);
    int status = 0;
    waitpid(children_[placer], &status, 0);
    children_[placer] = 0;
}

void SocketEnvironment::stall_placer(std::size_t placer, bool stalled) {
    if (children_[placer]) ::kill(children_[placer], stalled ? SIGSTOP : SIGCONT);
}

std::size_t SocketEnvironment::end_all() {
    for (const pid_t child : children_)
        if (child) ::kill(child, SIGTERM);
    std::size_t clean_exits = 0;
    for (pid_t& child : children_) {
        if (!child) continue;
        int status = 0;
        if (waitpid(child, &status, 0) == child && WIFEXITED(status) && WEXITSTATUS(status) == 0)
            ++clean_exits;
        child = 0;
    }
    return clean_exits;
}

}  // namespace whinpost::simulation
