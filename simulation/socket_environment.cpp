#include "simulation/socket_environment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <stdexcept>

namespace whinpost::simulation {

SocketEnvironment::SocketEnvironment(net::LibeventLoop& loop, std::string program, std::string dir,
                                     std::size_t placers)
    : loop_(loop), program_(std::move(program)), dir_(std::move(dir)), addresses_(placers),
      children_(placers, 0) {
    // A restarted placer must be found where it was: its port is chosen once. Each is held until its placer
    // starts: let go before, it was given to a node that asked for any port, and owners met that.
    for (std::string& a : addresses_) {
        auto listener = loop.listen("127.0.0.1:0", [](std::unique_ptr<net::Stream>) {});
        if (!listener) throw std::runtime_error("no port can be had: " + to_string(listener.error()));
        held_.push_back(std::move(*listener));
        a = held_.back()->address();
    }
}

SocketEnvironment::~SocketEnvironment() {
    for (std::size_t i = 0; i < children_.size(); ++i) kill_placer(i);
}

void SocketEnvironment::start_placer(std::size_t i, const std::string& file) {
    const std::string path = dir_ + "/placer-" + std::to_string(i) + ".toml";
    std::ofstream(path) << file;
    const std::string log = dir_ + "/placer-" + std::to_string(i) + ".log";
    held_[i].reset();
    // Until the child has started its program it holds copies of all ports that are still held: the next
    // placer would find its own in use. The pipe closes when it has.
    int started[2];
    if (pipe2(started, O_CLOEXEC) != 0)
        throw std::runtime_error(std::string("pipe: ") + std::strerror(errno));
    const pid_t child = fork();
    if (child < 0) throw std::runtime_error(std::string("fork: ") + std::strerror(errno));
    if (child == 0) {
        const int to = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        if (to >= 0) {
            dup2(to, 1);
            dup2(to, 2);
        }
        for (int fd = 3; fd < 4096; ++fd)
            if (fd != started[1]) close(fd);  // the stand-ins' sockets are not the child's
        execl(program_.c_str(), program_.c_str(), "run", path.c_str(), static_cast<char*>(nullptr));
        _exit(127);
    }
    close(started[1]);
    char none = 0;
    while (read(started[0], &none, 1) < 0 && errno == EINTR) {
    }
    close(started[0]);
    children_[i] = child;
}

void SocketEnvironment::kill_placer(std::size_t i) {
    if (!children_[i]) return;
    ::kill(children_[i], SIGKILL);
    int status = 0;
    waitpid(children_[i], &status, 0);
    children_[i] = 0;
}

void SocketEnvironment::stall_placer(std::size_t i, bool on) {
    if (children_[i]) ::kill(children_[i], on ? SIGSTOP : SIGCONT);
}

std::size_t SocketEnvironment::end_all() {
    std::size_t clean = 0;
    for (const pid_t c : children_)
        if (c) ::kill(c, SIGTERM);
    for (pid_t& c : children_) {
        if (!c) continue;
        int status = 0;
        if (waitpid(c, &status, 0) == c && WIFEXITED(status) && WEXITSTATUS(status) == 0) ++clean;
        c = 0;
    }
    return clean;
}

}  // namespace whinpost::simulation
