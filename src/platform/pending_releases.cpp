#include "platform/pending_releases.h"

#include <utility>

namespace whinpost::platform {
namespace {

// Clients keep a connection while a task of theirs runs and come back soon where it broke; one that does not
// come for so long has gone.
constexpr Nanos kKeptFor = 60 * kSecond;

}  // namespace

std::vector<PendingRelease> PendingReleases::take(const std::string& client_address) {
    std::vector<PendingRelease> taken;
    std::deque<PendingRelease> kept;
    for (PendingRelease& release : releases_) {
        if (release.client_address == client_address) taken.push_back(std::move(release));
        else kept.push_back(std::move(release));
    }
    releases_ = std::move(kept);
    return taken;
}

std::vector<PendingRelease> PendingReleases::expire(Nanos now) {
    std::vector<PendingRelease> expired;
    std::erase_if(releases_, [now, &expired](const PendingRelease& release) {
        if (now - release.since <= kKeptFor) return false;
        expired.push_back(release);
        return true;
    });
    return expired;
}

}  // namespace whinpost::platform
