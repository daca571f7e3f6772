// An emulated discovery service. It sends its endpoint list as watch events or on request, with a
// configurable delay, and can be made to send stale, empty or contradictory lists.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "emulator/event_log.h"
#include "net/stream.h"
#include "proto/discovery.pb.h"

namespace whinpost::emulator {

struct DiscoveryServiceSettings {
    bool pushes = true;  // starts a watch for each placer that connects; else only on request
    Nanos delay = 0;     // from a change to the watch event that reports it
    std::uint64_t incarnation = 0;
};

class DiscoveryService {
public:
    // Loop and log must outlive the service.
    DiscoveryService(net::EventLoop&, EventLog&, const DiscoveryServiceSettings&);
    ~DiscoveryService();
    [[nodiscard]] tl::expected<void, net::ListenError> listen(const std::string& address);
    std::string address() const { return address_; }

    // ---- the current endpoints
    // Adds or replaces an endpoint. `started`: when the worker started; 0 if that was before the run.
    void publish(const v1::Endpoint&, Nanos started);
    void remove(const std::string& worker);

    // ---- faults
    void set_frozen(bool frozen) { frozen_ = frozen; }  // changes are queued and not sent
    // Going down closes the listener and all connections; coming up listens on the same address again.
    void set_down(bool down);
    // Sends the oldest snapshot that is kept, with its original sequence number.
    void replay_old_snapshot();
    // Until end_stale_view(), every update is the same snapshot, `age` old: the current endpoints plus
    // `ghosts` (workers that no longer exist) and without the workers named in `missing`.
    void begin_stale_view(Nanos age, const std::vector<v1::Endpoint>& ghosts,
                          const std::vector<std::string>& missing);
    void end_stale_view();
    void send_empty_snapshot();
    // Sends one update with two endpoints of the same worker: `other`, then the current one.
    void send_duplicate(const std::string& worker, const v1::Endpoint& other);

private:
    class Session;
    struct KnownEndpoint {
        v1::Endpoint endpoint;
        Nanos started;
    };

    void send_snapshot(Session&);
    void send_changes(Session&, const std::vector<std::string>& workers);
    bool send_stale_view(Session&);  // false: there is no stale view, nothing was sent
    void send(Session&, const v1::FromDiscovery&);
    void record(const Session&, const v1::Endpoint&);
    void add_change(const std::string& worker);
    void publish_changes();
    v1::Endpoint with_uptime(const KnownEndpoint&) const;
    void end_session(Session&);

    net::EventLoop& loop_;
    EventLog& events_;
    DiscoveryServiceSettings settings_;
    bool frozen_ = false;
    Nanos stale_since_ = 0;  // time that the stale view shows; 0: no stale view
    v1::FromDiscovery stale_view_;
    std::uint64_t sequence_ = 1;
    std::string address_;
    std::unique_ptr<net::Listener> listener_;
    std::vector<std::unique_ptr<Session>> sessions_, ended_sessions_;
    std::map<std::string, KnownEndpoint> endpoints_;
    std::deque<std::pair<Nanos, std::string>> changes_;  // send time and worker
    std::deque<v1::FromDiscovery> old_snapshots_;
    std::unique_ptr<net::Timer> change_timer_, sweep_timer_;
};

}  // namespace whinpost::emulator
