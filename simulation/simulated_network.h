// A network, clocks and processes in virtual time: the same edge, planner, ledger and stand-ins as on real
// sockets, run many times faster than real time and the same way each time from one seed. What is met here:
// delay, cuts in one direction or both, half-open connections, peers that do not read, processes that stand
// still, kills at any step.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "net/stream.h"

namespace whinpost::simulation {

class SimulatedNetwork;
class SimulatedStream;
class SimulatedListener;

struct NetworkDelays {
    Nanos least = 200 * kMicrosecond;   // one way
    Nanos spread = 300 * kMicrosecond;  // more than that, drawn for each lot of bytes
    double late_share = 0;              // of all lots, those that are later by up to
    Nanos late = 0;
};

// One process on one host, with a loop of its own.
class SimulatedProcess final : public net::EventLoop {
public:
    SimulatedProcess(SimulatedNetwork&, std::string host, int zone, int number);
    Nanos now() const override;
    Nanos polled_at() const override { return unseen_since(); }
    Nanos unseen_since() const override;
    [[nodiscard]] net::ListenResult listen(const std::string& address, net::AcceptHandler) override;
    std::unique_ptr<net::Stream> dial(const std::string& address, net::StreamHandler&) override;
    void attach(net::Stream&, net::StreamHandler&) override;
    std::unique_ptr<net::Timer> make_timer(std::function<void()>) override;
    void stop() override { stopped_ = true; }

    bool stopped() const { return stopped_; }
    bool alive() const { return alive_; }
    const std::string& host() const { return host_; }
    void files(int left) { files_ = left; }  // descriptors that it may still open

private:
    friend class SimulatedNetwork;
    friend class SimulatedStream;
    friend class SimulatedListener;
    friend class SimulatedTimer;
    SimulatedNetwork& world_;
    std::string host_;
    int zone_, number_;
    bool stalled_ = false;
    Nanos stalled_at_ = 0, resumed_at_ = 0;
    std::vector<std::function<void()>> parked_;  // while it stands still
    bool stopped_ = false, alive_ = true;
    int files_ = 1 << 20;
    std::vector<SimulatedStream*> streams_;
};

class SimulatedNetwork {
public:
    explicit SimulatedNetwork(std::uint64_t seed, NetworkDelays = {});
    ~SimulatedNetwork();

    // A host is the part of an address before the colon. Several processes may stand on one host.
    SimulatedProcess& process(std::string host, int zone = 0);
    void kill(SimulatedProcess&);  // as by SIGKILL: its peers hear it; what used it is to be destroyed after
    void vanish(SimulatedProcess&);  // as by a pulled plug: its peers keep half-open connections
    void stall(SimulatedProcess&);   // nothing of it runs; its kernel still takes bytes
    void resume(SimulatedProcess&);  // all that came meanwhile happens now, in its order
    void cut(const std::string& from, const std::string& to, bool on);  // one way, silent: bytes wait
    void cut_zone(int zone, bool on);                                   // from all others, both ways
    // From all others: nothing arrives at it, nothing that it sends arrives anywhere; bytes wait.
    void cut_host(const std::string& host, bool in, bool out);
    void slow(const std::string& host, Nanos more);  // delay, each way

    Nanos now() const { return now_; }
    void schedule(Nanos when, std::function<void()>);  // of the world: no stall holds it up
    void run_until(Nanos);
    std::uint64_t steps() const { return steps_; }
    // Of all bytes that were received, in their order: alike for runs that are alike.
    std::uint64_t digest() const { return digest_; }

private:
    friend class SimulatedProcess;
    friend class SimulatedStream;
    friend class SimulatedListener;
    friend class SimulatedTimer;
    struct Event {
        Nanos at;
        std::uint64_t number;
        SimulatedProcess* process;  // null: the world's own
        std::function<void()> then;
        bool operator>(const Event& o) const { return std::tie(at, number) > std::tie(o.at, o.number); }
    };
    void post(Nanos when, SimulatedProcess*, std::function<void()>);
    bool blocked(const SimulatedProcess& from, const SimulatedProcess& to) const;
    bool blocked_in(const SimulatedStream&) const;
    Nanos delay(const SimulatedProcess& from, const SimulatedProcess& to);
    void heal();

    std::ranlux24_base chance_;
    NetworkDelays delays_;
    Nanos now_ = 1'000'000 * kSecond;
    std::uint64_t events_ = 0, steps_ = 0, digest_ = 14695981039346656037u;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
    std::vector<std::unique_ptr<SimulatedProcess>> processes_;
    std::map<std::string, SimulatedListener*> listeners_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::set<int> zone_cuts_;
    std::map<std::string, std::pair<bool, bool>> host_cuts_;  // in, out
    std::map<std::string, Nanos> slow_;
    int next_port_ = 40'000;
};

}  // namespace whinpost::simulation
