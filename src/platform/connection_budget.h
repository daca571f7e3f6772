// How many of the process's file descriptors clients and workers may hold. No I/O; it chooses no connection.
#pragma once
#include <algorithm>
#include <cstddef>

namespace whinpost::platform {

// Workers always have a quarter, clients always five twelfths (PROTOCOL: good clients hold at most a third of
// all); what one side does not use the other may. What is kept back is for the standard streams, the loop's
// own, the listener, the watch on the endpoint list and the file: none of these ever waits for a free one.
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
    // Where no descriptor is left for a client: whether workers hold more than they always have.
    bool workers_make_room(std::size_t clients) const { return clients < clients_always_; }

private:
    static constexpr std::size_t kSpare = 24;
    std::size_t usable_, workers_always_, clients_always_;
};

}  // namespace whinpost::platform
