// The ends of running tasks that clients are owed, each until it is settled.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>

#include "ledger/release_delivery.h"
#include "platform_codec/message.h"
#include "whinpost/scheduler.h"

namespace whinpost::platform {

struct OwedRelease {
    std::uint64_t id = 0;  // the client's, of the task
    platform_codec::Cause cause{};
    std::string client_address;
    std::string task_name;
    bool is_migration = false;  // the client is to place the task anew
    ledger::ReleaseDelivery delivery;
};

// In the order in which they became owed. Bounded by count; by age through their deliveries.
class OwedReleases {
public:
    static constexpr std::size_t kMaxOwed = 4096;

    std::size_t size() const { return releases_.size(); }
    // The reference stays valid until it is erased.
    OwedRelease& add(OwedRelease);
    // The oldest, removed, where there are too many.
    std::optional<OwedRelease> take_surplus();
    // Calls `is_settled` with each, and erases those for which it returns true. It may add none.
    void erase_if(const std::function<bool(OwedRelease&)>& is_settled);
    void for_each(const std::function<void(OwedRelease&)>& call);

private:
    std::list<OwedRelease> releases_;
};

}  // namespace whinpost::platform
