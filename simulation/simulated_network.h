// A network, clocks and processes in virtual time. The server, planner, ledger and emulator are the same as
// on real sockets, but run many times faster than real time, and identically for the same seed. Supported
// faults: delays, cuts in one or both directions, half-open connections, peers that do not read, stalled
// processes, and kills between any two events.
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
    Nanos min_delay = 200 * kMicrosecond;  // minimum one-way delay
    Nanos spread = 300 * kMicrosecond;     // maximum random delay added to each chunk of bytes
    double late_share = 0;                 // share of the chunks that are delayed by up to `late` more
    Nanos late = 0;
};

class SimulatedNetwork {
public:
    explicit SimulatedNetwork(std::uint64_t seed, NetworkDelays = {});
    ~SimulatedNetwork();
    SimulatedNetwork(const SimulatedNetwork&) = delete;
    SimulatedNetwork& operator=(const SimulatedNetwork&) = delete;

    // Creates a process, which lives as long as the network. The host is the part of an address before the
    // colon; several processes may run on one host.
    SimulatedProcess& add_process(std::string host, int zone = 0);

    // ---- faults
    // Like SIGKILL: the peers' connections are reset. The caller destroys the objects that use the process.
    void kill(SimulatedProcess&);
    // Like a power failure: the peers keep half-open connections.
    void vanish(SimulatedProcess&);
    // Like SIGSTOP: no event of the process runs, but its kernel still receives bytes.
    void stall(SimulatedProcess&);
    // Ends the stall: the events that became due meanwhile run now, in their order.
    void resume(SimulatedProcess&);
    // Holds back all bytes from one host to another, without an error at either end. `on` false ends the cut
    // and delivers them.
    void cut(const std::string& from, const std::string& to, bool on);
    // Cuts the zone off from all other zones, in both directions.
    void cut_zone(int zone, bool on);
    // Holds back all bytes to the host (`in`) and from it (`out`). Both false ends the cut.
    void cut_host(const std::string& host, bool in, bool out);
    // Adds a delay to all bytes to and from the host.
    void set_added_delay(const std::string& host, Nanos more);

    Nanos now() const { return now_; }
    // Schedules a callback that belongs to no process, so that no stall or kill affects it.
    void schedule(Nanos when, std::function<void()>);
    void run_until(Nanos);
    std::uint64_t steps() const { return steps_; }
    // Digest of all bytes received, in order. Identical runs have the same digest.
    std::uint64_t digest() const { return digest_; }

private:
    friend class SimulatedProcess;
    friend class SimulatedStream;
    friend class SimulatedListener;
    friend class SimulatedTimer;
    struct Event {
        Nanos at;
        std::uint64_t number;       // orders events of the same time
        SimulatedProcess* process;  // null: belongs to no process
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
    // Returns null if no process listens on the address or the process is dead.
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
