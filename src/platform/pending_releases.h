// Ends of running tasks that are to be delivered to clients, each kept until it is settled.
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

struct PendingRelease {
    std::uint64_t id = 0;  // of the task, chosen by the client
    platform_codec::Cause cause{};
    std::string client_address;
    std::string task_name;
    bool is_migration = false;  // the client is to place the task again
    ledger::ReleaseDelivery delivery;
};

// Kept in the order of add(). take_surplus() bounds their number, and their ReleaseDelivery bounds their age.
class PendingReleases {
public:
    static constexpr std::size_t kMaxPending = 4096;

    std::size_t size() const { return releases_.size(); }
    // The reference stays valid until the entry is erased.
    PendingRelease& add(PendingRelease);
    // Removes and returns the oldest entry if there are more than kMaxPending.
    std::optional<PendingRelease> take_surplus();
    // Calls `is_settled` with each entry and erases those for which it returns true. It must not add entries.
    void erase_if(const std::function<bool(PendingRelease&)>& is_settled);
    void for_each(const std::function<void(PendingRelease&)>& call);

private:
    std::list<PendingRelease> releases_;
};

}  // namespace whinpost::platform
