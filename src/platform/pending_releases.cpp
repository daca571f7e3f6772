#include "platform/pending_releases.h"

#include <utility>

namespace whinpost::platform {
namespace {

constexpr Nanos kKeptFor = 10 * kSecond;  // PROTOCOL asks for 8 s

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

void PendingReleases::expire(Nanos now) {
    std::erase_if(releases_, [now](const PendingRelease& release) { return now - release.since > kKeptFor; });
}

}  // namespace whinpost::platform
