// The ends of tasks whose client has no open connection, kept for its next one.
#pragma once
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "platform_codec/message.h"
#include "whinpost/scheduler.h"

namespace whinpost::platform {

struct PendingRelease {
    std::uint64_t id = 0;
    platform_codec::Cause cause{};
    std::string client_address;
    Nanos since = 0;
};

class PendingReleases {
public:
    std::size_t size() const { return releases_.size(); }
    void add(PendingRelease release) { releases_.push_back(std::move(release)); }
    // Removes and returns those for that client, in the order in which they were added.
    std::vector<PendingRelease> take(const std::string& client_address);
    // Removes and returns those whose client has not come back for too long.
    std::vector<PendingRelease> expire(Nanos now);

private:
    std::deque<PendingRelease> releases_;
};

}  // namespace whinpost::platform
