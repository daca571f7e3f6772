// Limits how many of the process's file descriptors clients and workers may hold. No I/O.
#pragma once
#include <algorithm>
#include <cstddef>

namespace whinpost::platform {

// A quarter of the usable descriptors is reserved for workers and five twelfths for clients: by the protocol,
// well-behaved clients hold at most a third of all. Either side may use what the other leaves free. kSetAside
// descriptors are set aside for the standard streams, the event loop, the listener, the discovery watch and
// the configuration file, none of which ever waits for a free descriptor.
class ConnectionBudget {
public:
    explicit ConnectionBudget(std::size_t total)
        : usable_(total > 2 * kSetAside ? total - kSetAside : kSetAside), reserved_for_workers_(usable_ / 4),
          reserved_for_clients_(usable_ * 5 / 12) {}

    std::size_t reserved_for_workers() const { return reserved_for_workers_; }
    bool worker_fits(std::size_t clients, std::size_t workers) const {
        return workers < reserved_for_workers_ || clients + workers < usable_;
    }
    bool client_fits(std::size_t clients, std::size_t workers) const {
        return clients + std::max(workers, reserved_for_workers_) < usable_;
    }
    // When client_fits() is false: whether a connection to a worker may be closed to make room, because
    // clients hold less than their reserve.
    bool client_may_displace_worker(std::size_t clients) const { return clients < reserved_for_clients_; }

private:
    static constexpr std::size_t kSetAside = 24;
    std::size_t usable_, reserved_for_workers_, reserved_for_clients_;
};

}  // namespace whinpost::platform
