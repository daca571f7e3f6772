// A network, clocks and processes in virtual time: the same server, planner, ledger and emulator as on real
// sockets, run many times faster than real time and the same way each time from one seed. What happens here:
// delay, cuts in one direction or both, half-open connections, peers that do not read, processes that stand
// still, kills at any step.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "net/stream.h"
#include "simulation/simulated_process.h"

namespace whinpost::simulation {

struct NetworkDelays {
    Nanos least = 200 * kMicrosecond;   // one way
    Nanos spread = 300 * kMicrosecond;  // up to so much more, drawn for each chunk of bytes
    double late_share = 0;              // of all chunks, those that are later by up to `late`
    Nanos late = 0;
};

class SimulatedNetwork {
public:
    explicit SimulatedNetwork(std::uint64_t seed, NetworkDelays = {});
    ~SimulatedNetwork();
    SimulatedNetwork(const SimulatedNetwork&) = delete;
    SimulatedNetwork& operator=(const SimulatedNetwork&) = delete;

    // A host is the part of an address before the colon. Several processes may run on one host. Lives as long
    // as the network.
    SimulatedProcess& process(std::string host, int zone = 0);

    // ---- faults
    // As by SIGKILL: its peers see a reset. Whatever uses the process is to be destroyed afterwards.
    void kill(SimulatedProcess&);
    void vanish(SimulatedProcess&);  // as by a pulled plug: its peers keep half-open connections
    void stall(SimulatedProcess&);   // nothing of it runs; its kernel still takes bytes
    void resume(SimulatedProcess&);  // all that came meanwhile happens now, in its order
    void cut(const std::string& from, const std::string& to, bool on);  // one way, silent: bytes wait
    void cut_zone(int zone, bool on);                                   // from all others, both ways
    // From all others: nothing arrives at it, nothing that it sends arrives anywhere; bytes wait.
    void cut_host(const std::string& host, bool in, bool out);
    void slow(const std::string& host, Nanos more);  // delay, each way

    Nanos now() const { return now_; }
    void schedule(Nanos when, std::function<void()>);  // of no process: no stall holds it up
    void run_until(Nanos);
    std::uint64_t steps() const { return steps_; }
    // Of all bytes that were received, in their order: the same for runs that are the same.
    std::uint64_t digest() const { return digest_; }

private:
    friend class SimulatedProcess;
    friend class SimulatedStream;
    friend class SimulatedListener;
    friend class SimulatedTimer;
    struct Event {
        Nanos at;
        std::uint64_t number;       // orders events of the same time
        SimulatedProcess* process;  // null: of no process
        std::function<void()> callback;
        bool operator>(const Event& other) const {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };
    struct HostCut {
        bool in, out;
    };

    void post(Nanos when, SimulatedProcess*, std::function<void()>);
    bool blocked(const SimulatedProcess& from, const SimulatedProcess& to) const;
    bool host_cut(const SimulatedProcess& from, const SimulatedProcess& to) const;
    bool blocked_in(const SimulatedStream&) const;
    Nanos delay(const SimulatedProcess& from, const SimulatedProcess& to);
    Nanos draw_up_to(Nanos most);
    void continue_after_cut();
    // Null: nobody listens there, or its process is dead.
    SimulatedListener* find_listener(const std::string& address) const;
    void add_to_digest(std::string_view bytes);

    std::ranlux24_base random_;
    NetworkDelays delays_;
    Nanos now_ = 1'000'000 * kSecond;
    std::uint64_t events_ = 0, steps_ = 0;
    std::uint64_t digest_ = 14695981039346656037u;  // FNV-1a
    std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
    std::vector<std::unique_ptr<SimulatedProcess>> processes_;
    std::map<std::string, SimulatedListener*> listeners_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::set<int> zone_cuts_;
    std::map<std::string, HostCut> host_cuts_;
    std::map<std::string, Nanos> added_delays_;  // by host
    int next_port_ = 40'000;
};

}  // namespace whinpost::simulation
