// A process in virtual time: an event loop on a host of the simulated network.
#pragma once
#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/stream.h"

namespace whinpost::simulation {

class SimulatedNetwork;
class SimulatedStream;
class SimulatedListener;

class SimulatedProcess final : public net::EventLoop {
public:
    // Called by SimulatedNetwork::add_process().
    SimulatedProcess(SimulatedNetwork&, std::string host, int zone);

    Nanos now() const override;
    Nanos from_unix_time(Nanos unix_time) const override { return std::min(unix_time, now()); }
    Nanos polled_at() const override { return earliest_arrival(); }
    Nanos earliest_arrival() const override;
    [[nodiscard]] net::ListenResult listen(const std::string& address, net::AcceptHandler) override;
    std::unique_ptr<net::Stream> dial(const std::string& address, net::StreamHandler&) override;
    void attach(net::Stream&, net::StreamHandler&) override;
    std::unique_ptr<net::Timer> make_timer(std::function<void()>) override;
    void stop() override { stopped_ = true; }

    bool stopped() const { return stopped_; }
    bool alive() const { return alive_; }
    const std::string& host() const { return host_; }
    // Sets how many descriptors it may still open.
    void set_free_descriptors(int left) { descriptors_left_ = left; }

private:
    friend class SimulatedNetwork;
    friend class SimulatedStream;
    friend class SimulatedListener;
    friend class SimulatedTimer;
    using StreamHandle = std::shared_ptr<SimulatedStream*>;

    void fail_dial(const StreamHandle&, Nanos at, net::CloseReason);
    // Called when the connection request reaches the listener's host, at time `at`.
    void on_dial_arrived(const StreamHandle&, const std::string& address, Nanos at);
    void on_dial_answered(const StreamHandle&);

    SimulatedNetwork& network_;
    std::string host_;
    int zone_;
    bool stalled_ = false;
    Nanos stalled_at_ = 0, resumed_at_ = 0;
    std::vector<std::function<void()>> stalled_events_;  // events that became due while it was stalled
    bool stopped_ = false, alive_ = true;
    int descriptors_left_ = 1 << 20;
    std::vector<SimulatedStream*> streams_;
};

}  // namespace whinpost::simulation
