// Which of the process's descriptors owners and hosts may hold. No I/O; it chooses no connection.
#pragma once
#include <algorithm>
#include <cstddef>

namespace whinpost::platform {

// Hosts always have a quarter, owners always five twelfths (PROTOCOL: good owners hold at most a third of
// all); what one side does not use the other may. What is kept back is for the standard streams, the loop's
// own, the listener, the watch on the bus and the file: none of these ever waits for a free one.
class ConnectionBudget {
public:
    explicit ConnectionBudget(std::size_t all)
        : usable_(all > 2 * kSpare ? all - kSpare : kSpare), hosts_always_(usable_ / 4),
          owners_always_(usable_ * 5 / 12) {}

    std::size_t for_hosts() const { return hosts_always_; }
    bool host_fits(std::size_t owners, std::size_t hosts) const {
        return hosts < hosts_always_ || owners + hosts < usable_;
    }
    bool owner_fits(std::size_t owners, std::size_t hosts) const {
        return owners + std::max(hosts, hosts_always_) < usable_;
    }
    // There is none for an owner, and it is hosts who hold more than they always have.
    bool hosts_make_room(std::size_t owners) const { return owners < owners_always_; }

private:
    static constexpr std::size_t kSpare = 24;
    std::size_t usable_, hosts_always_, owners_always_;
};

}  // namespace whinpost::platform
