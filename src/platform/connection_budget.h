// Limits how many of the process's file descriptors clients and workers may hold. No I/O.
#pragma once
#include <algorithm>
#include <cstddef>

namespace whinpost::platform {

// A quarter of the usable descriptors is reserved for workers and five twelfths for clients: by the protocol,
// well-behaved clients hold at most a third of all. Either side may use what the other leaves free. kSpare
// descriptors are set aside for the standard streams, the event loop, the listener, the discovery watch and
// the configuration file, none of which ever waits for a free descriptor.
class ConnectionBudget {
public:
    explicit ConnectionBudget(std::size_t all)
        : usable_(all > 2 * kSpare ? all - kSpare : kSpare), workers_always_(usable_ / 4),
          clients_always_(usable_ * 5 / 12) {}

    std::size_t reserved_for_workers() const { return workers_always_; }
    bool worker_fits(std::size_t clients, std::size_t workers) const {
        return workers < workers_always_ || clients + workers < usable_;
    }
    bool client_fits(std::size_t clients, std::size_t workers) const {
        return clients + std::max(workers, workers_always_) < usable_;
    }
    // When client_fits() is false: whether a connection to a worker may be closed to make room, because
    // clients hold less than their reserve.
    bool workers_make_room(std::size_t clients) const { return clients < clients_always_; }

private:
    static constexpr std::size_t kSpare = 24;
    std::size_t usable_, workers_always_, clients_always_;
};

}  // namespace whinpost::platform
