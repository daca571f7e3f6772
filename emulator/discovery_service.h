// The discovery service: an endpoint list that is pushed or asked for, late, and wrong in the ways that a
// scenario says.
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
    bool pushes = true;  // sends watch events unasked
    Nanos delay = 0;     // from a change to its watch event
    std::uint64_t incarnation = 0;
};

class DiscoveryService {
public:
    // Loop and log must outlive the service.
    DiscoveryService(net::EventLoop&, EventLog&, const DiscoveryServiceSettings&);
    ~DiscoveryService();
    [[nodiscard]] tl::expected<void, net::ListenError> listen(const std::string& address);
    std::string address() const { return address_; }

    // ---- the truth, from which the list is made
    // `started` 0: long ago.
    void publish(const v1::Endpoint&, Nanos started);
    void remove(const std::string& worker);

    // ---- faults
    void set_frozen(bool frozen) { frozen_ = frozen; }  // no change is sent
    // While it is down nobody listens there, and all connections break.
    void set_down(bool down);
    // Sends the oldest snapshot that it remembers, with the sequence number of then.
    void replay_old_snapshot();
    // Until the end, everything it sends is one view: that of `age` ago, when the `ghosts` were still there
    // and the `unknown` were not.
    void begin_stale_view(Nanos age, const std::vector<v1::Endpoint>& ghosts,
                          const std::vector<std::string>& unknown);
    void end_stale_view();
    void send_empty_snapshot();
    // Sends one update that names the worker twice: the other endpoint first.
    void send_duplicate(const std::string& worker, const v1::Endpoint& other);

private:
    class Session;
    struct KnownEndpoint {
        v1::Endpoint endpoint;
        Nanos started;
    };

    void send_snapshot(Session&);
    void send_changes(Session&, const std::vector<std::string>& workers);
    bool send_stale_view(Session&);  // false: no stale view is in force
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
    Nanos stale_since_ = 0;  // the time of the stale view; 0: none is in force
    v1::FromDiscovery stale_view_;
    std::uint64_t sequence_ = 1;
    std::string address_;
    std::unique_ptr<net::Listener> listener_;
    std::vector<std::unique_ptr<Session>> sessions_, ended_sessions_;
    std::map<std::string, KnownEndpoint> endpoints_;
    std::deque<std::pair<Nanos, std::string>> changes_;  // when to send, of which worker
    std::deque<v1::FromDiscovery> old_snapshots_;
    std::unique_ptr<net::Timer> change_timer_, sweep_timer_;
};

}  // namespace whinpost::emulator
